package scheduler

import (
	"slices"
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Core is the state of a region's scheduler owner.
type Core struct {
	settings Settings
	owner    bool
	epoch    model.Epoch
	config   *model.ConfigDocument
	jobs     map[model.JobID]*JobState
	workers  map[model.WorkerID]*workerState
	// phases holds the IDs of the jobs in each phase, so that a tick looks
	// only at the jobs that something is due for.
	phases map[Phase]map[model.JobID]struct{}
	// recoverUntil is when a new owner stops waiting for reports; zero after.
	recoverUntil time.Time
	lastStep     time.Time
	scheduleDue  bool
	out          []Action
}

// workerState is what the owner knows of one worker.
type workerState struct {
	Worker model.Worker
	Up     bool
	// LastRequest is when the worker last asked for leases.
	LastRequest time.Time
	// LastGrant is when leases were last granted to the worker.
	LastGrant time.Time
	// AvoidUntil keeps new attempts off a worker that refused one.
	AvoidUntil time.Time
	Used       model.Resources
	// tasks are the booked tasks of the worker.
	tasks map[model.TaskID]model.JobID
}

// New returns a core that owns nothing yet.
func New(settings Settings) *Core {
	c := &Core{settings: settings}
	c.reset()
	return c
}

func (c *Core) reset() {
	c.jobs = map[model.JobID]*JobState{}
	c.workers = map[model.WorkerID]*workerState{}
	c.phases = map[Phase]map[model.JobID]struct{}{}
}

// Owner returns the epoch under which the core is the owner.
func (c *Core) Owner() (model.Epoch, bool) { return c.epoch, c.owner }

// Step takes one input and returns the actions to carry out, in order. A core
// that is not the owner takes only BecomeOwner and ConfigUpdate.
func (c *Core) Step(now time.Time, in Input) []Action {
	c.out = nil
	if !c.owner {
		c.stepIdle(now, in)
		return c.out
	}
	c.forgivePause(now)
	switch in := in.(type) {
	case Submit:
		c.submit(now, in.Job)
	case Cancel:
		c.cancel(now, in.IDs)
	case WorkerUp:
		c.workerReport(now, &in.Report)
	case WorkerLost:
		c.workerLost(now, in.Worker)
	case Receive:
		c.receive(now, in.From, in.Message)
	case ConfigUpdate:
		c.configure(now, in.Document)
	case Decided:
		c.decided(now, in)
	case Tick:
		c.tick(now)
	case BecomeOwner:
		c.becomeOwner(now, in)
	case LoseOwnership:
		c.owner = false
		return c.out
	}
	if c.scheduleDue && c.recoverUntil.IsZero() {
		c.scheduleDue = false
		c.schedule(now)
	}
	c.lastStep = now
	return c.out
}

func (c *Core) stepIdle(now time.Time, in Input) {
	switch in := in.(type) {
	case BecomeOwner:
		c.becomeOwner(now, in)
		c.lastStep = now
	case ConfigUpdate:
		if c.config == nil || in.Document.Version > c.config.Version {
			c.config = in.Document
		}
	}
}

// forgivePause keeps an owner that was itself paused from taking all workers
// for silent.
func (c *Core) forgivePause(now time.Time) {
	if now.Sub(c.lastStep) < c.settings.SilenceLimit/2 {
		return
	}
	for _, w := range c.workers {
		w.LastRequest = now
	}
}

func (c *Core) receive(now time.Time, from model.WorkerID, msg wire.Message) {
	switch msg := msg.(type) {
	case *wire.ReserveReply:
		c.reserveReply(now, from, msg)
	case *wire.TaskReport:
		c.taskReport(now, from, msg)
	case *wire.WorkerReport:
		c.workerReport(now, msg)
	case *wire.LeaseRequest:
		c.leaseRequest(now, from, msg)
	}
}

// setPhase moves a job to a phase and keeps the phase index.
func (c *Core) setPhase(now time.Time, j *JobState, p Phase) {
	delete(c.phases[j.Phase], j.Job.ID)
	if c.phases[p] == nil {
		c.phases[p] = map[model.JobID]struct{}{}
	}
	c.phases[p][j.Job.ID] = struct{}{}
	j.setPhase(now, p)
	c.scheduleDue = true
}

// inPhase returns the jobs of a phase in the order of their IDs.
func (c *Core) inPhase(p Phase) []*JobState {
	ids := make([]model.JobID, 0, len(c.phases[p]))
	for id := range c.phases[p] {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	jobs := make([]*JobState, len(ids))
	for i, id := range ids {
		jobs[i] = c.jobs[id]
	}
	return jobs
}

func (c *Core) do(a Action) { c.out = append(c.out, a) }

func (c *Core) send(to model.WorkerID, msg wire.Message) {
	if w := c.workers[to]; w != nil && w.Up {
		c.do(Send{To: to, Message: msg})
	}
}

func (c *Core) record(code event.Code, job model.JobID, subject, detail string) {
	c.do(Record{Event: event.Event{Code: code, Job: job, Subject: subject, Detail: detail}})
}
