package scheduler

import (
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// newOwnerCore returns a core that owns the given number of workers, with a
// guaranteed cell for each, and has finished recovery.
func newOwnerCore(t *testing.T, now *time.Time, workers int) *Core {
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

// stepAnswered processes an input, answers the resulting reservations, launches
// and decision rows, and returns all actions.
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

func TestNoAttemptBeginsWhileStoreIsUnreachable(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newOwnerCore(t, &now, 2)
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
		t.Errorf("explanation %q does not name the outage", lines)
	}
	actions = c.stepAnswered(now, StoreStatus{Reachable: true}, DecisionCommitted)
	if stopped := len(sent[*wire.StopTask](actions)); stopped != 1 {
		t.Errorf("%d tasks stopped for the claim after the outage, want 1", stopped)
	}
}

// TestFailedDecisionWritePausesAttempts guards against attempts that cannot be
// committed in the time before StoreStatus reports an outage: one failed
// decision write pauses all attempts for a second.
func TestFailedDecisionWritePausesAttempts(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newOwnerCore(t, &now, 2)
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

// TestClaimsResumeInSteps guards against a burst of decision rows after an
// outage, when many claims have waited for its end.
func TestClaimsResumeInSteps(t *testing.T) {
	now := time.Unix(1000, 0)
	const workers = 20
	c := newOwnerCore(t, &now, workers)
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
