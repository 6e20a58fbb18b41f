package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// largeJob returns a job that fills two workers.
func largeJob(id string, account model.ClientAccountID, run time.Duration) model.Job {
	j := checkpointing(id, 2, 8)
	j.Account = account
	j.DeclaredRunTime = run
	return j
}

func TestShortLargeJobOvertakesLongOne(t *testing.T) {
	f := newTestFleet(t, testAccounts(), testWorker("w1"), testWorker("w2"))
	blocker := largeJob("blocker", "a", time.Hour)
	blocker.CanCheckpoint = false
	f.submit(blocker, largeJob("long", "b", 2*time.Hour))
	f.pass(time.Minute)
	f.submit(largeJob("short", "a", 5*time.Minute))
	for range 10 {
		f.pass(time.Minute)
	}
	f.end("blocker", wire.TaskFinished)
	f.wantPhase("short", PhaseRunning)
	f.wantPhase("long", PhaseQueued)
}

func TestLargeJobYieldsToOneFarBehind(t *testing.T) {
	f := newTestFleet(t, testAccounts(), testWorker("w1"), testWorker("w2"))
	f.submit(largeJob("long", "a", 2*time.Hour), largeJob("short", "b", 5*time.Minute))
	f.pass(4 * time.Minute)
	f.wantPhase("long", PhaseRunning)
	for range 3 {
		f.pass(time.Minute)
	}
	f.wantPhase("short", PhaseRunning)
	f.wantPhase("long", PhaseQueued)
	if len(f.stops) != 2 || f.stops[0].GraceMS == 0 {
		t.Errorf("%d tasks stopped, want 2 with time for a checkpoint", len(f.stops))
	}
	for range 4 {
		f.pass(time.Minute)
	}
	f.wantPhase("short", PhaseRunning)
}

// TestLargeJobsAllEnd submits large jobs of random length in random order and
// checks the core's invariants after each step: stopping by slowdown lets every
// job end, and stops none more often than the limit.
func TestLargeJobsAllEnd(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 5))
			f := newTestFleet(t, testAccounts(), testWorker("w1"), testWorker("w2"), testWorker("w3"), testWorker("w4"))
			left := map[model.JobID]time.Duration{}
			accounts := []model.ClientAccountID{"a", "b"}
			for step := 0; step < 16 || len(left) > 0; step++ {
				if step > 4000 {
					t.Fatalf("%d jobs have not ended", len(left))
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

// runFor lets time pass and ends the jobs that have run for what is left of them.
func (f *testFleet) runFor(d time.Duration, left map[model.JobID]time.Duration) {
	f.pass(d)
	for _, j := range f.c.inPhase(PhaseRunning) {
		id := j.Job.ID
		if left[id] -= d; left[id] <= 0 {
			delete(left, id)
			f.end(id, wire.TaskFinished)
		}
		if j.Preemptions > f.c.settings.MaxPreemptions {
			f.t.Fatalf("job %s was stopped %d times", id, j.Preemptions)
		}
	}
}
