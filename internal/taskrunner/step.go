package taskrunner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dragonflyyard/internal/workload"
)

// Step returns the actions that are due. storeMS is an upper bound of the
// store's clock in milliseconds, valid if storeKnown is set; nothing is started
// before it is known.
func (c *Core) Step(now time.Time, storeMS int64, storeKnown bool) []Action {
	var out []Action
	if !c.ordersLoaded {
		return append(c.probeDue(now), c.pollDue(now)...)
	}
	c.endUnreachable(now)
	for _, r := range c.sortedRuns() {
		if action := c.nextCall(now, storeMS, storeKnown, r); action != nil {
			out = append(out, action)
		}
	}
	out = append(out, c.stopStrays(now)...)
	if storeKnown {
		out = append(out, c.announcementDue(now, storeMS)...)
	}
	out = append(out, c.sharedReportDue(now)...)
	out = append(out, c.probeDue(now)...)
	return append(out, c.pollDue(now)...)
}

func (c *Core) sortedRuns() []*run {
	runs := slices.Collect(maps.Values(c.runs))
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
	})
	return runs
}

// endUnreachable ends the runs of an unreachable worker once the lease that was
// granted last has expired and no outstanding call can extend it.
func (c *Core) endUnreachable(now time.Time) {
	if !c.poll.failed || c.poll.pending || c.startsInFlight > 0 || c.lease.endsAt.IsZero() || now.Before(c.lease.endsAt) {
		return
	}
	for _, r := range c.runs {
		if r.maybeSent && !r.inFlight {
			c.recordEnd(r, workload.EndLeaseExpired, r.checkpoint, "worker unreachable and its lease expired")
		}
	}
}

// nextCall returns the call that an order requires now, or nil.
func (c *Core) nextCall(now time.Time, storeMS int64, storeKnown bool, r *run) Action {
	if r.end != nil || r.inFlight {
		return nil
	}
	if c.statusKnown && (r.Incarnation < c.incarnation || c.formerIncarnations[r.Incarnation]) {
		return c.endFormerIncarnation(now, r)
	}
	if !r.stopping {
		c.giveUpUnstarted(now, storeMS, storeKnown, r)
	}
	if r.stopping {
		return c.stop(now, r)
	}
	return c.start(now, storeKnown, r)
}

// endFormerIncarnation ends a run whose order names a former incarnation of the
// worker. A run that the current incarnation lists was started there, and is
// stopped first.
func (c *Core) endFormerIncarnation(now time.Time, r *run) Action {
	if !c.lists.fenced || !c.lists.reconciled {
		return nil
	}
	if r.seenRunning {
		return c.stop(now, r)
	}
	c.recordEnd(r, workload.EndLost, "", "order names a former incarnation of the worker")
	return nil
}

// giveUpUnstarted turns an order into a stop when the worker is leaving or unreachable or
// the order's start deadline has passed, unless the run has started.
func (c *Core) giveUpUnstarted(now time.Time, storeMS int64, storeKnown bool, r *run) {
	if !r.startConfirmedAt.IsZero() || r.seenRunning || (r.maybeSent && !c.lists.reconciled) {
		return
	}
	reason := ""
	switch {
	case c.workerLeft || (c.statusKnown && c.status.Draining):
		reason = "worker is draining or has left"
	case c.unreachable(now):
		reason = "worker is unreachable"
	case storeKnown && storeMS >= r.StartByMS:
		reason = "start deadline of the order has passed"
	default:
		return
	}
	r.stopping = true
	c.note("run_given_up", r, reason)
}

func (c *Core) stop(now time.Time, r *run) Action {
	if !r.maybeSent {
		c.recordEnd(r, workload.EndNotStarted, "", "order withdrawn before a start was sent")
		return nil
	}
	if !r.stopConfirmedAt.IsZero() || now.Before(r.retryAt) || c.callsInFlight >= c.settings.MaxCalls || !c.statusKnown || c.workerLeft || !c.reached {
		return nil
	}
	c.beginCall(r)
	return StopRun{Task: r.Task, Run: r.Run, Worker: c.status.Worker, Generation: c.generation}
}

func (c *Core) start(now time.Time, storeKnown bool, r *run) Action {
	if !r.startConfirmedAt.IsZero() || r.seenRunning || now.Before(r.retryAt) || c.callsInFlight >= c.settings.MaxCalls || !storeKnown {
		return nil
	}
	end := c.leaseEnd(now)
	if end == 0 || !c.statusKnown || !c.reached || r.Worker != c.status.Worker || r.Incarnation != c.incarnation {
		return nil
	}
	c.beginCall(r)
	c.startsInFlight++
	r.maybeSent = true
	c.lease.requestedMS = max(c.lease.requestedMS, end)
	return StartRun{ID: r.id, Worker: r.Worker, Spec: r.Spec, Checkpoint: r.Checkpoint, LeaseEndMS: end, Generation: c.generation}
}

func (c *Core) beginCall(r *run) {
	r.inFlight, r.calledIncarnation = true, c.incarnation
	c.callsInFlight++
}

// recordReached records whether an order reached the worker. A poll that is pending tells
// as soon as the worker ends.
func (c *Core) recordReached(now time.Time, result OrderResult) {
	if (result == OrderInDoubt || result == OrderNotSent) && !c.poll.pending {
		c.setReached(now, false)
	}
}

// unreachableAfter is how long a worker must not have answered to be announced as
// unreachable. It exceeds the delay after a single call without an answer.
const unreachableAfter = time.Second

func (c *Core) setReached(now time.Time, reached bool) {
	switch {
	case reached && c.unreachable(now):
		c.row.announceNow()
	case !reached && c.reached:
		c.unreachedSince = now
	}
	c.reached = reached
}

// unreachable reports whether the worker has not answered for so long that it gets no
// new tasks.
func (c *Core) unreachable(now time.Time) bool {
	return !c.reached && !c.unreachedSince.IsZero() && now.Sub(c.unreachedSince) >= unreachableAfter
}

// Started processes the result of a StartRun.
func (c *Core) Started(now time.Time, id workload.RunID, result OrderResult) {
	c.callsInFlight--
	c.startsInFlight--
	if result != OrderRefused && result != OrderNotSent {
		// The lease covers all runs of the worker, so the grant counts even if this
		// run's order has been removed.
		c.recordGrant(now, c.lease.requestedMS)
	}
	r := c.runs[id]
	if r != nil {
		r.inFlight = false
	}
	if r != nil && r.calledIncarnation != c.incarnation {
		// The answer is that of a former incarnation. What became of the run follows from
		// the lists of this one.
		return
	}
	c.recordReached(now, result)
	if r == nil {
		return
	}
	r.retryAt = now.Add(c.backoff(r.refusals))
	switch result {
	case OrderAccepted:
		r.startConfirmedAt = now
		c.note("run_started", r, "")
		return
	case OrderStale:
		// The run ended or was stopped on the worker; the lists show its end, unless
		// it never began.
		r.stopping = true
	case OrderNoCapacity, OrderInvalid:
		r.stopping = true
	case OrderFenced:
		c.reregister()
	}
	r.refusals++
	c.note("start_refused", r, string(result))
}

// Stopped processes the result of a StopRun.
func (c *Core) Stopped(now time.Time, task string, number int, result OrderResult) {
	c.callsInFlight--
	ref, err := workload.ParseTaskRef(task)
	if err != nil {
		return
	}
	r := c.runs[workload.RunID{Task: ref, Run: number}]
	if r != nil {
		r.inFlight = false
	}
	if r != nil && r.calledIncarnation != c.incarnation {
		return
	}
	c.recordReached(now, result)
	if r == nil {
		return
	}
	switch result {
	case OrderAccepted, OrderStale:
		r.stopConfirmedAt = now
		c.note("run_stopping", r, string(result))
	case OrderFenced:
		c.reregister()
		r.retryAt = now.Add(c.settings.RetryDelay)
	default:
		r.retryAt = now.Add(c.settings.RetryDelay)
		c.note("stop_refused", r, string(result))
	}
}

// stopStrays returns stops for runs that have no order, or no longer have one.
func (c *Core) stopStrays(now time.Time) []Action {
	if !c.statusKnown || c.workerLeft || !c.row.confirmed || !c.reached {
		return nil
	}
	var out []Action
	for id, sentAt := range c.strays {
		if c.callsInFlight >= c.settings.MaxCalls || now.Sub(sentAt) < time.Second {
			continue
		}
		c.strays[id] = now
		c.callsInFlight++
		out = append(out, StopRun{Task: id.Task.String(), Run: id.Run, Worker: c.status.Worker, Generation: c.generation})
	}
	return out
}

// pollDue returns the poll that is due, if any.
func (c *Core) pollDue(now time.Time) []Action {
	if c.poll.pending || now.Before(c.poll.nextAt) || !c.statusKnown || c.workerLeft || !c.row.known {
		return nil
	}
	wait := c.settings.PollWait
	if c.hasUncommittedEnd() || !c.ordersLoaded || !c.row.confirmed || c.departure.worker != "" {
		// The worker answers without waiting while it lists ends, so polls are spaced
		// by RetryDelay.
		if now.Sub(c.lists.receivedAt) < c.settings.RetryDelay && c.lists.known {
			return nil
		}
		wait = 0
	}
	c.poll.pending = true
	if !c.reached {
		return []Action{Poll{Worker: c.status.Worker, Incarnation: c.incarnation, Generation: c.generation}}
	}
	end := c.leaseEnd(now)
	return []Action{Poll{Worker: c.status.Worker, Incarnation: c.incarnation, LeaseEndMS: end, Acknowledged: c.lists.acknowledged, Generation: c.generation, Wait: wait}}
}

// hasUncommittedEnd reports whether an end is not committed yet, or the end of a
// confirmed stop is not known yet.
func (c *Core) hasUncommittedEnd() bool {
	for _, r := range c.runs {
		if !r.reported && (r.end != nil || !r.stopConfirmedAt.IsZero()) {
			return true
		}
	}
	return false
}
