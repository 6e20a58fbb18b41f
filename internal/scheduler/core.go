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

// Core is the state of a region's scheduler owner. It is not safe for
// concurrent use.
type Core struct {
	settings Settings
	owner    bool
	epoch    model.Epoch
	config   *model.ConfigDocument
	jobs     map[model.JobID]*JobState
	workers  map[model.WorkerID]*workerState
	accounts map[model.ClientAccountID]*accountState
	capacity *capacityIndexes
	ledger   *guarantee.Ledger
	// predictor estimates run times, tracker finds faulty workers and jobs.
	predictor *estimate.Predictor
	tracker   *quarantine.Tracker
	// phases indexes the jobs by phase, so that a tick visits only the jobs
	// for which something may be due.
	phases map[Phase]map[model.JobID]struct{}
	// largeQueued are the waiting large jobs. aged lists those of them that
	// are placed before the account order applies, as computed at agedAt.
	largeQueued map[model.JobID]struct{}
	aged        []agedJob
	agedAt      time.Time
	// claims are the waiting jobs of the guaranteed class, in rank order.
	claims       []rank
	reservations map[model.JobID]*Reservation
	// nextShadow is the earliest time at which reserved capacity is needed;
	// zero without reservations.
	nextShadow time.Time
	// blocked are the shapes that fit nowhere until capacity grows.
	blocked         map[blockedKey]struct{}
	avoided         map[model.WorkerID]struct{}
	uncoveredAlarms map[string]time.Time
	zoneOutSince    map[model.AvailabilityZoneName]time.Time
	// ended are the ended jobs that Explain still reports, oldest first.
	ended []model.JobID
	// recoverUntil is when a new owner stops waiting for the agents' reports;
	// zero after recovery.
	recoverUntil time.Time
	store        storeState
	lastStep     time.Time
	lastTick     time.Time
	// startsLeft is how many attempts may begin before the next tick.
	startsLeft  int
	scheduleDue bool
	clearingDue bool
	coverDue    bool
	actions     []Action
}

// New returns a core that does not own its region yet.
func New(settings Settings) *Core {
	c := &Core{settings: settings}
	c.reset()
	return c
}

func (c *Core) reset() {
	c.jobs = map[model.JobID]*JobState{}
	c.workers = map[model.WorkerID]*workerState{}
	c.accounts = map[model.ClientAccountID]*accountState{}
	c.capacity = newCapacityIndexes()
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
	c.uncoveredAlarms = map[string]time.Time{}
	c.zoneOutSince = map[model.AvailabilityZoneName]time.Time{}
	c.ended = nil
	c.store = storeState{}
	c.startsLeft = c.settings.MaxStartsPerTick
}

// Owner returns the core's epoch and whether it is the owner.
func (c *Core) Owner() (model.Epoch, bool) { return c.epoch, c.owner }

// Step processes one input and returns the actions to carry out, in order. A
// core that is not the owner accepts only BecomeOwner and ConfigUpdate.
func (c *Core) Step(now time.Time, in Input) []Action {
	c.actions = nil
	if !c.owner {
		c.stepNonOwner(now, in)
		return c.actions
	}
	c.resetSilence(now)
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
		return c.actions
	}
	c.runDueWork(now)
	c.lastStep = now
	return c.actions
}

// runDueWork runs the cell assignment, reservations and placement that inputs
// made due. It does nothing during recovery.
func (c *Core) runDueWork(now time.Time) {
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
	if c.scheduleDue && c.mayStartAttempts(now) {
		c.scheduleDue = false
		c.placeClaims(now)
		c.placeBorrowed(now)
	}
}

func (c *Core) stepNonOwner(now time.Time, in Input) {
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

// resetSilence restarts the silence timers of all workers after a period
// without inputs: an owner that was paused itself has missed their lease
// requests.
func (c *Core) resetSilence(now time.Time) {
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

// inPhase returns the jobs in a phase, ordered by ID.
func (c *Core) inPhase(p Phase) []*JobState {
	ids := sortedKeys(c.phases[p])
	jobs := make([]*JobState, len(ids))
	for i, id := range ids {
		jobs[i] = c.jobs[id]
	}
	return jobs
}

// sortedKeys returns the keys of a map in order, so that decisions do not
// depend on the map's iteration order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) send(to model.WorkerID, msg wire.Message) {
	if w := c.workers[to]; w != nil && w.Up {
		c.emit(Send{To: to, Message: msg})
	}
}

func (c *Core) record(code event.Code, job model.JobID, subject, detail string) {
	c.emit(Record{Event: event.Event{Code: code, Job: job, Subject: subject, Detail: detail}})
}
