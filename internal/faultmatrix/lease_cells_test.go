package faultmatrix

import (
	"sync"
	"testing"
	"time"

	"dragonflyyard/internal/ownership"
	"dragonflyyard/internal/storeapi"
)

// Sizes and times of a run of the lease's candidates.
const (
	leaseCandidates = 3
	leaseWarmUp     = 3 * time.Second
	leaseStorm      = 25 * time.Second
	leaseSettle     = 10 * time.Second
	// leaseFaultLength is longer than any fault with what follows from it.
	leaseFaultLength = 8 * time.Second
	// leaseSeeds bounds the seeds that are tried until a run takes its step.
	leaseSeeds = 40
	// A pause inside a lease's time, and one that outlasts it.
	leaseShortPause = 1500 * time.Millisecond
	leaseLongPause  = 6 * time.Second
)

func init() {
	registerEach("lease", []Promise{PromiseOwnership, PromiseStore}, allSteps("lease"), leaseFaults(), runLeaseCell)
	registerImpossibleRows("lease", PromiseOwnership, "no agent takes part in a step of this chart", AgentKilled)
	registerImpossibleRows("lease", PromiseOwnership, "no step of this chart reads or writes the object store", ObjectStoreDown)
}

// leaseFaults are the faults of the lease's rows.
func leaseFaults() []Fault {
	return []Fault{
		HostKilled, ProcessFrozen, ConnectionSilent, ConnectionCut, ConnectionSlow, MessageDuplicated, MessageReordered,
		MessageLost, TableDown, TableSlow, TableAnswerLost, LeaseLapsed, EntryKilled, OwnerKilled, OwnerDeposed, SecondFault,
	}
}

// disturb does one random thing of those that lead through all transitions.
func (w *leaseWorld) disturb() {
	h := w.hosts[w.random.IntN(len(w.hosts))]
	length := w.between(100*time.Millisecond, 4*time.Second)
	switch w.random.IntN(14) {
	case 0:
		w.storeDown = w.now.Add(length)
	case 1:
		w.answersLost = w.now.Add(length)
	case 2:
		h.path.silentUntil = w.now.Add(length)
	case 3:
		h.pausedUntil = w.now.Add(length)
	case 4, 5:
		w.stop(h)
	case 6:
		w.overwrite()
	case 7:
		h.path.lateUntil = w.now.Add(length)
	case 8:
		w.renewLate(w.holder(h))
	case 9:
		w.answersLost = w.now.Add(length)
		w.after(length/2, func() { w.stop(h) })
	case 10:
		w.answersLost = w.now.Add(length / 2)
		w.after(length/2, func() { w.storeDown = w.now.Add(length / 2) })
	case 11:
		w.stopNextLoser = true
	case 12:
		w.stopNextWriter = true
	}
}

// renewLate lets the host's next renewal be confirmed between the old end of
// its lease and the new one.
func (w *leaseWorld) renewLate(h *leaseHost) {
	const timeout, way = 2900 * time.Millisecond, 1300 * time.Millisecond
	path := h.path
	path.timeout, path.fixedDelay = timeout, way
	w.after(timeout, func() { path.timeout, path.fixedDelay = callTimeout, 0 })
}

// stop stops a host as planned and starts it again later.
func (w *leaseWorld) stop(h *leaseHost) {
	life := h.incarnation
	h.step(ownership.Stop{})
	h.stopping = !w.now.Before(h.pausedUntil)
	w.after(5*time.Second, func() {
		if h.incarnation == life {
			h.begin()
		}
	})
}

// overwrite puts another owner into the row, as an operator who repairs it by
// hand. The epoch's row is written with it, as the candidates do.
func (w *leaseWorld) overwrite() {
	lease := ownership.Lease{Owner: "repair", Incarnation: 1, Write: 1}
	row, _ := w.store.Get(atOnce(), ownership.RowKey("r"))
	if known, err := ownership.DecodeLease(row); err == nil {
		lease.Epoch = known.Epoch
	}
	lease.Epoch++
	w.notef("the row is overwritten with epoch %d", lease.Epoch)
	value := ownership.EncodeLease(lease)
	_, _ = w.store.Commit(atOnce(), storeapi.Transaction{Puts: []storeapi.Put{
		{Key: ownership.RowKey("r"), Value: value}, {Key: ownership.EpochKey("r"), Value: value}}})
}

func (w *leaseWorld) kill(h *leaseHost, comesBack bool) {
	h.dead = true
	life := h.incarnation
	if comesBack {
		w.after(leaseLongPause/2, func() {
			if h.incarnation == life {
				h.begin()
			}
		})
	}
}

// holder returns the host that holds the lease, or else the given one.
func (w *leaseWorld) holder(otherwise *leaseHost) *leaseHost {
	for _, h := range w.hosts {
		if _, holds := h.candidate.Holds(w.now); holds && !h.dead {
			return h
		}
	}
	return otherwise
}

// put applies a fault to the host that took the step.
func (w *leaseWorld) put(h *leaseHost, f Fault) {
	w.notef("fault %s at %s", f, h.id)
	if w.putOnStore(f) || h.path.put(f) {
		return
	}
	switch f {
	case HostKilled:
		w.kill(h, false)
	case EntryKilled:
		w.kill(h, true)
	case ProcessFrozen:
		h.pausedUntil = w.now.Add(leaseShortPause)
	case LeaseLapsed:
		h.pausedUntil = w.now.Add(leaseLongPause)
	case OwnerKilled:
		w.kill(w.holder(h), true)
	case OwnerDeposed:
		w.holder(h).pausedUntil = w.now.Add(leaseLongPause)
		w.after(leaseLongPause/3, w.overwrite)
	case SecondFault:
		w.answersLost = w.now.Add(2 * time.Second)
		w.after(500*time.Millisecond, func() { h.pausedUntil = w.now.Add(4 * time.Second) })
		w.after(time.Second, func() { w.kill(w.holder(h), true) })
	}
}

// heal ends all faults and brings every host back.
func (w *leaseWorld) heal() {
	w.healStore()
	for _, h := range w.hosts {
		if h.dead || h.handedOver {
			h.begin()
		}
		h.pausedUntil = time.Time{}
		h.path.heal()
	}
}

// storm runs a world until the faults at its step have played out, or to its end.
func (w *leaseWorld) storm(isHit func() bool) {
	w.run(leaseWarmUp, w.tick)
	if w.random.IntN(4) == 0 {
		w.renewLate(w.holder(w.hosts[0]))
		w.run(leaseWarmUp, w.tick)
	}
	end := w.now.Add(leaseStorm)
	for w.now.Before(end) && !isHit() {
		w.run(worldTick, func() {
			if w.random.IntN(8) == 0 {
				w.disturb()
			}
			w.tick()
		})
	}
	if isHit() {
		w.run(leaseFaultLength, w.tick)
	}
}

// leaseHits finds the seeds of all steps.
var leaseHits = sync.OnceValue(func() hits[step] {
	found := hits[step]{}
	for seed := uint64(1); seed <= leaseSeeds; seed++ {
		w := newLeaseWorld(nil, seed)
		w.trace = func(_ *leaseHost, taken step) { found.add(taken, seed, w.now.Sub(w.start)) }
		w.storm(func() bool { return false })
	}
	return found
})

// runLeaseCell storms until the step is taken, puts the fault there, lets the
// faults play out, heals, and wants one holder in the end.
func runLeaseCell(t *testing.T, s step, f Fault) {
	first, found := leaseHits()[s]
	if !found {
		t.Fatalf("no run of %d seeds takes %s on %s", leaseSeeds, s.from, s.event)
	}
	seed := first.seed
	w := newLeaseWorld(t, seed)
	hit := false
	w.trace = func(h *leaseHost, taken step) {
		if !hit && taken == s {
			hit = true
			w.after(0, func() { w.put(h, f) })
		}
	}
	w.storm(func() bool { return hit })
	if !hit {
		t.Fatalf("seed %d does not take %s on %s again", seed, s.from, s.event)
	}
	w.checkEnd()
}

// checkEnd heals all faults and wants one holder that is acted upon.
func (w *leaseWorld) checkEnd() {
	w.heal()
	w.run(leaseSettle, w.tick)
	if w.isOverBudget() {
		w.fail("%d reads and %d writes of the table service in a second", w.reads.peak, w.writes.peak)
	}
	h := w.holder(nil)
	if h == nil {
		w.fail("nobody holds the lease after all faults were healed")
		return
	}
	if epoch, _ := h.candidate.Holds(w.now); w.decided != epoch {
		w.fail("no decision of the holder's epoch %d took effect", epoch)
	}
}
