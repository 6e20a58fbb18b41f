package faultmatrix

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/executor"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/requestflow/requesttest"
	"dragonflyyard/internal/wire"
)

// Sizes and times of a run on the bag of request path cores.
const (
	bagEntries = 2
	bagAgents  = 3
	// bagWarmUp is longer than it takes home ranges to come into force.
	bagWarmUp = 4 * time.Second
	// bagSettle is longer than any deadline, pause and restart of a run.
	bagSettle = 16 * time.Second
	// longPause outlasts heartbeats and permits, shortPause neither.
	longPause  = 3 * time.Second
	shortPause = 400 * time.Millisecond
	// stormSeeds bounds the seeds that are tried until a run takes its step.
	stormSeeds = 12
)

func init() {
	promises := []Promise{PromiseRequestOutcome, PromiseRetryBudget}
	registerEach("request", promises, allSteps("request"), requestFaults(), runRequestCell)
	registerEach("request", append(promises, PromiseStore), allSteps("request"), outageFaults(), runOutageCell)
}

// newBag returns a bag with uneven service times and clocks that differ.
func newBag(seed uint64) *requesttest.Testbed {
	return requesttest.New(requesttest.Options{
		Seed: seed, Entries: bagEntries, Agents: bagAgents, Skew: true,
		Service: func(r *rand.Rand) time.Duration {
			if r.IntN(6) == 0 {
				return time.Duration(300+r.IntN(500)) * time.Millisecond
			}
			return time.Duration(5+r.IntN(100)) * time.Millisecond
		},
	})
}

func checkBag(t reporter, b *requesttest.Testbed) {
	t.Helper()
	if len(b.Violations) == 0 {
		return
	}
	t.Errorf("%s\n%s", strings.Join(b.Violations, "\n"), strings.Join(b.Log, "\n"))
}

// runRequestCell takes the step with the fault and checks every request's
// outcome against what ran.
func runRequestCell(t *testing.T, s step, f Fault) {
	runRequestStorm(t, s, func(b *requesttest.Testbed, at stepTaken) { putFault(b, f, at) })
}

// runOutageCell does the same, and then wants requests to be answered through
// an outage of the table service.
func runOutageCell(t *testing.T, s step, f Fault) {
	b := runRequestStorm(t, s, func(b *requesttest.Testbed, at stepTaken) { putFault(b, f, at) })
	if b != nil {
		checkServesInOutage(t, b)
	}
}

// runRequestStorm lets a storm of requests take the step, calls put at its first
// occurrence, and checks every request's outcome. It returns the settled bag, or
// nil when no seed takes the step.
func runRequestStorm(t reporter, s step, put func(b *requesttest.Testbed, at stepTaken)) *requesttest.Testbed {
	t.Helper()
	for seed := uint64(1); seed <= stormSeeds; seed++ {
		b := newBag(seed)
		b.Run(bagWarmUp)
		taken := armFault(b, "request", s, func(at stepTaken) { put(b, at) })
		storm(b, seed)
		b.Settle(bagSettle)
		checkBag(t, b)
		if taken() {
			return b
		}
	}
	t.Errorf("no seed up to %d takes the step %s on %s", stormSeeds, s.from, s.event)
	return nil
}

// checkServesInOutage takes the table service down after all else has healed
// and wants each request to be answered.
func checkServesInOutage(t reporter, b *requesttest.Testbed) {
	t.Helper()
	b.Result = nil
	b.StopStore(longPause)
	var sent []*requesttest.Submission
	for i := range 60 {
		b.At(time.Duration(i)*longPause/60, func() {
			sent = append(sent, b.Submit(0, b.NewRequest(i%2 == 0, 2*time.Second)))
		})
	}
	b.Run(longPause)
	b.Settle(longPause)
	checkBag(t, b)
	for _, s := range sent {
		if s.Outcome.Kind != model.OutcomeAnswered {
			t.Errorf("%s while the table service is down: %s %s", s.Request.ID, s.Outcome.Kind, s.Outcome.Reason)
		}
	}
}

// storm submits requests of all kinds for three seconds, among conditions that
// make the rarer steps happen: failing backend servers, lost claims, a cut
// connection, an agent and an entry host that stop.
func storm(b *requesttest.Testbed, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 4))
	b.Result = func(int, model.Request) executor.BackendResult {
		if r.IntN(5) == 0 {
			return executor.BackendFailed
		}
		return executor.BackendAnswered
	}
	claimsLost := [2]time.Time{b.Now().Add(900 * time.Millisecond), b.Now().Add(1300 * time.Millisecond)}
	b.Filter = func(m requesttest.Message) requesttest.Verdict {
		_, isClaim := m.Body.(*wire.Claim)
		lost := isClaim && m.Entry == 0 && b.Now().After(claimsLost[0]) && b.Now().Before(claimsLost[1])
		return requesttest.Verdict{Drop: lost}
	}
	for range 120 {
		b.At(time.Duration(r.IntN(3000))*time.Millisecond, func() { submitAny(b, r) })
	}
	b.At(200*time.Millisecond, func() {
		b.Submit(0, model.Request{ID: "not a UUID", Idempotent: true, Deadline: b.Now().Add(time.Second)})
		for range 40 {
			b.Submit(0, b.NewRequest(r.IntN(2) == 0, time.Duration(100+r.IntN(200))*time.Millisecond))
		}
	})
	b.At(1100*time.Millisecond, func() { b.Cut(0, r.IntN(bagAgents)) })
	b.At(1600*time.Millisecond, func() { b.Cut(1, r.IntN(bagAgents)) })
	b.At(2000*time.Millisecond, func() { b.StopAgent(2) })
	b.At(2500*time.Millisecond, func() { b.StopEntry(1) })
	b.Run(3 * time.Second)
}

func submitAny(b *requesttest.Testbed, r *rand.Rand) {
	request := b.NewRequest(r.IntN(2) == 0, time.Duration(150+r.IntN(2500))*time.Millisecond)
	request.Slots = 1 + r.IntN(4)/3*r.IntN(6)
	b.Submit(r.IntN(bagEntries), request)
	if r.IntN(3) > 0 {
		return
	}
	b.At(time.Duration(r.IntN(400))*time.Millisecond, func() {
		request.Deadline = b.Now().Add(time.Second)
		b.Submit(r.IntN(bagEntries), request)
	})
}
