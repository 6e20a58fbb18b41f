package proctest

import (
	"bytes"
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/tablestore"
)

// storeOutage is how long the table service stays down.
const storeOutage = 6 * time.Second

// change sends a change of the tests' client account through an entry host and
// returns the HTTP status.
func (c *cluster) change(entry *proc, id string, expected model.ConfigVersion) (int, operatorapi.ChangeReply) {
	c.t.Helper()
	body, err := json.Marshal(model.ConfigChange{
		ID: model.ChangeID(id), Object: "account/" + account, ExpectedVersion: expected,
		Account: &model.ClientAccount{ID: account, Weight: 1, MaxQueued: 1000},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := c.client.Post("http://"+entry.http+operatorapi.PathChanges, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, operatorapi.ChangeReply{}
	}
	defer func() { _ = response.Body.Close() }()
	var reply operatorapi.ChangeReply
	_ = json.NewDecoder(response.Body).Decode(&reply)
	return response.StatusCode, reply
}

// awaitEstablished waits until each entry host accepts a change after a former
// one. In an outage hosts rely on members that were established before it.
func (c *cluster) awaitEstablished(reply operatorapi.ChangeReply) operatorapi.ChangeReply {
	c.t.Helper()
	for _, entry := range c.entries {
		former := reply.Version
		c.await(entry.name+" to accept a change", func() bool {
			var status int
			status, reply = c.change(entry, "established-"+entry.name, former)
			return status == http.StatusOK && reply.Status == operatorapi.ChangeAccepted
		})
	}
	return reply
}

// TestTableServiceOutageUnderLoad takes the table service down and brings it
// back while callers go on. No change is reported as accepted meanwhile, and all
// processes together stay within the services' limits.
func TestTableServiceOutageUnderLoad(t *testing.T) {
	c := startCluster(t, 3, 3, time.Millisecond)
	c.awaitSettled()
	status, reply := c.change(c.entries[0], "before", 0)
	if status != http.StatusOK || reply.Status != operatorapi.ChangeAccepted {
		t.Fatalf("a change before the outage: %d %+v", status, reply)
	}
	reply = c.awaitEstablished(reply)
	l := c.load(6)
	c.setStoreFaults(standin.Faults{Down: true})
	for _, entry := range c.entries {
		if status, reply := c.change(entry, "during-"+entry.name, reply.Version); status == http.StatusOK {
			t.Errorf("%s accepted a change in an outage: %+v", entry.name, reply)
		}
	}
	// Longer than permits and leases last, so that neither carries it over.
	for began := time.Now(); time.Since(began) < storeOutage; {
		c.awaitStarts(300)
	}
	c.setStoreFaults(standin.Faults{})
	c.await("a change to be accepted again", func() bool {
		status, _ := c.change(c.entries[1], "after", reply.Version)
		return status == http.StatusOK
	})
	c.awaitStarts(300)
	answers := l.stop()
	c.check(answers)
	answered := 0
	for _, a := range answers {
		if a.Status == http.StatusOK {
			answered++
		}
	}
	if answered < len(answers)*95/100 {
		t.Errorf("%d of %d requests were answered", answered, len(answers))
	}
	var stats standin.Stats
	c.await("the load of the table service", func() bool { return c.getJSON(c.standin.http, standin.PathStats, &stats) })
	t.Logf("%d of %d requests answered; table service: %+v", answered, len(answers), stats)
	if stats.Writes.Peak > tablestore.MaxWritesPerSecond || stats.Reads.Peak > tablestore.MaxReadsPerSecond {
		t.Errorf("peak of %d writes and %d reads a second", stats.Writes.Peak, stats.Reads.Peak)
	}
}

// elections counts how often a process became the owner of the region.
func (c *cluster) elections(p *proc) int {
	count := 0
	for _, e := range c.timeline(p, "") {
		if e.Code == int(event.OwnerElected) {
			count++
		}
	}
	return count
}

// TestKilledOwnerIsReplaced kills the owner of the region's scheduler.
func TestKilledOwnerIsReplaced(t *testing.T) {
	c := startCluster(t, 3, 1, time.Millisecond)
	var owner *proc
	var others []*proc
	c.await("an owner", func() bool {
		owner, others = nil, nil
		for _, entry := range c.entries {
			if c.elections(entry) > 0 {
				owner = entry
			} else {
				others = append(others, entry)
			}
		}
		return owner != nil && len(others) == 2
	})
	c.signal(owner, syscall.SIGKILL)
	killed := time.Now()
	c.await("another owner", func() bool { return c.elections(others[0])+c.elections(others[1]) > 0 })
	t.Logf("another owner after %v", time.Since(killed).Round(10*time.Millisecond))
	if c.elections(others[0])+c.elections(others[1]) > 1 {
		t.Error("both others became owners")
	}
}

// TestNewHostBesideDeadOnes lets entry hosts die before any other is established
// and starts a new one. It accepts a change and owns the scheduler in seconds,
// not after the time for which members may rely on each other in an outage.
func TestNewHostBesideDeadOnes(t *testing.T) {
	for name, dead := range map[string]int{"one": 1, "two, one after the other": 2} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "", dead+1, 1, time.Millisecond)
			c.start(c.standin, "dragonfly-standin")
			for i := range dead {
				c.start(c.entries[i], "dragonfly-entry")
				c.await("the host to accept a change", func() bool {
					return c.accepts(c.entries[i], i)
				})
				c.signal(c.entries[i], syscall.SIGKILL)
				c.awaitExit(c.entries[i])
			}
			last := c.entries[dead]
			at := time.Now()
			c.start(last, "dragonfly-entry")
			c.await("the new host to accept a change", func() bool { return c.accepts(last, dead) })
			t.Logf("the new host accepted a change %v after its start", time.Since(at).Round(time.Millisecond))
			c.await("an owner", func() bool { return c.elections(last) > 0 })
		})
	}
}

// accepts reports whether an entry host accepts a change of the tests' client
// account after a number of others, which are all that were made.
func (c *cluster) accepts(entry *proc, made int) bool {
	status, reply := c.change(entry, "by-"+entry.name, model.ConfigVersion(made))
	return status == http.StatusOK && reply.Status == operatorapi.ChangeAccepted
}
