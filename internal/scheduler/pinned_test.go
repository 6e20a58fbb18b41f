package scheduler

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
)

// checkpointing returns a test job that can checkpoint.
func checkpointing(id string, tasks, accelerators int) model.Job {
	j := testJob(id, tasks, accelerators)
	j.CanCheckpoint = true
	return j
}

// workersOf returns the workers of the jobs' tasks.
func (f *testFleet) workersOf(jobs ...model.JobID) map[model.WorkerID]bool {
	on := map[model.WorkerID]bool{}
	for _, id := range jobs {
		for _, task := range f.job(id).Tasks {
			on[task.Worker] = true
		}
	}
	return on
}

func TestPinnedWorkIsKeptTogether(t *testing.T) {
	f := newTestFleet(t, testAccounts(), testWorker("w1"), testWorker("w2"), testWorker("w3"))
	f.submit(testJob("p1", 1, 2), checkpointing("y1", 1, 2))
	for worker := range f.workersOf("y1") {
		if f.workersOf("p1")[worker] {
			t.Errorf("work that yields was placed on %s beside pinned work, with other workers free", worker)
		}
	}
	f.submit(checkpointing("y2", 2, 8), checkpointing("y3", 1, 6))
	f.pass(2 * f.c.settings.MinRunBeforeMove)
	f.submit(testJob("p2", 1, 4))
	f.wantPhase("p2", PhaseRunning)
	if on := f.workersOf("p1", "p2"); len(on) != 1 {
		t.Errorf("pinned work lies on %v, want one worker", on)
	}
	if len(f.stops) == 0 {
		t.Error("nothing was moved")
	}
	for _, s := range f.stops {
		if s.GraceMS == 0 {
			t.Errorf("%s was moved without a checkpoint", s.Job)
		}
	}
	f.pass(time.Second)
	for _, id := range []model.JobID{"p1", "p2"} {
		f.wantPhase(id, PhaseRunning)
	}
}
