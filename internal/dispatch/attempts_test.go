package dispatch

import (
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// TestGangAvoidsTheWorkerThatFailedIt: of three workers one fails every task and
// one is busy. The gang must wait for the busy one, because a second failure
// would fail the job.
func TestGangAvoidsTheWorkerThatFailedIt(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	r.job(jobID(1), func(j *workload.Job) {
		j.Steps[0].PerTask.Accelerators, j.Steps[0].Estimate = 8, 10*time.Second
	})
	busy := r.plan()
	r.worker("h2", "r1", nil)
	r.worker("h3", "r1", nil)
	r.job(jobID(2), func(j *workload.Job) {
		j.Steps[0].Tasks, j.Steps[0].Gang, j.Steps[0].PerTask.Accelerators = 2, true, 8
	})
	for _, o := range r.plan() {
		kind := workload.EndGangBroken
		if o.Host == "h2" {
			kind = workload.EndFailed
		}
		r.end(o, kind, "")
	}
	r.advance(200 * time.Millisecond)
	if again := r.plan(); len(again) != 0 {
		t.Fatalf("the gang restarts on %s and %s, want it to wait for the busy worker", again[0].Host, again[1].Host)
	}
	r.end(busy[0], workload.EndDone, "")
	again := r.plan()
	if len(again) != 2 {
		t.Fatalf("%d of 2 members start after the busy worker became free", len(again))
	}
	for _, o := range again {
		if o.Host == "h2" {
			t.Error("a member restarts on the worker that failed the gang")
		}
	}
}

// TestLateFailureExcludesNoWorker: a task that failed after it had run for a
// while may restart on the same worker at once, because it may have failed
// through its own fault.
func TestLateFailureExcludesNoWorker(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	r.job(jobID(1), func(j *workload.Job) {
		j.Steps[0].PerTask.Accelerators, j.Steps[0].Estimate = 8, 10*time.Second
	})
	r.plan()
	r.worker("h2", "r1", nil)
	r.job(jobID(2), func(j *workload.Job) { j.Steps[0].PerTask.Accelerators = 8 })
	started := r.plan()
	r.advance(2 * time.Second)
	r.worker("h1", "r1", nil)
	r.worker("h2", "r1", nil)
	r.end(started[0], workload.EndFailed, "")
	if again := r.plan(); len(again) != 1 || again[0].Host != "h2" {
		t.Errorf("retry ordered %+v, want one run on h2", again)
	}
}

// TestOnlyWorkerIsTriedAgain: a job that no other worker could hold does not
// avoid the worker that failed it.
func TestOnlyWorkerIsTriedAgain(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	r.job(jobID(1), func(j *workload.Job) { j.Steps[0].PerTask.Accelerators = 8 })
	r.end(r.plan()[0], workload.EndFailed, "")
	r.advance(200 * time.Millisecond)
	if again := r.plan(); len(again) != 1 {
		t.Error("the job is not retried on the only worker")
	}
}

// TestLastAttemptGoesWhereStartsWentWell: two workers are free besides the one
// that failed the task. A task has started well on the larger one; the smaller
// one, which would otherwise fit better, has no recent start.
func TestLastAttemptGoesWhereStartsWentWell(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	r.job(jobID(1), nil)
	first := r.plan()
	labelled := func(a *workload.Announcement) {
		a.Labels = append(a.Labels, "b")
		for _, o := range r.orders {
			if o.Host == "h2" {
				a.Running = append(a.Running, workload.RunningTask{Task: o.Task, Run: o.Run})
			}
		}
	}
	r.worker("h2", "r1", labelled)
	r.job(jobID(2), func(j *workload.Job) { j.Steps[0].Label = "b" })
	if proof := r.plan(); len(proof) != 1 || proof[0].Host != "h2" {
		t.Fatalf("ordered %+v, want one run on h2", proof)
	}
	r.advance(time.Second)
	r.worker("h2", "r1", labelled)
	r.worker("h0", "r1", func(a *workload.Announcement) { a.Capacity.Accelerators = 1 })
	r.end(first[0], workload.EndFailed, "")
	if again := r.plan(); len(again) != 1 || again[0].Host != "h2" {
		t.Errorf("last attempt ordered %+v, want one run on h2", again)
	}
}
