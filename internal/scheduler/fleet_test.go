package scheduler

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// testFleet is a core whose agents, workers and table service do at once what
// they are asked to.
type testFleet struct {
	t   *testing.T
	c   *Core
	now time.Time
	// stops are the stops that were sent so far.
	stops []*wire.StopTask
}

// newTestFleet returns an owner of workers with a configuration.
func newTestFleet(t *testing.T, config *model.ConfigDocument, workers ...model.Worker) *testFleet {
	f := &testFleet{t: t, c: New(DefaultSettings()), now: time.Unix(1000, 0)}
	f.step(BecomeOwner{Epoch: 1, Config: config})
	for _, w := range workers {
		f.step(WorkerUp{Report: wire.WorkerReport{Worker: w}})
	}
	f.pass(4 * time.Second)
	return f
}

func testAccounts(guarantees ...model.GuaranteedShape) *model.ConfigDocument {
	doc := &model.ConfigDocument{
		Version:    1,
		Accounts:   map[model.ClientAccountID]model.ClientAccount{"a": {ID: "a", Weight: 1}, "b": {ID: "b", Weight: 1}},
		Guarantees: map[string]model.GuaranteedShape{},
	}
	for _, g := range guarantees {
		doc.Guarantees[g.Name] = g
	}
	return doc
}

// pass lets time pass and ends it with a tick.
func (f *testFleet) pass(d time.Duration) {
	f.now = f.now.Add(d)
	for _, w := range f.c.workers {
		w.LastRequest = f.now
	}
	f.c.lastStep = f.now
	f.step(Tick{})
}

func (f *testFleet) submit(jobs ...model.Job) {
	for _, j := range jobs {
		f.step(Submit{Job: j})
	}
}

// step gives an input to the core and answers all that it asks for.
func (f *testFleet) step(in Input) {
	for inputs := []Input{in}; len(inputs) > 0; inputs = inputs[1:] {
		for _, a := range f.c.Step(f.now, inputs[0]) {
			if answer := f.answer(a); answer != nil {
				inputs = append(inputs, answer)
			}
		}
		if err := f.c.CheckInvariants(); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *testFleet) answer(a Action) Input {
	switch a := a.(type) {
	case WriteDecision:
		return Decided{Job: a.Row.Job.ID, Attempt: a.Row.Attempt, Result: DecisionCommitted}
	case Send:
		switch m := a.Message.(type) {
		case *wire.Reserve:
			return Receive{From: a.To, Message: &wire.ReserveReply{Job: m.Job, Attempt: m.Attempt, Task: m.Task, OK: true}}
		case *wire.Launch:
			return Receive{From: a.To, Message: &wire.TaskReport{Job: m.Job, Attempt: m.Attempt, Task: m.Task, State: wire.TaskRunning}}
		case *wire.StopTask:
			f.stops = append(f.stops, m)
			return Receive{From: a.To, Message: &wire.TaskReport{
				Job: m.Job, Attempt: m.Attempt, Task: m.Task, State: wire.TaskStopped, Checkpointed: m.GraceMS > 0,
			}}
		}
	}
	return nil
}

// end reports the end of all tasks of a job.
func (f *testFleet) end(id model.JobID, state wire.TaskState) {
	j := f.job(id)
	for i, task := range j.Tasks {
		f.step(Receive{From: task.Worker, Message: &wire.TaskReport{Job: id, Attempt: j.Attempt, Task: j.Job.Task(i), State: state}})
	}
}

func (f *testFleet) job(id model.JobID) JobState {
	j, known := f.c.Job(id)
	if !known {
		f.t.Fatalf("job %s is not known", id)
	}
	j.Tasks = append([]TaskState(nil), j.Tasks...)
	return j
}

// wantPhase checks a job's phase.
func (f *testFleet) wantPhase(id model.JobID, want Phase) {
	f.t.Helper()
	if got := f.job(id).Phase; got != want {
		why, _ := f.c.Explain(f.now, id)
		f.t.Errorf("job %s is %s, want %s: %q", id, got, want, why)
	}
}
