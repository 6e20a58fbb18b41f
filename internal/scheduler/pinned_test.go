package scheduler

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
)

// checkpointingJob returns a test job that can checkpoint.
func checkpointingJob(id string, tasks, accelerators int) model.Job {
	j := testJob(id, tasks, accelerators)
	j.CanCheckpoint = true
	return j
}

// workersOf returns the set of workers that run the jobs' tasks.
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
	f.submit(testJob("p1", 1, 2), checkpointingJob("y1", 1, 2))
	for worker := range f.workersOf("y1") {
		if f.workersOf("p1")[worker] {
			t.Errorf("preemptible work was placed on %s beside pinned work although other workers are free", worker)
		}
	}
	f.submit(checkpointingJob("y2", 2, 8), checkpointingJob("y3", 1, 6))
	f.advance(2 * f.core.settings.MinRunBeforeMove)
	f.submit(testJob("p2", 1, 4))
	f.wantPhase("p2", PhaseRunning)
	if on := f.workersOf("p1", "p2"); len(on) != 1 {
		t.Errorf("pinned work runs on %v, want one worker", on)
	}
	if len(f.stops) == 0 {
		t.Error("no work was moved away for the pinned job")
	}
	for _, s := range f.stops {
		if s.GraceMS == 0 {
			t.Errorf("%s was moved without a checkpoint", s.Job)
		}
	}
	f.advance(time.Second)
	for _, id := range []model.JobID{"p1", "p2"} {
		f.wantPhase(id, PhaseRunning)
	}
}
