package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// stream is a replay of jobs whose runs end after their estimate and report how far they are.
type stream struct {
	*rig
	random          *rand.Rand
	jobs            int
	begun, stopping map[workload.RunID]int64
	stops           map[workload.TaskRef]int
	// discarded is the work that stops discard, in core seconds.
	discarded float64
}

func (s *stream) submit(priority, tasks, accelerators int, gang bool, estimate time.Duration) {
	s.jobs++
	s.job(jobID(s.jobs), func(j *workload.Job) {
		j.Account, j.Priority, j.SlackFactor = "bronze", priority, 4
		step := &j.Steps[0]
		step.Tasks, step.Gang, step.Estimate, step.PerTask.Accelerators = tasks, gang, estimate, accelerators
	})
}

func (s *stream) announce(host string) {
	s.worker(host, "r1", func(a *workload.Announcement) {
		for id, o := range s.orders {
			if estimate := s.core.jobs[id.Task.Job].Steps[0].Estimate; o.Host == host && s.begun[id] > 0 {
				done := 100 * (s.now.StoreMS - s.begun[id]) / estimate.Milliseconds()
				a.Running = append(a.Running, workload.RunningTask{Task: o.Task, Run: o.Run, Percent: int(min(100, done))})
			}
		}
	})
}

// endRuns ends the runs that are done, and those that are being stopped after 0.3 s.
func (s *stream) endRuns() {
	for id, o := range s.orders {
		step := s.core.jobs[id.Task.Job].Steps[0]
		ran := time.Duration(s.now.StoreMS-s.begun[id]) * time.Millisecond
		switch {
		case o.Stop && s.stopping[id] == 0:
			s.stopping[id] = s.now.StoreMS
			s.discarded += ran.Seconds() * step.PerTask.Cores()
			if !step.Gang || id.Task.Index == 0 {
				s.stops[id.Task]++
			}
		case o.Stop && s.now.StoreMS-s.stopping[id] >= 300:
			s.end(o, workload.EndStopped, "")
		case !o.Stop && ran >= step.Estimate:
			s.end(o, workload.EndDone, "")
		}
	}
}

// urgentStream replays urgent jobs beyond a guarantee that take whole workers, one each 0.8
// s or so, on six workers full of gangs and of single tasks.
func urgentStream(t *testing.T, seed uint64) *stream {
	s := &stream{
		rig: newRig(t), random: rand.New(rand.NewPCG(seed, 0)),
		begun: map[workload.RunID]int64{}, stopping: map[workload.RunID]int64{}, stops: map[workload.TaskRef]int{},
	}
	for i := range 6 {
		s.submit(1, 2, 4, true, time.Duration(8+i)*time.Second)
		s.submit(2, 10, 1, false, time.Duration(3+i)*time.Second)
	}
	for now := 0; now < 30_000; now += 100 {
		if now%800 == 0 && now > 0 {
			s.submit(0, 1+s.random.IntN(2), 8, false, time.Duration(1000+s.random.IntN(1500))*time.Millisecond)
			s.submit(1+s.random.IntN(2), 3, 2, s.random.IntN(2) == 0, 5*time.Second)
		}
		for i := range 6 {
			s.announce(fmt.Sprintf("h%d", i))
		}
		for _, o := range s.plan() {
			id, _ := o.ID()
			s.begun[id] = s.now.StoreMS
		}
		s.endRuns()
		s.advance(100 * time.Millisecond)
	}
	return s
}

// TestTheSameJobIsNotStoppedOverAndOver: urgent jobs come all the time. Failure: the gang
// that was stopped last has the least unsaved work, so each of them stops it again.
func TestTheSameJobIsNotStoppedOverAndOver(t *testing.T) {
	var total float64
	for seed := range uint64(8) {
		s := urgentStream(t, seed)
		total += s.discarded
		for task, n := range s.stops {
			if n > maxStopsForUrgent {
				t.Errorf("seed %d: %s is stopped %d times for urgent work, want at most %d", seed, task, n, maxStopsForUrgent)
			}
		}
	}
	t.Logf("%.0f core seconds are discarded in all", total)
}

// TestNewOwnerKnowsEarlierStops: the stops that a job had are not kept with the owner.
// Failure: after each change of owner, urgent work stops the job as often again.
func TestNewOwnerKnowsEarlierStops(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	r.job(jobID(1), func(j *workload.Job) { j.Steps[0].PerTask.Accelerators, j.Steps[0].Estimate = 8, 30*time.Second })
	for range maxStopsForUrgent {
		started := r.plan()
		if len(started) != 1 {
			t.Fatalf("%d runs are ordered, want 1", len(started))
		}
		r.end(started[0], workload.EndStopped, "")
	}
	r.plan()
	next := r.successor()
	next.advance(time.Second)
	next.worker("h1", "r1", nil)
	next.job("00000000000000f1", func(j *workload.Job) {
		j.Account, j.Priority, j.Steps[0].PerTask.Accelerators, j.Steps[0].Estimate = "bronze", 0, 8, 20*time.Second
	})
	next.plan()
	if n := len(next.stopping()); n != 0 {
		t.Errorf("%d runs are stopped for work beyond a guarantee, though they were stopped %d times before", n, maxStopsForUrgent)
	}
}
