package scheduler

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// TestJobsKeepTheirCellOverAChangeOfOwner runs two jobs in one cell that each
// is smaller than the cell, and one that fills another cell.
func TestJobsKeepTheirCellOverAChangeOfOwner(t *testing.T) {
	now := time.Unix(1000, 0)
	config := &model.ConfigDocument{
		Version: 1, Accounts: map[model.ClientAccountID]model.ClientAccount{"a": {ID: "a", Weight: 1}},
		Guarantees: map[string]model.GuaranteedShape{"g": {Name: "g", Account: "a", Count: 2, Shape: testJob("", 4, 4).Shape}},
	}
	const workers = 4
	start := func(epoch model.Epoch, rows []JobRow, running map[model.WorkerID][]wire.TaskReport) *Core {
		c := New(DefaultSettings())
		c.Step(now, BecomeOwner{Epoch: epoch, Config: config, Rows: rows})
		for i := range workers {
			worker := testWorker("w" + string(rune('A'+i)))
			c.Step(now, WorkerUp{Report: wire.WorkerReport{Worker: worker, Tasks: running[worker.ID]}})
		}
		return c
	}
	first := start(1, nil, nil)
	now = now.Add(4 * time.Second)
	first.Step(now, Tick{})
	running := map[model.WorkerID][]wire.TaskReport{}
	rows := map[model.JobID]JobRow{}
	for id, tasks := range map[string]int{"small-1": 1, "small-2": 2, "whole": 4} {
		job := testJob(id, tasks, 4)
		job.Capacity = model.CapacityGuaranteed
		for _, action := range first.stepAnswered(now, Submit{Job: job}, DecisionCommitted) {
			if d, ok := action.(WriteDecision); ok {
				rows[d.Row.Job.ID] = d.Row
			}
		}
		for i, w := range rows[job.ID].Allocation {
			report := wire.TaskReport{Job: job.ID, Attempt: 1, Task: job.Task(i), State: wire.TaskRunning}
			running[w] = append(running[w], report)
		}
	}
	var kept []JobRow
	for _, row := range rows {
		kept = append(kept, row)
	}
	second := start(2, kept, running)
	for id := range rows {
		before, _ := first.Job(id)
		after, _ := second.Job(id)
		if !after.active() || after.Cell != before.Cell || after.Class != model.CapacityGuaranteed {
			t.Errorf("%s: phase %s, cell %q, class %s; had cell %q; %v", id, after.Phase, after.Cell, after.Class, before.Cell, after.History)
		}
	}
	if uncovered := second.ledger.Uncovered(); len(uncovered) > 0 {
		t.Errorf("cells without a place: %v", uncovered)
	}
	if err := second.ledger.Check(); err != nil {
		t.Error(err)
	}
}
