package ownership

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/coretest"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
)

// host drives one candidate against a store and records its actions. Results are
// delivered at once unless resultDelay is set.
type host struct {
	t         *testing.T
	store     *standin.Store
	candidate *Candidate
	actions   []Action
	// paused is set while the host takes no step: inputs are lost, and delayed
	// results wait.
	paused bool
	// resultDelay returns the delay of the next result; nil delivers results at
	// once. A negative delay loses the result.
	resultDelay func() time.Duration
	delayed     coretest.Delayed[Input]
}

// reply delivers a result to the candidate, now or after resultDelay.
func (h *host) reply(now time.Time, in Input) {
	if h.resultDelay == nil {
		h.step(now, in)
		return
	}
	if delay := h.resultDelay(); delay >= 0 {
		h.delayed.Add(now.Add(delay), in)
	}
}

// deliver passes the candidate the delayed results that are due.
func (h *host) deliver(now time.Time) {
	if h.paused {
		return
	}
	h.delayed.Deliver(now, func(in Input) { h.step(now, in) })
}

func newHost(t *testing.T, store *standin.Store, id model.EntryID) *host {
	return &host{t: t, store: store, candidate: NewCandidate(DefaultLimits(), "r", id, 1)}
}

func (h *host) step(now time.Time, in Input) {
	if h.paused {
		return
	}
	for _, action := range h.candidate.Step(now, in) {
		h.actions = append(h.actions, action)
		switch a := action.(type) {
		case ReadRow:
			h.reply(now, h.read(a))
		case CommitRow:
			h.reply(now, h.commit(a))
		}
	}
}

func (h *host) read(a ReadRow) RowRead {
	row, err := h.store.Get(coretest.Cancelled(), a.Key)
	if errors.Is(err, storeapi.ErrNotFound) {
		err = nil
	}
	return RowRead{Call: a.Call, Result: storeapi.ResultOf(err), Row: row}
}

func (h *host) commit(a CommitRow) RowCommitted {
	versions, err := h.store.Commit(coretest.Cancelled(), a.Transaction)
	return RowCommitted{Call: a.Call, Result: storeapi.ResultOf(err), Versions: versions}
}

// lossReasons returns the reason of each Lost action, in order.
func (h *host) lossReasons() []LossReason {
	var reasons []LossReason
	for _, action := range h.actions {
		if lost, ok := action.(Lost); ok {
			reasons = append(reasons, lost.Reason)
		}
	}
	return reasons
}
