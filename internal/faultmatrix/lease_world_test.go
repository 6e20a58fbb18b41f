package faultmatrix

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/ownership"
	"dragonflyyard/internal/statechart"
	"dragonflyyard/internal/storeapi"
)

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
	t      reporter
	hosts  []*leaseHost
	epochs model.Epoch
	// decided is the highest epoch whose fenced write took effect.
	decided model.Epoch
	trace   func(h *leaseHost, s step)
	// stopNextWriter stops the next candidate that writes the lease, while its
	// write is under way.
	stopNextWriter bool
	// stopNextLoser stops the next candidate that loses a race for the lease.
	stopNextLoser bool
}

func newLeaseWorld(t reporter, seed uint64) *leaseWorld {
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
	if w.stopNextWriter && s.event == "candidate_due" {
		w.stopNextWriter = false
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
		failed := reply(ownership.RowRead{Call: a.Call, Result: storeapi.ResultUnavailable})
		h.path.send(false, func() func() {
			row, _ := h.w.store.Get(atOnce(), a.Key)
			return reply(ownership.RowRead{Call: a.Call, Result: storeapi.ResultOK, Row: row})
		}, failed, failed)
	case ownership.CommitRow:
		h.path.send(true, func() func() {
			versions, err := h.w.store.Commit(atOnce(), a.Transaction)
			result := storeapi.ResultOK
			if errors.Is(err, storeapi.ErrConflict) {
				result = storeapi.ResultConflict
			}
			return reply(ownership.RowCommitted{Call: a.Call, Result: result, Versions: versions})
		}, reply(ownership.RowCommitted{Call: a.Call, Result: storeapi.ResultUnavailable}),
			reply(ownership.RowCommitted{Call: a.Call, Result: storeapi.ResultInDoubt}))
	case ownership.Acquired:
		h.w.acquired(h, a)
	case ownership.HandedOver:
		h.handedOver = true
	}
}

// acquired checks that epochs grow: no epoch is acquired twice, so that what
// was sent before a loss is fenced off from what is sent after it. What was
// acquired stands in the table, unless a later epoch has replaced it.
func (w *leaseWorld) acquired(h *leaseHost, a ownership.Acquired) {
	w.notef("%s acquired epoch %d", h.id, a.Epoch)
	if a.Epoch <= w.epochs {
		w.fail("%s acquired epoch %d after epoch %d", h.id, a.Epoch, w.epochs)
	}
	w.epochs = a.Epoch
	row, _ := w.store.Get(atOnce(), ownership.RowKey("r"))
	kept, err := ownership.DecodeLease(row)
	isMine := kept.Owner == h.id && kept.Incarnation == h.incarnation && kept.Epoch == a.Epoch
	if err != nil || !isMine && kept.Epoch <= a.Epoch {
		w.fail("%s acquired epoch %d, and the table has %+v", h.id, a.Epoch, kept)
	}
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
	check := h.candidate.FencingCheck()
	w.after(w.between(0, leaseLongPause), func() {
		tx := storeapi.Transaction{Checks: []storeapi.Check{check}, Puts: []storeapi.Put{{Key: "decision"}}}
		if _, err := w.store.Commit(atOnce(), tx); err != nil {
			return
		}
		if epoch < w.decided {
			w.fail("a decision of epoch %d took effect after one of epoch %d", epoch, w.decided)
		}
		w.decided = epoch
	})
}
