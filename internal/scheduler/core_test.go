package scheduler

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

func testWorker(id string) model.Worker {
	return model.Worker{
		ID: model.WorkerID(id), Zone: "z1", Rack: "r1",
		Capacity: model.Resources{Accelerators: 8, Cores: 64, MemoryMB: 131072},
	}
}

func testJob(id string, tasks, accelerators int) model.Job {
	return model.Job{
		ID: model.JobID(id), Account: "a", Capacity: model.CapacityBorrowed, DeclaredRunTime: time.Minute,
		Shape: model.Shape{Tasks: tasks, PerTask: model.Resources{Accelerators: accelerators, Cores: 4, MemoryMB: 1024}, Topology: model.TopologyAny},
	}
}

// sent returns the messages of type M that the actions send.
func sent[M wire.Message](actions []Action) []M {
	var out []M
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			if m, ok := s.Message.(M); ok {
				out = append(out, m)
			}
		}
	}
	return out
}

func decisions(actions []Action) []WriteDecision {
	var out []WriteDecision
	for _, a := range actions {
		if d, ok := a.(WriteDecision); ok {
			out = append(out, d)
		}
	}
	return out
}

func TestJobGoesFromSubmitToFinished(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(DefaultSettings())
	c.Step(now, BecomeOwner{Epoch: 3})
	c.Step(now, WorkerUp{Report: wire.WorkerReport{Worker: testWorker("w1")}})
	now = now.Add(4 * time.Second)
	c.Step(now, Tick{})
	reserves := sent[*wire.Reserve](c.Step(now, Submit{Job: testJob("j", 2, 4)}))
	if len(reserves) != 2 {
		t.Fatalf("%d reservations, want 2", len(reserves))
	}
	var actions []Action
	for _, r := range reserves {
		actions = c.Step(now, Receive{From: "w1", Message: &wire.ReserveReply{Job: r.Job, Attempt: r.Attempt, Task: r.Task, OK: true}})
	}
	rows := decisions(actions)
	if len(rows) != 1 || len(sent[*wire.Launch](actions)) != 0 {
		t.Fatalf("%d decision rows and %d launches, want 1 and 0", len(rows), len(sent[*wire.Launch](actions)))
	}
	actions = c.Step(now, Decided{Job: "j", Attempt: rows[0].Row.Attempt, Result: DecisionCommitted})
	launches := sent[*wire.Launch](actions)
	if len(launches) != 2 {
		t.Fatalf("%d launches, want 2", len(launches))
	}
	for _, state := range []wire.TaskState{wire.TaskRunning, wire.TaskFinished} {
		for _, l := range launches {
			c.Step(now, Receive{From: "w1", Message: &wire.TaskReport{Job: l.Job, Attempt: l.Attempt, Task: l.Task, State: state}})
		}
	}
	if j, _ := c.Job("j"); j.Phase != PhaseFinished {
		t.Errorf("phase %s, want finished", j.Phase)
	}
}
