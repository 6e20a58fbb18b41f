package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// storeEntries and storeBytes are the store's limits for one transaction.
const (
	storeEntries = 100
	storeBytes   = 1 << 20
)

// TestBatchesStayInsideTheStoresBounds: orders of a wide job with the longest
// specification, and of a gang of 78 tasks, must stay within the store's limits.
// The gang's orders must fit into one transaction.
func TestBatchesStayInsideTheStoresBounds(t *testing.T) {
	r := newRig(t)
	for i := range 48 {
		r.worker(fmt.Sprintf("h%02d", i), "r1", nil)
	}
	r.job(jobID(1), func(j *workload.Job) {
		j.Steps[0].Tasks, j.Steps[0].Gang = 78, true
	})
	count := func() int {
		batches := r.core.Plan(r.now)
		for _, b := range batches {
			// Each batch also checks and writes the fence.
			entries, bytes := len(b.Tx.Puts)+len(b.Tx.Deletes)+2, 0
			for _, put := range b.Tx.Puts {
				bytes += len(put.Key) + len(put.Value)*4/3
			}
			if entries > storeEntries || bytes > storeBytes {
				t.Errorf("a batch has %d entries and %d bytes, more than the store takes", entries, bytes)
			}
			r.commit(b)
		}
		return len(batches)
	}
	if n := count(); n != 1 {
		t.Errorf("%d transactions for the orders of a gang of 78 tasks, want 1", n)
	}
	r.job(jobID(2), func(j *workload.Job) {
		j.Steps[0].Tasks, j.Spec = 300, strings.Repeat("x", 4000)
	})
	if n := count(); n < 4 {
		t.Errorf("%d transactions for 300 orders, want at least 4", n)
	}
}

// TestEndsOfAHostAreDeletedTogether: ends that arrive one after the other within
// a second must be deleted in one transaction, even if there is nothing else to
// write.
func TestEndsOfAHostAreDeletedTogether(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	r.job(jobID(1), func(j *workload.Job) { j.Steps[0].Tasks = 8 })
	started := r.plan()
	r.advance(5 * time.Second)
	var transactions, deleted int
	step := func() {
		for _, b := range r.core.Plan(r.now) {
			if b.Kind == BatchEnds {
				transactions++
				deleted += len(b.Tx.Deletes)
			}
			r.commit(b)
		}
		r.advance(100 * time.Millisecond)
	}
	for _, o := range started {
		r.end(o, workload.EndDone, "")
		step()
	}
	for range 12 {
		step()
	}
	if transactions != 2 || deleted != 8 {
		t.Errorf("%d transactions delete %d ends, want 2 and 8", transactions, deleted)
	}
}
