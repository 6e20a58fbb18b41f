package dispatch

import (
	"testing"

	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/workload"
)

// TestPendingCountsTakeNoTransaction: the counts of waiting jobs go with what the
// scheduler writes anyway, and by themselves when it writes nothing.
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
		t.Errorf("the last row is %s: %+v", last.Key, pending)
	}
	if orders := r.commit(batches[0]); len(orders) != 1 || len(batches[0].OrderRows()) != 1 {
		t.Errorf("orders %+v", orders)
	}
	if again := r.core.WithPending(r.now, nil); len(again) != 0 {
		t.Errorf("%d batches before the counts are due again", len(again))
	}
	r.pass(pendingEveryMS * 1_000_000)
	if alone := r.core.WithPending(r.now, nil); len(alone) != 1 || alone[0].Kind != BatchMain {
		t.Errorf("batches %+v, want one of their own", alone)
	}
}
