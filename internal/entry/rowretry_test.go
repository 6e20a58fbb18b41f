package entry

import (
	"context"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/process"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/storeapi"
)

// downTable is a table service that refuses each commit at once.
type downTable struct{ storeapi.Table }

func (downTable) Commit(context.Context, storeapi.Transaction) ([]storeapi.RowVersion, error) {
	return nil, storeapi.ErrUnavailable
}

// rowDuty is a scheduler duty whose steps a test makes by hand.
type rowDuty struct {
	*Scheduler
	now time.Time
}

func newRowDuty(waitingCalls int) *rowDuty {
	d := &rowDuty{now: time.Unix(1_800_000_000, 0)}
	p := &Process{Base: &process.Base{Now: func() time.Time { return d.now }}}
	state := &State{p: p}
	state.ownerNow.Store(&ownerView{Mine: true, Epoch: 1, ValidUntil: d.now.Add(time.Hour)})
	state.check.Store(&ownerCheck{epoch: 1})
	calls := &platformCalls{table: downTable{}, calls: ring.New[platformCall]("calls", waitingCalls, nil)}
	d.Scheduler = &Scheduler{p: p, state: state, calls: calls, inputs: ring.New[schedulerInput]("inputs", 8, nil)}
	d.rows = newRowWriter(d.Scheduler)
	return d
}

// makeCall makes the call that waits and takes its result in.
func (d *rowDuty) makeCall() {
	(<-d.calls.calls.Out())(context.Background())
	d.take(<-d.inputs.Out())
}

func (d *rowDuty) wantWaiting(t *testing.T, when string, calls, inputs int) {
	t.Helper()
	if c, i := d.calls.calls.Len(), d.inputs.Len(); c != calls || i != inputs {
		t.Fatalf("%s: %d calls and %d inputs wait, want %d and %d", when, c, i, calls, inputs)
	}
}

func deletionOf(id model.JobID) rowWrite {
	return rowWrite{row: scheduler.JobRow{Job: model.Job{ID: id}}, kind: rowDelete}
}

func TestRefusedDeletionIsNotRetriedAtOnce(t *testing.T) {
	d := newRowDuty(8)
	d.rows.write(deletionOf("j1"))
	for range 3 {
		d.wantWaiting(t, "due", 1, 0)
		d.makeCall()
		d.wantWaiting(t, "after the refusal", 0, 0)
		d.rows.retryDue(d.now.Add(rowRetry - time.Nanosecond))
		d.wantWaiting(t, "before the retry is due", 0, 0)
		d.now = d.now.Add(rowRetry)
		d.rows.retryDue(d.now)
	}
	d.wantWaiting(t, "due", 1, 0)
	d.rows.reset()
	d.makeCall()
	d.now = d.now.Add(time.Hour)
	d.rows.retryDue(d.now)
	d.wantWaiting(t, "after the loss of the lease", 0, 0)
}

func TestLoadThatFindsNoRoomIsNotRetriedAtOnce(t *testing.T) {
	d := newRowDuty(1)
	d.calls.start(func(context.Context) {}, nil)
	d.loading = 1
	d.loadRows(1)
	d.wantWaiting(t, "no room", 1, 0)
	<-d.calls.calls.Out()
	d.retryLoad(d.now.Add(loadRetry - time.Nanosecond))
	d.wantWaiting(t, "before the retry is due", 0, 0)
	d.retryLoad(d.now.Add(loadRetry))
	d.wantWaiting(t, "due", 1, 0)
	d.retryLoad(d.now.Add(2 * loadRetry))
	d.wantWaiting(t, "under way", 1, 0)
}

func TestWriteThatFindsNoRoomIsTakenInLater(t *testing.T) {
	d := newRowDuty(1)
	d.calls.start(func(context.Context) {}, nil)
	d.rows.write(deletionOf("j1"))
	d.wantWaiting(t, "no room", 1, 0)
	<-d.calls.calls.Out()
	d.rows.retryDue(d.now)
	d.wantWaiting(t, "before the retry is due", 0, 0)
	d.rows.retryDue(d.now.Add(rowRetry))
	d.wantWaiting(t, "due", 1, 0)
}
