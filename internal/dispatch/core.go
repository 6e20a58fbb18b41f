// Package dispatch decides which tasks run on which workers of a deployment. A
// Core is deterministic: its caller passes the rows that were read and the
// time, commits the batches that Plan returns, and reports what became of them.
//
// Load pattern: a few jobs a second of unlike size, priority and width, in
// bursts, on workers that come, drain, fail and vanish.
//
// What binds all decisions:
//   - an order row exists from before a run can begin until its end is known,
//     and its demand counts against the worker for that long;
//   - a task has no new run while it has an order;
//   - the end of a run leaves the store only after what follows from it was
//     written; taken in twice, it changes nothing.
package dispatch

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/quarantine"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// Settings are the limits of the core.
type Settings struct {
	// StartWithin is how long after the decision a task may be started.
	StartWithin time.Duration
	// LeaseExpiredAfter is the silence after which a worker's lease has ended on the
	// slowest clock (see taskrunner.Settings.LeaseBound).
	LeaseExpiredAfter time.Duration
	// HeartbeatTimeout is the silence after which a worker gets no new tasks.
	HeartbeatTimeout time.Duration
	// StoreRecoveryGrace is how long the store must have answered before a silent worker is
	// taken as gone.
	StoreRecoveryGrace time.Duration
	// Retention is how long an ended job is kept.
	Retention time.Duration
	// RemoteSlowdown is how many times as long a task takes away from its data.
	RemoteSlowdown float64
	// Quarantine are the limits for workers on which tasks fail.
	Quarantine quarantine.Settings
}

// DefaultSettings returns the limits in use.
func DefaultSettings() Settings {
	return Settings{
		// Below a gang's wait for its members, the shortest of the platform's bounds.
		StartWithin:       2 * time.Second,
		LeaseExpiredAfter: 13500 * time.Millisecond,
		HeartbeatTimeout:  3 * time.Second,
		// Workers that lapsed in an outage are back about 2 s after its end.
		StoreRecoveryGrace: 3 * time.Second,
		Retention:          4 * time.Minute,
		RemoteSlowdown:     3,
		Quarantine: quarantine.Settings{
			JobsPerWorker: 2, WorkersPerJob: 1 << 20, FailuresPerJob: 1 << 20,
			Window: 20 * time.Second, InitialDuration: 5 * time.Second, MaxDuration: 30 * time.Second,
		},
	}
}

// Now is the time of a decision.
type Now struct {
	// StoreMS is the store's steady clock.
	StoreMS int64
	// UnixMS is the time of day, by which occurrences are due.
	UnixMS int64
	// StoreHealthySinceMS is since when the store answers without a break, on its clock.
	StoreHealthySinceMS int64
}

func (n Now) time() time.Time { return time.UnixMilli(n.StoreMS) }

// Core is the state of one scheduler owner. It is not safe for concurrent use.
type Core struct {
	settings   Settings
	jobs       map[model.JobID]*job
	workers    map[string]*worker
	guaranteed map[model.ClientAccountID]int
	evacuated  map[model.AvailabilityZoneName]bool
	sick       *quarantine.Tracker
	// endKeys are rows of ends that were taken in, and dropKeys rows of orders
	// and progress that are needed no more; none is deleted yet.
	endKeys  []string
	dropKeys []string
	// droppedMS is when ends were last deleted.
	droppedMS int64
	// cancelled are cancellations of jobs that were not seen yet.
	cancelled map[model.JobID]bool
	// collected holds when the rows of jobs were deleted, on the store's clock; a
	// read from before shows them again.
	collected map[model.JobID]int64
	pending   pendingCounts
	decisions []Decision
	// beganMS is when the first plan was made.
	beganMS int64
}

// job is a job with its orders.
type job struct {
	*workload.Job
	progress *workload.Progress
	orders   map[workload.RunID]*order
	// seenEnds are ends that were taken in; a second report changes nothing.
	seenEnds map[string]bool
	// dirty is set when progress differs from its row.
	dirty bool
	// collecting is set while the job's rows are being deleted; inboxLeft counts
	// the parts of the inbox that it is not deleted from yet.
	collecting bool
	inboxLeft  int
	// readySinceMS tells since when each step could have started.
	readySinceMS map[stepKey]int64
	// notBeforeMS holds a step back after a worker did not start its task.
	notBeforeMS map[stepKey]int64
	// thrownAway counts the core seconds of others' work that were thrown away
	// for each step.
	thrownAway map[stepKey]float64
	// claimedMS is when others' work was last stopped for each step.
	claimedMS map[stepKey]int64
}

type stepKey struct{ occurrence, step int }

// order is the order of a run.
type order struct {
	workload.Order
	id     workload.RunID
	job    *job
	worker *worker
	demand workload.Resources
	// version is that of the order's row; 0 until it is committed.
	version storeapi.RowVersion
	// decidedMS is when the order was decided, or taken over from a former owner.
	decidedMS int64
	// takenOver is set for the order of a former owner.
	takenOver bool
	// stopWanted asks for the run's end; stopReason says why.
	stopWanted bool
	stopReason string
	// report is what the worker said last of the run, at reportMS; reportedMS is
	// when it first said it.
	report     workload.RunningTask
	reportMS   int64
	reportedMS int64
}

func (o *order) step() *workload.Step { return &o.job.Steps[o.id.Task.Step] }

// worker is a worker with what is ordered of it.
type worker struct {
	workload.Announcement
	version storeapi.RowVersion
	used    workload.Resources
	orders  map[workload.RunID]*order
	// avoidUntilMS is until when a worker gets no tasks on which some stood still.
	avoidUntilMS int64
	// suspectUntilMS is until when a worker comes after the others, on which the
	// last task that ended had failed.
	suspectUntilMS int64
	// badUntilMS is the same for a task that failed at once.
	badUntilMS int64
	// soundMS is when the newest run was ordered whose start went well.
	soundMS int64
	// lapsing is set while it is being written that the worker is gone.
	lapsing bool
}

// Decision is one thing that the core decided or came to believe, for the log.
type Decision struct {
	Kind   string
	Job    model.JobID
	Task   string
	Run    int
	Worker model.WorkerID
	Reason string
	// AgeMS is the age of the input that decided, -1 where there is none.
	AgeMS int64
}

// New returns a core that knows nothing.
func New(settings Settings) *Core {
	return &Core{
		settings: settings, jobs: map[model.JobID]*job{}, workers: map[string]*worker{},
		guaranteed: map[model.ClientAccountID]int{}, evacuated: map[model.AvailabilityZoneName]bool{},
		cancelled: map[model.JobID]bool{}, collected: map[model.JobID]int64{},
		sick: quarantine.NewTracker(settings.Quarantine, quarantine.State{}),
	}
}

// Decisions returns what was decided since the last call.
func (c *Core) Decisions() []Decision {
	out := c.decisions
	c.decisions = nil
	return out
}

func (c *Core) decide(d Decision) { c.decisions = append(c.decisions, d) }

// Configure sets what operators configured.
func (c *Core) Configure(guaranteed map[model.ClientAccountID]int, evacuated map[model.AvailabilityZoneName]bool) {
	c.guaranteed, c.evacuated = guaranteed, evacuated
}

// Stats counts what the core holds.
type Stats struct{ Jobs, Queued, Running, Orders, Workers int }

// Stats returns the present counts.
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
