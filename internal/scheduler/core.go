package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dragonflyyard/internal/estimate"
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/guarantee"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/quarantine"
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
	accounts map[model.ClientAccountID]*accountState
	books    *books
	ledger   *guarantee.Ledger
	// predictor learns run times, tracker finds bad workers and jobs.
	predictor *estimate.Predictor
	tracker   *quarantine.Tracker
	// phases holds the IDs of the jobs in each phase, so that a tick looks
	// only at the jobs that something is due for.
	phases map[Phase]map[model.JobID]struct{}
	// largeQueued are the waiting large jobs, aged those of them that go before
	// the order of the accounts, as of agedAt.
	largeQueued map[model.JobID]struct{}
	aged        []aged
	agedAt      time.Time
	// claims are the waiting jobs of the guaranteed class.
	claims       []rank
	reservations map[model.JobID]*Reservation
	// nextShadow is the earliest time at which held back capacity is needed.
	nextShadow time.Time
	// blocked are the shapes that fit nowhere until capacity grows.
	blocked      map[blockedKey]struct{}
	avoided      map[model.WorkerID]struct{}
	alarmed      map[string]time.Time
	zoneOutSince map[model.AvailabilityZoneName]time.Time
	// ended are the ended jobs that Explain still knows, oldest first.
	ended []model.JobID
	// recoverUntil is when a new owner stops waiting for reports; zero after.
	recoverUntil time.Time
	store        storeState
	lastStep     time.Time
	lastTick     time.Time
	// starts is how many attempts may begin before the next tick.
	starts      int
	scheduleDue bool
	clearingDue bool
	coverDue    bool
	out         []Action
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
	c.accounts = map[model.ClientAccountID]*accountState{}
	c.books = newBooks()
	c.ledger = guarantee.NewLedger()
	c.predictor = estimate.NewPredictor(nil)
	c.tracker = quarantine.NewTracker(c.settings.Quarantine, quarantine.State{})
	c.phases = map[Phase]map[model.JobID]struct{}{}
	c.claims = nil
	c.largeQueued = map[model.JobID]struct{}{}
	c.aged = nil
	c.agedAt = time.Time{}
	c.reservations = map[model.JobID]*Reservation{}
	c.nextShadow = time.Time{}
	c.blocked = map[blockedKey]struct{}{}
	c.avoided = map[model.WorkerID]struct{}{}
	c.alarmed = map[string]time.Time{}
	c.zoneOutSince = map[model.AvailabilityZoneName]time.Time{}
	c.ended = nil
	c.store = storeState{}
	c.starts = c.settings.MaxStartsPerTick
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
	c.restartSilence(now)
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
	case StoreStatus:
		c.storeStatus(now, in)
	case Tick:
		c.tick(now)
	case BecomeOwner:
		c.becomeOwner(now, in)
	case LoseOwnership:
		c.owner = false
		return c.out
	}
	c.settle(now)
	c.lastStep = now
	return c.out
}

// settle carries out what the input made due.
func (c *Core) settle(now time.Time) {
	if !c.recoverUntil.IsZero() {
		return
	}
	if c.coverDue {
		c.cover(now)
	}
	if c.clearingDue {
		c.clearingDue = false
		for _, j := range c.inPhase(PhaseClearing) {
			c.checkCleared(now, j)
		}
	}
	if c.scheduleDue && c.mayDecide(now) {
		c.scheduleDue = false
		c.placeClaims(now)
		c.placeBorrowed(now)
	}
}

func (c *Core) stepIdle(now time.Time, in Input) {
	switch in := in.(type) {
	case BecomeOwner:
		c.becomeOwner(now, in)
		c.lastStep = now
	case ConfigUpdate:
		if in.Document != nil && (c.config == nil || in.Document.Version > c.config.Version) {
			c.config = in.Document
		}
	}
}

// restartSilence counts the silence of all workers anew after a time without
// inputs: an owner that was paused itself has missed their lease requests.
func (c *Core) restartSilence(now time.Time) {
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

// inPhase returns the jobs of a phase in the order of their IDs.
func (c *Core) inPhase(p Phase) []*JobState {
	ids := sortedKeys(c.phases[p])
	jobs := make([]*JobState, len(ids))
	for i, id := range ids {
		jobs[i] = c.jobs[id]
	}
	return jobs
}

// sortedKeys returns the keys of a map in order, so that decisions do not
// depend on the order of the map.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func (c *Core) do(a Action) { c.out = append(c.out, a) }

func (c *Core) send(to model.WorkerID, msg wire.Message) {
	if w := c.workers[to]; w != nil && w.Up {
		c.do(Send{To: to, Message: msg})
	}
}

func (c *Core) record(code event.Code, job model.JobID, subject, detail string) {
	c.do(Record{Event: event.Event{Code: code, Job: job, Subject: subject, Detail: detail}})
}
