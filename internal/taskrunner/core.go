package taskrunner

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// Core is the state machine of the agent of one worker. It is not safe for
// concurrent use.
type Core struct {
	settings Settings
	host     string

	status      Heartbeat
	statusKnown bool
	// drainSeen is set once the current incarnation of the worker has reported that
	// it drains, and stays set.
	drainSeen   bool
	workerLeft  bool
	incarnation model.Incarnation
	// formerIncarnations holds the incarnations before the current one. They are higher
	// if the worker's clock was set back.
	formerIncarnations map[model.Incarnation]bool

	generation uint64
	claim      claim
	departure  departure
	row        announcedRow

	lists workerLists
	lease lease

	ordersLoaded bool
	// ordersVersion is the store version up to which all order changes are known.
	ordersVersion storeapi.RowVersion
	runs          map[workload.RunID]*run
	// strays are the runs on the worker that have no order, with the time of the
	// last stop sent to them.
	strays map[workload.RunID]time.Time
	// callsInFlight counts the outstanding starts and stops, startsInFlight only
	// the starts.
	callsInFlight, startsInFlight int

	// reached is set while the last call told that the current incarnation of the worker
	// answers. After a call without an answer, another incarnation may have taken the
	// worker's address and ID. It is sent nothing but a poll that extends no lease and
	// acknowledges nothing, until an answer tells which one it is.
	reached bool
	// unreachedSince is when the worker last ceased to be reached; zero if it never was.
	unreachedSince time.Time

	poll pollState
	// reportInFlight is set while a ReportEnds is outstanding; the next one is not
	// sent before nextReportAt.
	reportInFlight bool
	nextReportAt   time.Time

	notes []Note
}

// Note is an event for the agent's log.
type Note struct {
	Kind   string
	Task   string
	Run    int
	Reason string
}

// run is an order and the known state of its run.
type run struct {
	workload.Order
	id      workload.RunID
	version storeapi.RowVersion
	// maybeSent is set once a start may have reached the worker.
	maybeSent bool
	// startConfirmedAt is when the worker confirmed the start; zero until then.
	startConfirmedAt time.Time
	// seenRunning is set once the worker listed the run as running.
	seenRunning bool
	checkpoint  string
	// checkpointIgnored is set once a checkpoint of the run was too large to store.
	checkpointIgnored bool
	// percent is the progress that the worker listed last, and progressAt when it
	// last changed.
	percent    int
	progressAt time.Time
	// stallAnnounced is set once the present stall has triggered an announcement.
	stallAnnounced bool
	stopping       bool
	// stopConfirmedAt is when the worker confirmed the stop; zero until then.
	stopConfirmedAt time.Time
	inFlight        bool
	// calledIncarnation is the incarnation to which the last start or stop was sent.
	calledIncarnation model.Incarnation
	retryAt           time.Time
	refusals          int
	// end is set once the run has ended. endNumber is the number of the end in the
	// worker's list, 0 for an end that the worker does not list.
	end       *workload.End
	endNumber uint64
	// reported is set once the end is committed; the scheduler then removes the
	// order.
	reported bool
}

// workerLists is the last known content of the worker's run lists.
type workerLists struct {
	known bool
	// fenced is set once the worker has seen the current generation, so that it
	// refuses calls of earlier ones.
	fenced bool
	// reconciled is set once complete lists of this incarnation were compared with
	// all orders.
	reconciled bool
	clockMS    int64
	receivedAt time.Time
	running    []workload.RunningTask
	// highestEnd is the highest number of a listed end.
	highestEnd   uint64
	acknowledged uint64
}

type pollState struct {
	pending bool
	nextAt  time.Time
	failed  bool
	// failures counts the polls without a usable answer since the last answered
	// one.
	failures int
}

// New returns a core for the worker on a host.
func New(settings Settings, host string) *Core {
	return &Core{settings: settings, host: host, formerIncarnations: map[model.Incarnation]bool{}, runs: map[workload.RunID]*run{}, strays: map[workload.RunID]time.Time{}}
}

// Notes returns the notes since the last call.
func (c *Core) Notes() []Note {
	out := c.notes
	c.notes = nil
	return out
}

func (c *Core) note(kind string, r *run, reason string) {
	n := Note{Kind: kind, Reason: reason}
	if r != nil {
		n.Task, n.Run = r.Task, r.Run
	}
	c.notes = append(c.notes, n)
}

// OrderSeen processes an order as read from the store. maybeSent is set for
// orders that an earlier process of this agent may have carried out.
func (c *Core) OrderSeen(o workload.Order, version storeapi.RowVersion, maybeSent bool) {
	id, err := o.ID()
	if err != nil || o.Host != c.host {
		return
	}
	r := c.runs[id]
	if r == nil {
		r = &run{id: id, maybeSent: maybeSent}
		c.runs[id] = r
	}
	if version < r.version {
		return
	}
	r.Order, r.version = o, version
	r.stopping = r.stopping || o.Stop
}

// OrderPushed processes an order that the scheduler sent directly, ahead of the
// store's feed. An order at or below the version up to which all changes are
// known is ignored, because it may have been removed since.
func (c *Core) OrderPushed(o workload.Order, version storeapi.RowVersion) {
	if c.ordersLoaded && version > c.ordersVersion {
		c.OrderSeen(o, version, false)
	}
}

// OrdersCaughtUp records that all order changes up to a version are known.
func (c *Core) OrdersCaughtUp(version storeapi.RowVersion) {
	c.ordersVersion = max(c.ordersVersion, version)
}

// OrderRemoved processes the removal of an order's row at a version.
func (c *Core) OrderRemoved(id workload.RunID, version storeapi.RowVersion) {
	if r := c.runs[id]; r != nil && r.version <= version {
		delete(c.runs, id)
	}
}

// OrdersLoaded processes the end of a scan that saw all orders as of a version.
// Known orders up to that version that are not present have been removed.
func (c *Core) OrdersLoaded(present map[workload.RunID]bool, version storeapi.RowVersion) {
	for id, r := range c.runs {
		if !present[id] && r.version <= version {
			delete(c.runs, id)
		}
	}
	c.ordersLoaded = true
	c.OrdersCaughtUp(version)
}

// recordEnd records the end of a run; only the first end counts.
func (c *Core) recordEnd(r *run, kind workload.EndKind, checkpoint, detail string) {
	if r.end != nil {
		return
	}
	c.row.announceNow()
	r.end = &workload.End{Task: r.Task, Run: r.Run, Host: c.host, Kind: kind, Checkpoint: checkpoint, Detail: detail}
	c.note("run_ended", r, string(kind)+" "+detail)
}

// Polled processes the result of a poll that was sent at sentAt.
func (c *Core) Polled(now, sentAt time.Time, sent Poll, result PollResult, lists RunLists) {
	if sent.Probe {
		c.probed(now, sent, result, lists)
		return
	}
	c.poll.pending = false
	if sent.Incarnation != c.incarnation || sent.Worker != c.status.Worker {
		c.recordOutdatedPoll(now, sent, result)
		return
	}
	c.poll.failed = !result.answered()
	checked := c.reached
	c.setReached(now, result == PollAnswered)
	if result.mayHaveArrived() {
		c.recordGrant(now, sent.LeaseEndMS)
	}
	if result != PollAnswered {
		c.settleDeparture(now, result)
		c.recordUnansweredPoll(now, result)
		return
	}
	c.poll.failures = 0
	if lists.Incarnation != c.incarnation {
		c.beginIncarnation(lists.Incarnation, "lists")
	}
	c.settleDeparture(now, result)
	c.poll.nextAt = now
	if checked && now.Sub(sentAt) < c.settings.RetryDelay && len(lists.Ended) == 0 {
		// The worker answers without waiting, as it does while it stops.
		c.poll.nextAt = now.Add(c.settings.RetryDelay)
	}
	c.lists.fenced = c.lists.fenced || sent.Generation == c.generation
	c.applyLists(now, sentAt, lists)
}

// recordUnansweredPoll plans the next poll after one that brought no lists.
func (c *Core) recordUnansweredPoll(now time.Time, result PollResult) {
	if result == PollFenced {
		// Another process of this agent has used a higher fencing token since.
		c.note("worker_fenced", nil, "")
		c.generation++
		c.reregister()
		c.poll.nextAt = now.Add(c.settings.RetryDelay)
		return
	}
	c.poll.nextAt = now.Add(c.backoff(c.poll.failures))
	c.poll.failures++
	if result == PollOtherIncarnation && !c.workerLeft {
		c.statusKnown = false
	}
}
