package scheduler

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// testFleet is a core with simulated agents and a simulated table service that
// answer every action at once.
type testFleet struct {
	t    *testing.T
	core *Core
	now  time.Time
	// stops are all StopTask messages sent so far.
	stops []*wire.StopTask
}

// newTestFleet returns a fleet whose core is the owner of the given workers and
// has finished recovery.
func newTestFleet(t *testing.T, config *model.ConfigDocument, workers ...model.Worker) *testFleet {
	f := &testFleet{t: t, core: New(DefaultSettings()), now: time.Unix(1000, 0)}
	f.step(BecomeOwner{Epoch: 1, Config: config})
	for _, w := range workers {
		f.step(WorkerUp{Report: wire.WorkerReport{Worker: w}})
	}
	f.advance(4 * time.Second)
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

// advance moves the clock forward and sends a Tick. The workers' lease requests
// count as up to date.
func (f *testFleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for _, w := range f.core.workers {
		w.LastRequest = f.now
	}
	f.core.lastStep = f.now
	f.step(Tick{})
}

func (f *testFleet) submit(jobs ...model.Job) {
	for _, j := range jobs {
		f.step(Submit{Job: j})
	}
}

// step sends an input to the core, answers all resulting actions, and checks
// the invariants after each input.
func (f *testFleet) step(in Input) {
	for inputs := []Input{in}; len(inputs) > 0; inputs = inputs[1:] {
		for _, a := range f.core.Step(f.now, inputs[0]) {
			if answer := f.answer(a); answer != nil {
				inputs = append(inputs, answer)
			}
		}
		if err := f.core.CheckInvariants(); err != nil {
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

// endTasks reports an end state for all tasks of a job.
func (f *testFleet) endTasks(id model.JobID, state wire.TaskState) {
	j := f.job(id)
	for i, task := range j.Tasks {
		f.step(Receive{From: task.Worker, Message: &wire.TaskReport{Job: id, Attempt: j.Attempt, Task: j.Job.Task(i), State: state}})
	}
}

func (f *testFleet) job(id model.JobID) JobState {
	j, known := f.core.Job(id)
	if !known {
		f.t.Fatalf("job %s is not known", id)
	}
	j.Tasks = append([]TaskState(nil), j.Tasks...)
	return j
}

// wantPhase fails the test if the job is not in the given phase.
func (f *testFleet) wantPhase(id model.JobID, want Phase) {
	f.t.Helper()
	if got := f.job(id).Phase; got != want {
		why, _ := f.core.Explain(f.now, id)
		f.t.Errorf("job %s is %s, want %s: %q", id, got, want, why)
	}
}
