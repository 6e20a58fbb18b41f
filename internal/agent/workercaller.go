package agent

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/gang"
	"dragonflyyard/internal/httpconn"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/wire"
)

// workerCaller is the duty that calls the worker beside the agent: it gives
// the member's orders in their sequence and asks for the tasks' states.
type workerCaller struct {
	w      *Worker
	client *workerClient
	poll   time.Duration
	orders *ring.Ring[gang.Action]
	now    func() time.Time
	// known are the tasks that were started and have not ended.
	known map[model.TaskID]*knownTask
	// unseen is set while the worker's list of tasks cannot be had.
	unseen bool
}

// knownTask is a task as the worker last reported it.
type knownTask struct {
	attempt uint64
	state   wire.TaskState
	// startableUntil is when a start whose answer was lost can no longer take
	// effect: the end of the permit that the worker was told.
	startableUntil time.Time
	checkpoint     int64
	// checkpointBy is when a task that was asked for a checkpoint is stopped;
	// zero when it was not asked.
	checkpointBy time.Time
	// unconfirmed are orders that may not have reached the worker. They are
	// given again until the worker has taken them; a later one replaces an
	// earlier one of its kind.
	unconfirmed map[string]any
	// strange is the last state that is not one of the protocol.
	strange string
}

func newWorkerCaller(p *Process, w *Worker) *workerCaller {
	s := p.Config.Settings.Worker
	return &workerCaller{
		w: w, client: newWorkerClient(s.Address), poll: s.Poll, now: p.Now,
		orders: ring.New[gang.Action]("worker.orders", p.Config.Settings.Process.RingCapacity, p.Metrics),
		known:  map[model.TaskID]*knownTask{},
	}
}

// order queues an order. One that finds no room is reported as failed, which
// for a start means that the task never began.
func (c *workerCaller) order(action gang.Action) {
	if c.orders.TryPush(action) {
		return
	}
	failure := workerFailure{task: taskOf(action), detail: "too many orders wait"}
	_, failure.start = action.(gang.StartTask)
	c.w.takeFailure(failure)
}

// taskOf returns the task that an order is about.
func taskOf(action gang.Action) model.TaskID {
	switch action := action.(type) {
	case gang.StartTask:
		return action.Task
	case gang.ExtendLease:
		return action.Task
	case gang.CheckpointTask:
		return action.Task
	case gang.StopTask:
		return action.Task
	case gang.ThrottleTask:
		return action.Task
	default:
		return ""
	}
}

// run is the duty.
func (c *workerCaller) run(ctx context.Context) error {
	ticker := time.NewTicker(c.poll)
	defer ticker.Stop()
	for {
		select {
		case action := <-c.orders.Out():
			c.give(ctx, action)
		case <-ticker.C:
			c.observe(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// give carries one order out. The member repeats the orders to extend a lease
// and to stop a task while they are needed, but not the other ones.
func (c *workerCaller) give(ctx context.Context, action gang.Action) {
	switch action := action.(type) {
	case gang.StartTask:
		c.start(ctx, action)
	case gang.ExtendLease:
		lease := max(1, action.LeaseUntil.Sub(c.now()).Milliseconds())
		c.post(ctx, action.Task, actionLease, leaseBody{lease})
	case gang.CheckpointTask:
		if known := c.known[action.Task]; known != nil {
			known.checkpointBy = action.Until
		}
		c.postUntilTaken(ctx, action.Task, actionCheckpoint, nil)
		c.observe(ctx)
	case gang.StopTask:
		c.post(ctx, action.Task, actionStop, nil)
		c.observe(ctx)
	case gang.ThrottleTask:
		c.postUntilTaken(ctx, action.Task, actionThrottle, throttleBody{action.Percent})
	}
}

// start starts a task, unless its lease ended while the order waited.
func (c *workerCaller) start(ctx context.Context, start gang.StartTask) {
	lease := start.LeaseUntil.Sub(c.now())
	if lease <= 0 {
		c.failStart(ctx, start.Task, "the lease ended before the start")
		return
	}
	notAfter, permitted := c.w.p.Permits.mayStartTask(c.now())
	if !permitted {
		c.failStart(ctx, start.Task, "the start permit ended before the start")
		return
	}
	known := &knownTask{attempt: start.Attempt, state: wire.TaskStarting, startableUntil: notAfter}
	c.known[start.Task] = known
	status, err := c.client.start(startBody{
		ID: start.Task, Attempt: start.Attempt, Needs: start.Needs, RunMS: start.RunMS,
		LeaseMS: lease.Milliseconds(), NotAfterUnixMS: notAfter.UnixMilli(),
	})
	switch {
	case errors.Is(err, httpconn.ErrNotSent):
		delete(c.known, start.Task)
		c.failStart(ctx, start.Task, "the worker was not reached: "+err.Error())
	case err != nil, status >= fasthttp.StatusInternalServerError:
		// The task may run, now or later: the worker's list of tasks tells.
		c.observe(ctx)
	case status != fasthttp.StatusOK:
		delete(c.known, start.Task)
		c.failStart(ctx, start.Task, "the worker refused the start with status "+strconv.Itoa(status))
	default:
		known.state = wire.TaskRunning
		c.report(ctx, gang.WorkerTaskEvent{Task: start.Task, State: wire.TaskRunning})
	}
}

// post gives an order about a task once. It reports whether there is no use in
// giving it again: the worker took it, does not run the task or refused it.
func (c *workerCaller) post(ctx context.Context, task model.TaskID, action string, body any) bool {
	status, err := c.client.order(task, action, body)
	switch {
	case err != nil:
		c.fail(ctx, workerFailure{task: task, detail: action + ": " + err.Error()})
		return false
	case status == fasthttp.StatusOK, status == fasthttp.StatusNotFound:
		return true
	default:
		c.fail(ctx, workerFailure{task: task, detail: action + ": status " + strconv.Itoa(status)})
		return status < fasthttp.StatusInternalServerError && status != fasthttp.StatusTooManyRequests
	}
}

// postUntilTaken gives an order that is given again with each look at the
// worker's tasks until the worker takes it or the task ends.
func (c *workerCaller) postUntilTaken(ctx context.Context, task model.TaskID, action string, body any) {
	known := c.known[task]
	if c.post(ctx, task, action, body) {
		if known != nil {
			delete(known.unconfirmed, action)
		}
		return
	}
	if known == nil {
		return
	}
	if known.unconfirmed == nil {
		known.unconfirmed = map[string]any{}
	}
	known.unconfirmed[action] = body
}

func (c *workerCaller) fail(ctx context.Context, failure workerFailure) {
	c.w.inputs.Push(ctx, workerInput{failed: &failure})
}

func (c *workerCaller) failStart(ctx context.Context, task model.TaskID, detail string) {
	c.fail(ctx, workerFailure{task: task, detail: detail, start: true})
}

func (c *workerCaller) report(ctx context.Context, e gang.WorkerTaskEvent) {
	c.w.inputs.Push(ctx, workerInput{gang: e})
}
