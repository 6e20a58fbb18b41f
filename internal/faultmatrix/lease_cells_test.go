package faultmatrix

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/ownership"
	"dragonflyyard/internal/platform"
	"dragonflyyard/internal/statechart"
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
	faults := []Fault{
		HostKilled, ProcessFrozen, ConnectionSilent, ConnectionCut, ConnectionSlow, MessageDuplicated, MessageReordered,
		MessageLost, TableDown, TableSlow, TableAnswerLost, LeaseLapsed, EntryKilled, OwnerKilled, OwnerDeposed, SecondFault,
	}
	registerEach("lease", PromiseOwnership, allSteps("lease"), faults, runLeaseCell)
	registerImpossibleRows("lease", PromiseOwnership, "no agent takes part in a step of this chart", AgentKilled)
	registerImpossibleRows("lease", PromiseOwnership, "no step of this chart reads or writes the object store", ObjectStoreDown)
}

// leaseHost is one entry host with its candidate.
type leaseHost struct {
	w           *leaseWorld
	id          model.EntryID
	incarnation model.Incarnation
	candidate   *ownership.Candidate
	path        *callPath
	dead        bool
	pausedUntil time.Time
	// stopping is set by a planned stop, handedOver once the candidate is done.
	stopping, handedOver bool
}

// leaseWorld runs candidates and checks that no two of them are acted upon.
type leaseWorld struct {
	*world
	t      *testing.T
	hosts  []*leaseHost
	epochs model.Epoch
	// decided is the highest epoch whose fenced write took effect.
	decided model.Epoch
	trace   func(h *leaseHost, s step)
	// stopNextLoser stops the next candidate that loses a race for the lease.
	stopNextLoser bool
}

func newLeaseWorld(t *testing.T, seed uint64) *leaseWorld {
	w := &leaseWorld{world: newWorld(seed), t: t}
	for i := range leaseCandidates {
		h := &leaseHost{w: w, id: model.EntryID(fmt.Sprintf("entry-%d", i))}
		h.begin()
		w.hosts = append(w.hosts, h)
	}
	return w
}

// begin starts a new life of the host.
func (h *leaseHost) begin() {
	h.incarnation++
	h.dead, h.stopping, h.handedOver, h.pausedUntil = false, false, false, time.Time{}
	h.path = newCallPath(h.w.world)
	h.candidate = ownership.NewCandidate(ownership.DefaultLimits(), "r", h.id, h.incarnation)
	chart := statechart.MustLoad("lease")
	h.candidate.Trace(func(s statechart.Transition) {
		h.w.notef("%s %s -> %s on %s", h.id, chart.StateName(s.From), chart.StateName(s.To), chart.EventName(s.Event))
		h.w.taken(h, step{chart.StateName(s.From), chart.EventName(s.Event)})
	})
}

// taken learns of each transition of a candidate.
func (w *leaseWorld) taken(h *leaseHost, s step) {
	if w.stopNextLoser && s == (step{"acquiring", "check_failed"}) {
		w.stopNextLoser = false
		w.after(0, func() { w.stop(h) })
	}
	if w.trace != nil {
		w.trace(h, s)
	}
}

// step hands an input to the host's present life. A paused host gets it when
// it wakes.
func (h *leaseHost) step(in ownership.Input) {
	life := h.incarnation
	if h.dead {
		return
	}
	if h.w.now.Before(h.pausedUntil) {
		h.w.after(h.pausedUntil.Sub(h.w.now), func() {
			if h.incarnation == life {
				h.step(in)
			}
		})
		return
	}
	for _, action := range h.candidate.Step(h.w.now, in) {
		h.perform(action, life)
	}
}

func (h *leaseHost) perform(action ownership.Action, life model.Incarnation) {
	reply := func(in ownership.Input) func() {
		return func() {
			if h.incarnation == life {
				h.step(in)
			}
		}
	}
	switch a := action.(type) {
	case ownership.ReadRow:
		failed := reply(ownership.RowRead{Call: a.Call, Result: ownership.ResultUnavailable})
		h.path.send(false, func() func() {
			row, _ := h.w.store.Get(atOnce(), a.Key)
			return reply(ownership.RowRead{Call: a.Call, Result: ownership.ResultOK, Row: row})
		}, failed, failed)
	case ownership.CommitRow:
		h.path.send(true, func() func() {
			versions, err := h.w.store.Commit(atOnce(), a.Transaction)
			result := ownership.ResultOK
			if errors.Is(err, platform.ErrConflict) {
				result = ownership.ResultConflict
			}
			return reply(ownership.RowCommitted{Call: a.Call, Result: result, Versions: versions})
		}, reply(ownership.RowCommitted{Call: a.Call, Result: ownership.ResultUnavailable}),
			reply(ownership.RowCommitted{Call: a.Call, Result: ownership.ResultInDoubt}))
	case ownership.Acquired:
		h.w.acquired(h, a)
	case ownership.HandedOver:
		h.handedOver = true
	}
}

// acquired checks that epochs grow: no epoch is acquired twice, so that what
// was sent before a loss is fenced off from what is sent after it.
func (w *leaseWorld) acquired(h *leaseHost, a ownership.Acquired) {
	w.notef("%s acquired epoch %d", h.id, a.Epoch)
	if a.Epoch <= w.epochs {
		w.fail("%s acquired epoch %d after epoch %d", h.id, a.Epoch, w.epochs)
	}
	w.epochs = a.Epoch
	if _, holds := h.candidate.Holds(w.now); !holds || h.stopping {
		w.fail("%s is told that it acquired epoch %d: holds %v, stopping %v", h.id, a.Epoch, holds, h.stopping)
	}
}

// fail reports a broken promise with what led to it. The runs that look for
// seeds have no test; what they break is found again by a cell.
func (w *leaseWorld) fail(format string, args ...any) {
	if w.t == nil {
		return
	}
	w.t.Helper()
	w.t.Errorf("%s: %s\n%s", w.now.Sub(w.start), fmt.Sprintf(format, args...), w.history())
}

// tick steps all hosts, lets holders act and checks what must always hold.
func (w *leaseWorld) tick() {
	holders := 0
	for _, h := range w.hosts {
		h.step(ownership.Tick{})
		if epoch, holds := h.candidate.Holds(w.now); holds && !h.dead {
			holders++
			if !w.now.Before(h.pausedUntil) {
				w.act(h, epoch)
			}
		}
	}
	if holders > 1 {
		w.fail("%d holders at once", holders)
	}
}

// act sends a fenced write, as the scheduler does with a decision. It may reach
// the table service long after the lease has passed.
func (w *leaseWorld) act(h *leaseHost, epoch model.Epoch) {
	if w.random.IntN(4) > 0 {
		return
	}
	check := h.candidate.Check()
	w.after(w.between(0, leaseLongPause), func() {
		tx := platform.Transaction{Checks: []platform.Check{check}, Puts: []platform.Put{{Key: "decision"}}}
		if _, err := w.store.Commit(atOnce(), tx); err != nil {
			return
		}
		if epoch < w.decided {
			w.fail("a decision of epoch %d took effect after one of epoch %d", epoch, w.decided)
		}
		w.decided = epoch
	})
}

// disturb does one random thing of those that lead through all transitions.
func (w *leaseWorld) disturb() {
	h := w.hosts[w.random.IntN(len(w.hosts))]
	length := w.between(100*time.Millisecond, 4*time.Second)
	switch w.random.IntN(13) {
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
	_, _ = w.store.Commit(atOnce(), platform.Transaction{Puts: []platform.Put{
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
	w.heal()
	w.run(leaseSettle, w.tick)
	h := w.holder(nil)
	if h == nil {
		w.fail("nobody holds the lease after all faults were healed (seed %d)", seed)
		return
	}
	if epoch, _ := h.candidate.Holds(w.now); w.decided != epoch {
		w.fail("no decision of the holder's epoch %d took effect (seed %d)", epoch, seed)
	}
}
