package taskrunner

import (
	"time"

	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// announcedRow tracks the worker's row in the store and the announcements that
// write it.
type announcedRow struct {
	known   bool
	version storeapi.RowVersion
	// confirmed is set once an announcement of this generation took effect.
	confirmed bool
	pending   bool
	nextAt    time.Time
	// clockMS is a lower bound of the worker's clock when the outstanding
	// announcement was sent.
	clockMS int64
	// inDoubt holds the announcements without an answer, keyed by their SentMS.
	inDoubt  map[int64]inDoubtAnnouncement
	failures int
	// nextReport is the index of the running task with which the next announcement
	// begins.
	nextReport int
	// failingSince is when the first announcement of the current series of
	// failures failed, and refusedSince when the first of them was refused; zero
	// for none.
	failingSince, refusedSince time.Time
}

// Delays before ends are reported in the scheduler's own part of the store. Load
// pattern: a store that is sixty times slower, on which each announcement of
// hundreds of agents goes without an answer once or twice. A part then takes two
// transactions a second, so that the scheduler's own transactions would queue for
// seconds behind reports that the parts of the agents' hosts accept just as soon.
const (
	// sharedReportAfterRefusal is the delay while announcements are refused.
	sharedReportAfterRefusal = time.Second
	// sharedReportAfterInDoubt is the delay while announcements get no answer.
	sharedReportAfterInDoubt = 5 * time.Second
)

// recordFailure records the failure of an announcement; an unanswered one does
// not count as refused.
func (a *announcedRow) recordFailure(now time.Time, result storeapi.Result) {
	a.failures++
	if a.failingSince.IsZero() {
		a.failingSince = now
	}
	if a.refusedSince.IsZero() && result != storeapi.ResultInDoubt {
		a.refusedSince = now
	}
}

func (a *announcedRow) clearFailures() {
	a.failures, a.failingSince, a.refusedSince = 0, time.Time{}, time.Time{}
}

// needsSharedReport reports whether announcements have failed for so long that
// ends go to the scheduler's own part.
func (a *announcedRow) needsSharedReport(now time.Time) bool {
	return (!a.refusedSince.IsZero() && now.Sub(a.refusedSince) >= sharedReportAfterRefusal) ||
		(!a.failingSince.IsZero() && now.Sub(a.failingSince) >= sharedReportAfterInDoubt)
}

// inDoubtAnnouncement is an announcement that may have taken effect.
type inDoubtAnnouncement struct {
	clockMS int64
	ends    []PendingEnd
}

func (a *announcedRow) announceNow() { a.nextAt = time.Time{} }

// lease bounds how far the worker's lease may be extended.
type lease struct {
	// basisMS is the worker's clock, at least, when the last confirmed announcement
	// was sent; LeaseBound counts from it.
	basisMS int64
	known   bool
	// requestedMS is the latest lease end that a start has asked for, on the
	// worker's clock.
	requestedMS int64
	// endsAt is when every lease granted so far has certainly expired, on the
	// agent's clock.
	endsAt time.Time
}

// reregister requests a new announcement under a higher generation and voids the
// lease basis until that is confirmed.
func (c *Core) reregister() {
	c.generation++
	c.lists.fenced = false
	c.row.confirmed = false
	c.row.inDoubt = nil
	c.lease.known = false
	c.row.announceNow()
}

// RowLoaded processes the worker's row as an earlier process of this agent left
// it. Version zero means that there is no row.
func (c *Core) RowLoaded(row workload.Announcement, version storeapi.RowVersion) {
	c.row.known, c.row.version = true, version
	c.generation = max(c.generation, row.Generation+1)
	if version == 0 || row.State == workload.WorkerGone || c.statusKnown {
		return
	}
	c.incarnation = row.Incarnation
	c.status = Heartbeat{
		Worker: row.Worker, Incarnation: row.Incarnation, Service: row.Service, Zone: row.Zone, Rack: row.Rack,
		Labels: row.Labels, Capacity: row.Capacity, Draining: row.State == workload.WorkerDraining, Sequence: row.Sequence,
	}
	c.statusKnown, c.drainSeen = true, c.status.Draining
	if claimed := c.claim; claimed.known {
		c.claim = claim{}
		c.HeartbeatSeen(claimed.heartbeat)
	}
}

// Announcing reports whether an announcement is outstanding.
func (c *Core) Announcing() bool { return c.row.pending }

// announcementDue returns the announcement that is due, if any.
func (c *Core) announcementDue(now time.Time, storeMS int64) []Action {
	if !c.row.known || c.row.pending || !c.statusKnown || now.Before(c.row.nextAt) || (!c.lists.known && !c.workerLeft) {
		return nil
	}
	row := workload.Announcement{
		Host: c.host, Worker: c.status.Worker, Incarnation: c.status.Incarnation, Service: c.status.Service,
		Zone: c.status.Zone, Rack: c.status.Rack, Labels: c.status.Labels, Capacity: c.status.Capacity,
		State: workload.WorkerReady, Generation: c.generation, Sequence: c.status.Sequence, SentMS: storeMS, Running: c.nextReports(),
	}
	switch {
	case c.workerLeft:
		row.State, row.Running = workload.WorkerGone, nil
	case c.unreachable(now):
		row.State = workload.WorkerUnreachable
	case c.status.Draining:
		row.State, row.MinRemainingMS = workload.WorkerDraining, c.status.LeavesIn.Milliseconds()
	}
	if c.drainSeen && !c.workerLeft {
		// This time also covers leases that were granted before the drain.
		row.MaxLeaseMS = (maxElapsed(c.settings.LeaseExtension) + callMargin).Milliseconds()
	}
	c.row.pending = true
	c.row.clockMS = c.workerClockMS(now)
	c.row.nextAt = now.Add(c.settings.AnnounceInterval)
	return []Action{Announce{Row: row, Version: c.row.version, Ends: c.unreported()}}
}

// Sizes that bound the row of an announcement, in bytes. Load pattern: over a thousand
// small tasks on one worker.
const (
	// maxReportBytes bounds the encoding of the running tasks. The rest of the row is
	// left for what the worker says of itself.
	maxReportBytes = workload.MaxRowBytes - 6<<10
	// reportBytes is the largest encoding of a running task without its texts.
	reportBytes = 32
)

// nextReports returns the running tasks to announce: all of them if the row has room, or
// else those that follow the ones announced last, so that each is announced in turn.
func (c *Core) nextReports() []workload.RunningTask {
	running := c.lists.running
	first := 0
	if len(running) > 0 {
		first = c.row.nextReport % len(running)
	}
	out, room := make([]workload.RunningTask, 0, len(running)), maxReportBytes
	for i := range running {
		next := running[(first+i)%len(running)]
		size := reportBytes + len(next.Task) + len(next.Checkpoint)
		switch {
		case size > maxReportBytes:
			// No task of this system has such a name.
		case size > room:
			c.row.nextReport = first + i
			return out
		default:
			out, room = append(out, next), room-size
		}
	}
	c.row.nextReport = 0
	return out
}

// unreported returns the ends that are not committed yet, at most MaxEnds.
func (c *Core) unreported() []PendingEnd {
	var ends []PendingEnd
	for _, r := range c.sortedRuns() {
		if r.end != nil && !r.reported && len(ends) < c.settings.MaxEnds {
			ends = append(ends, PendingEnd{ID: r.id, End: *r.end, OrderKey: r.Key(), OrderVersion: r.version})
		}
	}
	return ends
}

func (c *Core) markReported(ends []PendingEnd) {
	for _, end := range ends {
		if r := c.runs[end.ID]; r != nil {
			r.reported = true
		}
	}
	c.acknowledge()
}

// AnnouncementConflict is the stored state that caused the refusal of an
// announcement: the worker's row, with version zero when there is none, and those
// of the ends that had been reported before.
type AnnouncementConflict struct {
	Row      workload.Announcement
	Version  storeapi.RowVersion
	Reported []PendingEnd
}

// Announced processes the result of an announcement. version is the version of
// the row that it wrote, and conflict is set for storeapi.ResultConflict.
func (c *Core) Announced(now time.Time, sent Announce, result storeapi.Result, version storeapi.RowVersion, conflict AnnouncementConflict) {
	c.row.pending = false
	if result == storeapi.ResultOK || result == storeapi.ResultConflict {
		c.row.clearFailures()
	}
	current := sent.Row.Generation == c.generation && sent.Row.Incarnation == c.status.Incarnation
	switch result {
	case storeapi.ResultOK:
		c.row.version = version
		if current {
			c.confirm(c.row.clockMS)
		}
		c.markReported(sent.Ends)
		if len(sent.Ends) >= c.settings.MaxEnds {
			// Further ends were left out.
			c.row.announceNow()
		}
	case storeapi.ResultConflict:
		c.markReported(conflict.Reported)
		if conflict.Version == sent.Version {
			c.row.announceNow()
			return
		}
		c.resolveConflict(conflict.Row, conflict.Version)
	default:
		if c.row.inDoubt == nil {
			c.row.inDoubt = map[int64]inDoubtAnnouncement{}
		}
		if current && result == storeapi.ResultInDoubt {
			c.row.inDoubt[sent.Row.SentMS] = inDoubtAnnouncement{c.row.clockMS, sent.Ends}
		}
		c.row.nextAt = now.Add(c.backoff(c.row.failures))
		c.row.recordFailure(now, result)
	}
}

// backoff returns the delay after a failed call, given the number of failures
// before it. The delay doubles with each failure, so that many agents don't
// overload a slow store and a worker that is gone is not dialled in a loop.
func (c *Core) backoff(failures int) time.Duration {
	return min(c.settings.RetryDelay<<min(failures, 10), c.settings.MaxRetryDelay)
}

func (c *Core) confirm(clockMS int64) {
	c.row.confirmed = true
	c.row.inDoubt = nil
	c.lease.basisMS, c.lease.known = max(c.lease.basisMS, clockMS), true
}

// resolveConflict processes the stored row that an announcement found instead of
// the expected one: an earlier announcement whose answer was lost, or the
// scheduler's record that the worker is gone.
func (c *Core) resolveConflict(stored workload.Announcement, version storeapi.RowVersion) {
	c.row.version = version
	c.row.announceNow()
	sent, own := c.row.inDoubt[stored.SentMS]
	if own && stored.Generation == c.generation && stored.State != workload.WorkerGone {
		c.confirm(sent.clockMS)
		c.markReported(sent.ends)
		return
	}
	c.note("worker_row_lost", nil, string(stored.State))
	c.generation = max(c.generation, stored.Generation)
	c.reregister()
}

// workerClockMS returns a lower bound of the worker's clock.
func (c *Core) workerClockMS(now time.Time) int64 {
	return c.lists.clockMS + now.Sub(c.lists.receivedAt).Milliseconds()
}

// leaseEnd returns the end of the lease that may be granted now, on the worker's
// clock, or 0 if none may be granted.
func (c *Core) leaseEnd(now time.Time) int64 {
	if !c.row.confirmed || !c.lease.known || !c.lists.known || c.workerLeft {
		return 0
	}
	step, bound := c.settings.LeaseExtension, c.settings.LeaseBound
	if c.drainSeen {
		step, bound = c.settings.DrainLeaseExtension, c.settings.LeaseExtension
	}
	end := min(c.workerClockMS(now)+step.Milliseconds(), c.lease.basisMS+bound.Milliseconds())
	if end <= c.workerClockMS(now) {
		return 0
	}
	return end
}

// Bounds used to convert a lease end to the agent's clock: the slowdown of the
// worker's clock, and the longest time that a call takes to reach the worker.
const (
	clockTolerance = 1.03
	callMargin     = 300 * time.Millisecond
)

// maxElapsed returns the longest real time in which the worker's clock advances
// by d.
func maxElapsed(d time.Duration) time.Duration { return time.Duration(float64(d) * clockTolerance) }

// recordGrant records a lease that the worker accepted or may have accepted.
func (c *Core) recordGrant(now time.Time, endMS int64) {
	if endMS == 0 {
		return
	}
	remaining := maxElapsed(time.Duration(endMS-c.workerClockMS(now)) * time.Millisecond)
	if end := now.Add(remaining + callMargin); end.After(c.lease.endsAt) {
		c.lease.endsAt = end
	}
}

// sharedReportDue returns the ReportEnds that is due once announcements have
// failed for long, if any.
func (c *Core) sharedReportDue(now time.Time) []Action {
	if !c.row.needsSharedReport(now) || c.reportInFlight || now.Before(c.nextReportAt) {
		return nil
	}
	ends := c.unreported()
	if len(ends) == 0 {
		return nil
	}
	c.reportInFlight = true
	return []Action{ReportEnds{ends}}
}

// EndsReported processes the result of a ReportEnds. On a conflict, reported
// holds the ends that had been reported before, and orders the orders that still
// exist.
func (c *Core) EndsReported(now time.Time, sent ReportEnds, result storeapi.Result, reported []PendingEnd, orders map[workload.RunID]StoredOrder) {
	c.reportInFlight = false
	c.nextReportAt = now.Add(c.settings.RetryDelay)
	switch result {
	case storeapi.ResultOK:
		c.markReported(sent.Ends)
	case storeapi.ResultConflict:
		c.markReported(reported)
		for _, end := range sent.Ends {
			if o, exists := orders[end.ID]; exists {
				c.OrderSeen(o.Order, o.Version, true)
			} else {
				// The scheduler removed the order: it marked the worker as gone, or has
				// already processed the end.
				delete(c.runs, end.ID)
			}
		}
		c.acknowledge()
	}
}

// StoredOrder is an order in the store that a refused ReportEnds found.
type StoredOrder struct {
	Order   workload.Order
	Version storeapi.RowVersion
}
