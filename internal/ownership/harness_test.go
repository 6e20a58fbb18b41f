package ownership

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/platform"
	"dragonflyyard/internal/standin"
)

// host drives one candidate against a store, with the answers done at once.
type host struct {
	t         *testing.T
	store     *standin.Store
	candidate *Candidate
	log       []Action
	paused    bool
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
			h.step(now, h.read(a))
		case CommitRow:
			h.step(now, h.commit(a))
		}
	}
}

func (h *host) read(a ReadRow) RowRead {
	row, err := h.store.Get(cancelled(), a.Key)
	if errors.Is(err, platform.ErrNotFound) {
		err = nil
	}
	return RowRead{Call: a.Call, Result: resultOf(err), Row: row}
}

func (h *host) commit(a CommitRow) RowCommitted {
	versions, err := h.store.Commit(cancelled(), a.Transaction)
	return RowCommitted{Call: a.Call, Result: resultOf(err), Versions: versions}
}

// cancelled returns a context that gives up at once where a call would wait.
func cancelled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func resultOf(err error) Result {
	switch {
	case err == nil:
		return ResultOK
	case errors.Is(err, platform.ErrConflict):
		return ResultConflict
	case errors.Is(err, platform.ErrInDoubt):
		return ResultInDoubt
	default:
		return ResultUnavailable
	}
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
