// Package schedulerhost runs the scheduler of a deployment on the entry host that
// holds the scheduler's lease. It does the I/O for the cores of packages ownership
// and dispatch: store reads, transactions and pushes of orders.
package schedulerhost

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"dragonflyyard/internal/dispatch"
	"dragonflyyard/internal/hostclock"
	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/ownership"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/rowpush"
	"dragonflyyard/internal/shutdown"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/storerelay"
	"dragonflyyard/internal/workload"
)

// ConfigView is the operators' configuration as known to one entry host.
type ConfigView struct {
	// Guaranteed is the number of accelerators guaranteed to each account.
	Guaranteed map[model.ClientAccountID]int
	Evacuated  map[model.AvailabilityZoneName]bool
	// AsOf is a time up to which all changes are included.
	AsOf time.Time
}

// Host runs the scheduler on one entry host while the host holds the lease.
type Host struct {
	// Dispatch is the settings of the sessions' cores. It must not change once Run is called.
	Dispatch    dispatch.Settings
	id          model.EntryID
	incarnation model.Incarnation
	store       storeapi.Store
	view        func() ConfigView
	// standing compares this host with the other entry hosts.
	standing func() storerelay.Standing
	push     *rowpush.Sender
	log      *zap.Logger
	registry metrics.Registry

	// owner is the model.EntryID of the last known holder of the lease.
	owner atomic.Value
	// active is the session in progress; nil for none.
	active atomic.Pointer[session]

	// candidate gets times of hostclock.BootTime: a lease does not outlast a suspension.
	candidate *ownership.Candidate
	// inputs holds the results of store calls for the candidate.
	inputs *ring.Ring[func(now time.Time) []ownership.Action]
	// cancelSession cancels the latest session; nil before the first one and after
	// endSession. sessionDone is closed when the session's goroutine returns.
	cancelSession context.CancelFunc
	sessionDone   chan struct{}
	sessionStart  time.Time
}

// candidateInterval is the maximum time between two steps of the lease candidate.
const candidateInterval = 60 * time.Millisecond

// takeoverDeferral is the additional time that a weak entry host waits before it
// takes a free lease: two polls of the stronger hosts. They are preferred because
// the owner reads all tables and writes all orders.
const takeoverDeferral = 700 * time.Millisecond

// Polling of the lease. Load pattern: tens of entry hosts wait for one lease;
// without these bounds their reads would be most of the store load of an idle
// deployment.
const (
	// leaseReadSpacing is the average time between lease reads over all hosts.
	leaseReadSpacing = 50 * time.Millisecond
	// maxPollInterval is the maximum poll interval of one host. It is below the time
	// after which an unrenewed lease is free, so that a host has read the row shortly
	// before it takes the lease.
	maxPollInterval = time.Second
)

// New returns a Host that does not take part before Run. view returns the latest
// configuration, standing compares this host with the other entry hosts, and push
// sends orders to agents.
func New(id model.EntryID, region model.RegionName, store storeapi.Store, view func() ConfigView, standing func() storerelay.Standing, push *rowpush.Sender, log *zap.Logger, registry metrics.Registry) *Host {
	incarnation := model.Incarnation(time.Now().UnixMilli())
	return &Host{
		Dispatch: dispatch.DefaultSettings(),
		id:       id, incarnation: incarnation, store: store, view: view, standing: standing, push: push, log: log, registry: registry,
		candidate: ownership.NewCandidate(leaseLimits(), region, id, incarnation),
		inputs:    ring.New[func(now time.Time) []ownership.Action]("lease.inputs", 64, registry),
	}
}

// leaseLimits returns limits that are shorter than the defaults of package
// ownership. The lease only determines when another host takes over; the fence
// alone prevents a former owner from committing decisions.
func leaseLimits() ownership.Limits {
	limits := ownership.DefaultLimits()
	limits.Duration = 1600 * time.Millisecond
	limits.RenewInterval = 400 * time.Millisecond
	return limits
}

// Run competes for the lease, and schedules while it is held, until ctx is done.
// It then releases the lease, which takes at most the time for answers of a stop with
// the given grace. It always returns nil.
func (h *Host) Run(ctx context.Context, stopGrace time.Duration) error {
	callCtx, cancelCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelCalls()
	tick := time.NewTicker(candidateInterval)
	defer tick.Stop()
	defer h.endSession()
	stopping := ctx.Done()
	var handoverExpired <-chan time.Time
	for {
		var actions []ownership.Action
		select {
		case <-stopping:
			stopping = nil
			handoverExpired = time.After(time.Until(shutdown.NewSchedule(time.Now(), stopGrace).AnswerBy))
			h.endSession()
			actions = h.candidate.Step(hostclock.BootTime(), ownership.Stop{})
		case <-handoverExpired:
			return nil
		case <-tick.C:
			h.applyStanding()
			actions = h.candidate.Step(hostclock.BootTime(), ownership.Tick{})
			h.restartEndedSession(callCtx)
		case input := <-h.inputs.Out():
			actions = input(hostclock.BootTime())
		}
		if done := h.perform(callCtx, actions); done {
			return nil
		}
	}
}

// applyStanding sets the candidate's poll interval and takeover deferral from the
// number and strength of the other entry hosts.
func (h *Host) applyStanding() {
	standing := h.standing()
	h.candidate.SetPollInterval(min(time.Duration(standing.Peers+1)*leaseReadSpacing, maxPollInterval))
	if standing.Outranked {
		h.candidate.SetTakeoverDelay(takeoverDeferral)
	} else {
		h.candidate.SetTakeoverDelay(0)
	}
}

// perform executes the candidate's actions. It returns true if one of them is
// ownership.HandedOver, which ends Run.
func (h *Host) perform(ctx context.Context, actions []ownership.Action) bool {
	for _, action := range actions {
		switch action := action.(type) {
		case ownership.ReadRow:
			go h.readLeaseRow(ctx, action)
		case ownership.CommitRow:
			go h.commitLeaseRow(ctx, action)
		case ownership.Acquired:
			h.log.Info("scheduler_acquired", zap.Uint64("epoch", uint64(action.Epoch)))
			h.beginSession(ctx, action.Epoch)
		case ownership.Lost:
			// An owner whose lease expired continues until another owner has
			// acquired the fence. From then on the store refuses its transactions.
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

func (h *Host) readLeaseRow(ctx context.Context, action ownership.ReadRow) {
	row, err := h.store.Get(ctx, workload.LeaseKey(action.Key))
	if errors.Is(err, storeapi.ErrNotFound) {
		row, err = storeapi.Row{}, nil
	}
	row.Key = action.Key
	result := ownership.RowRead{Call: action.Call, Result: storeapi.ResultOf(err), Row: row}
	h.inputs.Push(ctx, func(now time.Time) []ownership.Action { return h.candidate.Step(now, result) })
}

func (h *Host) commitLeaseRow(ctx context.Context, action ownership.CommitRow) {
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

// beginSession starts a session for an epoch. A session that is still running is
// kept: no other owner has acquired the fence since.
func (h *Host) beginSession(ctx context.Context, epoch model.Epoch) {
	if h.sessionRunning() {
		return
	}
	h.endSession()
	h.sessionStart = time.Now()
	ctx, h.cancelSession = context.WithCancel(ctx)
	h.sessionDone = make(chan struct{})
	s := newSession(h, epoch)
	h.active.Store(s)
	go func(sessionDone chan struct{}) {
		defer close(sessionDone)
		defer h.active.CompareAndSwap(s, nil)
		s.run(ctx)
	}(h.sessionDone)
}

// Owner returns the last known holder of the lease; empty if none was observed.
func (h *Host) Owner() model.EntryID {
	owner, _ := h.owner.Load().(model.EntryID)
	return owner
}

// HandlePushedRows queues rows of the watched tables for the session. It returns
// false if this host is not scheduling or if the session's input queue is full.
func (h *Host) HandlePushedRows(_ string, rows []storeapi.Row) bool {
	s := h.active.Load()
	return s != nil && s.inputs.TryPush(func() { s.applyRows(rows) })
}

// sessionRestartDelay is the minimum time between the starts of two sessions of one
// epoch.
const sessionRestartDelay = 500 * time.Millisecond

// restartEndedSession starts a new session if the last one has ended while the
// lease is held.
func (h *Host) restartEndedSession(ctx context.Context) {
	epoch, held := h.candidate.Holds(hostclock.BootTime())
	if held && h.cancelSession != nil && !h.sessionRunning() && time.Since(h.sessionStart) > sessionRestartDelay {
		h.beginSession(ctx, epoch)
	}
}

// sessionRunning reports whether a session was started and has not ended.
func (h *Host) sessionRunning() bool {
	if h.cancelSession == nil {
		return false
	}
	select {
	case <-h.sessionDone:
		return false
	default:
		return true
	}
}

// endSession cancels the session and waits for its end. Transactions in flight may
// still take effect until a successor acquires the fence.
func (h *Host) endSession() {
	if h.cancelSession != nil {
		h.cancelSession()
		<-h.sessionDone
		h.cancelSession = nil
	}
}
