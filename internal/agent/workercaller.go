package agent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/gang"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/wire"
)

// workerTimeout bounds one call of the worker. Together with the longest start
// permit it stays below the 3 s within which starts in a zone end.
const workerTimeout = 500 * time.Millisecond

// workerCaller is the duty that calls the worker beside the agent: it gives
// the member's orders in their sequence and asks for the tasks' states.
type workerCaller struct {
	w      *Worker
	client *fasthttp.HostClient
	base   string
	poll   time.Duration
	orders *ring.Ring[gang.Action]
	now    func() time.Time
	// known are the tasks that were started and have not ended.
	known map[model.TaskID]*knownTask
}

// knownTask is a task as the worker last reported it.
type knownTask struct {
	state      wire.TaskState
	checkpoint int64
	// checkpointBy is when a task that was asked for a checkpoint is stopped;
	// zero when it was not asked.
	checkpointBy time.Time
}

func newWorkerCaller(p *Process, w *Worker) *workerCaller {
	s := p.Config.Settings.Worker
	return &workerCaller{
		w: w, base: "http://" + s.Address, poll: s.Poll, now: p.Now,
		client: &fasthttp.HostClient{Addr: s.Address, ReadTimeout: workerTimeout, WriteTimeout: workerTimeout, MaxIdemponentCallAttempts: 1},
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
	if start, ok := action.(gang.StartTask); ok {
		c.w.takeFailure(workerFailure{task: start.Task, detail: "too many orders wait", start: true})
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

// give carries one order out.
func (c *workerCaller) give(ctx context.Context, action gang.Action) {
	switch action := action.(type) {
	case gang.StartTask:
		c.start(ctx, action)
	case gang.ExtendLease:
		c.post(ctx, action.Task, "/lease", leaseBody{max(1, action.LeaseUntil.Sub(c.now()).Milliseconds())})
	case gang.CheckpointTask:
		c.post(ctx, action.Task, "/checkpoint", nil)
		if known := c.known[action.Task]; known != nil {
			known.checkpointBy = action.Until
		}
		c.observe(ctx)
	case gang.StopTask:
		c.post(ctx, action.Task, "/stop", nil)
		c.observe(ctx)
	case gang.ThrottleTask:
		c.post(ctx, action.Task, "/throttle", throttleBody{action.Percent})
	}
}

// startBody, leaseBody and throttleBody are bodies of the worker's interface.
type startBody struct {
	ID      model.TaskID    `json:"id"`
	Needs   model.Resources `json:"needs"`
	RunMS   int64           `json:"run_ms"`
	LeaseMS int64           `json:"lease_ms"`
	// NotAfterUnixMS ends the start permit, for a start that is held up on its way.
	NotAfterUnixMS int64 `json:"not_after_unix_ms"`
}

type leaseBody struct {
	LeaseMS int64 `json:"lease_ms"`
}

type throttleBody struct {
	Percent int `json:"percent"`
}

// start starts a task, unless its lease ended while the order waited.
func (c *workerCaller) start(ctx context.Context, start gang.StartTask) {
	lease := start.LeaseUntil.Sub(c.now())
	if lease <= 0 {
		c.fail(ctx, workerFailure{task: start.Task, detail: "the lease ended before the start", start: true})
		return
	}
	notAfter, permitted := c.w.p.Permits.mayStartTask(c.now())
	if !permitted {
		c.fail(ctx, workerFailure{task: start.Task, detail: "the start permit ended before the start", start: true})
		return
	}
	c.known[start.Task] = &knownTask{state: wire.TaskStarting}
	body := startBody{ID: start.Task, Needs: start.Needs, RunMS: start.RunMS, LeaseMS: lease.Milliseconds(), NotAfterUnixMS: notAfter.UnixMilli()}
	status, err := c.call(fasthttp.MethodPost, "/tasks", body, nil)
	switch {
	case err != nil:
		// The task may run: the worker's list of tasks tells, or its lease ends it.
		c.observe(ctx)
	case status != fasthttp.StatusOK:
		delete(c.known, start.Task)
		c.fail(ctx, workerFailure{task: start.Task, detail: "the worker refused the start", start: true})
	default:
		c.known[start.Task].state = wire.TaskRunning
		c.report(ctx, gang.WorkerTaskEvent{Task: start.Task, State: wire.TaskRunning})
	}
}

func (c *workerCaller) post(ctx context.Context, task model.TaskID, action string, body any) {
	if _, err := c.call(fasthttp.MethodPost, "/tasks/"+string(task)+action, body, nil); err != nil {
		c.fail(ctx, workerFailure{task: task, detail: action + ": " + err.Error()})
	}
}

func (c *workerCaller) fail(ctx context.Context, failure workerFailure) {
	c.w.inputs.Push(ctx, workerInput{failed: &failure})
}

func (c *workerCaller) report(ctx context.Context, e gang.WorkerTaskEvent) {
	c.w.inputs.Push(ctx, workerInput{gang: e})
}

// taskList is the worker's list of tasks.
type taskList struct {
	Tasks []struct {
		ID           model.TaskID `json:"id"`
		State        string       `json:"state"`
		DoneMS       int64        `json:"done_ms"`
		CheckpointMS int64        `json:"checkpoint_ms"`
	} `json:"tasks"`
}

// taskStates maps the worker's states to those of the protocol.
var taskStates = map[string]wire.TaskState{
	"running": wire.TaskRunning, "finished": wire.TaskFinished, "failed": wire.TaskFailed,
	"stopped": wire.TaskStopped, "lease_lapsed": wire.TaskStopped,
}

// observe asks for the worker's tasks and reports those whose state changed.
// A worker that cannot be asked is reported by nothing: the tasks' leases
// lapse by the worker's own clock.
func (c *workerCaller) observe(ctx context.Context) {
	if len(c.known) == 0 {
		return
	}
	var list taskList
	if status, err := c.call(fasthttp.MethodGet, "/tasks", nil, &list); err != nil || status != fasthttp.StatusOK {
		return
	}
	seen := map[model.TaskID]bool{}
	for _, t := range list.Tasks {
		seen[t.ID] = true
		if known := c.known[t.ID]; known != nil {
			c.compare(ctx, t.ID, known, taskStates[t.State], t.DoneMS, t.CheckpointMS)
		}
	}
	for id := range c.known {
		if !seen[id] {
			delete(c.known, id)
			c.report(ctx, gang.WorkerTaskEvent{Task: id, State: wire.TaskFailed, Detail: "the worker does not know the task"})
		}
	}
}

// compare reports what changed of a task.
func (c *workerCaller) compare(ctx context.Context, id model.TaskID, known *knownTask, state wire.TaskState, done, checkpoint int64) {
	if state == wire.TaskRunning && !known.checkpointBy.IsZero() && (checkpoint > known.checkpoint || c.now().After(known.checkpointBy)) {
		known.checkpoint = checkpoint
		c.post(ctx, id, "/stop", nil)
		return
	}
	if state == known.state {
		return
	}
	known.state = state
	event := gang.WorkerTaskEvent{Task: id, State: state, DoneMS: done}
	if state == wire.TaskStopped && checkpoint > 0 {
		event.Checkpointed, event.DoneMS = true, checkpoint
	}
	if state != wire.TaskRunning {
		delete(c.known, id)
	}
	c.report(ctx, event)
}

// call makes one call of the worker and decodes its answer into out.
func (c *workerCaller) call(method, path string, body, out any) (int, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.base + path)
	request.Header.SetMethod(method)
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, errors.Wrap(err, "encode order")
		}
		request.SetBody(encoded)
	}
	if err := c.client.DoTimeout(request, response, workerTimeout); err != nil {
		return 0, errors.Wrapf(err, "call worker at %s", path)
	}
	if out != nil && response.StatusCode() == fasthttp.StatusOK {
		if err := json.Unmarshal(response.Body(), out); err != nil {
			return 0, errors.Wrapf(err, "decode worker's answer at %s", path)
		}
	}
	return response.StatusCode(), nil
}
