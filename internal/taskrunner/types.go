// Package taskrunner decides which calls an agent makes to the worker beside it
// and what it reports to the scheduler. A Core is deterministic and does no I/O:
// its caller passes in results and the current time, and performs the actions
// that Step returns.
//
// Load pattern: a few tasks a second, on a worker that may answer late, carry
// out orders seconds after they were sent, hang, or restart with a new
// incarnation; with a store that may be unavailable for seconds.
//
// Invariants:
//   - a run is started only while its order row exists;
//   - an end is committed only together with the worker's row, or under a check
//     of its order (ReportEnds), so that no end is reported after the scheduler
//     marked the worker as gone;
//   - the worker's lease expires at most Settings.LeaseBound after the last
//     announcement that the store confirmed;
//   - an end is acknowledged to the worker only after it was committed.
package taskrunner

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// Heartbeat is the state that a worker sends to its agent at intervals.
type Heartbeat struct {
	Worker      model.WorkerID
	Incarnation model.Incarnation
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
	Service  string
	Zone     model.AvailabilityZoneName
	Rack     model.RackID
	Labels   []string
	Capacity workload.Resources
	Draining bool
	// LeavesIn is the minimum time for which a draining worker stays available.
	LeavesIn time.Duration
}

// OrderResult is the outcome of a start or stop call.
type OrderResult string

// Outcomes of start and stop calls.
const (
	// OrderAccepted means that the worker carried out the call, now or before.
	OrderAccepted OrderResult = "taken"
	// OrderRefused means that the worker did nothing; the call can be retried.
	OrderRefused OrderResult = "refused"
	// OrderNotSent means that the call was not sent, since the worker could not be reached.
	OrderNotSent OrderResult = "not_sent"
	// OrderStale means that the run has already been stopped or has ended on the worker.
	OrderStale OrderResult = "stale"
	// OrderFenced means that the worker has seen a higher fencing token.
	OrderFenced OrderResult = "fenced"
	// OrderLate means that the call's deadline had passed on the worker's clock.
	OrderLate OrderResult = "late"
	// OrderNoCapacity means that the run does not fit into the worker's free capacity.
	OrderNoCapacity OrderResult = "no_room"
	// OrderOtherIncarnation means that another incarnation of the worker answered.
	OrderOtherIncarnation OrderResult = "other_life"
	// OrderInvalid means that the worker can never run the task.
	OrderInvalid OrderResult = "invalid"
	// OrderInDoubt means that no answer came; the call may still be carried out.
	OrderInDoubt OrderResult = "in_doubt"
)

// EndedRun is an entry of a worker's list of ended runs.
type EndedRun struct {
	// Number counts the ends of one incarnation of the worker, from 1.
	Number     uint64
	Task       string
	Run        int
	Kind       workload.EndKind
	Checkpoint string
}

// RunLists holds the running and the ended runs that a worker lists, with its
// clock when it answered.
type RunLists struct {
	ClockMS     int64
	Incarnation model.Incarnation
	Running     []workload.RunningTask
	Ended       []EndedRun
	// MoreEnds is set if the list of ends may be cut: runs that are in neither list
	// may have ended.
	MoreEnds bool
}

// PollResult is the outcome of a poll of the worker.
type PollResult string

// Outcomes of a poll.
const (
	PollAnswered         PollResult = "answered"
	PollOtherIncarnation PollResult = "other_life"
	PollFenced           PollResult = "fenced"
	// PollFailed means that no answer came; the worker may have processed the call.
	PollFailed PollResult = "failed"
	// PollNotSent means that the request never reached the worker.
	PollNotSent PollResult = "not_sent"
	// PollNoListener means the same, because the worker's machine answered that nothing
	// listens on the worker's address.
	PollNoListener PollResult = "no_listener"
)

// mayHaveArrived reports whether the worker may have processed the poll.
func (r PollResult) mayHaveArrived() bool { return r != PollNotSent && r != PollNoListener }

// answered reports whether the poll got an answer of any kind.
func (r PollResult) answered() bool { return r != PollFailed && r.mayHaveArrived() }

// Action is one of StartRun, StopRun, Poll, Announce and ReportEnds.
type Action interface{ isAction() }

// StartRun asks the worker to run a task. Its result is passed to Core.Started.
type StartRun struct {
	ID         workload.RunID
	Worker     model.WorkerID
	Spec       string
	Checkpoint string
	// LeaseEndMS is the end of the worker's lease on the worker's clock; the
	// worker refuses a start that arrives later.
	LeaseEndMS int64
	Generation uint64
}

// StopRun asks the worker to stop a run. Its result is passed to Core.Stopped.
type StopRun struct {
	Task       string
	Run        int
	Worker     model.WorkerID
	Generation uint64
}

// Poll extends the worker's lease and reads its run lists. Its result is passed
// to Core.Polled.
type Poll struct {
	Worker model.WorkerID
	// Incarnation is the incarnation that the poll is meant for. A worker that restarts
	// may keep its ID, so another one may answer.
	Incarnation model.Incarnation
	// Probe is set for a poll that finds out whether the worker is the one that a
	// heartbeat names. Only the incarnation in its answer counts.
	Probe bool
	// LeaseEndMS is the new end of the lease on the worker's clock; 0 does not
	// extend it.
	LeaseEndMS   int64
	Acknowledged uint64
	Generation   uint64
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// Announce writes the worker's row, conditional on its version, and in the same
// transaction the ends of runs, each conditional on not having been reported
// yet. Its result is passed to Core.Announced.
type Announce struct {
	Row     workload.Announcement
	Version storeapi.RowVersion
	Ends    []PendingEnd
}

// ReportEnds writes ends to the scheduler's own part of the store, each
// conditional on the version of its order, while announcements fail. Its result
// is passed to Core.EndsReported.
type ReportEnds struct{ Ends []PendingEnd }

// PendingEnd is an end of a run that is not known to be committed.
type PendingEnd struct {
	ID  workload.RunID
	End workload.End
	// OrderKey and OrderVersion identify the run's order row.
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
	// LeaseBound is the longest time from a confirmed announcement to the end of
	// the worker's lease, on the worker's clock.
	LeaseBound time.Duration
	// LeaseExtension is how far into the future one call extends the lease; at
	// most the longest lease that the worker accepts.
	LeaseExtension time.Duration
	// DrainLeaseExtension replaces LeaseExtension for a draining worker, whose
	// lease ends at most LeaseExtension after a confirmed announcement.
	DrainLeaseExtension time.Duration
	// AnnounceInterval is the time between two announcements.
	AnnounceInterval time.Duration
	// PollWait is how long a poll waits for a run to end.
	PollWait time.Duration
	// RetryDelay is the delay before a refused order is sent again, and the first
	// delay after a failed announcement, poll or start; that one doubles with each
	// further failure, up to MaxRetryDelay.
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
	// MaxCalls limits the number of concurrent starts and stops.
	MaxCalls int
	// MaxEnds limits the number of ends in one announcement or report.
	MaxEnds int
}

// DefaultSettings returns the production limits for a worker that truncates
// leases to workerMaxLease.
func DefaultSettings(workerMaxLease time.Duration) Settings {
	return Settings{
		// On a worker's clock that is 2 % slow this still ends before
		// dispatch.Settings.LeaseExpiredAfter.
		LeaseBound: 12 * time.Second,
		// The runs survive an agent outage of 4 s, the longest freeze or restart of
		// one machine, that begins a second after the last poll.
		LeaseExtension: min(workerMaxLease, 5500*time.Millisecond),
		// Two polls and a call that gets no answer.
		DrainLeaseExtension: 2500 * time.Millisecond,
		AnnounceInterval:    time.Second,
		PollWait:            time.Second,
		RetryDelay:          150 * time.Millisecond,
		MaxRetryDelay:       time.Second,
		MaxCalls:            8,
		MaxEnds:             30,
	}
}
