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

// TestNoLateStartBesideNewcomers lets new entry hosts pass over silent ones. It
// fails where silent ones are removed while they may still rely on each other.
func TestNoLateStartBesideNewcomers(t *testing.T) {
	const seeds = 60
	for seed := range uint64(seeds) {
		if w := runNewcomerSeed(seed, variant{limits: testLimits()}); len(w.violations) > 0 {
			t.Errorf("seed %d: %s", seed, w.violations[0])
		}
	}
	if w := runNewcomerSeed(0, variant{limits: testLimits(), removesEarly: true}); len(w.violations) == 0 {
		t.Error("no fault where silent members are removed early: the test shows little")
	}
}
