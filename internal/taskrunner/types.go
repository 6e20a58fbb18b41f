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
	Capacity workload.Resources
	Draining bool
	// LeavesIn is the least time that a draining worker goes on.
	LeavesIn time.Duration
}

// OrderResult says what became of a start or stop.
type OrderResult string

// Results of orders to a worker.
const (
	// OrderAccepted means that the worker did it, or had done it before.
	OrderAccepted OrderResult = "taken"
	// OrderRefused means that the worker did nothing and may do it later.
	OrderRefused OrderResult = "refused"
	// OrderStale means that the run was stopped or ended there before.
	OrderStale OrderResult = "stale"
	// OrderFenced means that the worker saw a higher fencing token.
	OrderFenced OrderResult = "fenced"
	// OrderLate means that the call's deadline has passed by the worker's clock.
	OrderLate OrderResult = "late"
	// OrderNoCapacity means that the run does not fit into the worker.
	OrderNoCapacity OrderResult = "no_room"
	// OrderOtherIncarnation means that another life of the worker answered.
	OrderOtherIncarnation OrderResult = "other_life"
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

// PollResult says how a look at the worker ended.
type PollResult string

// Results of a look at the worker.
const (
	PollAnswered         PollResult = "answered"
	PollOtherIncarnation PollResult = "other_life"
	PollFenced           PollResult = "fenced"
	// PollFailed means that no answer came; the worker may have taken the call.
	PollFailed PollResult = "failed"
	// PollNotSent means that nothing reached the worker.
	PollNotSent PollResult = "not_sent"
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

// Poll extends the worker's lease and looks at its lists. The answer goes to
// Core.Held.
type Poll struct {
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
func (Poll) isAction()       {}
func (Announce) isAction()   {}
func (ReportEnds) isAction() {}

// Settings are the limits of the core.
type Settings struct {
	// LeaseBound is how long after a confirmed announcement the worker's lease
	// may end at the latest, by the worker's clock.
	LeaseBound time.Duration
	// LeaseExtension is how far ahead one call extends the lease; at most the bound
	// of the worker.
	LeaseExtension time.Duration
	// DrainLeaseExtension is the same for a worker that drains, of which no lease ends
	// later than LeaseStep after a confirmed announcement.
	DrainLeaseExtension time.Duration
	// AnnounceInterval is the interval of announcements.
	AnnounceInterval time.Duration
	// PollWait is how long a look at the worker waits for an end.
	PollWait time.Duration
	// RetryDelay is the pause before a refused order is sent again, and the
	// first one after a failed announcement; that doubles up to MaxPause.
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
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
		LeaseExtension: min(holdMax, 5500*time.Millisecond),
		// Two looks and a call without an answer.
		DrainLeaseExtension: 2500 * time.Millisecond,
		AnnounceInterval:    time.Second,
		PollWait:            time.Second,
		RetryDelay:          150 * time.Millisecond,
		MaxRetryDelay:       time.Second,
		MaxCalls:            8,
		MaxEnds:             30,
	}
}
