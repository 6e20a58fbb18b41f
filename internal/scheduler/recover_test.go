package scheduler

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// TestJobsKeepTheirCellOnOwnerChange guards against jobs losing their
// guaranteed cell when the owner changes. Two jobs that are smaller than their
// cell share one, and a third job fills another.
func TestJobsKeepTheirCellOnOwnerChange(t *testing.T) {
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
		t.Errorf("uncovered cells: %v", uncovered)
	}
	if err := second.ledger.Check(); err != nil {
		t.Error(err)
	}
}

// TestRunningJobsSurviveOwnerChange guards against a new owner stopping or
// relaunching gangs whose tasks all run. Their agents report only once, when
// they connect, so no later report shows that the tasks run.
func TestRunningJobsSurviveOwnerChange(t *testing.T) {
	now := time.Unix(1000, 0)
	job := testJob("j", 2, 4)
	row := JobRow{Job: job, Attempt: 3, Allocation: []model.WorkerID{"wA", "wB"}}
	began := now.Add(-time.Hour)
	cases := []struct {
		name   string
		states [2]wire.TaskState
		snap   *Snapshot
		began  time.Time
	}{
		{"all run", [2]wire.TaskState{wire.TaskRunning, wire.TaskRunning}, nil, now},
		{"one has finished", [2]wire.TaskState{wire.TaskRunning, wire.TaskFinished}, nil, now},
		{"start in the snapshot", [2]wire.TaskState{wire.TaskRunning, wire.TaskRunning},
			&Snapshot{Jobs: []JobState{{Job: job, Attempt: 3, StartedAt: began}}}, began},
		{"start of an earlier attempt", [2]wire.TaskState{wire.TaskRunning, wire.TaskRunning},
			&Snapshot{Jobs: []JobState{{Job: job, Attempt: 2, StartedAt: began}}}, now},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := New(DefaultSettings())
			c.Step(now, BecomeOwner{Epoch: 2, Rows: []JobRow{row}, Snapshot: tc.snap})
			for i, state := range tc.states {
				report := wire.TaskReport{Job: job.ID, Attempt: 3, Task: job.Task(i), State: state}
				c.Step(now, WorkerUp{Report: wire.WorkerReport{Worker: testWorker(string(row.Allocation[i])), Tasks: []wire.TaskReport{report}}})
			}
			for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(100 * time.Millisecond) {
				actions := c.Step(at, Tick{})
				for _, worker := range row.Allocation {
					actions = append(actions, c.Step(at, Receive{From: worker, Message: &wire.LeaseRequest{Worker: worker}})...)
				}
				for _, action := range actions {
					s, ok := action.(Send)
					if _, isGrant := s.Message.(*wire.LeaseGrant); ok && !isGrant {
						t.Errorf("after %s: sent %T, want only lease grants", at.Sub(now), s.Message)
					}
				}
			}
			if got, _ := c.Job(job.ID); got.Phase != PhaseRunning || !got.StartedAt.Equal(tc.began) {
				t.Errorf("phase %s, started at %s; %v", got.Phase, got.StartedAt, got.History)
			}
		})
	}
}
