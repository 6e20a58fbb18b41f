// Package jobagent runs the agent process beside a worker: it makes the calls that
// a taskrunner.Core decides on and feeds their results back. One goroutine owns
// the core; every operation that may block runs in a goroutine of its own.
package jobagent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/pause"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/rowpush"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/tablewatch"
	"dragonflyyard/internal/taskrunner"
	"dragonflyyard/internal/workload"
)

// tickInterval is the longest time between two steps of the core.
const tickInterval = 50 * time.Millisecond

// maxInputs limits the queue of inputs for the core.
const maxInputs = 1024

// Worker makes calls to the worker beside the agent. Hold sends a poll; its error
// says why there is no answer.
type Worker interface {
	Start(taskrunner.StartRun) taskrunner.OrderResult
	Stop(taskrunner.StopRun) taskrunner.OrderResult
	Hold(taskrunner.Poll) (taskrunner.RunLists, taskrunner.PollResult, error)
}

// Agent runs beside one worker.
type Agent struct {
	host string
	// address is the IP:port on which the agent's process accepts pushed orders.
	address string
	store   storeapi.Store
	worker  Worker
	push    *rowpush.Sender
	// schedulerAddress holds the address to which ends are pushed: that of the
	// scheduler that pushed orders last. It is empty before the first push.
	schedulerAddress atomic.Value
	log              *zap.Logger
	core             *taskrunner.Core
	inputs           *ring.Ring[func(now time.Time)]
	orderCalls       metrics.Timer
	endsCommitted    metrics.Counter
}

// New returns the agent of a host. Its process accepts pushed orders at address
// (IP:port) and pushes ends with push.
func New(host, address string, settings taskrunner.Settings, store storeapi.Store, worker Worker, push *rowpush.Sender, log *zap.Logger, registry metrics.Registry) *Agent {
	return &Agent{
		host: host, address: address, store: store, worker: worker, push: push, log: log, core: taskrunner.New(settings, host),
		inputs:        ring.New[func(now time.Time)]("agent.inputs", maxInputs, registry),
		orderCalls:    metrics.GetOrRegisterTimer("agent.order_calls", registry),
		endsCommitted: metrics.GetOrRegisterCounter("agent.ends_committed", registry),
	}
}

// Heartbeat queues a heartbeat of the worker. It returns false when the queue is
// full.
func (a *Agent) Heartbeat(h taskrunner.Heartbeat) bool {
	return a.inputs.TryPush(func(time.Time) { a.core.HeartbeatSeen(h) })
}

// WorkerLeft queues a deregistration of the worker. It returns false when the queue is
// full.
func (a *Agent) WorkerLeft(worker model.WorkerID) bool {
	return a.inputs.TryPush(func(now time.Time) { a.core.WorkerLeft(now, worker) })
}

// OrdersPushed queues orders that the scheduler at the address from pushed. It
// returns false when the queue is full.
func (a *Agent) OrdersPushed(from string, rows []storeapi.Row) bool {
	a.schedulerAddress.Store(from)
	return a.inputs.TryPush(func(time.Time) {
		for _, row := range rows {
			if order, _, ok := a.decodeOrder(row); ok {
				a.core.OrderPushed(order, row.Version)
			}
		}
	})
}

// Run runs the agent until ctx is done. It then writes what is due to be announced,
// until the time that finishBy returns.
func (a *Agent) Run(ctx context.Context, finishBy func() time.Time) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { a.loadRow(ctx); return nil })
	group.Go(func() error { a.watchOrders(ctx); return nil })
	group.Go(func() error {
		a.runCore(ctx, group)
		finishing, cancel := context.WithDeadline(context.WithoutCancel(ctx), finishBy())
		defer cancel()
		a.finish(finishing)
		return nil
	})
	return group.Wait()
}

// runCore owns the core: it applies queued inputs, steps the core and performs its
// actions.
func (a *Agent) runCore(ctx context.Context, group *errgroup.Group) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case input := <-a.inputs.Out():
			input(time.Now())
			a.applyPending()
		}
		now := time.Now()
		storeTime, known := a.store.StoreTime()
		for _, action := range a.core.Step(now, storeTime.LatestMS, known) {
			group.Go(func() error { a.perform(ctx, action); return nil })
		}
		a.logNotes()
	}
}

// departurePollInterval is the time between two polls of a worker that has deregistered.
const departurePollInterval = 100 * time.Millisecond

// finish applies the inputs that the agent has accepted and writes the announcement
// that they cause, until ctx is done. Calls to the worker are left to the next process, but
// for those that settle a deregistration, which that one doesn't know.
func (a *Agent) finish(ctx context.Context) {
	for ctx.Err() == nil {
		a.applyPending()
		poll, departing := a.core.DeparturePoll()
		if departing {
			sentAt := time.Now()
			lists, result, _ := a.worker.Hold(poll)
			a.core.Polled(time.Now(), sentAt, poll, result, lists)
		}
		now := time.Now()
		storeTime, known := a.store.StoreTime()
		for _, action := range a.core.Step(now, storeTime.LatestMS, known) {
			if announcement, ok := action.(taskrunner.Announce); ok {
				a.announce(ctx, announcement)
			}
		}
		a.logNotes()
		if !a.core.Announcing() {
			if !departing {
				return
			}
			pause.For(ctx, departurePollInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case input := <-a.inputs.Out():
			input(time.Now())
		}
	}
}

// applyPending applies all queued inputs, so that one step handles them together.
func (a *Agent) applyPending() {
	for {
		select {
		case input := <-a.inputs.Out():
			input(time.Now())
		default:
			return
		}
	}
}

func (a *Agent) logNotes() {
	for _, n := range a.core.Notes() {
		a.log.Info(n.Kind, zap.String("task", n.Task), zap.Int("run", n.Run), zap.String("reason", n.Reason))
	}
}

func (a *Agent) enqueue(ctx context.Context, input func(now time.Time)) { a.inputs.Push(ctx, input) }

// perform performs one action and queues its result for the core.
func (a *Agent) perform(ctx context.Context, action taskrunner.Action) {
	switch action := action.(type) {
	case taskrunner.StartRun:
		sentAt := time.Now()
		result := a.worker.Start(action)
		a.orderCalls.UpdateSince(sentAt)
		a.enqueue(ctx, func(now time.Time) { a.core.Started(now, action.ID, result) })
	case taskrunner.StopRun:
		sentAt := time.Now()
		result := a.worker.Stop(action)
		a.orderCalls.UpdateSince(sentAt)
		a.enqueue(ctx, func(now time.Time) { a.core.Stopped(now, action.Task, action.Run, result) })
	case taskrunner.Poll:
		a.poll(ctx, action)
	case taskrunner.Announce:
		a.announce(ctx, action)
	case taskrunner.ReportEnds:
		a.reportEnds(ctx, action)
	}
}

func (a *Agent) poll(ctx context.Context, action taskrunner.Poll) {
	sentAt := time.Now()
	lists, result, err := a.worker.Hold(action)
	if err != nil {
		a.log.Warn("worker_unreachable", logging.Err(err), zap.Duration("after", time.Since(sentAt)))
	}
	a.enqueue(ctx, func(now time.Time) { a.core.Polled(now, sentAt, action, result, lists) })
}

// watchOrders keeps the core's orders in sync with the store.
func (a *Agent) watchOrders(ctx context.Context) {
	first := true
	prefix := workload.OrderPrefix(a.host)
	handler := tablewatch.Handler{
		OnScan: func(s storeapi.Snapshot) {
			maybeSent := first
			first = false
			a.enqueue(ctx, func(time.Time) { a.ordersScanned(s, maybeSent) })
		},
		OnChanges:   func(changes []storeapi.Change) { a.enqueue(ctx, func(time.Time) { a.ordersChanged(changes, prefix) }) },
		OnReadError: func(err error) { a.log.Warn("store_read_failed", zap.String("table", "orders"), logging.Err(err)) },
	}
	tablewatch.New(tablewatch.DefaultSettings(), a.store, workload.OrderTable(a.host), prefix, handler).Run(ctx, 0)
}
