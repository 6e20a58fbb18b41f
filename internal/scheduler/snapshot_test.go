package scheduler

import (
	"reflect"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// coreWithRunningJobs returns an owner with one running borrowed job, one
// running claim and one waiting job, and the rows of the placed jobs.
func coreWithRunningJobs(t *testing.T) (*Core, *model.ConfigDocument, time.Time, []JobRow) {
	t.Helper()
	now := time.Unix(1000, 0)
	config := &model.ConfigDocument{
		Version: 1, Accounts: map[model.ClientAccountID]model.ClientAccount{"a": {ID: "a", Weight: 1}},
		Guarantees: map[string]model.GuaranteedShape{"g": {Name: "g", Account: "a", Count: 1, Shape: testJob("", 1, 8).Shape}},
	}
	c := New(DefaultSettings())
	c.Step(now, BecomeOwner{Epoch: 3, Config: config})
	for _, id := range []string{"w1", "w2"} {
		c.Step(now, WorkerUp{Report: wire.WorkerReport{Worker: testWorker(id)}})
	}
	now = now.Add(4 * time.Second)
	c.Step(now, Tick{})
	claim := testJob("claim", 1, 8)
	claim.Capacity = model.CapacityGuaranteed
	var rows []JobRow
	for _, job := range []model.Job{testJob("run", 1, 8), claim, testJob("wait", 1, 8)} {
		for _, r := range sent[*wire.Reserve](c.Step(now, Submit{Job: job})) {
			j, _ := c.Job(r.Job)
			w := j.Tasks[0].Worker
			for _, d := range decisions(c.Step(now, Receive{From: w, Message: &wire.ReserveReply{Job: r.Job, Attempt: r.Attempt, Task: r.Task, OK: true, SentMS: 1}})) {
				rows = append(rows, d.Row)
				c.Step(now, Decided{Job: r.Job, Attempt: r.Attempt, Result: DecisionCommitted})
				c.Step(now, Receive{From: w, Message: &wire.TaskReport{Job: r.Job, Attempt: r.Attempt, Task: r.Task, State: wire.TaskRunning}})
			}
		}
	}
	return c, config, now, rows
}

func TestRestoreGivesTheSameState(t *testing.T) {
	c, config, _, _ := coreWithRunningJobs(t)
	want := c.Snapshot()
	got := Restore(DefaultSettings(), config, want).Snapshot()
	a, b := reflect.ValueOf(*want), reflect.ValueOf(*got)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			t.Errorf("%s: got %+v, want %+v", a.Type().Field(i).Name, b.Field(i), a.Field(i))
		}
	}
}

func TestTakeOverKeepsRunningGangs(t *testing.T) {
	c, config, now, rows := coreWithRunningJobs(t)
	next := New(DefaultSettings())
	next.Step(now, BecomeOwner{Epoch: 4, Rows: rows, Config: config})
	for _, id := range []model.WorkerID{"w1", "w2"} {
		report := wire.WorkerReport{Worker: testWorker(string(id))}
		for _, row := range rows {
			if row.Allocation[0] == id {
				report.Tasks = append(report.Tasks, wire.TaskReport{Job: row.Job.ID, Attempt: row.Attempt, Task: row.Job.Task(0), State: wire.TaskRunning})
			}
		}
		for _, a := range next.Step(now, WorkerUp{Report: report}) {
			if s, ok := a.(Send); ok {
				if stop, ok := s.Message.(*wire.StopTask); ok {
					t.Errorf("%s was stopped when the owner changed", stop.Task)
				}
			}
		}
	}
	for _, row := range rows {
		before, _ := c.Job(row.Job.ID)
		after, _ := next.Job(row.Job.ID)
		if after.Attempt != before.Attempt || after.Cell != before.Cell || after.Class != before.Class || after.Tasks[0].Worker != before.Tasks[0].Worker {
			t.Errorf("job %s: got %+v, want %+v", row.Job.ID, after, before)
		}
	}
	if err := next.CheckInvariants(); err != nil {
		t.Error(err)
	}
}

func TestAdmitRefusesWhatCanNeverRun(t *testing.T) {
	c, _, now, _ := coreWithRunningJobs(t)
	cases := []struct {
		name string
		job  func(*model.Job)
		ok   bool
	}{
		{"fits an empty fleet", func(j *model.Job) { j.Shape.Tasks = 2; j.Shape.PerTask.Accelerators = 8 }, true},
		{"task too large", func(j *model.Job) { j.Shape.PerTask.Accelerators = 9 }, false},
		{"gang too large", func(j *model.Job) { j.Shape.Tasks = 3; j.Shape.PerTask.Accelerators = 8 }, false},
		{"no guarantee", func(j *model.Job) { j.Shape.Tasks = 2; j.Capacity = model.CapacityGuaranteed }, false},
		{"unknown account", func(j *model.Job) { j.Account = "x" }, false},
		{"no tasks", func(j *model.Job) { j.Shape.Tasks = 0 }, false},
		{"fits when a worker is back", func(j *model.Job) { j.Shape.Tasks = 2; j.Shape.PerTask.Accelerators = 8 }, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if tc.name == "fits when a worker is back" {
				c.Step(now, WorkerLost{Worker: "w2"})
			}
			job := testJob("new", 1, 1)
			tc.job(&job)
			if err := c.Admit(job); (err == nil) != tc.ok {
				t.Errorf("got %v, want accepted %v", err, tc.ok)
			}
		})
	}
}
