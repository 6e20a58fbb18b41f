package requestflow_test

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/requestflow/requesttest"
)

// TestFormerHomeAndItsEntryHostAreFenced pauses a home until its ranges move, with
// an entry host that still uses the former assignment. Neither may claim, seal or
// run requests that belong to the new home.
func TestFormerHomeAndItsEntryHostAreFenced(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		b := requesttest.New(requesttest.Options{Seed: 7, Entries: entries, Agents: agents, Skew: true})
		b.Run(4 * time.Second)
		b.WithholdAssignments(0, 0, 14*time.Second)
		b.PauseAgent(0, 2*time.Second)
		b.Run(3 * time.Second)
		for i := range 200 {
			b.At(time.Duration(i*45)*time.Millisecond, func() {
				request := b.NewRequest(idempotent, 800*time.Millisecond)
				b.Submit(0, request)
				b.At(time.Duration(i%7)*20*time.Millisecond, func() { b.Submit(1, request) })
			})
		}
		// The stale entry host stops and refuses new requests, for which it asks the
		// home for seals.
		b.At(5*time.Second, func() { b.StopEntry(0) })
		b.Run(10 * time.Second)
		b.Settle(settleTime)
		reportViolations(t, b, "former home")
	}
}

// TestPartedHomeGrantsNothingAfterItsPermits partitions a home from the entry hosts
// that have the current assignment, so that it gets no permits. It must not grant
// claims that the new home grants.
func TestPartedHomeGrantsNothingAfterItsPermits(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		b := requesttest.New(requesttest.Options{Seed: 7, Entries: entries, Agents: agents, Skew: true})
		b.Run(4 * time.Second)
		b.WithholdAssignments(0, 0, 14*time.Second)
		b.Partition(1, 0, 14*time.Second)
		b.PauseAgent(0, 2*time.Second)
		b.Run(3 * time.Second)
		for i := range 200 {
			b.At(time.Duration(i*45)*time.Millisecond, func() {
				request := b.NewRequest(idempotent, 800*time.Millisecond)
				b.Submit(0, request)
				b.At(time.Duration(i%7)*20*time.Millisecond, func() { b.Submit(1, request) })
			})
		}
		b.Run(10 * time.Second)
		b.Settle(settleTime)
		reportViolations(t, b, "parted home")
	}
}

func answeredShare(b *requesttest.Testbed, entry int, from time.Time) float64 {
	answered, all := 0, 0
	for _, s := range b.Submissions() {
		if s.Entry != entry || s.At.Before(from) {
			continue
		}
		all++
		if s.Outcome.Kind == model.OutcomeAnswered {
			answered++
		}
	}
	return float64(answered) / float64(max(1, all))
}

// TestDeadHomeRecovers checks that requests of every range are answered again once
// the ranges of a dead home have moved and the delay before they take effect has
// passed.
func TestDeadHomeRecovers(t *testing.T) {
	b := requesttest.New(requesttest.Options{Seed: 3, Entries: entries, Agents: agents, Skew: true})
	b.Run(4 * time.Second)
	b.KillAgent(1)
	b.Run(6 * time.Second)
	from := b.Now()
	for i := range 200 {
		b.At(time.Duration(i*10)*time.Millisecond, func() { b.Submit(i%entries, b.NewRequest(i%2 == 0, time.Second)) })
	}
	b.Run(3 * time.Second)
	b.Settle(settleTime)
	reportViolations(t, b, "dead home")
	for e := range entries {
		if share := answeredShare(b, e, from); share < 1 {
			t.Errorf("entry %d: %.3f of the requests answered after the ranges moved", e, share)
		}
	}
}

// TestPlannedStopsCutOffNoRequest guards against requests that are lost or end as
// unknown when agents and entry hosts stop gracefully, several at a time.
func TestPlannedStopsCutOffNoRequest(t *testing.T) {
	for _, stop := range []struct {
		name  string
		apply func(b *requesttest.Testbed)
	}{
		{"one agent", func(b *requesttest.Testbed) { b.StopAgent(0) }},
		{"two agents", func(b *requesttest.Testbed) { b.StopAgent(0); b.StopAgent(2) }},
		{"two agents, one soon after the other", func(b *requesttest.Testbed) {
			b.StopAgent(0)
			b.At(1500*time.Millisecond, func() { b.StopAgent(2) })
		}},
		{"an entry host and an agent", func(b *requesttest.Testbed) { b.StopEntry(0); b.StopAgent(1) }},
	} {
		t.Run(stop.name, func(t *testing.T) {
			b := requesttest.New(requesttest.Options{Seed: 5, Entries: entries, Agents: agents, Skew: true,
				Service: nil})
			b.Run(4 * time.Second)
			for i := range 1200 {
				b.At(time.Duration(i*10)*time.Millisecond, func() { b.Submit(i%entries, b.NewRequest(i%2 == 0, time.Second)) })
			}
			b.At(time.Second, func() { stop.apply(b) })
			b.Run(12 * time.Second)
			b.Settle(settleTime)
			reportViolations(t, b, stop.name)
			for _, s := range b.Submissions() {
				refused := s.Outcome.Kind == model.OutcomeNotRun && s.Outcome.Reason == model.ReasonEntryStopping
				if s.Outcome.Kind != model.OutcomeAnswered && !refused {
					t.Errorf("%s at %s: %s %s", s.Request.ID, s.At.Sub(requesttest.Epoch), s.Outcome.Kind, s.Outcome.Reason)
				}
			}
		})
	}
}

// TestAssignmentAcceptedLateClaimsNothingAgain guards against a second run of a
// request: an assignment takes effect long after it was planned, and the new home
// grants a claim for a request that ran meanwhile under the former home's claim.
func TestAssignmentAcceptedLateClaimsNothingAgain(t *testing.T) {
	b := requesttest.New(requesttest.Options{Seed: 11, Entries: entries, Agents: agents, Skew: true})
	b.Run(4 * time.Second)
	b.DelayNextAssignment(10 * time.Second)
	b.PauseAgent(0, 2500*time.Millisecond)
	b.Run(6 * time.Second)
	var sent []model.Request
	for i := range 200 {
		b.At(time.Duration(i*30)*time.Millisecond, func() {
			request := b.NewRequest(false, 20*time.Second)
			sent = append(sent, request)
			b.Submit(i%entries, request)
		})
	}
	b.Run(8 * time.Second)
	for _, request := range sent {
		b.Submit(1, request)
	}
	b.Run(5 * time.Second)
	b.Settle(settleTime)
	reportViolations(t, b, "late acceptance")
}

// TestRestartedHomeUnderAStaleAssignment guards against an entry host with a stale
// assignment that concludes from a home's restart that no home can seal a request:
// the range may have moved, and the new home seals IDs minted after the move.
func TestRestartedHomeUnderAStaleAssignment(t *testing.T) {
	b := requesttest.New(requesttest.Options{Seed: 13, Entries: entries, Agents: agents, Skew: true})
	b.Run(4 * time.Second)
	b.WithholdAssignments(1, 1, 12*time.Second)
	b.KillAgent(0)
	b.Run(3 * time.Second)
	b.RestartAgent(0)
	b.Run(3 * time.Second)
	b.StopEntry(0)
	for i := range 100 {
		b.At(time.Duration(i*20)*time.Millisecond, func() {
			request := b.NewRequest(true, time.Second)
			b.Submit(1, request)
			b.At(200*time.Millisecond, func() { b.Submit(0, request) })
		})
	}
	b.Run(4 * time.Second)
	b.Settle(settleTime)
	reportViolations(t, b, "restarted home")
}
