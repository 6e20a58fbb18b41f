package permit_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/ownership"
	"dragonflyyard/internal/storeapi"
)

// ownerHold is how long an owner with an expired lease may act after the instant
// that OwnerAgreement returns, as in the entry host's shell.
const ownerHold = time.Second

// ownerView is an entry host's view of the region's owner, maintained as in the
// entry host's shell.
type ownerView struct {
	epoch model.Epoch
	mine  bool
	until time.Time
}

func (e *entryHost) startCandidate() {
	e.candidate = ownership.NewCandidate(ownership.DefaultLimits(), "r", e.id, model.Incarnation(e.incarnation))
	e.owner = ownerView{}
	e.every(tickEvery, func() {
		view := e.roster.View()
		e.candidate.SetEligibility(view.Established || e.w.variant.noEstablishing, view.Check)
		e.ownerStep(ownership.Tick{})
		e.extendOwnership()
		e.checkOwnerAction()
	})
}

func (e *entryHost) ownerStep(in ownership.Input) {
	w := e.w
	for _, action := range e.candidate.Step(w.clock.Now(), in) {
		switch a := action.(type) {
		case ownership.ReadRow:
			w.call(e, false, func() func(error) {
				row, err := w.store.Get(context.Background(), a.Key)
				if errors.Is(err, storeapi.ErrNotFound) {
					row = storeapi.Row{Key: a.Key}
				}
				return func(error) {
					e.ownerStep(ownership.RowRead{Call: a.Call, Result: storeapi.ResultOK, Row: row})
				}
			}, func(error) { e.ownerStep(ownership.RowRead{Call: a.Call, Result: storeapi.ResultUnavailable}) })
		case ownership.CommitRow:
			w.call(e, true, func() func(error) {
				versions, err := w.store.Commit(context.Background(), a.Transaction)
				return func(error) {
					e.ownerStep(ownership.RowCommitted{Call: a.Call, Result: storeapi.ResultOf(err), Versions: versions})
				}
			}, func(err error) {
				e.ownerStep(ownership.RowCommitted{Call: a.Call, Result: storeapi.ResultOf(err)})
			})
		default:
			e.takeOwnership(action)
		}
	}
}

func (e *entryHost) takeOwnership(action ownership.Action) {
	switch a := action.(type) {
	case ownership.Acquired:
		e.owner = ownerView{epoch: a.Epoch, mine: true, until: a.ValidUntil}
		if _, seen := e.w.epochKnown[a.Epoch]; !seen {
			e.w.epochKnown[a.Epoch] = e.w.clock.Now()
		}
	case ownership.Renewed:
		e.owner.until = a.ValidUntil
	case ownership.Lost:
		if a.Reason != ownership.LossExpired {
			e.owner = ownerView{epoch: a.Epoch}
		}
	case ownership.Observed:
		e.observeEpoch(a.Lease.Epoch)
	}
}

// observeEpoch records that some host owns the region under the epoch.
func (e *entryHost) observeEpoch(epoch model.Epoch) {
	if epoch > e.owner.epoch {
		e.owner = ownerView{epoch: epoch}
	}
}

func (e *entryHost) extendOwnership() {
	if !e.owner.mine {
		return
	}
	since, agreed := e.issuer.OwnerAgreement(e.w.clock.Now(), e.owner.epoch)
	if until := since.Add(ownerHold); agreed && until.After(e.owner.until) {
		e.owner.until = until
	}
}

// checkOwnerAction records a violation when a host acts as the owner more than
// ownerHold after another host acquired a later epoch. A new owner waits for
// longer than ownerHold before its first decision.
func (e *entryHost) checkOwnerAction() {
	w := e.w
	if !e.owner.mine || !w.clock.Now().Before(e.owner.until) {
		return
	}
	w.ownerActions++
	for epoch, acquired := range w.epochKnown {
		if late := w.clock.Now().Sub(acquired); epoch > e.owner.epoch && late > ownerHold {
			w.violations = append(w.violations, fmt.Sprintf("%v: %s acts under epoch %d %v after epoch %d was acquired",
				w.clock.Now().Sub(runStart), e.id, e.owner.epoch, late, epoch))
		}
	}
}

// TestOwnerGoesOnInAnOutage checks that the region keeps an owner for at least
// nine tenths of a 30 s outage of the table service.
func TestOwnerGoesOnInAnOutage(t *testing.T) {
	w := newWorld(1, variant{limits: testLimits()}, 40*time.Second)
	w.variant.limits.OutageLimit = time.Hour
	for _, id := range []model.EntryID{"e1", "e2", "e3"} {
		w.addEntry(id)
	}
	w.after(10*time.Second, func() { w.storeDown, w.ownerActions = true, 0 })
	w.run()
	ticks := int(30 * time.Second / tickEvery)
	t.Logf("%d of %d ticks of the outage had an owner, after %d epochs", w.ownerActions, ticks, len(w.epochKnown))
	if w.ownerActions < ticks*9/10 || len(w.violations) > 0 {
		t.Errorf("%d of %d ticks of the outage had an owner; %v", w.ownerActions, ticks, w.violations)
	}
}
