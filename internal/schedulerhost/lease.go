// Package schedulerhost runs the scheduler of a deployment on the entry host
// that holds its lease: it does the reads and transactions that the cores of
// packages ownership and dispatch decide.
package schedulerhost

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/ownership"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/rowpush"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/storerelay"
	"dragonflyyard/internal/workload"
)

// View is what operators configured, as one entry host knows it.
type View struct {
	Guaranteed map[model.ClientAccountID]int
	Evacuated  map[model.AvailabilityZoneName]bool
	// AsOf is an instant up to which the view is complete.
	AsOf time.Time
}

// Host is one entry host's part in running the scheduler.
type Host struct {
	id          model.EntryID
	incarnation model.Incarnation
	store       storeapi.Store
	view        func() View
	// standing tells how this host stands among the entry hosts.
	standing func() storerelay.Standing
	push     *rowpush.Sender
	log      *zap.Logger
	registry metrics.Registry

	// owner is the entry host that was seen last with the lease.
	owner atomic.Value
	// active is the session that schedules, nil for none.
	active atomic.Pointer[session]

	candidate *ownership.Candidate
	inputs    *ring.Ring[func(now time.Time) []ownership.Action]
	// leave ends the session of the epoch that is held.
	leave   context.CancelFunc
	ended   chan struct{}
	beganAt time.Time
}

// leaseTick is the longest time between two steps of the candidate.
const leaseTick = 60 * time.Millisecond

// deferTakeOver is how long a weak entry host leaves a free lease to stronger
// ones: two polls of theirs. The owner reads all tables and writes all orders.
const deferTakeOver = 700 * time.Millisecond

// How often the lease is read. Load pattern: tens of entry hosts that all wait for
// one lease, whose reads would be most of what an idle deployment asks of the store.
const (
	// readsApart is the time between two reads of all hosts together.
	readsApart = 50 * time.Millisecond
	// longestPoll bounds the interval of one host. It is below the time after which
	// a lease is free, so that a host has read the row shortly before it takes it.
	longestPoll = time.Second
)

// New returns the part of an entry host. view returns the newest configuration,
// and standing how the host stands among the entry hosts; orders are pushed with push.
func New(id model.EntryID, region model.RegionName, store storeapi.Store, view func() View, standing func() storerelay.Standing, push *rowpush.Sender, log *zap.Logger, registry metrics.Registry) *Host {
	incarnation := model.Incarnation(time.Now().UnixMilli())
	return &Host{
		id: id, incarnation: incarnation, store: store, view: view, standing: standing, push: push, log: log, registry: registry,
		candidate: ownership.NewCandidate(leaseLimits(), region, id, incarnation),
		inputs:    ring.New[func(now time.Time) []ownership.Action]("lease.inputs", 64, registry),
	}
}

// leaseLimits are shorter than those of package ownership: here a lease only
// says when another host takes over, since the fence alone keeps a former owner
// from deciding.
func leaseLimits() ownership.Limits {
	limits := ownership.DefaultLimits()
	limits.Duration = 1600 * time.Millisecond
	limits.RenewEvery = 400 * time.Millisecond
	return limits
}

// handOverWithin bounds the writing of a lease's release at a planned stop.
const handOverWithin = 2 * time.Second

// Run takes part until ctx is done, then hands the lease over.
func (h *Host) Run(ctx context.Context) error {
	calls, stopCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCalls()
	tick := time.NewTicker(leaseTick)
	defer tick.Stop()
	defer h.endSession()
	stopping := ctx.Done()
	var giveUp <-chan time.Time
	for {
		var actions []ownership.Action
		select {
		case <-stopping:
			stopping, giveUp = nil, time.After(handOverWithin)
			h.endSession()
			actions = h.candidate.Step(time.Now(), ownership.Stop{})
		case <-giveUp:
			return nil
		case <-tick.C:
			h.takeStanding()
			actions = h.candidate.Step(time.Now(), ownership.Tick{})
			h.restartSession(calls)
		case input := <-h.inputs.Out():
			actions = input(time.Now())
		}
		if done := h.do(calls, actions); done {
			return nil
		}
	}
}

// takeStanding adapts the candidate to the other entry hosts that are known.
func (h *Host) takeStanding() {
	standing := h.standing()
	h.candidate.PollEvery(min(time.Duration(standing.Peers+1)*readsApart, longestPoll))
	if standing.Outranked {
		h.candidate.Defer(deferTakeOver)
	} else {
		h.candidate.Defer(0)
	}
}

// do does the candidate's actions. It returns true once the lease was handed over.
func (h *Host) do(ctx context.Context, actions []ownership.Action) bool {
	for _, action := range actions {
		switch action := action.(type) {
		case ownership.ReadRow:
			go h.read(ctx, action)
		case ownership.CommitRow:
			go h.commit(ctx, action)
		case ownership.Acquired:
			h.log.Info("scheduler_acquired", zap.Uint64("epoch", uint64(action.Epoch)))
			h.beginSession(ctx, action.Epoch)
		case ownership.Lost:
			// A lapsed owner goes on until another one has taken the fence: each
			// of its transactions is refused from then on.
			h.log.Warn("scheduler_lost", zap.Uint64("epoch", uint64(action.Epoch)), zap.String("reason", string(action.Reason)))
			if action.Reason != ownership.LossExpired {
				h.endSession()
			}
		case ownership.Observed:
			h.owner.Store(action.Lease.Owner)
			h.log.Info("scheduler_observed", zap.String("owner", string(action.Lease.Owner)), zap.Uint64("epoch", uint64(action.Lease.Epoch)))
		case ownership.HandedOver:
			h.log.Info("scheduler_handed_over", zap.Bool("confirmed", action.Confirmed))
			return true
		}
	}
	return false
}

func (h *Host) read(ctx context.Context, action ownership.ReadRow) {
	row, err := h.store.Get(ctx, workload.LeaseKey(action.Key))
	if errors.Is(err, storeapi.ErrNotFound) {
		row, err = storeapi.Row{}, nil
	}
	row.Key = action.Key
	result := ownership.RowRead{Call: action.Call, Result: storeapi.ResultOf(err), Row: row}
	h.inputs.Push(ctx, func(now time.Time) []ownership.Action { return h.candidate.Step(now, result) })
}

func (h *Host) commit(ctx context.Context, action ownership.CommitRow) {
	tx := storeapi.Transaction{}
	for _, check := range action.Transaction.Checks {
		tx.Checks = append(tx.Checks, storeapi.Check{Key: workload.LeaseKey(check.Key), Version: check.Version})
	}
	for _, put := range action.Transaction.Puts {
		tx.Puts = append(tx.Puts, storeapi.Put{Key: workload.LeaseKey(put.Key), Value: put.Value})
	}
	versions, err := h.store.Commit(ctx, tx)
	if err != nil {
		h.log.Warn("lease_write_failed", logging.Err(err))
	}
	result := ownership.RowCommitted{Call: action.Call, Result: storeapi.ResultOf(err), Versions: versions}
	h.inputs.Push(ctx, func(now time.Time) []ownership.Action { return h.candidate.Step(now, result) })
}

// beginSession schedules under a new epoch. A session that still runs goes on:
// no other owner has taken its fence.
func (h *Host) beginSession(ctx context.Context, epoch model.Epoch) {
	if h.running() {
		return
	}
	h.endSession()
	h.beganAt = time.Now()
	ctx, h.leave = context.WithCancel(ctx)
	h.ended = make(chan struct{})
	s := newSession(h, epoch)
	h.active.Store(s)
	go func(ended chan struct{}) {
		defer close(ended)
		defer h.active.CompareAndSwap(s, nil)
		s.run(ctx)
	}(h.ended)
}

// Owner returns the entry host that was seen last with the lease, empty for none.
func (h *Host) Owner() model.EntryID {
	owner, _ := h.owner.Load().(model.EntryID)
	return owner
}

// RowsPushed takes in rows of the tables that the scheduler follows. It returns
// false when this host does not schedule, or has too much to do.
func (h *Host) RowsPushed(_ string, rows []storeapi.Row) bool {
	s := h.active.Load()
	return s != nil && s.inputs.TryPush(func() { s.takeRows(rows) })
}

// sessionRestart is the least time between two sessions of one epoch.
const sessionRestart = 500 * time.Millisecond

// restartSession begins a session anew that ended although the lease is held.
func (h *Host) restartSession(ctx context.Context) {
	epoch, held := h.candidate.Holds(time.Now())
	if held && h.leave != nil && !h.running() && time.Since(h.beganAt) > sessionRestart {
		h.beginSession(ctx, epoch)
	}
}

// running reports whether a session goes on.
func (h *Host) running() bool {
	if h.leave == nil {
		return false
	}
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// endSession stops deciding under the held epoch. What is under way may still
// take effect until a successor's fence.
func (h *Host) endSession() {
	if h.leave != nil {
		h.leave()
		<-h.ended
		h.leave = nil
	}
}
