package requestflow_test

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/requestflow/requesttest"
	"dragonflyyard/internal/wire"
)

// TestSuspectAgentReturnsAfterOneLostClaim guards against an agent that stays suspect
// after claims to it were lost: idle agents send no message of their own that would
// clear the mark, so the entry host has to ask them again.
func TestSuspectAgentReturnsAfterOneLostClaim(t *testing.T) {
	b := requesttest.New(requesttest.Options{Seed: 2, Entries: 1, Agents: 2})
	b.Run(4 * time.Second)
	losing := true
	b.Filter = func(m requesttest.Message) requesttest.Verdict {
		_, isClaim := m.Body.(*wire.Claim)
		return requesttest.Verdict{Drop: isClaim && losing}
	}
	// Large requests fill the home's slots, so that claims for other executors are
	// sent.
	for range 40 {
		request := b.NewRequest(true, 3*time.Second)
		request.Slots = 5
		b.Submit(0, request)
	}
	b.At(150*time.Millisecond, func() { losing = false })
	b.Run(time.Second)
	from := b.Now()
	for i := range 50 {
		b.At(time.Duration(i*10)*time.Millisecond, func() { b.Submit(0, b.NewRequest(false, time.Second)) })
	}
	b.Run(2 * time.Second)
	b.Settle(settleTime)
	reportViolations(t, b, "lost claims")
	for _, s := range b.Submissions() {
		if !s.At.Before(from) && s.Outcome.Kind != model.OutcomeAnswered {
			t.Errorf("%s: %s %s", s.Request.ID, s.Outcome.Kind, s.Outcome.Reason)
		}
	}
}
