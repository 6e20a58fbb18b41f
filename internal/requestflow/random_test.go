package requestflow_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dragonflyyard/internal/drawn"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/requestflow/requesttest"
)

const (
	entries = 2
	agents  = 3
	// settleTime is longer than any deadline, pause and graceful stop drawn here.
	settleTime = 30 * time.Second
)

// fault is a kind of fault that a random sequence may contain.
type fault struct {
	name   string
	inject func(b *requesttest.Testbed, r *rand.Rand)
}

func randomFaults() []fault {
	pause := func(r *rand.Rand) time.Duration {
		return time.Duration(100+r.IntN(6000)) * time.Millisecond
	}
	return []fault{
		{"cut", func(b *requesttest.Testbed, r *rand.Rand) { b.Cut(r.IntN(entries), r.IntN(agents)) }},
		{"silence", func(b *requesttest.Testbed, r *rand.Rand) { b.Silence(r.IntN(entries), r.IntN(agents)) }},
		{"kill agent", func(b *requesttest.Testbed, r *rand.Rand) {
			i := r.IntN(agents)
			b.KillAgent(i)
			b.At(pause(r), func() { b.RestartAgent(i) })
		}},
		{"kill entry", func(b *requesttest.Testbed, r *rand.Rand) {
			i := r.IntN(entries)
			b.KillEntry(i)
			b.At(pause(r), func() { b.RestartEntry(i) })
		}},
		{"pause agent", func(b *requesttest.Testbed, r *rand.Rand) { b.PauseAgent(r.IntN(agents), pause(r)) }},
		{"pause entry", func(b *requesttest.Testbed, r *rand.Rand) { b.PauseEntry(r.IntN(entries), pause(r)) }},
		{"stop agent", func(b *requesttest.Testbed, r *rand.Rand) {
			i := r.IntN(agents)
			b.StopAgent(i)
			b.At(12*time.Second, func() { b.KillAgent(i); b.RestartAgent(i) })
		}},
		{"stale assignment", func(b *requesttest.Testbed, r *rand.Rand) {
			b.WithholdAssignments(r.IntN(entries), r.IntN(agents), pause(r))
		}},
		{"assignment accepted late", func(b *requesttest.Testbed, r *rand.Rand) { b.DelayNextAssignment(pause(r)) }},
		{"table answers lost", func(b *requesttest.Testbed, r *rand.Rand) { b.BlockAssignmentReads(pause(r)) }},
		{"former assignment again", func(b *requesttest.Testbed, _ *rand.Rand) { b.ResendFormerAssignment() }},
	}
}

// sequence is a drawn run. rapid shrinks a failing one to few requests and faults.
type sequence struct {
	// Seed initializes the random generators of processes, messages and requests.
	Seed uint64
	// Sent says which of the requests are sent. The content of a request depends on
	// the seed and its number alone, so that it stays the same while others are
	// removed by shrinking.
	Sent   sentRequests
	Faults []drawnFault
}

// sentRequests holds, for each request by its number, whether it is sent.
type sentRequests []bool

// GoString lists the numbers of the requests that are sent, for rapid's report.
func (s sentRequests) GoString() string {
	var numbers []int
	for i, sent := range s {
		if sent {
			numbers = append(numbers, i)
		}
	}
	return fmt.Sprintf("%d requests %v", len(numbers), numbers)
}

// drawnFault is a fault whose time and target depend on its number and the seed.
type drawnFault struct {
	Fault  string
	Number uint64
}

const (
	// Requests are numbered by group and place in the group. Seven in eight groups
	// are sent, and the same seven in eight places of each: 423 requests on average.
	// A failing sequence is shrunk by whole groups and places.
	groups, places = 24, 23
	// Streams of random numbers that are independent of the testbed's stream.
	streamRequests = 1 << 20
	streamFaults   = 1 << 21
)

// drawSequence draws a run with the given faults. salt makes the runs of several
// tests differ although they draw from the same seed.
func drawSequence(t *rapid.T, salt uint64, faults []string) sequence {
	s := sequence{Seed: salt<<32 | uint64(rapid.Uint32().Draw(t, "seed"))}
	s.Sent = rapid.Custom(drawSent).Draw(t, "sent")
	for _, name := range faults {
		s.Faults = append(s.Faults, drawnFault{name, uint64(rapid.Uint16().Draw(t, name))})
	}
	return s
}

func drawSent(t *rapid.T) sentRequests {
	sentGroups, sentPlaces := drawn.Most(t, groups), drawn.Most(t, places)
	sent := make(sentRequests, groups*places)
	for i := range sent {
		sent[i] = sentGroups[i/places] && sentPlaces[i%places]
	}
	return sent
}

// runSequence submits requests for ten seconds, some of them twice, injects the
// faults, and returns the testbed after it has settled. rates is the probability
// with which each message is dropped, duplicated and reordered.
func runSequence(s sequence, rates float64) *requesttest.Testbed {
	b := requesttest.New(requesttest.Options{
		Seed: s.Seed, Entries: entries, Agents: agents, Skew: true, Drop: rates, Duplicate: rates, Reorder: rates,
		Service: func(r *rand.Rand) time.Duration { return time.Duration(5+r.IntN(200)) * time.Millisecond },
	})
	b.Run(4 * time.Second)
	for i, sent := range s.Sent {
		r := rand.New(rand.NewPCG(s.Seed, streamRequests+uint64(i)))
		at := time.Duration(r.IntN(10_000)) * time.Millisecond
		if sent {
			b.At(at, func() { submitRandom(b, r) })
		}
	}
	for i, f := range s.Faults {
		r := rand.New(rand.NewPCG(s.Seed+f.Number, streamFaults+uint64(i)))
		at := time.Duration(500+r.IntN(6000)) * time.Millisecond
		b.At(at, func() { faultNamed(f.Fault).inject(b, r) })
	}
	b.Run(10 * time.Second)
	b.Settle(settleTime)
	return b
}

func faultNamed(name string) fault {
	all := randomFaults()
	return all[slices.IndexFunc(all, func(f fault) bool { return f.name == name })]
}

func faultNames() []string {
	var names []string
	for _, f := range randomFaults() {
		names = append(names, f.name)
	}
	return names
}

func submitRandom(b *requesttest.Testbed, r *rand.Rand) {
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

// errorReporter is a *testing.T, or the *rapid.T of one drawn run.
type errorReporter interface {
	Helper()
	Errorf(format string, args ...any)
}

func reportViolations(t errorReporter, b *requesttest.Testbed, name string) {
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

// checksPerPart is how many sequences each subtest draws.
const checksPerPart = 2

func TestMain(m *testing.M) { drawn.Main(m, checksPerPart) }

func TestPairsOfFaultsBreakNoPromise(t *testing.T) {
	all := faultNames()
	salt := uint64(0)
	for i, first := range all {
		for _, second := range all[i:] {
			salt++
			passed := t.Run(first+" and "+second, func(t *testing.T) {
				rapid.Check(t, func(t *rapid.T) {
					reportViolations(t, runSequence(drawSequence(t, salt, []string{first, second}), 0), "drawn")
				})
			})
			if !passed {
				// Shrinking is slow, so the test stops after the first failing pair.
				return
			}
		}
	}
}

func TestLossyMessagesBreakNoPromise(t *testing.T) {
	const parts, salts = 10, 1000
	for part := range uint64(parts) {
		t.Run(fmt.Sprintf("part %d", part), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				faults := rapid.SliceOfN(rapid.SampledFrom(faultNames()), 3, 3).Draw(t, "faults")
				reportViolations(t, runSequence(drawSequence(t, salts+part, faults), 0.03), "drawn")
			})
		})
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
	reportViolations(t, b, "no fault")
	for _, s := range b.Submissions() {
		if s.Outcome.Kind != model.OutcomeAnswered {
			t.Errorf("%s: %s %s", s.Request.ID, s.Outcome.Kind, s.Outcome.Reason)
		}
	}
}
