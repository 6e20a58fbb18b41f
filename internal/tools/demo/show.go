package main

import (
	"fmt"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/tools/localregion"
)

// Bounds that the demo holds the system to.
const (
	zoneBound = 3 * time.Second
	// gangBound is the 1.3 s of decision and message time and the grace for
	// the checkpoints of evicted tasks.
	gangBound  = 1300*time.Millisecond + checkpointGrace
	startLimit = 15 * time.Second

	checkpointGrace = 2 * time.Second
)

// show is the sequence of the demo's steps.
type show struct {
	region *localregion.Region
	began  time.Time
	load   *load
	jobs   []string
	broken []string
}

func (s *show) say(format string, args ...any) {
	fmt.Printf("%6.2fs  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// promise notes a promise that was not kept.
func (s *show) promise(kept bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if kept {
		s.say("kept: %s", text)
		return
	}
	s.say("BROKEN: %s", text)
	s.broken = append(s.broken, text)
}

func (s *show) run() error {
	steps := []struct {
		name string
		do   func() error
	}{
		{"start the region", s.startRegion},
		{"serve requests through each entry host", s.serveRequests},
		{"reclaim a guaranteed shape for a gang", s.runGang},
		{"take a zone out and back", s.changeZone},
		{"stop an entry host gracefully under load", s.stopEntry},
		{"stop an agent gracefully under load", s.stopAgent},
		{"kill an agent during the work", s.killAgent},
		{"report", s.report},
	}
	for _, step := range steps {
		s.say("== %s", step.name)
		if err := step.do(); err != nil {
			return errors.Wrap(err, step.name)
		}
	}
	if len(s.broken) > 0 {
		return errors.Newf("%d promises were not kept: %s", len(s.broken), strings.Join(s.broken, "; "))
	}
	s.say("all promises shown were kept")
	return nil
}

func (s *show) startRegion() error {
	if err := s.region.Start(); err != nil {
		return err
	}
	if err := s.region.Configure(startLimit); err != nil {
		return err
	}
	s.load = &load{r: s.region, accounts: []string{"judges", "cooperatives", "producers", "organisers"}}
	for entry := range s.region.Deployment.Entries {
		if err := s.load.waitFor(entry, startLimit); err != nil {
			return err
		}
	}
	s.say("%d entry hosts and %d agents in zones %s serve", s.region.Deployment.Entries, s.region.Deployment.Agents, join(s.region.Deployment.Zones))
	return nil
}

func (s *show) allEntries() []int {
	var all []int
	for i := range s.region.Deployment.Entries {
		all = append(all, i)
	}
	return all
}

func (s *show) serveRequests() error {
	const count, callers = 300, 32
	s.load.run(count, callers, s.allEntries(), nil)
	answered := s.load.table()["answered"]
	s.promise(answered == count, "%d of %d requests got their whole answer", answered, count)
	first := s.load.requests[0]
	again := &sent{id: first.id, account: first.account, idempotent: first.idempotent, body: first.body}
	s.load.post(again, 1)
	ran, err := s.load.ran()
	if err != nil {
		return err
	}
	s.promise(again.answer == first.answer && ran[first.id] == 1, "a request sent again through another entry host got the first run's answer")
	return nil
}

// runGang fills the fleet with borrowed work and then claims a guaranteed shape.
func (s *show) runGang() error {
	for i := range s.region.Deployment.Agents {
		if err := s.submit(fmt.Sprintf("borrowed-%d", i+1), "--account", "organisers", "--accelerators", "8", "--cores", "32",
			"--memory-mb", "65536", "--run-time", "8s", "--checkpoint"); err != nil {
			return err
		}
	}
	full := func() bool { return s.countRunning() == s.region.Deployment.Agents }
	if err := localregion.Await("borrowed work fills the fleet", startLimit, full); err != nil {
		return err
	}
	began := time.Now()
	if err := s.submit("scoring", "--account", "judges", "--guaranteed", "--tasks", "2", "--accelerators", "8", "--cores", "32",
		"--memory-mb", "65536", "--topology", "rack", "--run-time", "4s"); err != nil {
		return err
	}
	if err := localregion.Await("the gang runs", startLimit, func() bool { return s.state("scoring") == "running" }); err != nil {
		return err
	}
	took := time.Since(began)
	s.promise(took <= gangBound, "the guaranteed gang ran %.2f s after it was submitted, on a full fleet", took.Seconds())
	return nil
}

func (s *show) changeZone() error {
	zone := string(s.region.Deployment.Zones[1])
	if _, err := s.region.Ctl("zone", "out", zone); err != nil {
		return err
	}
	out := time.Now()
	for i := range 3 {
		if err := s.submit(fmt.Sprintf("during-%d", i+1), "--account", "producers", "--accelerators", "2", "--run-time", "2s"); err != nil {
			return err
		}
	}
	const outFor = 5 * time.Second
	time.Sleep(outFor)
	late, err := s.startsInZone(zone, out.Add(zoneBound))
	if err != nil {
		return err
	}
	s.promise(late == 0, "no task started in %s more than %s after it was taken out (%d did)", zone, zoneBound, late)
	// Tasks may start before the command returns, so the time is taken first.
	back := time.Now()
	if _, err := s.region.Ctl("zone", "in", zone); err != nil {
		return err
	}
	resumed := localregion.Await("work resumes in "+zone, startLimit, func() bool {
		starts, err := s.startsInZone(zone, back)
		return err == nil && starts > 0
	})
	s.promise(resumed == nil, "work resumed in %s %.2f s after it came back", zone, time.Since(back).Seconds())
	return nil
}

func (s *show) killAgent() error {
	const count, callers = 300, 32
	victim := s.region.Agents[s.region.Deployment.Agents-1]
	s.load.run(count, callers, s.allEntries()[:s.region.Deployment.Entries-1], func() {
		victim.Signal(syscall.SIGKILL)
		s.say("killed %s", victim.Name)
	})
	return s.checkLoad()
}

func (s *show) stopEntry() error {
	const count, callers = 300, 32
	last := s.region.Deployment.Entries - 1
	others := s.allEntries()[:last]
	before := len(s.load.requests)
	stopping := s.region.Entries[last]
	// The balancer sends nothing to a host once its health check fails, so the
	// requests of this host end with the signal.
	s.load.run(count, callers, s.allEntries(), nil)
	s.load.run(count, callers, others, func() { stopping.Signal(syscall.SIGTERM) })
	s.promise(stopping.AwaitExit(startLimit), "%s stopped by itself", stopping.Name)
	cut := 0
	for _, r := range s.load.requests[before:] {
		if r.outcome == "cut off" {
			cut++
		}
	}
	s.promise(cut == 0, "the planned stop cut off no request (%d were)", cut)
	return s.checkLoad()
}

// stopAgent stops an agent while requests come in, and expects that each of
// them is answered as if nothing had happened.
func (s *show) stopAgent() error {
	const count, callers = 600, 16
	others := s.allEntries()[:s.region.Deployment.Entries-1]
	stopping := s.region.Agents[2]
	before := len(s.load.requests)
	s.load.run(count, callers, others, func() { stopping.Signal(syscall.SIGTERM) })
	s.promise(stopping.AwaitExit(startLimit), "%s stopped by itself", stopping.Name)
	s.load.run(count, callers, others, nil)
	answered := 0
	for _, r := range s.load.requests[before:] {
		if r.outcome == "answered" {
			answered++
		}
	}
	s.promise(answered == 2*count, "%d of %d requests were answered around an agent's planned stop", answered, 2*count)
	return s.checkLoad()
}

// checkLoad compares all outcomes so far with what the backend servers ran.
func (s *show) checkLoad() error {
	ran, err := s.load.ran()
	if err != nil {
		return err
	}
	broken := s.load.check(ran)
	for _, line := range broken {
		s.say("%s", line)
	}
	s.promise(len(broken) == 0, "%d requests: each has one true outcome, non-idempotent ones ran at most once", len(s.load.requests))
	return nil
}

func (s *show) report() error {
	ended := localregion.Await("all jobs end", startLimit, func() bool { return s.countEnded() == len(s.jobs) })
	list, err := s.region.Ctl("job", "list")
	if err != nil {
		return err
	}
	fmt.Println("\nJobs:\n" + list)
	s.promise(ended == nil, "%d of %d jobs ended", s.countEnded(), len(s.jobs))
	explained, err := s.region.Ctl("job", "explain", "scoring")
	if err != nil {
		return err
	}
	fmt.Println("\nWhy the gang ran where it did:\n" + explained)
	fmt.Println("Requests by outcome:")
	counts := s.load.table()
	var keys []string
	for key := range counts {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		fmt.Printf("  %6d  %s\n", counts[key], key)
	}
	for _, r := range s.load.requests {
		if r.outcome != "answered" {
			fmt.Printf("          %s %s (%s), come back in %s s\n", r.id, r.outcome, r.reason, r.retryAfter)
		}
	}
	return s.timeline()
}

// timeline prints the merged time line of the gang and of the zone that left.
func (s *show) timeline() error {
	for _, filter := range [][]string{{"--job", "scoring"}, {"--zone", string(s.region.Deployment.Zones[1])}} {
		lines, err := s.region.Ctl(append([]string{"timeline"}, filter...)...)
		if err != nil && lines == "" {
			return err
		}
		fmt.Printf("\nMerged time line, %s:\n%s\n", strings.Join(filter, " "), lines)
	}
	return nil
}
