package proctest

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/standin"
)

// Bounds of the promises, and the run time of jobs that outlast a test.
const (
	gangStopBound   = 3 * time.Second
	zoneStartBound  = 3 * time.Second
	configBound     = 7 * time.Second
	longRun         = 10 * time.Minute
	codeApplied     = 4001
	afterTheBound   = time.Second
	ownerLeaseLimit = 4 * time.Second
)

// startJobs starts a cluster with a configuration.
func startJobs(t *testing.T, entries, agents int) *cluster {
	t.Helper()
	c := startCluster(t, entries, agents, time.Millisecond)
	c.configure()
	return c
}

// awaitRunning waits until all tasks of a job run.
func (c *cluster) awaitRunning(job model.JobID, tasks int) {
	c.t.Helper()
	c.await("all tasks of the job to run", func() bool { return c.running(job) == tasks })
}

func TestKilledMemberEndsItsGangAndItRunsAgain(t *testing.T) {
	c := startJobs(t, 2, 4)
	job := c.submit(3, longRun)
	c.awaitRunning(job, 3)
	killed := c.holderOf(job)
	at := time.Now()
	c.signal(killed, syscall.SIGKILL)
	c.awaitExit(killed)
	c.await("the rest of the gang to stop", func() bool { return len(c.ends(job, killed.name)) >= 2 })
	for _, end := range c.ends(job, killed.name) {
		if took := time.UnixMilli(end.AtUnixMS).Sub(at); took > gangStopBound {
			t.Errorf("task %s stopped %v after the loss, bound %v", end.ID, took, gangStopBound)
		}
	}
	defer c.explain(job)
	c.await("the gang to run again on the workers that are left", func() bool { return c.running(job) == 3 })
	c.checkStarts()
	c.checkGangs(job, 3)
}

func TestKilledOwnerIsReplacedAndJobsGoOn(t *testing.T) {
	replaceOwner(t, syscall.SIGKILL)
}

// TestStoppedOwnerIsReplacedAndJobsGoOn hands the ownership over faster than
// the tasks' leases lapse, so that no agent has anything new to report.
func TestStoppedOwnerIsReplacedAndJobsGoOn(t *testing.T) {
	replaceOwner(t, syscall.SIGTERM)
}

// replaceOwner ends the owner by a signal. A job that runs goes on, and the
// successor runs another one.
func replaceOwner(t *testing.T, signal syscall.Signal) {
	t.Helper()
	c := startJobs(t, 3, 4)
	first := c.submit(2, longRun)
	c.awaitRunning(first, 2)
	owner := c.owner()
	at := time.Now()
	c.signal(owner, signal)
	c.awaitExit(owner)
	c.dropEntry(owner)
	second := c.submit(2, longRun)
	c.awaitRunning(second, 2)
	t.Logf("a job submitted to the successor ran %v after the signal", time.Since(at).Round(time.Millisecond))
	// A successor that did not know that the first job runs would stop it now.
	time.Sleep(2 * scheduler.DefaultSettings().LaunchTimeout)
	if ends := c.ends(first, ""); len(ends) > 0 {
		t.Errorf("the first job did not run on: %+v", ends)
	}
	c.checkStarts()
	c.checkGangs(first, 2)
	c.checkGangs(second, 2)
}

func TestFrozenOwnerWakesAfterItsLease(t *testing.T) {
	c := startJobs(t, 3, 4)
	first := c.submit(2, longRun)
	c.awaitRunning(first, 2)
	owner := c.owner()
	c.signal(owner, syscall.SIGSTOP)
	all := c.entries
	c.dropEntry(owner)
	second := c.submit(2, longRun)
	c.awaitRunning(second, 2)
	c.signal(owner, syscall.SIGCONT)
	c.entries = all
	c.await("the woken owner to be connected", func() bool { return c.linked(owner, c.agents[0].name) })
	if successor := c.owner(); successor == owner {
		t.Errorf("%s still owns the scheduler", owner.name)
	}
	third := c.submit(4, time.Second)
	c.await("the third job to wait or run", func() bool {
		return c.call(http.MethodGet, c.entries[0], operatorapi.PathJobs+"/"+string(third)+operatorapi.ExplainSuffix, nil, nil) == http.StatusOK
	})
	c.checkStarts()
	c.checkGangs(first, 2)
	c.checkGangs(second, 2)
}

func TestZoneOutWhileItsAgentsHearNothing(t *testing.T) {
	c := startJobs(t, 2, 3)
	c.endlessJobs()
	zone, agent := zones[0], c.agents[0]
	c.await("starts in the zone", func() bool { return len(c.startsAfter(zone, time.Time{})) > 2 })
	for _, entry := range c.entries {
		c.signal(entry, syscall.SIGSTOP)
	}
	c.await("the agent to give the frozen entry hosts up", func() bool { return !c.linked(agent, c.entries[0].name) })
	c.signal(c.entries[0], syscall.SIGCONT)
	c.setZone(c.entries[0], zone, model.ZoneOut)
	c.checkZoneStays(zone, time.Now())
}

func TestZoneOutWhileTheOwnerIsFrozen(t *testing.T) {
	c := startJobs(t, 3, 3)
	c.endlessJobs()
	zone := zones[0]
	c.await("starts in the zone", func() bool { return len(c.startsAfter(zone, time.Time{})) > 2 })
	owner := c.owner()
	c.signal(owner, syscall.SIGSTOP)
	c.dropEntry(owner)
	c.setZone(c.entries[0], zone, model.ZoneOut)
	at := time.Now()
	c.checkZoneStays(zone, at)
	c.signal(owner, syscall.SIGCONT)
	c.checkZoneStays(zone, at)
}

func TestZoneOutWithTheStoreDownRightAfter(t *testing.T) {
	c := startJobs(t, 2, 3)
	c.endlessJobs()
	zone := zones[0]
	c.await("starts in the zone", func() bool { return len(c.startsAfter(zone, time.Time{})) > 2 })
	c.setZone(c.entries[0], zone, model.ZoneOut)
	at := time.Now()
	c.setStoreFaults(standin.Faults{Down: true})
	c.checkZoneStays(zone, at)
	c.setStoreFaults(standin.Faults{})
	c.setZone(c.entries[1], zone, model.ZoneIn)
	back := time.Now()
	c.await("work to resume in the zone", func() bool { return len(c.startsAfter(zone, back)) > 0 })
	c.checkStarts()
}

func TestZoneOutWithTheAnswerLostAfterTheWrite(t *testing.T) {
	c := startJobs(t, 2, 3)
	c.endlessJobs()
	zone := zones[0]
	c.await("starts in the zone", func() bool { return len(c.startsAfter(zone, time.Time{})) > 2 })
	c.setStoreFaults(standin.Faults{LoseAnswers: -1})
	out := change("zone/"+zone, func(made *model.ConfigChange) { made.Zone = model.ZoneOut })
	var document model.ConfigDocument
	c.call(http.MethodGet, c.entries[0], operatorapi.PathConfig, nil, &document)
	out.ExpectedVersion = document.ObjectVersions[out.Object]
	var reply operatorapi.ChangeReply
	status := c.call(http.MethodPost, c.entries[0], operatorapi.PathChanges, out, &reply)
	at := time.Now()
	c.setStoreFaults(standin.Faults{})
	t.Logf("answered %d %s", status, reply.Status)
	if reply.Status == operatorapi.ChangeNotAccepted || reply.Status == operatorapi.ChangeConflict {
		t.Errorf("a write that took effect was reported as %s", reply.Status)
	}
	c.checkZoneStays(zone, at)
	c.await("the change to be known as accepted", func() bool {
		var known operatorapi.ChangeReply
		status := c.call(http.MethodGet, c.entries[1], operatorapi.PathChanges+"/"+string(out.ID), nil, &known)
		return status == http.StatusOK && known.Status == operatorapi.ChangeAccepted
	})
}

func TestTwoOperatorsRaceOnOneZone(t *testing.T) {
	c := startJobs(t, 2, 3)
	// An entry host accepts no change until it is a member of the roster.
	joined := c.setZone(c.entries[1], zones[1], model.ZoneIn)
	c.await("the first entry host to have the second one's change", func() bool {
		return c.configVersion(c.entries[0]) >= joined.Version
	})
	const races = 10
	for range races {
		var document model.ConfigDocument
		c.call(http.MethodGet, c.entries[0], operatorapi.PathConfig, nil, &document)
		replies := make([]operatorapi.ChangeReply, 2)
		made := make([]model.ConfigChange, 2)
		var running sync.WaitGroup
		for i, state := range []model.ZoneState{model.ZoneOut, model.ZoneIn} {
			made[i] = change("zone/"+zones[1], func(m *model.ConfigChange) {
				m.Zone, m.ExpectedVersion = state, document.ObjectVersions["zone/"+zones[1]]
			})
			running.Go(func() { c.call(http.MethodPost, c.entries[i], operatorapi.PathChanges, made[i], &replies[i]) })
		}
		running.Wait()
		accepted := 0
		for i, reply := range replies {
			switch reply.Status {
			case operatorapi.ChangeAccepted:
				accepted++
			case operatorapi.ChangeConflict:
				if reply.Winner == nil || reply.Winner.ID != made[1-i].ID {
					t.Errorf("the loser is not told of the winner: %+v", reply)
				}
			default:
				t.Errorf("operator %d got %+v", i, reply)
			}
		}
		if accepted != 1 {
			t.Fatalf("%d of two racing changes were accepted: %+v", accepted, replies)
		}
		version := max(replies[0].Version, replies[1].Version)
		c.await("both entry hosts to have the winner's version", func() bool {
			return c.configVersion(c.entries[0]) >= version && c.configVersion(c.entries[1]) >= version
		})
	}
}

func TestConfigurationIsInForceOnEachProcess(t *testing.T) {
	c := startJobs(t, 3, 4)
	reply := c.setZone(c.entries[0], zones[2], model.ZoneOut)
	at := time.Now()
	c.await("the entry hosts to act on it", func() bool {
		for _, entry := range c.entries {
			if c.configVersion(entry) < reply.Version {
				return false
			}
		}
		return true
	})
	c.await("the agents to act on it", func() bool {
		for _, agent := range c.agents {
			if !c.applied(agent, reply.Version) {
				return false
			}
		}
		return true
	})
	if took := time.Since(at); took > configBound {
		t.Errorf("in force everywhere after %v, bound %v", took, configBound)
	}
}

func TestStoreOutageStopsNeitherRequestsNorJobs(t *testing.T) {
	c := startJobs(t, 2, 3)
	c.awaitSettled()
	job := c.submit(2, longRun)
	c.awaitRunning(job, 2)
	l := c.load(8)
	c.awaitStarts(100)
	c.setStoreFaults(standin.Faults{Down: true})
	down := time.Now()
	for time.Since(down) < 2*ownerLeaseLimit {
		c.awaitStarts(100)
	}
	if ends := c.ends(job, ""); len(ends) > 0 {
		t.Errorf("the job did not run on during the outage: %+v", ends)
	}
	var reply operatorapi.ChangeReply
	out := change("zone/"+zones[0], func(made *model.ConfigChange) { made.Zone = model.ZoneOut })
	if status := c.call(http.MethodPost, c.entries[0], operatorapi.PathChanges, out, &reply); status == http.StatusOK {
		t.Errorf("a change was accepted while the store was down: %+v", reply)
	}
	c.setStoreFaults(standin.Faults{})
	c.awaitStarts(100)
	answers := l.stop()
	c.check(answers)
	failOnMissing(t, answers)
	c.checkStarts()
	c.checkGangs(job, 2)
}

// dropEntry leaves an entry host out of what the test calls from now on.
func (c *cluster) dropEntry(gone *proc) {
	var left []*proc
	for _, entry := range c.entries {
		if entry != gone {
			left = append(left, entry)
		}
	}
	c.entries = left
}

// endlessJobs keeps submitting short jobs of one task until the test ends.
func (c *cluster) endlessJobs() {
	stop := make(chan struct{})
	var running sync.WaitGroup
	entries := c.entries
	running.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			job := operatorapi.JobRequest{
				ID: model.JobID(newRequest(false).id), Account: account, DeclaredRunTimeMS: 100, Capacity: model.CapacityBorrowed,
				Shape: model.Shape{Tasks: 1, Topology: model.TopologyAny, PerTask: model.Resources{Accelerators: 4, Cores: 1, MemoryMB: 64}},
			}
			go c.call(http.MethodPost, entries[i%len(entries)], operatorapi.PathJobs, job, nil)
		}
	})
	c.t.Cleanup(func() {
		close(stop)
		running.Wait()
	})
}

// checkZoneStays watches for a while after a take-out that no task starts in
// the zone later than the bound allows.
func (c *cluster) checkZoneStays(zone string, out time.Time) {
	c.t.Helper()
	until := out.Add(zoneStartBound + 2*afterTheBound)
	c.await("the bound to pass", func() bool { return time.Now().After(until) })
	if late := c.startsAfter(zone, out.Add(zoneStartBound)); len(late) > 0 {
		c.t.Errorf("%d tasks started in zone %s later than %v after it was taken out: %+v", len(late), zone, zoneStartBound, late[0])
	}
}

func (c *cluster) setStoreFaults(faults standin.Faults) {
	c.t.Helper()
	body := standin.FaultsRequest{Service: standin.ServiceTable, Faults: faults}
	if status := c.call(http.MethodPost, c.standin, standin.PathFaults, body, nil); status != http.StatusOK {
		c.t.Fatalf("the store's switches: status %d", status)
	}
}

func (c *cluster) configVersion(p *proc) model.ConfigVersion {
	var document model.ConfigDocument
	if c.call(http.MethodGet, p, operatorapi.PathConfig, nil, &document) != http.StatusOK {
		return 0
	}
	return document.Version
}

// applied reports whether an agent's time line says that it acts on a version.
func (c *cluster) applied(p *proc, version model.ConfigVersion) bool {
	for _, e := range c.timeline(p, "") {
		if e.Code == codeApplied && e.Subject == version.String() {
			return true
		}
	}
	return false
}
