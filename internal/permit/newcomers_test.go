package permit_test

import (
	"fmt"
	"testing"
	"time"

	"dragonflyyard/internal/model"
)

// runNewcomerSeed runs a simulation in which entry hosts crash permanently, or
// are partitioned from the table service and from all hosts that join later, at
// any time from the start. New entry hosts replace them, change the zone and
// become owner of the region.
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
	w.after(3*time.Second, w.runOperator)
	w.after(4*time.Second, w.propose)
	w.after(w.between(0, 8*time.Second), w.replaceSomeEntries)
	w.after(w.between(8*time.Second, 20*time.Second), w.replaceSomeEntries)
	w.after(w.between(1*time.Second, 20*time.Second), w.injectFault)
	w.run()
	return w
}

// replaceSomeEntries crashes or partitions most of the current entry hosts and
// adds new ones.
func (w *world) replaceSomeEntries() {
	var partitioned []*entryHost
	for _, e := range w.entries {
		switch w.random.IntN(4) {
		case 0:
			e.dead = true
		case 1, 2:
			partitioned = append(partitioned, e)
			w.cut(e.name(), "store", partitionLength)
		}
	}
	for range 1 + w.random.IntN(2) {
		w.after(w.between(0, 6*time.Second), func() {
			w.joined++
			fresh := w.addEntry(model.EntryID(fmt.Sprint("n", w.joined)))
			for _, e := range partitioned {
				w.cut(e.name(), fresh.name(), partitionLength)
			}
			w.after(w.between(3*time.Second, 8*time.Second), func() { fresh.do(func() { fresh.submitZoneChange(model.ZoneOut) }) })
		})
	}
}

// partitionLength is how long entry hosts are partitioned; it is longer than the
// OutageLimit of testLimits.
const partitionLength = 30 * time.Second

// TestNoLateStartWithNewEntryHosts checks that no task or request starts late
// when new entry hosts become established without hearing from silent ones.
func TestNoLateStartWithNewEntryHosts(t *testing.T) {
	const seeds = 60
	for seed := range uint64(seeds) {
		if w := runNewcomerSeed(seed, variant{limits: testLimits()}); len(w.violations) > 0 {
			t.Errorf("seed %d: %s", seed, w.violations[0])
		}
	}
}

// TestOutageEndsBeforeRemoval guards against two concurrent owners. It
// partitions all entry hosts from the table service for so long that a new one
// removes them from the roster. The time for which they continue without the
// table service must end before their removal.
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
					w.cut(e.name(), "store", 2*partitionLength)
					w.cut(e.name(), fresh.name(), 2*partitionLength)
				}
			})
			w.run()
			if failed := len(w.violations) > 0; failed != tc.fails {
				t.Errorf("%d violations, want some: %v; %v", len(w.violations), tc.fails, w.violations)
			}
			t.Logf("%d owner actions, %d starts, %d epochs", w.ownerActions, w.starts, len(w.epochKnown))
		})
	}
}

// whenListed calls run once each of the two entry hosts lists the other.
func (w *world) whenListed(hosts []*entryHost, run func()) {
	for _, e := range hosts {
		if view := e.roster.View(); !view.Listed || len(view.Others) != 1 {
			w.after(time.Millisecond, func() { w.whenListed(hosts, run) })
			return
		}
	}
	run()
}

// TestNoRelianceBeforeRosterRowIsWritten guards against late starts when a host
// relies on members that its roster row does not name yet. Two entry hosts that
// are not yet established are partitioned from the table service and from a new
// one. They know each other, but their rows name no other host, so the new one
// becomes established without hearing from them and takes the zone out.
func TestNoRelianceBeforeRosterRowIsWritten(t *testing.T) {
	for _, unwritten := range []bool{false, true} {
		t.Run(fmt.Sprint("relies on all known hosts: ", unwritten), func(t *testing.T) {
			w := newWorld(1, variant{limits: testLimits(), reliesUnwritten: unwritten}, 20*time.Second)
			present := []*entryHost{w.addEntry("e1"), w.addEntry("e2")}
			w.addAgent("a1", "e1")
			w.whenListed(present, func() {
				fresh := w.addEntry("n1")
				for _, e := range present {
					w.cut(e.name(), "store", partitionLength)
					w.cut(e.name(), fresh.name(), partitionLength)
				}
				w.after(7*time.Second, func() { fresh.do(func() { fresh.submitZoneChange(model.ZoneOut) }) })
			})
			w.run()
			if len(w.committed) != 1 {
				t.Errorf("%d zone changes took effect, want 1", len(w.committed))
			}
			if failed := len(w.violations) > 0; failed != unwritten {
				t.Errorf("%d violations, want some: %v; %v", len(w.violations), unwritten, w.violations)
			}
		})
	}
}
