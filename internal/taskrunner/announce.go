package taskrunner

import (
	"time"

	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// announcedRow is the worker's row in the store.
type announcedRow struct {
	known   bool
	version storeapi.RowVersion
	// confirmed is set once an announcement of this generation took effect.
	confirmed bool
	pending   bool
	nextAt    time.Time
	// clockMS is the worker's clock before the outstanding announcement was sent.
	clockMS int64
	// doubtful are announcements without an answer, by when they were sent.
	doubtful map[int64]doubtful
	failures int
	// failingSince is when the first of the failed announcements in a row ended,
	// and refusedSince when the first one was refused; zero for none.
	failingSince, refusedSince time.Time
}

// When ends are reported in the scheduler's own part. Load pattern: a store that is
// sixty times slower, on which each announcement of hundreds of agents goes without
// an answer once or twice. A part takes two transactions a second then, and the
// scheduler's own would wait for seconds behind reports that their hosts' parts
// take as soon.
const (
	// apartAfterRefusal is how long announcements are refused before.
	apartAfterRefusal = time.Second
	// apartAfterDoubt is the same for announcements that stay without an answer.
	apartAfterDoubt = 5 * time.Second
)

// failed notes a failed announcement.
func (a *announcedRow) failed(now time.Time, result storeapi.Result) {
	a.failures++
	if a.failingSince.IsZero() {
		a.failingSince = now
	}
	if a.refusedSince.IsZero() && result != storeapi.ResultInDoubt {
		a.refusedSince = now
	}
}

func (a *announcedRow) answered() {
	a.failures, a.failingSince, a.refusedSince = 0, time.Time{}, time.Time{}
}

// failsForLong reports whether ends go to the scheduler's own part.
func (a *announcedRow) failsForLong(now time.Time) bool {
	return (!a.refusedSince.IsZero() && now.Sub(a.refusedSince) >= apartAfterRefusal) ||
		(!a.failingSince.IsZero() && now.Sub(a.failingSince) >= apartAfterDoubt)
}

// doubtful is an announcement that may have taken effect.
type doubtful struct {
	clockMS int64
	ends    []PendingEnd
}

func (a *announcedRow) announceNow() { a.nextAt = time.Time{} }

// lease bounds how far the worker's lease may be extended.
type lease struct {
	// basisMS is the worker's clock before the last confirmed announcement.
	basisMS int64
	known   bool
	// askedMS is the latest end that a start asked for, on the worker's clock.
	askedMS int64
	// endsAt is when the lease that was granted last has ended for certain.
	endsAt time.Time
}

// reregister asks for a new announcement under a higher generation.
func (c *Core) reregister() {
	c.generation++
	c.lists.fenced = false
	c.row.confirmed = false
	c.row.doubtful = nil
	c.lease.known = false
	c.row.announceNow()
}

// RowLoaded takes in the worker's row as an earlier process left it. Version
// zero means that there is none.
func (c *Core) RowLoaded(row workload.Announcement, version storeapi.RowVersion) {
	c.row.known, c.row.version = true, version
	c.generation = max(c.generation, row.Generation+1)
	if version == 0 || row.State == workload.WorkerGone || c.statusKnown {
		return
	}
	c.life = max(c.life, row.Incarnation)
	if c.life != row.Incarnation {
		return
	}
	c.status = Heartbeat{
		Worker: row.Worker, Incarnation: row.Incarnation, Service: row.Service, Zone: row.Zone, Rack: row.Rack,
		Labels: row.Labels, Capacity: row.Capacity, Draining: row.State == workload.WorkerDraining,
	}
	c.statusKnown, c.drained = true, c.status.Draining
}

// announce returns the announcement that is due, if any.
func (c *Core) announce(now time.Time, storeMS int64) []Action {
	if !c.row.known || c.row.pending || !c.statusKnown || now.Before(c.row.nextAt) || (!c.lists.known && !c.left) {
		return nil
	}
	row := workload.Announcement{
		Host: c.host, Worker: c.status.Worker, Incarnation: c.status.Incarnation, Service: c.status.Service,
		Zone: c.status.Zone, Rack: c.status.Rack, Labels: c.status.Labels, Capacity: c.status.Capacity,
		State: workload.WorkerReady, Generation: c.generation, SentMS: storeMS, Running: c.lists.running,
	}
	switch {
	case c.left:
		row.State, row.Running = workload.WorkerGone, nil
	case c.status.Draining:
		row.State, row.MinRemainingMS = workload.WorkerDraining, c.status.LeavesIn.Milliseconds()
	}
	if c.drained && !c.left {
		// What was granted before ends in this time, too.
		row.MaxLeaseMS = (slowest(c.settings.LeaseExtension) + callMargin).Milliseconds()
	}
	c.row.pending = true
	c.row.clockMS = c.clock(now)
	c.row.nextAt = now.Add(c.settings.AnnounceInterval)
	return []Action{Announce{Row: row, Version: c.row.version, Ends: c.unreported()}}
}

// unreported returns ends that are to be reported.
func (c *Core) unreported() []PendingEnd {
	var ends []PendingEnd
	for _, r := range c.sortedRuns() {
		if r.end != nil && !r.reported && len(ends) < c.settings.MaxEnds {
			ends = append(ends, PendingEnd{ID: r.id, End: *r.end, OrderKey: r.Key(), OrderVersion: r.version})
		}
	}
	return ends
}

func (c *Core) endsReported(ends []PendingEnd) {
	for _, end := range ends {
		if r := c.runs[end.ID]; r != nil {
			r.reported = true
		}
	}
	c.acknowledge()
}

// AnnouncementConflict is what a refused announcement showed: the worker's row as it lies in
// the store, with version zero when there is none, and those of the ends that
// had been reported before.
type AnnouncementConflict struct {
	Row      workload.Announcement
	Version  storeapi.RowVersion
	Reported []PendingEnd
}

// Announced takes in the result of an announcement. version is that of the row
// it wrote.
func (c *Core) Announced(now time.Time, sent Announce, result storeapi.Result, version storeapi.RowVersion, present AnnouncementConflict) {
	c.row.pending = false
	if result == storeapi.ResultOK || result == storeapi.ResultConflict {
		c.row.answered()
	}
	current := sent.Row.Generation == c.generation && sent.Row.Incarnation == c.status.Incarnation
	switch result {
	case storeapi.ResultOK:
		c.row.version = version
		if current {
			c.confirm(c.row.clockMS)
		}
		c.endsReported(sent.Ends)
	case storeapi.ResultConflict:
		c.endsReported(present.Reported)
		if present.Version == sent.Version {
			c.row.announceNow()
			return
		}
		c.announceConflict(present.Row, present.Version)
	default:
		if c.row.doubtful == nil {
			c.row.doubtful = map[int64]doubtful{}
		}
		if current && result == storeapi.ResultInDoubt {
			c.row.doubtful[sent.Row.SentMS] = doubtful{c.row.clockMS, sent.Ends}
		}
		c.row.nextAt = now.Add(c.pauseAfter(c.row.failures))
		c.row.failed(now, result)
	}
}

// pauseAfter returns the pause after a failed call, with the number of those
// that failed before it: a slow store is not crowded by many agents, nor a
// worker that is gone dialled without end.
func (c *Core) pauseAfter(failures int) time.Duration {
	return min(c.settings.RetryDelay<<min(failures, 10), c.settings.MaxRetryDelay)
}

func (c *Core) confirm(clockMS int64) {
	c.row.confirmed = true
	c.row.doubtful = nil
	c.lease.basisMS, c.lease.known = max(c.lease.basisMS, clockMS), true
}

// announceConflict takes in the row that stands instead of the expected one: an
// earlier announcement whose answer was lost, or the scheduler's word that the
// worker is gone.
func (c *Core) announceConflict(present workload.Announcement, version storeapi.RowVersion) {
	c.row.version = version
	c.row.announceNow()
	sent, mine := c.row.doubtful[present.SentMS]
	if mine && present.Generation == c.generation && present.State != workload.WorkerGone {
		c.confirm(sent.clockMS)
		c.endsReported(sent.ends)
		return
	}
	c.note("worker_row_lost", nil, string(present.State))
	c.generation = max(c.generation, present.Generation)
	c.reregister()
}

// clock returns a lower bound of the worker's clock.
func (c *Core) clock(now time.Time) int64 {
	return c.lists.clockMS + now.Sub(c.lists.receivedAt).Milliseconds()
}

// leaseEnd returns the end of the lease that may be granted now on the worker's
// clock, or 0 for none.
func (c *Core) leaseEnd(now time.Time) int64 {
	if !c.row.confirmed || !c.lease.known || !c.lists.known || c.left {
		return 0
	}
	step, bound := c.settings.LeaseExtension, c.settings.LeaseBound
	if c.drained {
		step, bound = c.settings.DrainLeaseExtension, c.settings.LeaseExtension
	}
	end := min(c.clock(now)+step.Milliseconds(), c.lease.basisMS+bound.Milliseconds())
	if end <= c.clock(now) {
		return 0
	}
	return end
}

// Slowness of the worker's clock and the longest way of a call to it.
const (
	clockTolerance = 1.03
	callMargin     = 300 * time.Millisecond
)

// slowest returns how long a time of the worker's clock may take.
func slowest(d time.Duration) time.Duration { return time.Duration(float64(d) * clockTolerance) }

// granted notes a lease that the worker took, or may have taken.
func (c *Core) granted(now time.Time, endMS int64) {
	if endMS == 0 {
		return
	}
	remaining := slowest(time.Duration(endMS-c.clock(now)) * time.Millisecond)
	if end := now.Add(remaining + callMargin); end.After(c.lease.endsAt) {
		c.lease.endsAt = end
	}
}

// reportApart returns the report of ends that is due while announcements fail for
// long.
func (c *Core) reportApart(now time.Time) []Action {
	if !c.row.failsForLong(now) || c.reporting || now.Before(c.reportAt) {
		return nil
	}
	ends := c.unreported()
	if len(ends) == 0 {
		return nil
	}
	c.reporting = true
	return []Action{ReportEnds{ends}}
}

// EndsReported takes in the result of a ReportEnds. On a conflict, reported
// holds the ends that had been reported before, and orders the orders that
// still exist.
func (c *Core) EndsReported(now time.Time, sent ReportEnds, result storeapi.Result, reported []PendingEnd, orders map[workload.RunID]StoredOrder) {
	c.reporting = false
	c.reportAt = now.Add(c.settings.RetryDelay)
	switch result {
	case storeapi.ResultOK:
		c.endsReported(sent.Ends)
	case storeapi.ResultConflict:
		c.endsReported(reported)
		for _, end := range sent.Ends {
			if o, exists := orders[end.ID]; exists {
				c.OrderSeen(o.Order, o.Version, true)
			} else {
				// The scheduler took the worker as gone, or knows the end.
				delete(c.runs, end.ID)
			}
		}
		c.acknowledge()
	}
}

// StoredOrder is an order as a refused report showed it.
type StoredOrder struct {
	Order   workload.Order
	Version storeapi.RowVersion
}
