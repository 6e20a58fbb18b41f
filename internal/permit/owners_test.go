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

// ownerHold is how long an owner whose lease lapsed acts after the roster's
// agreement, as the entry shell has it.
const ownerHold = time.Second

// ownerView is what an entry host believes of the region's owner, kept as the
// entry shell keeps it.
type ownerView struct {
	epoch model.Epoch
	mine  bool
	until time.Time
}

func (e *entryHost) startCandidate() {
	e.candidate = ownership.NewCandidate(ownership.DefaultLimits(), "r", e.id, model.Incarnation(e.life))
	e.owner = ownerView{}
	e.every(tickEvery, func() {
		view := e.roster.View()
		e.candidate.SetEligibility(view.Established || e.w.variant.noEstablishing, view.Check)
		e.ownerStep(ownership.Tick{})
		e.extendOwnership()
		e.act()
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
	case ownership.Extended:
		e.owner.until = a.ValidUntil
	case ownership.Lost:
		if a.Reason != ownership.LossLapsed {
			e.owner = ownerView{epoch: a.Epoch}
		}
	case ownership.Observed:
		e.noteEpoch(a.Lease.Epoch)
	}
}

// noteEpoch takes in that some host owns the region under an epoch.
func (e *entryHost) noteEpoch(epoch model.Epoch) {
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

// act fails the run when a host acts as the owner more than ownerHold after
// another one acquired a later epoch. A successor decides nothing for longer.
func (e *entryHost) act() {
	w := e.w
	if !e.owner.mine || !w.clock.Now().Before(e.owner.until) {
		return
	}
	w.acts++
	for epoch, acquired := range w.epochKnown {
		if late := w.clock.Now().Sub(acquired); epoch > e.owner.epoch && late > ownerHold {
			w.violations = append(w.violations, fmt.Sprintf("%v: %s acts under epoch %d %v after epoch %d was acquired",
				w.clock.Now().Sub(began), e.id, e.owner.epoch, late, epoch))
		}
	}
}

// TestOwnerGoesOnInAnOutage takes the table service down for a minute.
func TestOwnerGoesOnInAnOutage(t *testing.T) {
	w := newWorld(1, variant{limits: testLimits()}, 40*time.Second)
	w.variant.limits.OutageLimit = time.Hour
	for _, id := range []model.EntryID{"e1", "e2", "e3"} {
		w.addEntry(id)
	}
	w.after(10*time.Second, func() { w.storeDown, w.acts = true, 0 })
	w.run()
	ticks := int(30 * time.Second / tickEvery)
	t.Logf("%d of %d ticks of the outage had an owner, after %d epochs", w.acts, ticks, len(w.epochKnown))
	if w.acts < ticks*9/10 || len(w.violations) > 0 {
		t.Errorf("%d of %d ticks of the outage had an owner; %v", w.acts, ticks, w.violations)
	}
}
