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

// playTwice kills an executor and starts it again under its id while short jobs come.
func playTwice(s *site, trouble bool, v *verdict) error {
	if err := s.small(3, nil); err != nil {
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
	for range 4 {
		if trouble {
			x := s.lastStarter()
			s.rec.say("executor %s is killed", x.config.ID)
			x.kill()
			s.mu.Lock()
			s.events = append(s.events, event{UnixMS: time.Now().UnixMilli(), Kind: "killed", ID: x.config.ID})
			s.mu.Unlock()
			time.Sleep(downFor)
			x.config.FirstPingMS = int64(rand.Intn(heartbeatMS))
			s.rec.say("executor %s starts again, its first ping follows after %d ms", x.config.ID, x.config.FirstPingMS)
			if err := x.boot(); err != nil {
				return err
			}
		} else {
			time.Sleep(downFor)
		}
		time.Sleep(9 * time.Second)
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

// playRestart lets tasks that last fail, on the only executor with the label that they
// require.
func playRestart(s *site, trouble bool, v *verdict) error {
	if err := s.small(3, func(i int, c *executorConfig) {
		if i == 0 {
			c.Labels = []string{"camera"}
		}
	}); err != nil {
		return err
	}
	if err := s.settle("middle", "key-araripe", 1); err != nil {
		return err
	}
	spec := "last"
	if trouble {
		spec = "last fail 12s"
	}
	tasks := map[string]bool{}
	for range 2 {
		id, _, err := s.submit("middle", "key-araripe", spec, 10*time.Second, step{"count": 1, "cpu": 1000, "memory_request_mb": 1024, "gpu": 1, "estimate_ms": 1000, "long_running": true, "required_label": "camera"})
		if err != nil {
			return err
		}
		tasks[id+".0.0.0"] = true
		time.Sleep(4 * time.Second)
	}
	time.Sleep(66 * time.Second)
	now := time.Now().UnixMilli()
	lastEnd := map[string]int64{}
	check := func(task string, until int64, what string) {
		if from := lastEnd[task]; from != 0 && until-from >= 9000 {
			v.breaks("LOST: task %s, which lasts, had no run for %.1f s after its run had failed (%s); the only executor with its label was ready, with 6 of 8 GPUs or more free", task, float64(until-from)/1000, what)
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
		check(task, now, "still none at the end")
	}
	return nil
}

// finishS is the bound after the end of the traffic, and idleMS how long a job may then
// have nothing running (the rule LOST).
const (
	finishS = 14
	idleMS  = 3000
)

// playCrash lets one of three executors crash for good while small jobs come, and looks
// at the jobs after the end of the traffic.
func playCrash(s *site, trouble bool, v *verdict) error {
	if err := s.small(3, nil); err != nil {
		return err
	}
	if err := s.settle("middle", "key-araripe", 1); err != nil {
		return err
	}
	small := step{"count": 1, "cpu": 2000, "memory_request_mb": 512, "gpu": 1, "estimate_ms": 1000}
	if _, _, err := s.submit("middle", "key-araripe", "work 1s", 10*time.Second, small); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		x := s.lastStarter()
		s.rec.say("executor %s crashes and stays away", x.config.ID)
		x.kill()
	}
	time.Sleep(12 * time.Second)
	ids := []string{}
	for range 5 {
		id, _, err := s.submit("middle", "key-araripe", "work 1s", 10*time.Second, small)
		if err != nil {
			return err
		}
		ids = append(ids, id)
		time.Sleep(3 * time.Second)
	}
	s.rec.say("end of the traffic")
	time.Sleep(finishS * time.Second)
	from := time.Now()
	time.Sleep(idleMS * time.Millisecond)
	for _, id := range ids {
		state := s.state("middle", "key-araripe", id)
		busy, starts := false, 0
		began := map[string]int64{}
		for _, e := range s.seen() {
			if !strings.HasPrefix(e.Task, id) {
				continue
			}
			switch e.Kind {
			case "started":
				starts++
				began[e.Task] = e.UnixMS
			case "ended":
				busy = busy || e.UnixMS >= from.UnixMilli()
				delete(began, e.Task)
			}
		}
		busy = busy || len(began) > 0
		if state != "completed" && !busy {
			v.breaks("LOST: job %s is %s %d s after the end of the traffic and had nothing running for %d ms, after %d starts; two of three executors are ready and idle", id, state, finishS, idleMS, starts)
		}
	}
	return nil
}

// playLong hands in a job of one long task whose estimate is too low, on the only executor
// with the label that it requires, and looks at it after the end of the traffic, which is
// this job.
func playLong(s *site, trouble bool, v *verdict) error {
	if err := s.small(3, func(i int, c *executorConfig) {
		if i == 0 {
			c.Labels = []string{"camera"}
		}
	}); err != nil {
		return err
	}
	if err := s.settle("middle", "key-araripe", 1); err != nil {
		return err
	}
	estimate := 600000
	if trouble {
		estimate = 75000
	}
	id, acked, err := s.submit("middle", "key-araripe", "work 600s", 10*time.Second, step{"count": 1, "cpu": 2000, "memory_request_mb": 512, "gpu": 1, "estimate_ms": estimate, "required_label": "camera"})
	if err != nil {
		return err
	}
	s.rec.say("end of the traffic")
	time.Sleep(80 * time.Second)
	s.state("middle", "key-araripe", id)
	from, until := acked.UnixMilli()+finishS*1000, time.Now().UnixMilli()
	idleSince, began, longest, starts, stops := acked.UnixMilli(), int64(0), int64(0), 0, 0
	idle := func(to int64) {
		if since := max(idleSince, from); idleSince != 0 && to-since >= idleMS {
			v.breaks("LOST: job %s had nothing running for %.1f s, from %.1f s after the end of the traffic on; the executor with its label was ready and had nothing else to do", id, float64(to-since)/1000, float64(since-acked.UnixMilli())/1000)
		}
	}
	for _, e := range s.seen() {
		if !strings.HasPrefix(e.Task, id) {
			continue
		}
		switch e.Kind {
		case "started":
			idle(e.UnixMS)
			idleSince, began = 0, e.UnixMS
			starts++
		case "ended":
			idleSince = e.UnixMS
			longest = max(longest, e.UnixMS-began)
			if e.How == "stopped" {
				stops++
			}
		}
	}
	idle(until)
	s.rec.say("job %s: %d starts, %d runs stopped, the longest of these after %.1f s of 600 s", id, starts, stops, float64(longest)/1000)
	return nil
}
