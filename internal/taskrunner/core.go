package taskrunner

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// Core is the agent of one worker. It is not safe for concurrent use.
type Core struct {
	settings Settings
	host     string

	status      Heartbeat
	statusKnown bool
	// drained is set once the present life of the worker was seen to drain.
	drained    bool
	left       bool
	life       model.Incarnation
	generation uint64
	row        announcedRow

	lists listed
	lease lease

	loaded bool
	// ordersAsOf is the version up to which all changes of orders were seen.
	ordersAsOf storeapi.RowVersion
	runs       map[workload.RunID]*run
	// strays are runs on the worker without an order, with when a stop was sent.
	strays map[workload.RunID]time.Time
	// calls counts the starts and stops under way, starting the starts alone.
	calls, starting int

	hold holdState
	// reporting is set while a ReportEnds is under way; the next one is due at reportAt.
	reporting bool
	reportAt  time.Time

	notes []Note
}

// Note is one thing that the core came to believe, for the log.
type Note struct {
	Kind   string
	Task   string
	Run    int
	Reason string
}

// run is an order with what is known of its run.
type run struct {
	workload.Order
	id      workload.RunID
	version storeapi.RowVersion
	// sent is set when a start may have reached the worker.
	sent bool
	// takenAt is when the worker confirmed the start; zero before.
	takenAt time.Time
	// listed is set once the worker listed the run as running.
	listed     bool
	checkpoint string
	// percent is the progress that was listed last, and movedAt when it changed.
	percent int
	movedAt time.Time
	// stallTold is set once a stall was announced.
	stallTold bool
	stopping  bool
	// stopAt is when the worker confirmed the stop; zero before.
	stopAt   time.Time
	inFlight bool
	retryAt  time.Time
	refusals int
	// end is set when the run has ended and that is not committed yet; number
	// is that of the worker's list, 0 for an end that it does not list.
	end    *workload.End
	number uint64
	// reported is set once the end was committed; the scheduler then removes the order.
	reported bool
}

// listed is what the worker listed last.
type listed struct {
	known bool
	// fenced is set once the worker saw the present generation.
	fenced bool
	// complete is set once lists were compared with all orders.
	complete   bool
	clockMS    int64
	receivedAt time.Time
	running    []workload.RunningTask
	// highest is the highest number of an end that was listed.
	highest      uint64
	acknowledged uint64
}

type holdState struct {
	pending bool
	nextAt  time.Time
	failed  bool
	// failures counts looks without an answer, since the last one with one.
	failures int
}

// New returns a core for the worker beside an agent on a host.
func New(settings Settings, host string) *Core {
	return &Core{settings: settings, host: host, runs: map[workload.RunID]*run{}, strays: map[workload.RunID]time.Time{}}
}

// Notes returns what was noted since the last call.
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

// HeartbeatSeen takes in a heartbeat of the worker. One that was held up on its
// way, of a former life or with an old sequence, changes nothing.
func (c *Core) HeartbeatSeen(h Heartbeat) {
	if h.Incarnation < c.life || (c.statusKnown && h.Incarnation == c.status.Incarnation && h.Sequence < c.status.Sequence) {
		return
	}
	if c.left && h.Incarnation == c.life {
		return
	}
	if h.Incarnation > c.life || (c.statusKnown && h.Worker != c.status.Worker) {
		c.beginLife(h.Incarnation, "heartbeat")
	}
	if !c.statusKnown || c.status.Draining != h.Draining || c.status.Worker != h.Worker {
		c.row.announceNow()
	}
	c.status, c.statusKnown = h, true
	c.drained = c.drained || h.Draining
}

// beginLife takes in that the worker began another life. What ran in the former
// one is gone; but a start that was under way may have reached the new one,
// which knows no fencing token yet. So runs of the former life are ended only
// after a look under the new generation, which keeps out what is still under way.
func (c *Core) beginLife(life model.Incarnation, source string) {
	c.note("worker_life", nil, source)
	c.life, c.left, c.drained, c.statusKnown = life, false, false, false
	c.lists, c.lease = listed{}, lease{}
	c.strays = map[workload.RunID]time.Time{}
	c.reregister()
	for _, r := range c.runs {
		r.number, r.listed = 0, false
		r.takenAt, r.stopAt = time.Time{}, time.Time{}
	}
	c.hold.nextAt = time.Time{}
}

// Left takes in that the worker leaves: all that ran on it has ended.
func (c *Core) Left(worker model.WorkerID) {
	if !c.statusKnown || worker != c.status.Worker || c.left {
		return
	}
	c.left = true
	c.note("worker_left", nil, string(worker))
	c.row.announceNow()
	for _, r := range c.runs {
		c.finish(r, workload.EndLost, r.checkpoint, "the worker left")
		r.number = 0
	}
}

// OrderSeen takes in an order as it lies in the store. maybeSent is set for
// orders that a former process of this agent may have carried out.
func (c *Core) OrderSeen(o workload.Order, version storeapi.RowVersion, maybeSent bool) {
	id, err := o.ID()
	if err != nil || o.Host != c.host {
		return
	}
	r := c.runs[id]
	if r == nil {
		r = &run{id: id, sent: maybeSent}
		c.runs[id] = r
	}
	if version < r.version {
		return
	}
	r.Order, r.version = o, version
	r.stopping = r.stopping || o.Stop
}

// OrderPushed takes in an order that its writer sent beside the store. One that
// the orders seen so far include may have been removed since, and is ignored.
func (c *Core) OrderPushed(o workload.Order, version storeapi.RowVersion) {
	if c.loaded && version > c.ordersAsOf {
		c.OrderSeen(o, version, false)
	}
}

// OrdersSeen takes in that all changes of orders up to a version were seen.
func (c *Core) OrdersSeen(version storeapi.RowVersion) {
	c.ordersAsOf = max(c.ordersAsOf, version)
}

// OrderGone takes in that an order's row was removed.
func (c *Core) OrderGone(id workload.RunID, version storeapi.RowVersion) {
	if r := c.runs[id]; r != nil && r.version <= version {
		delete(c.runs, id)
	}
}

// OrdersLoaded takes in that all orders as of a version were seen; older ones
// that are not among them are gone.
func (c *Core) OrdersLoaded(present map[workload.RunID]bool, version storeapi.RowVersion) {
	for id, r := range c.runs {
		if !present[id] && r.version <= version {
			delete(c.runs, id)
		}
	}
	c.loaded = true
	c.OrdersSeen(version)
}

// finish notes the end of a run, once.
func (c *Core) finish(r *run, kind workload.EndKind, checkpoint, detail string) {
	if r.end != nil {
		return
	}
	c.row.announceNow()
	r.end = &workload.End{Task: r.Task, Run: r.Run, Host: c.host, Kind: kind, Checkpoint: checkpoint, Detail: detail}
	c.note("run_ended", r, string(kind)+" "+detail)
}

// Polled takes in the result of a look at the worker that was sent at sentAt.
func (c *Core) Polled(now, sentAt time.Time, sent Hold, result HoldResult, lists RunLists) {
	c.hold.pending, c.hold.failed = false, result == HoldFailed || result == HoldNotSent
	if result == HoldAnswered {
		c.hold.failures = 0
	}
	if result != HoldNotSent {
		c.granted(now, sent.LeaseEndMS)
	}
	switch result {
	case HoldFailed, HoldNotSent:
		c.hold.nextAt = now.Add(c.pauseAfter(c.hold.failures))
		c.hold.failures++
		return
	case HoldFenced:
		// Another process of this agent used a higher token meanwhile.
		c.note("worker_fenced", nil, "")
		c.generation++
		c.reregister()
		c.hold.nextAt = now.Add(c.settings.RetryPause)
		return
	case HoldOtherLife:
		c.hold.nextAt = now.Add(c.pauseAfter(c.hold.failures))
		c.hold.failures++
		c.statusKnown = false
		return
	}
	if lists.Incarnation < c.life {
		return
	}
	if lists.Incarnation > c.life {
		c.beginLife(lists.Incarnation, "lists")
	}
	c.hold.nextAt = now
	if now.Sub(sentAt) < c.settings.RetryPause && len(lists.Ended) == 0 {
		// The worker does not wait, as one that is stopping.
		c.hold.nextAt = now.Add(c.settings.RetryPause)
	}
	c.lists.fenced = c.lists.fenced || sent.Generation == c.generation
	c.takeLists(now, sentAt, lists)
}

func (c *Core) takeLists(now, sentAt time.Time, lists RunLists) {
	c.lists.known, c.lists.clockMS, c.lists.receivedAt, c.lists.running = true, lists.ClockMS, now, lists.Running
	if !c.loaded {
		return
	}
	c.lists.complete = true
	present := map[workload.RunID]bool{}
	for i := range lists.Running {
		c.takeRunning(now, &lists.Running[i], present)
	}
	for _, ended := range lists.Ended {
		c.takeEnded(ended, present)
	}
	for id, r := range c.runs {
		if !present[id] {
			c.takeAbsent(r, sentAt)
		}
	}
	for id := range c.strays {
		if !present[id] {
			delete(c.strays, id)
		}
	}
	c.acknowledge()
}

func (c *Core) takeRunning(now time.Time, running *workload.RunningTask, present map[workload.RunID]bool) {
	ref, err := workload.ParseTaskRef(running.Task)
	if err != nil {
		return
	}
	id := workload.RunID{Task: ref, Run: running.Run}
	present[id] = true
	r := c.runs[id]
	if r == nil {
		if _, known := c.strays[id]; !known {
			c.strays[id] = time.Time{}
			c.note("stray_run", &run{Order: workload.Order{Task: running.Task, Run: running.Run}}, "no order")
		}
		return
	}
	if !r.listed || r.percent != running.Percent {
		r.percent, r.movedAt, r.stallTold = running.Percent, now, false
	}
	r.sent, r.listed, r.checkpoint = true, true, running.Checkpoint
	running.StalledMS = now.Sub(r.movedAt).Milliseconds()
	if running.StalledMS >= stallTold.Milliseconds() && !r.stallTold {
		r.stallTold = true
		c.row.announceNow()
	}
}

// stallTold is the stall that is announced at once; the scheduler decides what
// it means for a task of this length.
const stallTold = 900 * time.Millisecond

func (c *Core) takeEnded(ended EndedRun, present map[workload.RunID]bool) {
	c.lists.highest = max(c.lists.highest, ended.Number)
	ref, err := workload.ParseTaskRef(ended.Task)
	if err != nil {
		return
	}
	id := workload.RunID{Task: ref, Run: ended.Run}
	present[id] = true
	if r := c.runs[id]; r != nil {
		c.finish(r, ended.Kind, ended.Checkpoint, "")
		r.number = ended.Number
	}
}

// takeAbsent takes in that the worker lists an ordered run neither as running
// nor as ended, in an answer to a look that was sent at sentAt.
func (c *Core) takeAbsent(r *run, sentAt time.Time) {
	switch {
	case r.inFlight || r.end != nil:
	case !r.stopAt.IsZero() && sentAt.After(r.stopAt):
		kind := workload.EndNotStarted
		if r.listed {
			kind = workload.EndStopped
		}
		c.finish(r, kind, r.checkpoint, "not listed after its stop")
	case !r.takenAt.IsZero() && sentAt.After(r.takenAt):
		c.finish(r, workload.EndLost, r.checkpoint, "not listed after its start")
	}
}

// acknowledge moves the number up to which the worker may forget its ends: all
// listed ones below the first that is not committed.
func (c *Core) acknowledge() {
	upTo := c.lists.highest
	for _, r := range c.runs {
		if r.end != nil && !r.reported && r.number > 0 {
			upTo = min(upTo, r.number-1)
		}
	}
	c.lists.acknowledged = max(c.lists.acknowledged, upTo)
}
