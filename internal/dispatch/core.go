// Package dispatch schedules tasks onto the workers of a deployment. A Core is
// deterministic: its caller passes the rows that it read and the time, commits
// the batches that Plan returns, and reports whether each batch was committed.
//
// Load pattern: a few jobs a second of varying size, priority and width, in
// bursts, on workers that join, drain, fail and disappear.
//
// Invariants:
//   - the row of an order exists from before the run can start until its end is
//     known, and its demand counts against the worker for that time;
//   - a task gets no new run while it has an order;
//   - the row of a run's end is deleted only after its effects were written;
//     processing an end twice has no further effect.
package dispatch

import (
	"time"

	"dragonflyyard/internal/interference"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/quarantine"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workerspeed"
	"dragonflyyard/internal/workload"
)

// Settings holds the timeouts and limits of a Core.
type Settings struct {
	// StartWithin is the time after the decision within which the worker must
	// start a task; later it must not start it.
	StartWithin time.Duration
	// LeaseExpiredAfter is the time since the last announcement after which a
	// worker's lease has expired even by the slowest clock (see
	// taskrunner.Settings.LeaseBound).
	LeaseExpiredAfter time.Duration
	// HeartbeatTimeout is the age of the last announcement beyond which a worker
	// gets no new tasks.
	HeartbeatTimeout time.Duration
	// StoreRecoveryGrace is how long the store must have been available without
	// interruption before workers with an expired lease are declared lost.
	StoreRecoveryGrace time.Duration
	// Retention is how long the rows of an ended job are kept.
	Retention time.Duration
	// RemoteSlowdown is the factor by which a task runs longer outside the rack of
	// its data.
	RemoteSlowdown float64
	// LearnSpeeds is set if the speeds of workers are learned from runs and used, and if a
	// successor takes over distrusted workers and the age of runs.
	LearnSpeeds bool
	// FairShares is set if accounts share the workers in proportion to their guarantees;
	// see package fairshare.
	FairShares bool
	// Quarantine holds the limits for workers on which tasks fail.
	Quarantine quarantine.Settings
	// SeparateDisturbing keeps tasks that are known to slow each other down on different
	// workers where there is room.
	SeparateDisturbing bool
}

// DefaultSettings returns the settings of the deployed scheduler.
func DefaultSettings() Settings {
	return Settings{
		// Less than the time that a gang waits for its members, which is the
		// shortest timeout of the platform.
		StartWithin:       2 * time.Second,
		LeaseExpiredAfter: 13500 * time.Millisecond,
		HeartbeatTimeout:  3 * time.Second,
		// Workers whose leases expired in a store outage announce themselves again
		// about 2 s after its end.
		StoreRecoveryGrace: 3 * time.Second,
		Retention:          4 * time.Minute,
		RemoteSlowdown:     3,
		Quarantine: quarantine.Settings{
			JobsPerWorker: 2, WorkersPerJob: 1 << 20, FailuresPerJob: 1 << 20,
			Window: 20 * time.Second, InitialDuration: 5 * time.Second, MaxDuration: 30 * time.Second,
		},
		SeparateDisturbing: true,
	}
}

// Now is the time at which a decision is made, by each clock that it depends on.
type Now struct {
	// StoreMS is an upper bound of the store's monotonic clock in milliseconds.
	StoreMS int64
	// StoreAheadMS is the most by which StoreMS may be ahead of the store's clock.
	StoreAheadMS int64
	// UnixMS is the wall clock, which tells when scheduled occurrences are due.
	UnixMS int64
	// StoreHealthySinceMS is when the store's current period of uninterrupted
	// availability began, on its clock.
	StoreHealthySinceMS int64
}

// storeEarliestMS returns a lower bound of the store's clock. What must not happen before
// a certain time is decided by this bound.
func (n Now) storeEarliestMS() int64 { return n.StoreMS - n.StoreAheadMS }

func (n Now) time() time.Time { return time.UnixMilli(n.StoreMS) }

// Core is the scheduling state of the owner of the scheduler lease. It is not
// safe for concurrent use.
type Core struct {
	settings Settings
	jobs     map[model.JobID]*job
	// workers holds the workers by host.
	workers map[string]*worker
	// guaranteed holds the accelerators that each account is guaranteed.
	guaranteed map[model.ClientAccountID]int
	evacuated  map[model.AvailabilityZoneName]bool
	quarantine *quarantine.Tracker
	speeds     *workerspeed.Tracker
	// processedEndKeys are the rows of processed ends, and obsoleteKeys the rows
	// of orders and progress that are no longer needed. Both are still to be
	// deleted.
	processedEndKeys []string
	obsoleteKeys     []string
	// endsDeletedMS is when rows of ends were last deleted.
	endsDeletedMS int64
	inbox         inbox
	pending       pendingCounts
	learnedRow    learnedRow
	shares        shares
	disturbances  disturbances
	decisions     []Decision
	// firstPlanMS is when the first plan was made, on the store's clock.
	firstPlanMS int64
}

// job is an accepted job with its progress and orders.
type job struct {
	*workload.Job
	progress *workload.Progress
	orders   map[workload.RunID]*order
	// seenEnds holds the keys of processed ends; a repeated report is ignored.
	seenEnds map[string]bool
	// dirty is set when progress differs from its row in the store.
	dirty bool
	// begun is set once a task of the job is known to have started.
	begun bool
	// setAside is set once the store has rejected a row of the job.
	setAside bool
	// inboxRows holds the versions of the job's rows in the inbox, by key. deletions
	// counts the batches in progress that delete one of them.
	inboxRows map[string]storeapi.RowVersion
	deletions int
	// readySinceMS holds when each task became ready to start; for a gang, its first task.
	readySinceMS map[taskKey]int64
	// notBeforeMS is the end of a step's backoff after a worker did not start one
	// of its tasks.
	notBeforeMS map[stepKey]int64
	// preemptedWork is the unsaved work of other jobs, in core seconds, that
	// preemption for each step has discarded and charged to the step's budget.
	preemptedWork map[stepKey]float64
	// stalledRuns counts the runs of each task, or of the gang of a first task, that were
	// stopped because they stalled.
	stalledRuns map[workload.TaskRef]int
	// movedForRoom is set for tasks, and for the first tasks of gangs, of which a run within
	// the guarantee was stopped to make room for a claim.
	movedForRoom map[workload.TaskRef]bool
	// room holds the workers that are being vacated for each step, once for each task.
	room map[stepKey][]*worker
	// lastPreemptionMS is when runs were last preempted for each step.
	lastPreemptionMS map[stepKey]int64
	// taskKinds caches the result of taskKind, by step; nil before.
	taskKinds []string
}

type stepKey struct{ occurrence, step int }

// taskKey identifies a task of a step by its index, or a gang by index 0.
type taskKey struct {
	stepKey
	index int
}

// order is the order to a worker to run a task, as the scheduler tracks it.
type order struct {
	workload.Order
	id     workload.RunID
	job    *job
	worker *worker
	demand workload.Resources
	// version is the version of the order's row; 0 until it is committed.
	version storeapi.RowVersion
	// decidedMS is when the order was decided.
	decidedMS int64
	// takenOver is set if a previous owner wrote the order.
	takenOver bool
	// ageUnknown is set if decidedMS is when the order was read.
	ageUnknown bool
	// stopRequested is set when the run is to be stopped, for stopReason.
	stopRequested bool
	stopReason    string
	// lastReport is the worker's newest report of the run, sent at lastReportMS.
	// firstReportMS is when it sent the first one; 0 if there is none.
	lastReport    workload.RunningTask
	lastReportMS  int64
	firstReportMS int64
	// paceFrom is from where on the run's pace is measured.
	paceFrom progressPoint
	// trace is the run's progress beside its neighbours.
	trace interference.Trace
}

func (o *order) step() *workload.Step { return &o.job.Steps[o.id.Task.Step] }
func (o *order) stepKey() stepKey     { return stepKey{o.id.Task.Occurrence, o.id.Task.Step} }

// worker is a worker with its orders and its recent failures.
type worker struct {
	workload.Announcement
	version storeapi.RowVersion
	used    workload.Resources
	orders  map[workload.RunID]*order
	// avoidUntilMS is until when the worker gets no new tasks, because tasks
	// stalled on it.
	avoidUntilMS int64
	// suspectUntilMS is until when other workers are preferred to this one, because
	// the last task that ended on it had failed.
	suspectUntilMS int64
	// fastFailureUntilMS is until when units with a failure avoid the worker,
	// because a task failed there right after its start.
	fastFailureUntilMS int64
	// lastGoodStartMS is when the newest run that started well was ordered.
	lastGoodStartMS int64
	// quarantinedMS is when the worker's last quarantine began.
	quarantinedMS int64
	// speed is the worker's speed as of the last plan.
	speed workerspeed.Speed
	// declaringLost is set while the batch that declares the worker lost is being
	// committed.
	declaringLost bool
	// observedMS is when the last announcement from which the progress of its runs was
	// taken was sent.
	observedMS int64
}

// Decision is an entry for the log: a decision, or a change of state that the
// core observed.
type Decision struct {
	Kind   string
	Job    model.JobID
	Task   string
	Run    int
	Worker model.WorkerID
	Reason string
	// AgeMS is the age in milliseconds of the input that the decision is based on,
	// -1 where that does not apply.
	AgeMS int64
}

// New returns a core without jobs, workers or orders.
func New(settings Settings) *Core {
	return &Core{
		settings: settings, jobs: map[model.JobID]*job{}, workers: map[string]*worker{},
		guaranteed: map[model.ClientAccountID]int{}, evacuated: map[model.AvailabilityZoneName]bool{},
		inbox:        newInbox(),
		quarantine:   quarantine.NewTracker(settings.Quarantine, quarantine.State{}),
		speeds:       workerspeed.NewTracker(),
		disturbances: disturbances{model: interference.New()},
	}
}

// Decisions returns the decisions since the last call and clears them.
func (c *Core) Decisions() []Decision {
	out := c.decisions
	c.decisions = nil
	return out
}

func (c *Core) recordDecision(d Decision) { c.decisions = append(c.decisions, d) }

// Configure sets the operators' configuration: the accelerators guaranteed to
// each account and the zones that are evacuated.
func (c *Core) Configure(guaranteed map[model.ClientAccountID]int, evacuated map[model.AvailabilityZoneName]bool) {
	c.guaranteed, c.evacuated = guaranteed, evacuated
}

// Stats counts the jobs, by state, the orders and the workers of a Core.
type Stats struct{ Jobs, Queued, Running, Orders, Workers int }

// Stats returns the current counts.
func (c *Core) Stats() Stats {
	s := Stats{Workers: len(c.workers)}
	for _, j := range c.jobs {
		s.Orders += len(j.orders)
		switch j.progress.State {
		case workload.StateQueued:
			s.Queued++
		case workload.StateRunning:
			s.Running++
		}
	}
	s.Jobs = len(c.jobs)
	return s
}
