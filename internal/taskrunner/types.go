// Package taskrunner decides what an agent asks of the worker beside it, and
// what it reports. A Core is deterministic: its caller passes results and the
// time, and does the actions that Step returns.
//
// Load pattern: a few tasks a second, on a worker that may answer late, carry
// orders out seconds after they were sent, hang, or begin a new life; with a
// store that may be away for seconds.
//
// What binds all decisions:
//   - a run begins only while its order row exists;
//   - an end is reported only together with the worker's row, so that none
//     comes after the scheduler took the worker as gone;
//   - the worker's lease ends at most Settings.LeaseBound after the last
//     announcement that the store confirmed;
//   - an end is acknowledged to the worker only after it was committed.
package taskrunner

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	Worker      model.WorkerID
	Incarnation model.Incarnation
	// Sequence rises with each heartbeat of a life.
	Sequence uint64
	Service  string
	Zone     model.AvailabilityZoneName
	Rack     model.RackID
	Labels   []string
	Capacity workload.Demand
	Draining bool
	// LeavesIn is the least time that a draining worker goes on.
	LeavesIn time.Duration
}

// OrderResult says what became of a start or stop.
type OrderResult string

// Results of orders to a worker.
const (
	// OrderTaken means that the worker did it, or had done it before.
	OrderTaken OrderResult = "taken"
	// OrderRefused means that the worker did nothing and may do it later.
	OrderRefused OrderResult = "refused"
	// OrderStale means that the run was stopped or ended there before.
	OrderStale OrderResult = "stale"
	// OrderFenced means that the worker saw a higher fencing token.
	OrderFenced OrderResult = "fenced"
	// OrderLate means that the call's deadline has passed by the worker's clock.
	OrderLate OrderResult = "late"
	// OrderNoRoom means that the run does not fit into the worker.
	OrderNoRoom OrderResult = "no_room"
	// OrderOtherLife means that another life of the worker answered.
	OrderOtherLife OrderResult = "other_life"
	// OrderInvalid means that the worker can never run the task.
	OrderInvalid OrderResult = "invalid"
	// OrderInDoubt means that no answer came: it may be carried out later.
	OrderInDoubt OrderResult = "in_doubt"
)

// EndedRun is an end that a worker lists.
type EndedRun struct {
	// Number counts the ends of one life of the worker, from 1.
	Number     uint64
	Task       string
	Run        int
	Kind       workload.EndKind
	Checkpoint string
}

// RunLists is what a worker reports of its runs.
type RunLists struct {
	ClockMS     int64
	Incarnation model.Incarnation
	Running     []workload.RunningTask
	Ended       []EndedRun
}

// HoldResult says how a look at the worker ended.
type HoldResult string

// Results of a look at the worker.
const (
	HoldAnswered  HoldResult = "answered"
	HoldOtherLife HoldResult = "other_life"
	HoldFenced    HoldResult = "fenced"
	// HoldFailed means that no answer came; the worker may have taken the call.
	HoldFailed HoldResult = "failed"
	// HoldNotSent means that nothing reached the worker.
	HoldNotSent HoldResult = "not_sent"
)

// Action is one of StartRun, StopRun, Hold, Announce and ReportEnds.
type Action interface{ isAction() }

// StartRun asks the worker to run a task. The answer goes to Core.Started.
type StartRun struct {
	ID         workload.RunID
	Worker     model.WorkerID
	Spec       string
	Checkpoint string
	// LeaseEndMS is the end of the worker's lease on its own clock; a start that
	// arrives later is refused.
	LeaseEndMS int64
	Generation uint64
}

// StopRun asks the worker to end a run. The answer goes to Core.Stopped.
type StopRun struct {
	Task       string
	Run        int
	Worker     model.WorkerID
	Generation uint64
}

// Hold extends the worker's lease and looks at its lists. The answer goes to
// Core.Held.
type Hold struct {
	Worker model.WorkerID
	// LeaseEndMS is the end of the lease on the worker's clock, 0 to extend nothing.
	LeaseEndMS   int64
	Acknowledged uint64
	Generation   uint64
	// Wait is how long the worker may wait for an end.
	Wait time.Duration
}

// Announce writes the worker's row under a check of its version, and with it
// the ends of runs, each under a check that it was not reported before. The
// answer goes to Core.Announced.
type Announce struct {
	Row     workload.Announcement
	Version storeapi.RowVersion
	Ends    []PendingEnd
}

// ReportEnds reports ends in the scheduler's own part, each under a check of its
// order, while announcements fail. The answer goes to Core.EndsReported.
type ReportEnds struct{ Ends []PendingEnd }

// PendingEnd is an end that is being reported.
type PendingEnd struct {
	ID  workload.RunID
	End workload.End
	// OrderKey and OrderVersion are those of the run's order.
	OrderKey     string
	OrderVersion storeapi.RowVersion
}

func (StartRun) isAction()   {}
func (StopRun) isAction()    {}
func (Hold) isAction()       {}
func (Announce) isAction()   {}
func (ReportEnds) isAction() {}

// Settings are the limits of the core.
type Settings struct {
	// LeaseBound is how long after a confirmed announcement the worker's lease
	// may end at the latest, by the worker's clock.
	LeaseBound time.Duration
	// LeaseStep is how far ahead one call extends the lease; at most the bound
	// of the worker.
	LeaseStep time.Duration
	// DrainLeaseStep is the same for a worker that drains, of which no lease ends
	// later than LeaseStep after a confirmed announcement.
	DrainLeaseStep time.Duration
	// AnnounceEvery is the interval of announcements.
	AnnounceEvery time.Duration
	// HoldWait is how long a look at the worker waits for an end.
	HoldWait time.Duration
	// RetryPause is the pause before a refused order is sent again, and the
	// first one after a failed announcement; that doubles up to MaxPause.
	RetryPause time.Duration
	MaxPause   time.Duration
	// MaxCalls bounds starts and stops under way at the same time.
	MaxCalls int
	// MaxEnds bounds the ends in one announcement or report.
	MaxEnds int
}

// DefaultSettings returns the limits in use for a worker that shortens leases
// to holdMax.
func DefaultSettings(holdMax time.Duration) Settings {
	return Settings{
		// With the worker's clock 2 % slow this ends before dispatch's LapseAfter.
		LeaseBound: 12 * time.Second,
		// A worker goes on while its agent is away for 4 s, the longest freeze or
		// restart of one machine, and had its last look a second before.
		LeaseStep: min(holdMax, 5500*time.Millisecond),
		// Two looks and a call without an answer.
		DrainLeaseStep: 2500 * time.Millisecond,
		AnnounceEvery:  time.Second,
		HoldWait:       time.Second,
		RetryPause:     150 * time.Millisecond,
		MaxPause:       time.Second,
		MaxCalls:       8,
		MaxEnds:        30,
	}
}
