package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// urgentStream replays urgent jobs beyond a guarantee that take whole workers, one each 0.8
// s or so, on six workers full of gangs and of single tasks. It returns the core seconds
// that stops discard and the most stops of one task or gang.
func urgentStream(t *testing.T, seed uint64) (discarded float64, mostStops int) {
	r, random := newRig(t), rand.New(rand.NewPCG(seed, 0))
	begun, stopping := map[workload.RunID]int64{}, map[workload.RunID]int64{}
	stops := map[workload.TaskRef]int{}
	next := 0
	submit := func(priority, tasks, accelerators int, gang bool, estimate time.Duration) {
		next++
		r.job(jobID(next), func(j *workload.Job) {
			j.Account, j.Priority, j.SlackFactor = "bronze", priority, 4
			step := &j.Steps[0]
			step.Tasks, step.Gang, step.Estimate, step.PerTask.Accelerators = tasks, gang, estimate, accelerators
		})
	}
	for i := range 6 {
		submit(1, 2, 4, true, time.Duration(8+i)*time.Second)
		submit(2, 10, 1, false, time.Duration(3+i)*time.Second)
	}
	for now := 0; now < 30_000; now += 100 {
		if now%800 == 0 && now > 0 {
			submit(0, 1+random.IntN(2), 8, false, time.Duration(1000+random.IntN(1500))*time.Millisecond)
			submit(1+random.IntN(2), 3, 2, random.IntN(2) == 0, 5*time.Second)
		}
		for i := range 6 {
			r.worker(fmt.Sprintf("h%d", i), "r1", func(a *workload.Announcement) {
				for id, o := range r.orders {
					if estimate := r.core.jobs[id.Task.Job].Steps[0].Estimate; o.Host == a.Host && begun[id] > 0 {
						a.Running = append(a.Running, workload.RunningTask{Task: o.Task, Run: o.Run, Percent: int(min(100, 100*(r.now.StoreMS-begun[id])/estimate.Milliseconds()))})
					}
				}
			})
		}
		for _, o := range r.plan() {
			id, _ := o.ID()
			begun[id] = r.now.StoreMS
		}
		for id, o := range r.orders {
			step := r.core.jobs[id.Task.Job].Steps[0]
			ran := time.Duration(r.now.StoreMS-begun[id]) * time.Millisecond
			switch {
			case o.Stop && stopping[id] == 0:
				stopping[id] = r.now.StoreMS
				discarded += ran.Seconds() * step.PerTask.Cores()
				if !step.Gang || id.Task.Index == 0 {
					stops[id.Task]++
					mostStops = max(mostStops, stops[id.Task])
				}
			case o.Stop && r.now.StoreMS-stopping[id] >= 300:
				r.end(o, workload.EndStopped, "")
			case !o.Stop && ran >= step.Estimate:
				r.end(o, workload.EndDone, "")
			}
		}
		r.advance(100 * time.Millisecond)
	}
	return discarded, mostStops
}

// TestTheSameJobIsNotStoppedOverAndOver: urgent jobs come all the time. Failure: the gang
// that was stopped last has the least unsaved work, so each of them stops it again.
func TestTheSameJobIsNotStoppedOverAndOver(t *testing.T) {
	var total float64
	for seed := range uint64(8) {
		discarded, most := urgentStream(t, seed)
		total += discarded
		if most > maxStopsForUrgent {
			t.Errorf("seed %d: a task or gang is stopped %d times for urgent work, want at most %d", seed, most, maxStopsForUrgent)
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
