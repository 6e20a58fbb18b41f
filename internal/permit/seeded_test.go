package permit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dragonflyyard/internal/configstore"
	"dragonflyyard/internal/membership"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/permit"
	"dragonflyyard/internal/wire"
)

// addFleet adds three entry hosts, and three agents of which two reach a single
// entry host.
func (w *world) addFleet() {
	for _, id := range []model.EntryID{"e1", "e2", "e3"} {
		w.addEntry(id)
	}
	w.addAgent("a1", "")
	w.addAgent("a2", "e1")
	w.addAgent("a3", "e2")
}

// runSeed drives three entry hosts, three agents and two operators through
// random faults, and returns what was started too late.
func runSeed(seed uint64, v variant, length time.Duration) *world {
	w := newWorld(seed, v, length)
	w.addFleet()
	w.after(2*time.Second, w.operate)
	w.after(2*time.Second, w.operate)
	w.after(4*time.Second, w.propose)
	w.after(5*time.Second, w.breakSomething)
	w.run()
	return w
}

// runEarlySeed is runSeed with faults and changes from the start on, while the
// entry hosts still join the roster.
func runEarlySeed(seed uint64, v variant) *world {
	const length = 90 * time.Second
	w := newWorld(seed, v, length)
	w.addFleet()
	w.after(500*time.Millisecond, w.operate)
	w.after(600*time.Millisecond, w.operate)
	w.after(4*time.Second, w.propose)
	w.after(100*time.Millisecond, w.breakSomething)
	w.after(400*time.Millisecond, w.breakSomething)
	w.run()
	return w
}

// operate is one operator: it changes the zone through some entry host.
func (w *world) operate() {
	e := w.entries[w.random.IntN(len(w.entries))]
	state := model.ZoneOut
	if w.random.IntN(5) < 2 {
		state = model.ZoneIn
	}
	e.do(func() { e.order(state) })
	w.after(w.between(500*time.Millisecond, 8*time.Second), w.operate)
}

// propose lets some entry host write a new home assignment.
func (w *world) propose() {
	e := w.entries[w.random.IntN(len(w.entries))]
	e.do(func() {
		next := wire.Assignment{Version: e.core.View().Assignment + 1, Ranges: []wire.HomeRange{{Home: "a1", Incarnation: 1}}}
		e.configStep(configstore.ProposeAssignment{Assignment: next})
	})
	w.after(w.between(500*time.Millisecond, 6*time.Second), w.propose)
}

// breakSomething begins one fault, and ends it later. Faults overlap.
func (w *world) breakSomething() {
	w.after(w.between(200*time.Millisecond, 4*time.Second), w.breakSomething)
	length := w.between(300*time.Millisecond, 9*time.Second)
	e := w.entries[w.random.IntN(len(w.entries))]
	a := w.agents[w.random.IntN(len(w.agents))]
	switch w.random.IntN(14) {
	case 0:
		w.storeDown = true
		w.after(2*length, func() { w.storeDown = false })
	case 1:
		w.storeFrozen = true
		w.after(length, w.thaw)
	case 2:
		w.loseAnswers = true
		w.after(length, func() { w.loseAnswers = false })
	case 3, 4:
		e.pausedUntil = w.clock.Now().Add(length)
	case 5:
		a.pausedUntil = w.clock.Now().Add(length)
	case 6:
		e.dead = true
		w.after(length, func() {
			if e.dead {
				e.start()
			}
		})
	case 7:
		w.cut(e.name(), "store", 2*length)
	case 8:
		w.cut(e.name(), w.entries[w.random.IntN(len(w.entries))].name(), 2*length)
	case 9:
		w.cut(e.name(), a.id, 2*length)
		a.do(func() { a.reconnect(e.id) })
	case 10, 11:
		w.isolate(e, length)
	case 12:
		w.replaceEntries(2 * length)
	default:
		// An answer is lost, and the host that wrote is cut off at once.
		w.loseAnswers = true
		e.do(func() { e.order(model.ZoneOut) })
		w.after(100*time.Millisecond, func() {
			w.loseAnswers = false
			w.replaceEntries(2 * length)
		})
	}
}

// isolate cuts an entry host off from the table service and from the others,
// but not from its agents.
func (w *world) isolate(e *entryHost, length time.Duration) {
	w.cut(e.name(), "store", length)
	for _, peer := range w.entries {
		w.cut(e.name(), peer.name(), length)
	}
}

// replaceEntries cuts all entry hosts off from the table service, and starts a
// new one that reaches it but none of them. Its operator takes the zone out.
func (w *world) replaceEntries(length time.Duration) {
	if len(w.entries) >= 6 {
		return
	}
	w.joined++
	present := slices.Clone(w.entries)
	fresh := w.addEntry(model.EntryID(fmt.Sprint("n", w.joined)))
	for _, e := range present {
		w.cut(e.name(), "store", length)
		w.cut(e.name(), fresh.name(), length)
	}
	w.after(w.between(2*time.Second, 5*time.Second), func() { fresh.do(func() { fresh.order(model.ZoneOut) }) })
	w.after(length+4*time.Second, func() {
		fresh.do(func() { fresh.rosterStep(membership.RosterStop{}) })
	})
	w.after(length+8*time.Second, func() {
		fresh.dead = true
		w.entries = slices.DeleteFunc(w.entries, func(e *entryHost) bool { return e == fresh })
	})
}

func (w *world) cut(a, b string, length time.Duration) {
	w.cuts[link(a, b)] = true
	w.after(length, func() { delete(w.cuts, link(a, b)) })
}

const (
	seeds      = 16
	seedLength = 2 * time.Minute
)

// TestNoStartAfterTakeOut lets none of the seeds start a task more than the
// validity of a permit after any entry host knew that the zone is out, or a
// request under an assignment that was replaced for as long.
func TestNoStartAfterTakeOut(t *testing.T) {
	starts, tries, changes := 0, 0, 0
	for seed := range uint64(seeds) {
		w := runSeed(seed, variant{limits: testLimits()}, seedLength)
		starts, tries, changes = starts+w.starts, tries+w.tries, changes+len(w.landed)
		if len(w.violations) > 0 {
			t.Errorf("seed %d: %d late starts, the first: %s", seed, len(w.violations), w.violations[0])
		}
	}
	t.Logf("%d seeds of %v: %d zone changes took effect, %d of %d tries to start were allowed",
		seeds, seedLength, changes, starts, tries)
	if starts < tries/20 {
		t.Errorf("only %d of %d tries to start were allowed: the test shows little", starts, tries)
	}
}

// TestEachRuleIsNeeded switches single rules off and expects late starts. The
// first seed tried is one that showed a late start when the test was written.
func TestEachRuleIsNeeded(t *testing.T) {
	cases := []struct {
		name  string
		rule  variant
		first uint64
	}{
		{"validity counted from the heartbeat alone", variant{fullValidity: true, limits: testLimits()}, 9},
		{"new members write before they are known", variant{noEstablishing: true, limits: testLimits()}, 0},
		{"a take-out counts only after its confirmation", variant{lateState: true, limits: testLimits()}, 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := c.first; seed < c.first+5*seeds; seed++ {
				if w := runSeed(seed, c.rule, seedLength); len(w.violations) > 0 {
					t.Logf("seed %d: %s", seed, w.violations[0])
					return
				}
			}
			t.Error("no seed shows a late start without the rule")
		})
	}
}

// TestNoStartAfterEarlyFaults is TestNoStartAfterTakeOut with faults while the
// entry hosts still join.
func TestNoStartAfterEarlyFaults(t *testing.T) {
	const first, last = 60, 200
	for seed := uint64(first); seed <= last; seed++ {
		if w := runEarlySeed(seed, variant{limits: testLimits()}); len(w.violations) > 0 {
			t.Errorf("seed %d: %s", seed, w.violations[0])
		}
	}
}

// TestWorkInAnOutage measures the share of tries to start that are allowed
// while the table service is down, under the roster rule and without it.
func TestWorkInAnOutage(t *testing.T) {
	cases := []struct {
		name   string
		limits permit.Limits
		faults func(w *world)
		outage time.Duration
		low    float64
		high   float64
	}{
		{"fail closed", permit.Limits{Validity: permit.DefaultLimits().Validity, MinValidity: 200 * time.Millisecond}, nil, time.Minute, 0, 0.15},
		{"roster rule", permit.DefaultLimits(), nil, time.Minute, 0.99, 1},
		{"roster rule, past its limit", permit.DefaultLimits(), nil, 30 * time.Minute, 0.3, 0.36},
		{"roster rule, one entry host dead", permit.DefaultLimits(), func(w *world) { w.entries[2].dead = true }, time.Minute, 0, 0.15},
		{"roster rule, one entry host cut off", permit.DefaultLimits(), func(w *world) {
			w.cut("e1", "e3", time.Hour)
			w.cut("e2", "e3", time.Hour)
		}, time.Minute, 0, 0.15},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(1, variant{limits: c.limits}, 10*time.Second+c.outage)
			for _, id := range []model.EntryID{"e1", "e2", "e3"} {
				w.addEntry(id)
			}
			w.addAgent("a1", "")
			w.after(10*time.Second, func() {
				w.storeDown, w.starts, w.tries = true, 0, 0
				if c.faults != nil {
					c.faults(w)
				}
			})
			w.run()
			share := float64(w.starts) / float64(w.tries)
			t.Logf("an outage of %v: %.1f %% of the tries to start were allowed", c.outage, 100*share)
			if share < c.low || share > c.high {
				t.Errorf("share %.3f is not between %.2f and %.2f", share, c.low, c.high)
			}
		})
	}
}
