package taskrunner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dragonflyyard/internal/workload"
)

// Step returns the actions that are due. storeMS is an upper bound of the
// store's time; nothing is started before it is known.
func (c *Core) Step(now time.Time, storeMS int64, storeKnown bool) []Action {
	var out []Action
	if !c.loaded {
		return c.holdDue(now)
	}
	c.lapseUnreachable(now)
	for _, r := range c.sortedRuns() {
		if action := c.order(now, storeMS, storeKnown, r); action != nil {
			out = append(out, action)
		}
	}
	out = append(out, c.stopStrays(now)...)
	if storeKnown {
		out = append(out, c.announce(now, storeMS)...)
	}
	out = append(out, c.reportApart(now)...)
	return append(out, c.holdDue(now)...)
}

func (c *Core) sortedRuns() []*run {
	runs := slices.Collect(maps.Values(c.runs))
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
	})
	return runs
}

// lapseUnreachable ends the runs of a worker that can't be asked, once the
// lease that was granted last has ended and no call is under way that extends it.
func (c *Core) lapseUnreachable(now time.Time) {
	if !c.hold.failed || c.hold.pending || c.starting > 0 || c.lease.endsAt.IsZero() || now.Before(c.lease.endsAt) {
		return
	}
	for _, r := range c.runs {
		if r.sent && !r.inFlight {
			c.finish(r, workload.EndLeaseExpired, r.checkpoint, "the worker can't be reached")
		}
	}
}

// order returns the call that an order asks for now, or nil.
func (c *Core) order(now time.Time, storeMS int64, storeKnown bool, r *run) Action {
	if r.end != nil || r.inFlight {
		return nil
	}
	if c.statusKnown && r.Incarnation < c.life {
		return c.endFormer(now, r)
	}
	if !r.stopping {
		c.giveUpLate(storeMS, storeKnown, r)
	}
	if r.stopping {
		return c.stop(now, r)
	}
	return c.start(now, storeKnown, r)
}

// endFormer ends a run that was ordered of a former life of the worker. One that
// the present life lists was started there, and is stopped first.
func (c *Core) endFormer(now time.Time, r *run) Action {
	if !c.lists.fenced || !c.lists.complete {
		return nil
	}
	if r.listed {
		return c.stop(now, r)
	}
	c.finish(r, workload.EndLost, "", "ordered of a former life")
	return nil
}

// giveUpLate turns an order that must not be carried out any more into a stop.
func (c *Core) giveUpLate(storeMS int64, storeKnown bool, r *run) {
	if !r.takenAt.IsZero() || r.listed || (r.sent && !c.lists.complete) {
		return
	}
	reason := ""
	switch {
	case c.left || (c.statusKnown && c.status.Draining):
		reason = "the worker is leaving"
	case storeKnown && storeMS >= r.StartByMS:
		reason = "the order is too old"
	default:
		return
	}
	r.stopping = true
	c.note("run_given_up", r, reason)
}

func (c *Core) stop(now time.Time, r *run) Action {
	if !r.sent {
		c.finish(r, workload.EndNotStarted, "", "given up before it was sent")
		return nil
	}
	if !r.stopAt.IsZero() || now.Before(r.retryAt) || c.calls >= c.settings.MaxCalls || !c.statusKnown || c.left {
		return nil
	}
	c.begin(r)
	return StopRun{Task: r.Task, Run: r.Run, Worker: c.status.Worker, Generation: c.generation}
}

func (c *Core) start(now time.Time, storeKnown bool, r *run) Action {
	if !r.takenAt.IsZero() || r.listed || now.Before(r.retryAt) || c.calls >= c.settings.MaxCalls || !storeKnown {
		return nil
	}
	end := c.leaseEnd(now)
	if end == 0 || !c.statusKnown || r.Worker != c.status.Worker || r.Incarnation != c.life {
		return nil
	}
	c.begin(r)
	c.starting++
	r.sent = true
	c.lease.askedMS = max(c.lease.askedMS, end)
	return StartRun{ID: r.id, Worker: r.Worker, Spec: r.Spec, Checkpoint: r.Checkpoint, LeaseEndMS: end, Generation: c.generation}
}

func (c *Core) begin(r *run) {
	r.inFlight = true
	c.calls++
}

// Started takes in the result of a start.
func (c *Core) Started(now time.Time, id workload.RunID, result OrderResult) {
	c.calls--
	c.starting--
	if result != OrderRefused {
		// The lease holds for all runs, also when this one's order is gone.
		c.granted(now, c.lease.askedMS)
	}
	r := c.runs[id]
	if r == nil {
		return
	}
	r.inFlight = false
	r.retryAt = now.Add(c.pauseAfter(r.refusals))
	switch result {
	case OrderAccepted:
		r.takenAt = now
		c.note("run_started", r, "")
		return
	case OrderStale:
		// It ended or was stopped there: the lists tell, or it never began.
		r.stopping = true
	case OrderNoCapacity, OrderInvalid:
		r.stopping = true
	case OrderFenced:
		c.reregister()
	}
	r.refusals++
	c.note("start_refused", r, string(result))
}

// Stopped takes in the result of a stop.
func (c *Core) Stopped(now time.Time, task string, number int, result OrderResult) {
	c.calls--
	ref, err := workload.ParseTaskRef(task)
	if err != nil {
		return
	}
	r := c.runs[workload.RunID{Task: ref, Run: number}]
	if r == nil {
		return
	}
	r.inFlight = false
	switch result {
	case OrderAccepted, OrderStale:
		r.stopAt = now
		c.note("run_stopping", r, string(result))
	case OrderFenced:
		c.reregister()
		r.retryAt = now.Add(c.settings.RetryDelay)
	default:
		r.retryAt = now.Add(c.settings.RetryDelay)
		c.note("stop_refused", r, string(result))
	}
}

// stopStrays returns stops of runs that nobody ordered, or no longer.
func (c *Core) stopStrays(now time.Time) []Action {
	if !c.statusKnown || c.left || !c.row.confirmed {
		return nil
	}
	var out []Action
	for id, sentAt := range c.strays {
		if c.calls >= c.settings.MaxCalls || now.Sub(sentAt) < time.Second {
			continue
		}
		c.strays[id] = now
		c.calls++
		out = append(out, StopRun{Task: id.Task.String(), Run: id.Run, Worker: c.status.Worker, Generation: c.generation})
	}
	return out
}

// holdDue returns the look at the worker that is due, if any.
func (c *Core) holdDue(now time.Time) []Action {
	if c.hold.pending || now.Before(c.hold.nextAt) || !c.statusKnown || c.left || !c.row.known {
		return nil
	}
	wait := c.settings.PollWait
	if c.uncommitted() || !c.loaded || !c.row.confirmed {
		// The worker answers at once while it lists ends.
		if now.Sub(c.lists.receivedAt) < c.settings.RetryDelay && c.lists.known {
			return nil
		}
		wait = 0
	}
	end := c.leaseEnd(now)
	c.hold.pending = true
	return []Action{Poll{Worker: c.status.Worker, LeaseEndMS: end, Acknowledged: c.lists.acknowledged, Generation: c.generation, Wait: wait}}
}

// uncommitted reports whether an end is not reported yet, or a stop's end not known.
func (c *Core) uncommitted() bool {
	for _, r := range c.runs {
		if !r.reported && (r.end != nil || !r.stopAt.IsZero()) {
			return true
		}
	}
	return false
}
