package jobprotocol

import (
	"flag"
	"math"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// bounds limit an exploration.
type bounds struct {
	// from leads to the world in which the exploration begins.
	from          []step
	depth, faults int
	// settleEvery is how many worlds there are for each one that is let settle.
	settleEvery uint64
}

// path is a sequence of steps that leads to a world of its own.
type path struct {
	steps  []step
	faults int
}

func (p path) String() string {
	var names []string
	for _, s := range p.steps {
		names = append(names, s.String())
	}
	return strings.Join(names, ", ")
}

// reached is a world that a path leads to.
type reached struct {
	path      path
	digest    uint64
	violation string
}

// found is what an exploration saw.
type found struct {
	worlds, settled int
	violation       string
	path            path
}

// explore goes through all sequences of steps, the shortest first, and stops at
// the first violation.
func explore(t *testing.T, v variant, b bounds) found {
	t.Helper()
	first := path{steps: b.from}
	seen := map[uint64]bool{replay(t, v, first).digest(): true}
	out := found{worlds: 1}
	frontier := []path{first}
	for range b.depth {
		var next []path
		for _, r := range expandAll(t, v, b, frontier) {
			if r.violation != "" {
				out.violation, out.path = r.violation, r.path
				return out
			}
			if seen[r.digest] {
				continue
			}
			seen[r.digest] = true
			out.worlds++
			if r.digest%b.settleEvery == 0 {
				out.settled++
			}
			next = append(next, r.path)
		}
		frontier = next
	}
	return out
}

// expandAll returns the worlds one step behind those of a frontier, in its order.
func expandAll(t *testing.T, v variant, b bounds, frontier []path) []reached {
	t.Helper()
	results := make([][]reached, len(frontier))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, p := range frontier {
		group.Go(func() error {
			results[i] = expand(t, v, b, p)
			return nil
		})
	}
	_ = group.Wait()
	var out []reached
	for _, r := range results {
		out = append(out, r...)
	}
	return out
}

func expand(t *testing.T, v variant, b bounds, p path) []reached {
	t.Helper()
	var out []reached
	for _, s := range replay(t, v, p).steps(p.faults < b.faults) {
		w := replay(t, v, p)
		next := path{append(p.steps[:len(p.steps):len(p.steps)], s), p.faults}
		if s.faulty() {
			next.faults++
		}
		if !w.apply(s) && w.violation == "" {
			continue
		}
		r := reached{path: next, digest: w.digest()}
		if w.violation == "" && r.digest%b.settleEvery == 0 {
			w.settle()
		}
		r.violation = w.violation
		out = append(out, r)
	}
	return out
}

// replay returns the world that a path leads to.
func replay(t *testing.T, v variant, p path) *world {
	t.Helper()
	w := newWorld(t, v)
	for _, s := range p.steps {
		w.apply(s)
	}
	return w
}

// Worlds in which explorations begin.
var (
	accepted = []step(nil)
	running  = []step{{kind: stepOwner}, {kind: stepAgent, host: "h1"}}
	// ended is a world in which the run has ended without the agent's knowledge.
	ended = then(running, step{kind: stepDone, host: "h1"})
	// resent is a world in which the first start is still on its way and the
	// second one was taken.
	resent = []step{{kind: stepOwner}, {kind: stepAgent, host: "h1", fault: startLate}}
	// silent is a world in which the end was reported and the agent fell silent.
	silent = then(ended, step{kind: stepAgent, host: "h1"}, step{kind: stepSilence})
	// draining is a world in which the run goes on while its worker drains.
	draining = then(running, step{kind: stepDrain, host: "h1"}, step{kind: stepAgent, host: "h1"})
	// deaf is the same some seconds on, with looks that the worker takes and the
	// agent hears no answer to. What was granted before the drain has ended.
	deaf = then(draining, step{kind: stepDeaf, host: "h1"}, deafRound, briefPause, deafRound, briefPause, deafRound, briefPause, deafRound, briefPause)

	deafRound, briefPause = step{kind: stepAgent, host: "h1"}, step{kind: stepBriefPause}
	// twoOwners is a world in which the former owner ordered the run.
	twoOwners = []step{{kind: stepTakeOver, host: "h1"}, {kind: stepFormerOwner}}
)

func then(before []step, steps ...step) []step {
	return append(before[:len(before):len(before)], steps...)
}

var deeper = flag.Int("protocol.deeper", 0, "how many steps and half as many faults more than usual to explore")

func TestProtocolOfRuns(t *testing.T) {
	for name, from := range map[string][]step{
		"accepted": accepted, "running": running, "ended": ended, "resent": resent, "silent": silent, "draining": draining, "deaf": deaf, "two owners": twoOwners,
	} {
		t.Run(name, func(t *testing.T) {
			b := bounds{from: from, depth: 3 + *deeper, faults: 2 + *deeper/2, settleEvery: 4}
			got := explore(t, variant{}, b)
			t.Logf("%d worlds, %d of them let settle", got.worlds, got.settled)
			if got.violation != "" {
				t.Errorf("%s\nafter %s", got.violation, got.path)
			}
		})
	}
}

// TestBrokenProtocolIsFound breaks one rule at a time.
func TestBrokenProtocolIsFound(t *testing.T) {
	const never = math.MaxUint64
	h1, h2 := step{kind: stepAgent, host: "h1"}, step{kind: stepAgent, host: "h2"}
	for name, c := range map[string]struct {
		variant variant
		bounds  bounds
	}{
		"worker taken as gone before its lease ends": {
			variant{lapseAfter: 4 * time.Second}, bounds{from: then(running, step{kind: stepLongPause}), depth: 4, settleEvery: never},
		},
		"looks without an answer forgotten": {
			variant{forgetsLostLooks: true}, bounds{from: then(deaf, h2), depth: 3, faults: 1, settleEvery: never},
		},
		"runs given up without a look at their ends": {
			variant{voidsWithoutEnds: true}, bounds{from: then(silent, h2), depth: 3, faults: 2, settleEvery: never},
		},
		"listed ends acknowledged": {variant{acknowledgesListed: true}, bounds{from: ended, depth: 4, faults: 2, settleEvery: 4}},
		"no fence": {
			variant{withoutFence: true}, bounds{from: then(twoOwners, h1, step{kind: stepPause}), depth: 3, faults: 1, settleEvery: never},
		},
		"start after a stop": {variant{startsAfterStop: true}, bounds{from: resent, depth: 4, faults: 1, settleEvery: never}},
	} {
		t.Run(name, func(t *testing.T) {
			got := explore(t, c.variant, c.bounds)
			if got.violation == "" {
				t.Fatalf("not found in %d worlds", got.worlds)
			}
			t.Logf("%s\nafter %s, %d worlds", got.violation, got.path, got.worlds)
		})
	}
}
