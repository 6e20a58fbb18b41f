package agent

import (
	"cmp"
	"context"
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/gang"
	"dragonflyyard/internal/link"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/wire"
)

// workerInput is one input of the worker duty; exactly one field is set.
type workerInput struct {
	gang   gang.Input
	owner  *ownerNotice
	failed *workerFailure
}

// ownerNotice says that an entry host owns the region's scheduler.
type ownerNotice struct {
	process string
	epoch   model.Epoch
}

// workerFailure is an order that the worker did not take, or an answer of the
// worker that is not as agreed. The task is empty where it is about all tasks.
type workerFailure struct {
	task   model.TaskID
	detail string
	start  bool
}

// Worker is the duty that drives the worker beside the agent.
type Worker struct {
	p      *Process
	inputs *ring.Ring[workerInput]
	member *gang.Member
	caller *workerCaller
	owner  ownerNotice
	// grace is how long tasks have to checkpoint in a graceful stop.
	grace   time.Duration
	stopped chan struct{}
	stops   bool
}

// jobMessages are the messages of the scheduler's owner.
var jobMessages = []wire.Type{
	wire.TypeReserve, wire.TypeLaunch, wire.TypeRelease, wire.TypeStopTask, wire.TypeThrottle, wire.TypeLeaseGrant,
}

func newWorker(p *Process) *Worker {
	s := p.Config.Settings
	w := &Worker{
		p:       p,
		inputs:  ring.New[workerInput]("worker", s.Process.RingCapacity, p.Metrics),
		member:  gang.NewMember(*p.worker(), gang.DefaultSettings(), p.Now()),
		grace:   s.Worker.Grace,
		stopped: make(chan struct{}),
	}
	w.caller = newWorkerCaller(p, w)
	for _, kind := range jobMessages {
		p.Hub.Handle(wire.RoleEntry, kind, w.noteMessage)
	}
	p.Hub.Handle(wire.RoleEntry, wire.TypeOwnershipNotice, w.noteOwner)
	p.Hub.OnState(wire.RoleEntry, w.noteLink)
	return w
}

func (w *Worker) push(in gang.Input) bool { return w.inputs.TryPush(workerInput{gang: in}) }

func (w *Worker) noteMessage(_ *link.Conn, m wire.Message) bool {
	return w.push(gang.Receive{Message: m})
}

func (w *Worker) noteOwner(c *link.Conn, m wire.Message) bool {
	notice := ownerNotice{process: c.Peer().Process, epoch: m.(*wire.OwnershipNotice).Epoch}
	return w.inputs.TryPush(workerInput{owner: &notice})
}

func (w *Worker) noteLink(c *link.Conn, cause error) bool {
	return cause == nil || w.inputs.TryPush(workerInput{owner: &ownerNotice{process: c.Peer().Process}})
}

// run is the duty.
func (w *Worker) run(ctx context.Context) error {
	ticker := time.NewTicker(gang.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case in := <-w.inputs.Out():
			w.take(in)
		case <-ticker.C:
			w.step(gang.Tick{})
		case <-ctx.Done():
			return nil
		}
	}
}

func (w *Worker) take(in workerInput) {
	switch {
	case in.gang != nil:
		w.step(in.gang)
	case in.owner != nil:
		w.takeOwner(*in.owner)
	case in.failed != nil:
		w.takeFailure(*in.failed)
	}
}

// takeOwner takes in a notice of ownership, or a lost connection (epoch zero).
// A notice of a lower epoch than known is a former owner's.
func (w *Worker) takeOwner(notice ownerNotice) {
	if notice.epoch == 0 {
		if notice.process == w.owner.process {
			w.owner.process = ""
			w.step(gang.OwnerLinkLost{})
		}
		return
	}
	if notice.epoch < w.owner.epoch {
		return
	}
	w.owner = notice
	w.step(gang.OwnerLinkUp{})
}

// takeFailure reports a start that the worker refused as a failed task. Other
// orders are given again by the member while they are needed.
func (w *Worker) takeFailure(failure workerFailure) {
	subject := cmp.Or(string(failure.task), string(w.p.Config.Settings.Worker.ID))
	w.p.Log.Record(event.Event{Code: event.WorkerCallFailed, Subject: subject, Detail: failure.detail})
	if failure.start {
		w.step(gang.WorkerTaskEvent{Task: failure.task, State: wire.TaskFailed, Detail: failure.detail})
	}
}

func (w *Worker) step(in gang.Input) {
	if _, ok := in.(gang.Stop); ok {
		w.stops = true
	}
	for _, action := range w.member.Step(w.p.Now(), in) {
		switch action := action.(type) {
		case gang.Send:
			if w.owner.process != "" {
				w.p.Send(w.owner.process, action.Message)
			}
		case gang.Record:
			w.p.Log.Record(action.Event)
		default:
			w.caller.order(action)
		}
	}
	if w.stops && w.member.Idle() {
		w.stops = false
		close(w.stopped)
	}
}

// drain ends the worker's tasks, with a checkpoint where they can.
func (w *Worker) drain(ctx context.Context) {
	if !w.inputs.Push(ctx, workerInput{gang: gang.Stop{Grace: w.grace}}) {
		return
	}
	select {
	case <-w.stopped:
	case <-ctx.Done():
	}
}
