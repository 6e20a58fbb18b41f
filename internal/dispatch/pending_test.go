package dispatch

import (
	"testing"

	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/workload"
)

// TestPendingCountsTakeNoTransaction: the counts of queued jobs must be added to
// a transaction that the scheduler makes anyway, and get their own only if there
// is none.
func TestPendingCountsTakeNoTransaction(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	r.job(jobID(1), nil)
	r.job(jobID(2), func(j *workload.Job) { j.Service = "elsewhere" })
	batches := r.core.WithPending(r.now, r.core.Plan(r.now))
	if len(batches) != 1 {
		t.Fatalf("%d batches, want one", len(batches))
	}
	puts := batches[0].Tx.Puts
	var pending Pending
	if last := puts[len(puts)-1]; last.Key != workload.KeyPending || rowcodec.Decode(last.Value, &pending) != nil || pending.ByQueue["q"] != 1 {
		t.Errorf("the last row is %s with %+v, want the pending counts with one job in q", last.Key, pending)
	}
	if orders := r.commit(batches[0]); len(orders) != 1 || len(batches[0].OrderRows()) != 1 {
		t.Errorf("committed orders %+v, want one, with one row to push", orders)
	}
	if again := r.core.WithPending(r.now, nil); len(again) != 0 {
		t.Errorf("%d batches before the counts are due again, want none", len(again))
	}
	r.advance(pendingIntervalMS * 1_000_000)
	if alone := r.core.WithPending(r.now, nil); len(alone) != 1 || alone[0].Kind != BatchMain {
		t.Errorf("batches %+v, want one main batch for the counts", alone)
	}
}
