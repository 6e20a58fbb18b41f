package requestflow_test

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/requestflow/requesttest"
)

// A home that was paused, and an entry host that still knows the former
// assignment, must not claim, seal or run what the new home decides about.
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
		// Some requests of the stale entry host are refused at once, so that it
		// asks for seals.
		b.At(5*time.Second, func() { b.StopEntry(0) })
		b.Run(10 * time.Second)
		b.Settle(settleTime)
		report(t, b, "former home")
	}
}

// A home that no entry host with the present assignment reaches gets no permits,
// and must not grant what the new home grants.
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
		report(t, b, "parted home")
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

// After a dead home's ranges have moved and its grace has passed, requests of
// every range are answered again.
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
	report(t, b, "dead home")
	for e := range entries {
		if share := answeredShare(b, e, from); share < 1 {
			t.Errorf("entry %d: %.3f of the requests answered after the ranges moved", e, share)
		}
	}
}

// A planned stop of agents and of entry hosts, several at a time, cuts off no request.
func TestPlannedStopsCutOffNoRequest(t *testing.T) {
	for _, stop := range []struct {
		name string
		put  func(b *requesttest.Testbed)
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
			b.At(time.Second, func() { stop.put(b) })
			b.Run(12 * time.Second)
			b.Settle(settleTime)
			report(t, b, stop.name)
			for _, s := range b.Submissions() {
				refused := s.Outcome.Kind == model.OutcomeNotRun && s.Outcome.Reason == model.ReasonEntryStopping
				if s.Outcome.Kind != model.OutcomeAnswered && !refused {
					t.Errorf("%s at %s: %s %s", s.Request.ID, s.At.Sub(requesttest.Epoch), s.Outcome.Kind, s.Outcome.Reason)
				}
			}
		})
	}
}

// An assignment that takes effect long after it was planned must not let the
// new home claim again what the former home let run in between.
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
	report(t, b, "late acceptance")
}

// An entry host that has not heard of the new assignment must not take a home
// that restarted as a sign that nobody can seal its requests: the range may have
// moved, and an ID minted after the move is the new home's to seal.
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
	report(t, b, "restarted home")
}
