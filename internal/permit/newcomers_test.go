package permit_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflyyard/internal/model"
)

// runNewcomerSeed lets entry hosts die for good, or be cut off from the table
// service and from all that join later, at any time from the start on. New ones
// take their place, change the zone and own the region.
func runNewcomerSeed(seed uint64, v variant) *world {
	const length = 45 * time.Second
	w := newWorld(seed, v, length)
	for _, id := range []model.EntryID{"e1", "e2", "e3"} {
		w.after(w.between(0, 2*time.Second), func() { w.addEntry(id) })
	}
	w.after(w.between(0, time.Second), func() { w.addEntry("e0") })
	w.addAgent("a1", "")
	w.addAgent("a2", "e1")
	w.addAgent("a3", "e2")
	w.after(3*time.Second, w.operate)
	w.after(4*time.Second, w.propose)
	w.after(w.between(0, 8*time.Second), w.replaceSome)
	w.after(w.between(8*time.Second, 20*time.Second), w.replaceSome)
	w.after(w.between(1*time.Second, 20*time.Second), w.breakSomething)
	w.run()
	return w
}

// replaceSome takes most of the present entry hosts away and adds new ones.
func (w *world) replaceSome() {
	var parted []*entryHost
	for _, e := range w.entries {
		switch w.random.IntN(4) {
		case 0:
			e.dead = true
		case 1, 2:
			parted = append(parted, e)
			w.cut(e.name(), "store", parting)
		}
	}
	for range 1 + w.random.IntN(2) {
		w.after(w.between(0, 6*time.Second), func() {
			w.joined++
			fresh := w.addEntry(model.EntryID(fmt.Sprint("n", w.joined)))
			for _, e := range parted {
				w.cut(e.name(), fresh.name(), parting)
			}
			w.after(w.between(3*time.Second, 8*time.Second), func() { fresh.do(func() { fresh.order(model.ZoneOut) }) })
		})
	}
}

// parting is how long entry hosts are cut off; it is longer than the limit of
// an outage.
const parting = 30 * time.Second

// TestNoLateStartBesideNewcomers lets new entry hosts pass over silent ones.
func TestNoLateStartBesideNewcomers(t *testing.T) {
	const seeds = 60
	for seed := range uint64(seeds) {
		if w := runNewcomerSeed(seed, variant{limits: testLimits()}); len(w.violations) > 0 {
			t.Errorf("seed %d: %s", seed, w.violations[0])
		}
	}
}

// TestOutageEndsBeforeRemoval cuts all entry hosts off from the table service
// for long, and lets a new one remove them. The time for which the others go on
// must end before: otherwise two owners act.
func TestOutageEndsBeforeRemoval(t *testing.T) {
	for _, tc := range []struct {
		name         string
		outage       time.Duration
		removesEarly bool
		fails        bool
	}{
		{"the outage limit is shorter", 20 * time.Second, false, false},
		{"the outage limit is longer", time.Minute, false, true},
		{"members are removed after seconds", 20 * time.Second, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			limits := testLimits()
			limits.OutageLimit = tc.outage
			w := newWorld(1, variant{limits: limits, removesEarly: tc.removesEarly}, 80*time.Second)
			var present []*entryHost
			for _, id := range []model.EntryID{"e1", "e2", "e3"} {
				present = append(present, w.addEntry(id))
			}
			w.addAgent("a1", "e1")
			w.after(12*time.Second, func() {
				fresh := w.addEntry("n1")
				for _, e := range present {
					w.cut(e.name(), "store", 2*parting)
					w.cut(e.name(), fresh.name(), 2*parting)
				}
			})
			w.run()
			if failed := len(w.violations) > 0; failed != tc.fails {
				t.Errorf("%d violations, want some: %v; %v", len(w.violations), tc.fails, w.violations)
			}
			t.Logf("%d acts of owners, %d starts, %d epochs", w.acts, w.starts, len(w.epochKnown))
		})
	}
}

// whenListed runs a function as soon as two entry hosts have listed each other.
func (w *world) whenListed(hosts []*entryHost, run func()) {
	for _, e := range hosts {
		if view := e.roster.View(); !view.Listed || len(view.Others) != 1 {
			w.after(time.Millisecond, func() { w.whenListed(hosts, run) })
			return
		}
	}
	run()
}

// TestNobodyReliesUnwritten cuts two entry hosts off, before they are
// established, from the table service and from a new one. They know each other,
// but their rows name nobody, so the new one passes them over and takes the zone
// out.
func TestNobodyReliesUnwritten(t *testing.T) {
	for _, unwritten := range []bool{false, true} {
		t.Run(fmt.Sprint("relies on whom it knows: ", unwritten), func(t *testing.T) {
			w := newWorld(1, variant{limits: testLimits(), reliesUnwritten: unwritten}, 20*time.Second)
			present := []*entryHost{w.addEntry("e1"), w.addEntry("e2")}
			w.addAgent("a1", "e1")
			w.whenListed(present, func() {
				fresh := w.addEntry("n1")
				for _, e := range present {
					w.cut(e.name(), "store", parting)
					w.cut(e.name(), fresh.name(), parting)
				}
				w.after(7*time.Second, func() { fresh.do(func() { fresh.order(model.ZoneOut) }) })
			})
			w.run()
			if len(w.landed) != 1 {
				t.Errorf("%d zone changes took effect, want 1", len(w.landed))
			}
			if failed := len(w.violations) > 0; failed != unwritten {
				t.Errorf("%d violations, want some: %v; %v", len(w.violations), unwritten, w.violations)
			}
		})
	}
}
