package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// stream is a replay of jobs whose runs end after their estimate and report how far they are.
type stream struct {
	*replay
	random   *rand.Rand
	jobs     int
	stopping map[workload.RunID]int64
	stops    map[workload.TaskRef]int
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

// endStopped ends the runs that are being stopped, after 0.3 s.
func (s *stream) endStopped() {
	s.runs = slices.DeleteFunc(s.runs, func(run *replayRun) bool {
		step := s.core.jobs[run.id.Task.Job].Steps[0]
		switch {
		case !s.orders[run.id].Stop:
			return false
		case s.stopping[run.id] == 0:
			s.stopping[run.id] = s.now.StoreMS
			s.discarded += (run.work - run.left) * step.PerTask.Cores()
			if !step.Gang || run.id.Task.Index == 0 {
				s.stops[run.id.Task]++
			}
			return false
		case s.now.StoreMS-s.stopping[run.id] < 300:
			return false
		}
		s.end(run.Order, workload.EndStopped, "")
		return true
	})
}

// urgentStream replays urgent jobs beyond a guarantee that take whole workers, one each 0.8
// s or so, on six workers full of gangs and of single tasks.
func urgentStream(t *testing.T, seed uint64) *stream {
	s := &stream{random: rand.New(rand.NewPCG(seed, 0)), stopping: map[workload.RunID]int64{}, stops: map[workload.TaskRef]int{}}
	s.replay = &replay{rig: newRig(t), pace: func(run *replayRun) float64 {
		if s.orders[run.id].Stop {
			return 0
		}
		return 1
	}}
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
			s.report(fmt.Sprintf("h%d", i), "r1")
		}
		s.begin(s.estimated)
		s.endStopped()
		s.advance(100 * time.Millisecond)
		s.pass(100 * time.Millisecond)
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
