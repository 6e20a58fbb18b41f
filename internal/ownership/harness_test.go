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

// host drives one candidate against a store, with the answers done at once.
type host struct {
	t         *testing.T
	store     *standin.Store
	candidate *Candidate
	log       []Action
	paused    bool
	// lateBy draws the delay of each result; nil gives results at once. A
	// negative delay loses the result.
	lateBy  func() time.Duration
	waiting coretest.Delayed[Input]
}

// reply hands the candidate a result, now or later.
func (h *host) reply(now time.Time, in Input) {
	if h.lateBy == nil {
		h.step(now, in)
		return
	}
	if delay := h.lateBy(); delay >= 0 {
		h.waiting.Add(now.Add(delay), in)
	}
}

// deliver hands the candidate the results that have arrived.
func (h *host) deliver(now time.Time) {
	if h.paused {
		return
	}
	h.waiting.Deliver(now, func(in Input) { h.step(now, in) })
}

func newHost(t *testing.T, store *standin.Store, id model.EntryID) *host {
	return &host{t: t, store: store, candidate: NewCandidate(DefaultLimits(), "r", id, 1)}
}

func (h *host) step(now time.Time, in Input) {
	if h.paused {
		return
	}
	for _, action := range h.candidate.Step(now, in) {
		h.log = append(h.log, action)
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

// lost returns the reasons for which the candidate lost leases.
func (h *host) lost() []LossReason {
	var reasons []LossReason
	for _, action := range h.log {
		if lost, ok := action.(Lost); ok {
			reasons = append(reasons, lost.Reason)
		}
	}
	return reasons
}
