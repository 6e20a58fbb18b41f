package dispatch

import (
	"slices"
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// TestJobOfRejectedRowIsSetAside guards against two failures after the store rejected
// the progress row of one job: other jobs must go on, and the ends whose effects are not
// stored must keep their rows, or else a later owner starts their tasks again.
func TestJobOfRejectedRowIsSetAside(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	bad := r.job(jobID(1), func(j *workload.Job) { j.Steps[0].Tasks = 2 })
	orders := r.plan()
	if len(orders) != 2 {
		t.Fatalf("%d orders, want 2", len(orders))
	}
	r.end(orders[0], workload.EndDone, "")
	rejected := 0
	for _, b := range r.core.Plan(r.now) {
		for _, row := range b.Split() {
			if b.Kind == BatchMain && row.FirstKey() == workload.ProgressKey(bad.ID) {
				rejected++
				r.core.Rejected(row)
			}
		}
	}
	if rejected != 1 {
		t.Fatalf("%d rows of the job's progress, want 1", rejected)
	}
	r.end(orders[1], workload.EndDone, "")
	good := r.job(jobID(2), nil)
	r.advance(2 * time.Second)
	r.worker("h1", "r1", nil)
	deleted := map[string]bool{}
	started := 0
	for _, b := range r.core.Plan(r.now) {
		for _, key := range b.Tx.Deletes {
			deleted[key] = true
		}
		started += len(r.commit(b))
	}
	if started != 1 || r.state(string(good.ID)) != workload.StateRunning {
		t.Errorf("%d orders, want one of the other job, which is %s", started, r.state(string(good.ID)))
	}
	id, err := orders[1].ID()
	if err != nil {
		t.Fatal(err)
	}
	if key := workload.EndKey("h1", id); deleted[key] {
		t.Errorf("row %s is deleted", key)
	}
}

// TestSplitKeepsOrders checks that a batch's rows are split with their orders.
func TestSplitKeepsOrders(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	r.job(jobID(1), func(j *workload.Job) { j.Steps[0].Tasks = 3 })
	var keys []string
	orders := 0
	for _, b := range r.core.Plan(r.now) {
		for _, row := range b.Split() {
			keys = append(keys, row.FirstKey())
			orders += len(r.commit(row))
		}
		if want := len(b.Tx.Puts) + len(b.Tx.Deletes); len(keys) != want {
			t.Errorf("%d rows, want %d", len(keys), want)
		}
	}
	if orders != 3 || len(slices.Compact(slices.Sorted(slices.Values(keys)))) != len(keys) {
		t.Errorf("%d orders in the rows %q", orders, keys)
	}
}
