package dispatch

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/workload"
)

// TestEndIsCountedOnceOverAChangeOfOwner: the former owner wrote the progress
// that counts a failure, and lost its lease before it deleted the end's row.
func TestEndIsCountedOnceOverAChangeOfOwner(t *testing.T) {
	for _, gang := range []bool{false, true} {
		r := newRig(t)
		r.worker("h1", "r1", nil)
		job := r.job(jobID(1), func(j *workload.Job) { j.Steps[0].Gang = gang })
		order := r.plan()[0]
		r.end(order, workload.EndFailed, "")
		var progress workload.Progress
		for _, b := range r.core.Plan(r.now) {
			for _, put := range b.Tx.Puts {
				if put.Key == workload.ProgressKey(job.ID) {
					if err := rowcodec.Decode(put.Value, &progress); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		next := newRig(t)
		next.worker("h1", "r1", nil)
		next.core.JobSeen(job, &progress)
		next.end(order, workload.EndFailed, "")
		if state := next.state(jobID(1)); state != workload.StateRunning {
			t.Errorf("gang %v: the job is %s after one failure of two allowed", gang, state)
		}
		next.pass(time.Second)
		if again := next.plan(); len(again) != 1 || again[0].Run < 2 {
			t.Errorf("gang %v: ordered %+v, want one later run", gang, again)
		}
	}
}

// TestFailedTaskGoesElsewhere: a worker fails all that it starts. The task's
// second and last attempt, and other jobs' tasks, go to other workers while
// there is room.
func TestFailedTaskGoesElsewhere(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", func(a *workload.Announcement) { a.Capacity.Accelerators = 4 })
	r.job(jobID(1), nil)
	first := r.plan()[0]
	r.worker("h2", "r1", nil)
	r.end(first, workload.EndFailed, "")
	r.job(jobID(2), nil)
	r.pass(100 * time.Millisecond)
	for _, o := range r.plan() {
		if o.Host != "h2" {
			t.Errorf("%s run %d goes to %s, on which a task has just failed", o.Task, o.Run, o.Host)
		}
	}
	// Without another worker with room, the doubtful one is used.
	r.worker("h2", "r1", func(a *workload.Announcement) { a.State = workload.WorkerDraining })
	r.job(jobID(3), nil)
	if again := r.plan(); len(again) != 1 || again[0].Host != "h1" {
		t.Errorf("ordered %+v, want one on the only worker with room", again)
	}
}

// TestDeletedJobsLeaveNoState: an owner that goes on for months keeps nothing
// of jobs whose rows are deleted, but for the moment in which a read from before
// may still show them.
func TestDeletedJobsLeaveNoState(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	for i := range 5 {
		job := r.job(jobID(i+1), nil)
		for _, o := range r.plan() {
			r.end(o, workload.EndDone, "")
		}
		r.core.CancelSeen(job.ID)
		r.plan()
	}
	r.pass(DefaultSettings().Retention + time.Second)
	r.plan()
	r.plan()
	// A read from before the deletion shows the first job again.
	r.job(jobID(1), nil)
	r.core.CancelSeen(model.JobID(jobID(1)))
	if stats := r.core.Stats(); stats.Jobs != 0 {
		t.Fatalf("%d jobs are kept", stats.Jobs)
	}
	r.pass(2 * collectedFor)
	r.plan()
	if n := len(r.core.collected) + len(r.core.cancelled) + len(r.core.endKeys); n != 0 {
		t.Errorf("kept of deleted jobs: %v, %v, %v", r.core.collected, r.core.cancelled, r.core.endKeys)
	}
}
