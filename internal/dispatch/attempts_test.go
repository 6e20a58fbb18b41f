package dispatch

import (
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// TestGangAvoidsTheWorkerThatFailedIt: of three workers one fails what it starts
// and one is busy. The gang waits for the busy one: on the worker that failed it a
// second failure would lose the job.
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
	r.pass(200 * time.Millisecond)
	if again := r.plan(); len(again) != 0 {
		t.Fatalf("started again on %s and %s", again[0].Host, again[1].Host)
	}
	r.end(busy[0], workload.EndDone, "")
	again := r.plan()
	if len(again) != 2 {
		t.Fatalf("%d members start once another worker is free", len(again))
	}
	for _, o := range again {
		if o.Host == "h2" {
			t.Error("a member starts on the worker that failed the gang")
		}
	}
}

// TestLateFailureExcludesNoWorker: a task that worked for a while and failed may go
// to the same worker at once; it may have failed by its own fault.
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
	r.pass(2 * time.Second)
	r.worker("h1", "r1", nil)
	r.worker("h2", "r1", nil)
	r.end(started[0], workload.EndFailed, "")
	if again := r.plan(); len(again) != 1 || again[0].Host != "h2" {
		t.Errorf("tried again: %+v", again)
	}
}

// TestOnlyWorkerIsTriedAgain: a job that no other worker could hold is not kept
// off the one that failed it.
func TestOnlyWorkerIsTriedAgain(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	r.job(jobID(1), func(j *workload.Job) { j.Steps[0].PerTask.Accelerators = 8 })
	r.end(r.plan()[0], workload.EndFailed, "")
	r.pass(200 * time.Millisecond)
	if again := r.plan(); len(again) != 1 {
		t.Error("the job is not tried again")
	}
}

// TestLastAttemptGoesWhereStartsWentWell: two workers are free beside the one that
// failed a task. A task began well on the larger one; the smaller one, which would
// be taken otherwise, has shown nothing.
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
		t.Fatalf("ordered %+v", proof)
	}
	r.pass(time.Second)
	r.worker("h2", "r1", labelled)
	r.worker("h0", "r1", func(a *workload.Announcement) { a.Capacity.Accelerators = 1 })
	r.end(first[0], workload.EndFailed, "")
	if again := r.plan(); len(again) != 1 || again[0].Host != "h2" {
		t.Errorf("the last attempt: %+v", again)
	}
}
