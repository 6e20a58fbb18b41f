package requestflow_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/requestflow/requesttest"
)

const (
	entries = 2
	agents  = 3
	// settleTime is longer than any deadline, pause and graceful stop drawn here.
	settleTime = 30 * time.Second
)

// fault is one fault that a random sequence may draw.
type fault struct {
	name string
	put  func(b *requesttest.Bag, r *rand.Rand)
}

func randomFaults() []fault {
	pause := func(r *rand.Rand) time.Duration {
		return time.Duration(100+r.IntN(6000)) * time.Millisecond
	}
	return []fault{
		{"cut", func(b *requesttest.Bag, r *rand.Rand) { b.Cut(r.IntN(entries), r.IntN(agents)) }},
		{"silence", func(b *requesttest.Bag, r *rand.Rand) { b.Silence(r.IntN(entries), r.IntN(agents)) }},
		{"kill agent", func(b *requesttest.Bag, r *rand.Rand) {
			i := r.IntN(agents)
			b.KillAgent(i)
			b.At(pause(r), func() { b.RestartAgent(i) })
		}},
		{"kill entry", func(b *requesttest.Bag, r *rand.Rand) {
			i := r.IntN(entries)
			b.KillEntry(i)
			b.At(pause(r), func() { b.RestartEntry(i) })
		}},
		{"pause agent", func(b *requesttest.Bag, r *rand.Rand) { b.PauseAgent(r.IntN(agents), pause(r)) }},
		{"pause entry", func(b *requesttest.Bag, r *rand.Rand) { b.PauseEntry(r.IntN(entries), pause(r)) }},
		{"stop agent", func(b *requesttest.Bag, r *rand.Rand) {
			i := r.IntN(agents)
			b.StopAgent(i)
			b.At(12*time.Second, func() { b.KillAgent(i); b.RestartAgent(i) })
		}},
		{"stale assignment", func(b *requesttest.Bag, r *rand.Rand) {
			b.KeepStale(r.IntN(entries), r.IntN(agents), pause(r))
		}},
		{"assignment accepted late", func(b *requesttest.Bag, r *rand.Rand) { b.DelayNextAssignment(pause(r)) }},
		{"table answers lost", func(b *requesttest.Bag, r *rand.Rand) { b.StopReads(pause(r)) }},
		{"former assignment again", func(b *requesttest.Bag, _ *rand.Rand) { b.ResendFormerAssignment() }},
	}
}

// drive submits requests for ten seconds, some of them twice, with faults in
// between, and returns the bag after it settled.
func drive(seed uint64, faults []fault, rates float64) *requesttest.Bag {
	r := rand.New(rand.NewPCG(seed, 2))
	b := requesttest.New(requesttest.Options{
		Seed: seed, Entries: entries, Agents: agents, Skew: true, Drop: rates, Duplicate: rates, Reorder: rates,
		Service: func(r *rand.Rand) time.Duration { return time.Duration(5+r.IntN(200)) * time.Millisecond },
	})
	b.Run(4 * time.Second)
	for range 400 {
		b.At(time.Duration(r.IntN(10_000))*time.Millisecond, func() { submitRandom(b, r) })
	}
	for _, f := range faults {
		at := time.Duration(500+r.IntN(6000)) * time.Millisecond
		b.At(at, func() { f.put(b, r) })
	}
	b.Run(10 * time.Second)
	b.Settle(settleTime)
	return b
}

func submitRandom(b *requesttest.Bag, r *rand.Rand) {
	request := b.NewRequest(r.IntN(2) == 0, time.Duration(300+r.IntN(4000))*time.Millisecond)
	request.Slots = 1 + r.IntN(4)/3*r.IntN(4)
	b.Submit(r.IntN(entries), request)
	if r.IntN(3) > 0 {
		return
	}
	b.At(time.Duration(r.IntN(1500))*time.Millisecond, func() {
		request.Deadline = b.Now().Add(2 * time.Second)
		b.Submit(r.IntN(entries), request)
	})
}

func report(t *testing.T, b *requesttest.Bag, name string) {
	t.Helper()
	if len(b.Violations) == 0 {
		return
	}
	id := model.RequestID(strings.Fields(b.Violations[0])[0])
	var lines []string
	for _, line := range b.Log {
		if strings.Contains(line, string(id)) || !strings.Contains(line, "-7") {
			lines = append(lines, line)
		}
	}
	t.Errorf("%s: %d violations, first: %s\n%s", name, len(b.Violations), b.Violations[0], strings.Join(lines, "\n"))
}

func TestPairsOfFaultsBreakNoPromise(t *testing.T) {
	all := randomFaults()
	seed := uint64(0)
	for i, first := range all {
		for _, second := range all[i:] {
			for range 2 {
				seed++
				name := fmt.Sprintf("seed %d: %s and %s", seed, first.name, second.name)
				report(t, drive(seed, []fault{first, second}, 0), name)
			}
		}
	}
}

func TestLossyMessagesBreakNoPromise(t *testing.T) {
	all := randomFaults()
	for seed := uint64(1000); seed < 1020; seed++ {
		r := rand.New(rand.NewPCG(seed, 3))
		faults := []fault{all[r.IntN(len(all))], all[r.IntN(len(all))], all[r.IntN(len(all))]}
		report(t, drive(seed, faults, 0.03), fmt.Sprintf("seed %d", seed))
	}
}

func TestWithoutFaultsEveryRequestIsAnswered(t *testing.T) {
	b := requesttest.New(requesttest.Options{Seed: 1, Entries: entries, Agents: agents})
	b.Run(4 * time.Second)
	for i := range 200 {
		b.At(time.Duration(i*5)*time.Millisecond, func() {
			b.Submit(i%entries, b.NewRequest(i%3 == 0, time.Second))
		})
	}
	b.Run(2 * time.Second)
	b.Settle(settleTime)
	report(t, b, "no fault")
	for _, s := range b.Submissions() {
		if s.Outcome.Kind != model.OutcomeAnswered {
			t.Errorf("%s: %s %s", s.Request.ID, s.Outcome.Kind, s.Outcome.Reason)
		}
	}
}
