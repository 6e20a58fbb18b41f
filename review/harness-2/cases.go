//go:build review

package main

import (
	"fmt"
	"math/rand"
	"strings"
	"time"
)

var tenants = []tenant{
	{"araripe", []string{"key-araripe"}, 1, map[string]int{"gpu": 8}},
	{"borborema", []string{"key-borborema"}, 1, map[string]int{"gpu": 8}},
}

var zones = []string{"caruaru", "garanhuns", "quixada"}

// small starts three entry hosts and some executors of 64 cores, 128 GB and 8 GPUs.
func (s *site) small(executors int, change func(i int, c *executorConfig)) error {
	if err := s.configure(7, tenants); err != nil {
		return err
	}
	for _, zone := range zones {
		if _, err := s.addEntry(zone); err != nil {
			return err
		}
	}
	for i := range executors {
		c := executorConfig{ID: fmt.Sprintf("i-%08x", rand.Uint32()), Zone: zones[i%3], Rack: fmt.Sprintf("r1-%d", i/3), GPU: 8, FirstPingMS: int64(i) * 200}
		if change != nil {
			change(i, &c)
		}
		if _, _, err := s.addExecutor(c); err != nil {
			return err
		}
	}
	return nil
}

// downFor is how long the executor is away: a crash and a start.
const downFor = 1200 * time.Millisecond

// restarts is how often that happens. The first pings after them are spread evenly over
// the period of the pings.
const restarts = 6

// playTwice kills an executor and starts it again under its id while short jobs come.
func playTwice(s *site, trouble bool, v *verdict) error {
	if err := s.small(8, nil); err != nil {
		return err
	}
	if err := s.settle("middle", "key-araripe", 1); err != nil {
		return err
	}
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
				go func() {
					_, _, _ = s.submit("middle", "key-araripe", "work 250ms", 3*time.Second, step{"count": 1, "cpu": 1000, "memory_request_mb": 256, "gpu": 1, "estimate_ms": 250})
				}()
			}
		}
	}()
	time.Sleep(5 * time.Second)
	for i := range restarts {
		if trouble {
			x := s.lastStarter()
			s.rec.say("executor %s is killed", x.config.ID)
			x.kill()
			s.mu.Lock()
			s.events = append(s.events, event{UnixMS: time.Now().UnixMilli(), Kind: "killed", ID: x.config.ID})
			s.mu.Unlock()
			time.Sleep(downFor)
			x.config.FirstPingMS = int64((2*i + 1) * heartbeatMS / (2 * restarts))
			s.rec.say("executor %s starts again, its first ping follows after %d ms", x.config.ID, x.config.FirstPingMS)
			if err := x.boot(); err != nil {
				return err
			}
		} else {
			time.Sleep(downFor)
		}
		time.Sleep(7 * time.Second)
	}
	close(stop)
	<-stopped
	time.Sleep(8 * time.Second)
	judgeTwice(s.seen(), v)
	return nil
}

// lastStarter returns the executor that started a task last.
func (s *site) lastStarter() *executorProcess {
	last := s.executors[0]
	for _, e := range s.seen() {
		if e.Kind == "started" {
			for _, x := range s.executors {
				if x.config.ID == e.ID {
					last = x
				}
			}
		}
	}
	return last
}

// judgeTwice checks the rule TWICE: no start of a task after a run of it has ended
// done, if that end was taken note of, and no two runs at the same time.
func judgeTwice(events []event, v *verdict) {
	type end struct {
		run   int
		at    int64
		noted bool
		where string
	}
	doneOf := map[string][]end{}
	for _, e := range events {
		switch {
		case e.Kind == "ended" && e.How == "done":
			doneOf[e.Task] = append(doneOf[e.Task], end{e.Run, e.UnixMS, false, e.ID})
		case e.Kind == "noted" && e.How == "done":
			for i := range doneOf[e.Task] {
				if d := &doneOf[e.Task][i]; d.run == e.Run && d.where == e.ID {
					d.noted = true
				}
			}
		}
	}
	runs := map[string]map[string]int{}
	for _, e := range events {
		key := fmt.Sprint(e.ID, "/", e.Run)
		switch e.Kind {
		case "started":
			for _, d := range doneOf[e.Task] {
				if d.noted && d.at < e.UnixMS {
					v.breaks("TWICE: run %d of %s started on %s %d ms after run %d had ended done on %s, whose end was taken note of", e.Run, e.Task, e.ID, e.UnixMS-d.at, d.run, d.where)
				}
			}
			for other := range runs[e.Task] {
				v.breaks("TWICE: run %d of %s started on %s while %s was running", e.Run, e.Task, e.ID, other)
			}
			if runs[e.Task] == nil {
				runs[e.Task] = map[string]int{}
			}
			runs[e.Task][key] = e.Run
		case "ended":
			delete(runs[e.Task], key)
		case "killed":
			for task := range runs {
				for other := range runs[task] {
					if strings.HasPrefix(other, e.ID+"/") {
						delete(runs[task], other)
					}
				}
			}
		}
	}
}

// reclaimMS is the bound of the rule RECLAIM.
const reclaimMS = 2700

// playYield hands in an urgent job within its tenant's guarantee while another
// tenant's lasting tasks use all that was idle.
func playYield(s *site, trouble bool, v *verdict) error {
	if err := s.small(3, nil); err != nil {
		return err
	}
	if err := s.settle("middle", "key-araripe", 1); err != nil {
		return err
	}
	width := 8
	if trouble {
		width = 24
	}
	lasting, _, err := s.submit("low", "key-araripe", "last", 10*time.Second, step{"count": width, "cpu": 1000, "memory_request_mb": 1024, "gpu": 1, "estimate_ms": 1000, "long_running": true})
	if err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	if err := s.claimGuarantee(45*time.Second, v); err != nil {
		return err
	}
	s.do("DELETE", 0, "/low/"+lasting, "key-araripe", nil)
	return nil
}

// claimGuarantee hands in a job of priority 0 that needs the 8 GPUs that its tenant is
// guaranteed, and judges the rule RECLAIM after it has completed, or after a while.
func (s *site) claimGuarantee(wait time.Duration, v *verdict) error {
	id, acked, err := s.submit("urgent", "key-borborema", "work 2500ms", 10*time.Second, step{"count": 8, "cpu": 2000, "memory_request_mb": 1024, "gpu": 1, "estimate_ms": 2500})
	if err != nil {
		return err
	}
	for until := time.Now().Add(wait); time.Now().Before(until); time.Sleep(time.Second) {
		if s.state("urgent", "key-borborema", id) == "completed" {
			break
		}
	}
	begun := map[string]int64{}
	for _, e := range s.seen() {
		if e.Kind == "started" && strings.HasPrefix(e.Task, id) && begun[e.Task] == 0 {
			begun[e.Task] = e.UnixMS
		}
	}
	inTime, never := 0, 8-len(begun)
	for _, at := range begun {
		if at-acked.UnixMilli() <= reclaimMS {
			inTime++
		}
	}
	s.rec.say("tasks of the urgent job %s: %d begun within %d ms, %d not begun at all", id, inTime, reclaimMS, never)
	if inTime < 8 {
		v.breaks("RECLAIM: %d of 8 tasks of job %s, within its tenant's guarantee, began within %d ms of the ack; %d did not begin in %.0f s", inTime, id, reclaimMS, never, time.Since(acked).Seconds())
	}
	return nil
}

// playUrgent hands in an urgent job within its tenant's guarantee while another tenant's
// urgent job, beyond its own guarantee, uses all that was idle.
func playUrgent(s *site, trouble bool, v *verdict) error {
	if err := s.small(3, nil); err != nil {
		return err
	}
	if err := s.settle("middle", "key-araripe", 1); err != nil {
		return err
	}
	width := 8
	if trouble {
		width = 24
	}
	if _, _, err := s.submit("urgent", "key-araripe", "work 11s", 10*time.Second, step{"count": width, "cpu": 1000, "memory_request_mb": 1024, "gpu": 1, "estimate_ms": 11000}); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return s.claimGuarantee(30*time.Second, v)
}

// lastingMS is how long a task that lasts may be without a run (the rule LOST): 6 s after
// its last run, and 3 s.
const lastingMS = 9000

// judgeLasting checks that each of the tasks, which last, is started again in time.
func (s *site) judgeLasting(tasks map[string]bool, beside string, v *verdict) {
	lastEnd := map[string]int64{}
	check := func(task string, until int64, what string) {
		if from := lastEnd[task]; from != 0 && until-from >= lastingMS {
			v.breaks("LOST: task %s, which lasts, had no run for %.1f s after its run had failed (%s); %s", task, float64(until-from)/1000, what, beside)
		}
	}
	for _, e := range s.seen() {
		if !tasks[e.Task] {
			continue
		}
		switch e.Kind {
		case "started":
			check(e.Task, e.UnixMS, "then it was started again")
			lastEnd[e.Task] = 0
		case "ended":
			lastEnd[e.Task] = e.UnixMS
		}
	}
	for task := range tasks {
		check(task, time.Now().UnixMilli(), "still none at the end")
	}
}

// playServing lets an urgent task that lasts, within its tenant's guarantee, fail once
// while tasks of a job of low priority wait for room.
func playServing(s *site, trouble bool, v *verdict) error {
	if err := s.small(3, nil); err != nil {
		return err
	}
	if err := s.settle("middle", "key-araripe", 1); err != nil {
		return err
	}
	spec := "last"
	if trouble {
		spec = "last fail 15s"
	}
	id, _, err := s.submit("urgent", "key-borborema", spec, 10*time.Second, step{"count": 1, "cpu": 2000, "memory_request_mb": 1024, "gpu": 8, "estimate_ms": 1000, "long_running": true})
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if _, _, err := s.submit("low", "key-araripe", "work 11s", 10*time.Second, step{"count": 40, "cpu": 2000, "memory_request_mb": 1024, "gpu": 8, "estimate_ms": 11000}); err != nil {
		return err
	}
	time.Sleep(75 * time.Second)
	s.judgeLasting(map[string]bool{id + ".0.0.0": true}, "its job has priority 0 and is within its tenant's guarantee, all else has priority 2", v)
	return nil
}

// playSpread lets tasks of one tenant that last fail, on any executor, and then claims the
// guarantee of another tenant.
func playSpread(s *site, trouble bool, v *verdict) error {
	if err := s.small(3, nil); err != nil {
		return err
	}
	if err := s.settle("middle", "key-araripe", 1); err != nil {
		return err
	}
	spec := "last"
	if trouble {
		spec = "last fail 10s"
	}
	tasks := map[string]bool{}
	for range 2 {
		id, _, err := s.submit("low", "key-araripe", spec, 10*time.Second, step{"count": 3, "cpu": 1000, "memory_request_mb": 1024, "gpu": 1, "estimate_ms": 1000, "long_running": true, "max_per_server": 1})
		if err != nil {
			return err
		}
		for i := range 3 {
			tasks[fmt.Sprintf("%s.0.0.%d", id, i)] = true
		}
		time.Sleep(2 * time.Second)
	}
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if s.failedThrice(tasks) {
			time.Sleep(time.Second)
			break
		}
	}
	if err := s.claimGuarantee(32*time.Second, v); err != nil {
		return err
	}
	s.judgeLasting(tasks, "the executors were ready and mostly free", v)
	return nil
}

// failedThrice reports whether each of the tasks has failed three times.
func (s *site) failedThrice(tasks map[string]bool) bool {
	failed := map[string]int{}
	for _, e := range s.seen() {
		if tasks[e.Task] && e.Kind == "ended" {
			failed[e.Task]++
		}
	}
	for task := range tasks {
		if failed[task] < 3 {
			return false
		}
	}
	return true
}

// cancelMS and stopTimeoutMS are the bounds of the rule UNASKED.
const (
	cancelMS      = 3000
	stopTimeoutMS = 200
)

// playCancel cancels a job whose submission got no definite answer, because the store
// carries out the write late, and looks whether its tasks are started or run on.
func playCancel(s *site, trouble bool, v *verdict) error {
	if err := s.small(3, nil); err != nil {
		return err
	}
	if err := s.settle("middle", "key-araripe", 1); err != nil {
		return err
	}
	id := newID()
	const lasts = 4500 * time.Millisecond
	if trouble {
		s.late.begin(lasts, 5*time.Second, func(body []byte) bool { return strings.Contains(writtenKeys(body), "job/"+id) })
	}
	over := time.Now().Add(lasts)
	status, _ := s.do("POST", 0, "/middle/"+id, "key-araripe", map[string]any{"spec": "work 10s", "steps": []step{
		{"count": 2, "cpu": 2000, "memory_request_mb": 512, "gpu": 1, "estimate_ms": 10000},
		{"count": 2, "cpu": 2000, "memory_request_mb": 512, "gpu": 1, "estimate_ms": 10000, "after": []int{0}}}})
	if status == 429 || status == 503 {
		return fmt.Errorf("the job was rejected: %w", errNotRun)
	}
	acked := time.Time{}
	for i := 0; acked.IsZero() && i < 30; i++ {
		if status, _ := s.do("DELETE", 1+i, "/middle/"+id, "key-araripe", nil); status/100 == 2 || status == 410 {
			acked = time.Now()
			s.rec.say("the cancellation is acknowledged with %d", status)
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	if acked.IsZero() {
		return fmt.Errorf("the cancellation was not acknowledged: %w", errNotRun)
	}
	time.Sleep(30 * time.Second)
	s.state("middle", "key-araripe", id)
	s.rec.say("while answers were lost: %d writes, %d of them late", s.late.writes, s.late.late)
	// From contactMS after the disruption on, calm machines are in touch.
	calm := max(over.Add(contactMS*time.Millisecond).UnixMilli(), acked.UnixMilli()+cancelMS)
	began := map[string]int64{}
	for _, e := range s.seen() {
		if !strings.HasPrefix(e.Task, id) {
			continue
		}
		switch e.Kind {
		case "started":
			began[e.Task] = e.UnixMS
			if e.UnixMS > calm {
				v.breaks("UNASKED: task %s was started %.1f s after the job's cancelling was acknowledged", e.Task, float64(e.UnixMS-acked.UnixMilli())/1000)
			}
		case "ended":
			if began[e.Task] <= calm && e.UnixMS > calm+stopTimeoutMS {
				v.breaks("UNASKED: task %s ran on until %.1f s after the job's cancelling was acknowledged, and ended %s", e.Task, float64(e.UnixMS-acked.UnixMilli())/1000, e.How)
			}
		}
	}
	return nil
}

// contactMS is how long after a disruption calm machines are in touch again.
const contactMS = 3000
