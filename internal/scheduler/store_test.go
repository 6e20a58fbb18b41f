package scheduler

import (
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// newFleet returns the owner of a number of workers, ready to place jobs.
func newFleet(t *testing.T, now *time.Time, workers int) *Core {
	t.Helper()
	c := New(DefaultSettings())
	c.Step(*now, BecomeOwner{Epoch: 1, Config: &model.ConfigDocument{
		Version: 1, Accounts: map[model.ClientAccountID]model.ClientAccount{"a": {ID: "a", Weight: 1}},
		Guarantees: map[string]model.GuaranteedShape{"g": {
			Name: "g", Account: "a", Count: workers,
			Shape: model.Shape{Tasks: 1, PerTask: model.Resources{Accelerators: 8, Cores: 4, MemoryMB: 1024}, Topology: model.TopologyAny},
		}},
	}})
	for i := range workers {
		c.Step(*now, WorkerUp{Report: wire.WorkerReport{Worker: testWorker("w" + string(rune('A'+i)))}})
	}
	*now = now.Add(4 * time.Second)
	c.Step(*now, Tick{})
	return c
}

// stepAnswered takes a step, answers its reservations, launches and decision rows
// and returns all actions.
func (c *Core) stepAnswered(now time.Time, in Input, decision DecisionResult) []Action {
	actions := c.Step(now, in)
	for i := 0; i < len(actions); i++ {
		switch a := actions[i].(type) {
		case Send:
			actions = append(actions, c.answer(now, a)...)
		case WriteDecision:
			actions = append(actions, c.Step(now, Decided{Job: a.Row.Job.ID, Attempt: a.Row.Attempt, Result: decision})...)
		}
	}
	return actions
}

func (c *Core) answer(now time.Time, s Send) []Action {
	switch m := s.Message.(type) {
	case *wire.Reserve:
		return c.Step(now, Receive{From: s.To, Message: &wire.ReserveReply{Job: m.Job, Attempt: m.Attempt, Task: m.Task, OK: true}})
	case *wire.Launch:
		return c.Step(now, Receive{From: s.To, Message: &wire.TaskReport{Job: m.Job, Attempt: m.Attempt, Task: m.Task, State: wire.TaskRunning}})
	default:
		return nil
	}
}

func claimJob(id string) model.Job {
	j := testJob(id, 1, 8)
	j.Capacity = model.CapacityGuaranteed
	return j
}

func TestNothingBeginsWhileTheStoreIsOutOfReach(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newFleet(t, &now, 2)
	for _, id := range []string{"borrowed-1", "borrowed-2"} {
		c.stepAnswered(now, Submit{Job: testJob(id, 1, 8)}, DecisionCommitted)
	}
	c.Step(now, StoreStatus{Reachable: false})
	var actions []Action
	actions = append(actions, c.stepAnswered(now, Submit{Job: claimJob("claim")}, DecisionUnavailable)...)
	for range 10 {
		now = now.Add(TickInterval)
		actions = append(actions, c.stepAnswered(now, Tick{}, DecisionUnavailable)...)
	}
	if begun, stopped := len(sent[*wire.Reserve](actions)), len(sent[*wire.StopTask](actions)); begun != 0 || stopped != 0 {
		t.Errorf("%d reservations and %d stops in an outage, want none", begun, stopped)
	}
	lines, _ := c.Explain(now, "claim")
	if !strings.Contains(strings.Join(lines, "\n"), "table service has been out of reach since") {
		t.Errorf("explanation: %q", lines)
	}
	actions = c.stepAnswered(now, StoreStatus{Reachable: true}, DecisionCommitted)
	if stopped := len(sent[*wire.StopTask](actions)); stopped != 1 {
		t.Errorf("%d tasks stopped for the claim after the outage, want 1", stopped)
	}
}

// TestUnwrittenDecisionHoldsOthersBack lets decisions fail before anything tells
// of the outage: one failed write holds all attempts back for a second.
func TestUnwrittenDecisionHoldsOthersBack(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newFleet(t, &now, 2)
	c.stepAnswered(now, Submit{Job: testJob("first", 1, 4)}, DecisionUnavailable)
	actions := c.stepAnswered(now, Submit{Job: testJob("second", 1, 4)}, DecisionUnavailable)
	for range 9 {
		now = now.Add(TickInterval)
		actions = append(actions, c.stepAnswered(now, Tick{}, DecisionUnavailable)...)
	}
	if begun := len(sent[*wire.Reserve](actions)); begun != 0 {
		t.Errorf("%d reservations within a second of a failed write, want none", begun)
	}
	now = now.Add(2 * TickInterval)
	actions = c.stepAnswered(now, Tick{}, DecisionCommitted)
	if begun := len(sent[*wire.Launch](actions)); begun != 2 {
		t.Errorf("%d launches after that second, want 2", begun)
	}
}

// TestClaimsResumeInSteps lets many claims wait for the end of an outage.
func TestClaimsResumeInSteps(t *testing.T) {
	now := time.Unix(1000, 0)
	const workers = 20
	c := newFleet(t, &now, workers)
	c.Step(now, StoreStatus{Reachable: false})
	for i := range workers {
		c.Step(now, Submit{Job: claimJob("claim-" + string(rune('a'+i)))})
	}
	perTick := DefaultSettings().MaxStartsPerTick
	actions := c.stepAnswered(now, StoreStatus{Reachable: true}, DecisionCommitted)
	started := 0
	for ticks := 0; started < workers && ticks < 10; ticks++ {
		begun := len(decisions(actions))
		if begun > perTick {
			t.Errorf("%d decisions in tick %d, want at most %d", begun, ticks, perTick)
		}
		started += begun
		now = now.Add(TickInterval)
		actions = c.stepAnswered(now, Tick{}, DecisionCommitted)
	}
	if started != workers {
		t.Errorf("%d of %d claims started", started, workers)
	}
}
