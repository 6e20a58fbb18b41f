package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// largeJob returns a job that fills two test workers.
func largeJob(id string, account model.ClientAccountID, run time.Duration) model.Job {
	j := checkpointingJob(id, 2, 8)
	j.Account = account
	j.DeclaredRunTime = run
	return j
}

func TestShortLargeJobOvertakesLongOne(t *testing.T) {
	f := newTestFleet(t, testAccounts(), testWorker("w1"), testWorker("w2"))
	blocker := largeJob("blocker", "a", time.Hour)
	blocker.CanCheckpoint = false
	f.submit(blocker, largeJob("long", "b", 2*time.Hour))
	f.advance(time.Minute)
	f.submit(largeJob("short", "a", 5*time.Minute))
	for range 10 {
		f.advance(time.Minute)
	}
	f.endTasks("blocker", wire.TaskFinished)
	f.wantPhase("short", PhaseRunning)
	f.wantPhase("long", PhaseQueued)
}

func TestLargeJobYieldsToHigherSlowdown(t *testing.T) {
	f := newTestFleet(t, testAccounts(), testWorker("w1"), testWorker("w2"))
	f.submit(largeJob("long", "a", 2*time.Hour), largeJob("short", "b", 5*time.Minute))
	f.advance(4 * time.Minute)
	f.wantPhase("long", PhaseRunning)
	for range 3 {
		f.advance(time.Minute)
	}
	f.wantPhase("short", PhaseRunning)
	f.wantPhase("long", PhaseQueued)
	if len(f.stops) != 2 || f.stops[0].GraceMS == 0 {
		t.Errorf("%d tasks stopped, want 2 with time for a checkpoint", len(f.stops))
	}
	for range 4 {
		f.advance(time.Minute)
	}
	f.wantPhase("short", PhaseRunning)
}

// TestLargeJobsAllEnd guards against starvation and repeated preemption among
// large jobs. It submits large jobs of random length in random order, checks
// the core's invariants after each step, and verifies that every job ends and
// that none is preempted more often than the limit.
func TestLargeJobsAllEnd(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 5))
			f := newTestFleet(t, testAccounts(), testWorker("w1"), testWorker("w2"), testWorker("w3"), testWorker("w4"))
			left := map[model.JobID]time.Duration{}
			accounts := []model.ClientAccountID{"a", "b"}
			for step := 0; step < 16 || len(left) > 0; step++ {
				if step > 4000 {
					t.Fatalf("%d jobs have not ended after 4000 steps", len(left))
				}
				if step < 16 {
					id := fmt.Sprintf("j%02d", step)
					run := time.Duration(1+rng.IntN(60)) * time.Minute
					f.submit(largeJob(id, accounts[rng.IntN(2)], run))
					left[model.JobID(id)] = run
				}
				f.runFor(30*time.Second, left)
			}
		})
	}
}

// runFor advances the clock and finishes the jobs whose remaining run time has
// elapsed.
func (f *testFleet) runFor(d time.Duration, left map[model.JobID]time.Duration) {
	f.advance(d)
	for _, j := range f.core.inPhase(PhaseRunning) {
		id := j.Job.ID
		if left[id] -= d; left[id] <= 0 {
			delete(left, id)
			f.endTasks(id, wire.TaskFinished)
		}
		if j.Preemptions > f.core.settings.MaxPreemptions {
			f.t.Fatalf("job %s was preempted %d times, more than the limit", id, j.Preemptions)
		}
	}
}
