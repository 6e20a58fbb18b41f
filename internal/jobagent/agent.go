// Package jobagent is the process beside a worker on a deployment: it does the
// calls that a taskrunner.Core decides and feeds the results back. One
// goroutine owns the core; each duty that may block has its own.
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
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/rowpush"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/tablewatch"
	"dragonflyyard/internal/taskrunner"
	"dragonflyyard/internal/workload"
)

// tickEvery is the longest time between two steps of the core.
const tickEvery = 50 * time.Millisecond

// maxInputs bounds the inputs that wait for the core.
const maxInputs = 1024

// Worker is the worker beside the agent.
type Worker interface {
	Start(taskrunner.StartRun) taskrunner.OrderResult
	Stop(taskrunner.StopRun) taskrunner.OrderResult
	Hold(taskrunner.Hold) (taskrunner.RunLists, taskrunner.HoldResult, error)
}

// Agent runs beside one worker.
type Agent struct {
	host string
	// address is where pushed orders arrive, IP:port.
	address string
	store   storeapi.Store
	worker  Worker
	push    *rowpush.Sender
	// owner is where the scheduler that ordered last takes pushes.
	owner  atomic.Value
	log    *zap.Logger
	core   *taskrunner.Core
	inputs *ring.Ring[func(now time.Time)]
	orders metrics.Timer
	ends   metrics.Counter
}

// New returns the agent of a host, whose process takes pushed orders at an
// address (IP:port) and pushes ends with push.
func New(host, address string, settings taskrunner.Settings, store storeapi.Store, worker Worker, push *rowpush.Sender, log *zap.Logger, registry metrics.Registry) *Agent {
	return &Agent{
		host: host, address: address, store: store, worker: worker, push: push, log: log, core: taskrunner.New(settings, host),
		inputs: ring.New[func(now time.Time)]("agent.inputs", maxInputs, registry),
		orders: metrics.GetOrRegisterTimer("agent.order_calls", registry),
		ends:   metrics.GetOrRegisterCounter("agent.ends_committed", registry),
	}
}

// Heartbeat takes in a heartbeat of the worker. It returns false when the agent
// has too much to do.
func (a *Agent) Heartbeat(h taskrunner.Heartbeat) bool {
	return a.inputs.TryPush(func(time.Time) { a.core.HeartbeatSeen(h) })
}

// Left takes in that the worker leaves. It returns false when the agent has too
// much to do.
func (a *Agent) Left(worker model.WorkerID) bool {
	return a.inputs.TryPush(func(time.Time) { a.core.Left(worker) })
}

// OrdersPushed takes in orders that the scheduler at an address pushed. It
// returns false when the agent has too much to do.
func (a *Agent) OrdersPushed(from string, rows []storeapi.Row) bool {
	a.owner.Store(from)
	return a.inputs.TryPush(func(time.Time) {
		for _, row := range rows {
			if order, _, ok := a.decodeOrder(row); ok {
				a.core.OrderPushed(order, row.Version)
			}
		}
	})
}

// Run works until ctx is done.
func (a *Agent) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { a.loadRow(ctx); return nil })
	group.Go(func() error { a.followOrders(ctx); return nil })
	group.Go(func() error { a.loop(ctx, group); return nil })
	return group.Wait()
}

// loop owns the core.
func (a *Agent) loop(ctx context.Context, group *errgroup.Group) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case input := <-a.inputs.Out():
			input(time.Now())
			a.drain()
		}
		now := time.Now()
		storeMS, known := a.store.StoreTime(now)
		for _, action := range a.core.Step(now, storeMS, known) {
			group.Go(func() error { a.do(ctx, action); return nil })
		}
		a.logNotes()
	}
}

// drain takes in what else waits, so that one step answers all of it.
func (a *Agent) drain() {
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

func (a *Agent) input(ctx context.Context, input func(now time.Time)) { a.inputs.Push(ctx, input) }

// do makes one call and feeds its result back.
func (a *Agent) do(ctx context.Context, action taskrunner.Action) {
	switch action := action.(type) {
	case taskrunner.StartRun:
		sentAt := time.Now()
		result := a.worker.Start(action)
		a.orders.UpdateSince(sentAt)
		a.input(ctx, func(now time.Time) { a.core.Started(now, action.ID, result) })
	case taskrunner.StopRun:
		sentAt := time.Now()
		result := a.worker.Stop(action)
		a.orders.UpdateSince(sentAt)
		a.input(ctx, func(now time.Time) { a.core.Stopped(now, action.Task, action.Run, result) })
	case taskrunner.Hold:
		a.hold(ctx, action)
	case taskrunner.Announce:
		a.announce(ctx, action)
	case taskrunner.ReportEnds:
		a.reportEnds(ctx, action)
	}
}

func (a *Agent) hold(ctx context.Context, action taskrunner.Hold) {
	sentAt := time.Now()
	lists, result, err := a.worker.Hold(action)
	if err != nil {
		a.log.Warn("worker_unreachable", logging.Err(err), zap.Duration("after", time.Since(sentAt)))
	}
	a.input(ctx, func(now time.Time) { a.core.Polled(now, sentAt, action, result, lists) })
}

// followOrders keeps the core's orders like the store's.
func (a *Agent) followOrders(ctx context.Context) {
	first := true
	prefix := workload.OrderPrefix(a.host)
	handler := tablewatch.Handler{
		Scanned: func(s storeapi.Snapshot) {
			maybeSent := first
			first = false
			a.input(ctx, func(time.Time) { a.scanned(s, maybeSent) })
		},
		Changed: func(changes []storeapi.Change) { a.input(ctx, func(time.Time) { a.changed(changes, prefix) }) },
		Failed:  func(err error) { a.log.Warn("store_read_failed", zap.String("table", "orders"), logging.Err(err)) },
	}
	tablewatch.New(tablewatch.DefaultSettings(), a.store, workload.OrderTable(a.host), prefix, handler).Run(ctx, 0)
}
