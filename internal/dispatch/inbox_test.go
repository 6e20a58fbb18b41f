package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// batchesOf returns the batches of a kind in a plan; the others are committed.
func (r *rig) batchesOf(kind BatchKind) []*Batch {
	r.t.Helper()
	var out []*Batch
	for _, b := range r.core.Plan(r.now) {
		if b.Kind == kind {
			out = append(out, b)
		} else {
			r.commit(b)
		}
	}
	return out
}

// TestLateSubmissionIsCancelled guards against running a job whose submission the store
// carries out after it was cancelled, in another part than that of the cancellation, and
// against cancelling another account's job with the same ID.
func TestLateSubmissionIsCancelled(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	r.cancel(jobID(1), "silver")
	r.cancel(jobID(2), "gold")
	r.advance(workload.CancellationRetention - time.Second)
	r.worker("h1", "r1", nil)
	r.plan()
	for _, id := range []string{jobID(1), jobID(2)} {
		job := r.newJob(id)
		r.version++
		r.core.JobSeen(workload.JobKeys(job.ID)[1], r.version, job, nil)
	}
	orders := r.plan()
	if len(orders) != 1 || !strings.HasPrefix(orders[0].Task, jobID(2)) {
		t.Errorf("ordered %+v, want the task of the job that its account did not cancel", orders)
	}
	if state := r.state(jobID(1)); state != workload.StateCancelled {
		t.Errorf("the cancelled job is %s", state)
	}
}

// TestEndedJobIsNotStoredAgain guards against starting a job again after its rows were
// deleted: a submission that was sent while it was stored is carried out late. A
// cancellation replaces the job's row, and the next owner reads it.
func TestEndedJobIsNotStoredAgain(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	job := r.job(jobID(1), nil)
	for _, o := range r.plan() {
		r.end(o, workload.EndDone, "")
	}
	r.plan()
	r.advance(DefaultSettings().Retention)
	batches := r.batchesOf(BatchInbox)
	if len(batches) != 1 {
		t.Fatalf("%d batches for a job with one row", len(batches))
	}
	tx := batches[0].Tx
	if len(tx.Checks) != 1 || tx.Checks[0].Version == 0 || !slices.Equal(tx.Deletes, workload.JobKeys(job.ID)[:1]) ||
		len(tx.Puts) != 1 || tx.Puts[0].Key != workload.CancelKeys(job.ID, job.Account)[0] {
		t.Fatalf("transaction %+v, want the row replaced at its version by a cancellation", tx)
	}
	r.commit(batches[0])
	if stats := r.core.Stats(); stats.Jobs != 0 {
		t.Fatalf("%d jobs are held", stats.Jobs)
	}
	r.worker("h1", "r1", nil)
	r.stored(job, nil)
	if orders := r.plan(); len(orders) != 0 {
		t.Errorf("ordered %+v again", orders)
	}
}

// TestDeletionsWithoutAnAnswer guards against deleting rows that were written after the
// deletion was sent, and against keeping those that a deletion without an answer removed.
func TestDeletionsWithoutAnAnswer(t *testing.T) {
	inDoubt := errors.Wrap(storeapi.ErrInDoubt, "no answer")
	r := newRig(t)
	r.cancel(jobID(1), "silver")
	r.cancel(jobID(2), "silver")
	r.advance(workload.CancellationRetention)
	first := r.batchesOf(BatchCancellations)
	for _, b := range first {
		r.core.NotCommitted(r.now, b, inDoubt)
	}
	// The deletion of the first row is carried out, and the second one is written again.
	r.cancel(jobID(2), "silver")
	r.advance(cancellationDeletionInterval)
	for _, b := range r.batchesOf(BatchCancellations) {
		if len(b.Tx.Checks) != len(b.Tx.Deletes) || slices.Contains(b.Tx.Deletes, workload.CancelKeys(model.JobID(jobID(2)), "silver")[0]) {
			t.Errorf("%+v deletes a cancellation that was just requested", b.Tx)
		}
		r.core.NotCommitted(r.now, b, &storeapi.Conflict{})
	}
	if n := len(r.core.inbox.cancellations); n != 1 || r.core.inbox.batchesInFlight != 0 {
		t.Errorf("%d cancellations and %d batches in flight, want the newer cancellation only", n, r.core.inbox.batchesInFlight)
	}
}

// TestReplacementWithoutAnAnswer guards against keeping a deleted job for ever: the
// attempt that deleted its row got no answer, and the next one conflicts.
func TestReplacementWithoutAnAnswer(t *testing.T) {
	r := newRig(t)
	job := r.job(jobID(1), nil)
	r.cancel(jobID(1), job.Account)
	r.plan()
	r.advance(DefaultSettings().Retention)
	for _, err := range []error{errors.Wrap(storeapi.ErrInDoubt, "no answer"), &storeapi.Conflict{}} {
		batches := r.batchesOf(BatchInbox)
		if len(batches) != 1 {
			t.Fatalf("%d batches, want one", len(batches))
		}
		if again := r.batchesOf(BatchInbox); len(again) != 0 {
			t.Fatalf("%d batches while one is being committed", len(again))
		}
		r.core.NotCommitted(r.now, batches[0], err)
		if again := r.batchesOf(BatchInbox); len(again) != 0 {
			t.Fatalf("%d batches right after one failed", len(again))
		}
		r.advance(inboxRetryDelay)
	}
	if stats := r.core.Stats(); stats.Jobs != 0 || r.core.inbox.batchesInFlight != 0 {
		t.Errorf("%d jobs, %d batches in flight, want none", stats.Jobs, r.core.inbox.batchesInFlight)
	}
}

// TestExpiredRowsAreDeletedInBoundedBatches replays thousands of cancellations of unknown
// jobs and hundreds of jobs that expire together. Failure: a transaction that exceeds
// the store's limits, more transactions at a time than the store serves, or rows that stay.
func TestExpiredRowsAreDeletedInBoundedBatches(t *testing.T) {
	const cancels, jobs = 3000, 300
	r := newRig(t)
	for i := range cancels {
		r.cancel(fmt.Sprintf("%016x", 1<<32+i), "silver")
	}
	for i := range jobs {
		job := r.job(jobID(i+1), nil)
		r.cancel(jobID(i+1), job.Account)
	}
	r.plan()
	limit := DefaultSettings().Retention + workload.CancellationRetention + 2*time.Minute
	for elapsed := time.Duration(0); elapsed < limit; elapsed += 500 * time.Millisecond {
		r.advance(500 * time.Millisecond)
		inFlight := 0
		for _, b := range r.core.Plan(r.now) {
			if b.Kind == BatchInbox || b.Kind == BatchCancellations {
				inFlight++
			}
			if n := len(b.Tx.Checks) + len(b.Tx.Puts) + len(b.Tx.Deletes); n > 98 {
				t.Fatalf("a batch of %d entries", n)
			}
			r.commit(b)
		}
		if inFlight > maxInboxBatches {
			t.Fatalf("%d batches at a time", inFlight)
		}
	}
	if n := len(r.core.inbox.cancellations) + len(r.core.inbox.cancelled) + len(r.core.jobs); n != 0 {
		t.Errorf("%d cancellations and %d jobs are left", len(r.core.inbox.cancellations), len(r.core.jobs))
	}
}

// TestClockAheadDeletesNothing: the estimate of the store's clock may be ahead of it. A job or
// a cancellation that is deleted within its retention is unknown to callers, or takes no effect.
func TestClockAheadDeletesNothing(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	r.job(jobID(1), nil)
	r.cancel(jobID(1), "silver")
	r.cancel(jobID(2), "silver")
	r.plan()
	r.advance(workload.CancellationRetention - time.Second)
	r.now.StoreMS += 2000
	r.now.StoreAheadMS = 2000
	deletions := func() (n int) {
		for _, b := range r.core.Plan(r.now) {
			if b.Kind == BatchInbox || b.Kind == BatchCancellations {
				n++
			}
		}
		return n
	}
	if n := deletions(); n != 0 {
		t.Errorf("%d batches delete rows within their retention", n)
	}
	r.advance(2 * time.Second)
	if n := deletions(); n != 2 {
		t.Errorf("%d batches delete rows after their retention, want one for the job and one for the cancellation", n)
	}
}
