package taskrunner

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// claim is the newest heartbeat that names another worker or incarnation than the
// current one. It may come from another writer, or from a former incarnation. The worker
// itself decides: the claim is adopted once it answers a probe under that identity. The
// order of the incarnations doesn't matter, since a worker's clock may be set back.
type claim struct {
	heartbeat Heartbeat
	known     bool
	// probing is set while a probe is outstanding; the next one is sent at nextAt.
	probing  bool
	nextAt   time.Time
	failures int
}

// HeartbeatSeen processes a heartbeat of the worker. A delayed one with an older
// sequence is ignored.
func (c *Core) HeartbeatSeen(h Heartbeat) {
	if h.Worker != c.status.Worker || h.Incarnation != c.incarnation {
		c.claimSeen(h)
		return
	}
	if h.Sequence < c.status.Sequence && (c.statusKnown || c.workerLeft) {
		return
	}
	if c.workerLeft {
		if h.Sequence > c.status.Sequence {
			c.claimSeen(h)
		}
		return
	}
	if !c.statusKnown || c.status.Draining != h.Draining {
		c.row.announceNow()
	}
	c.status, c.statusKnown = h, true
	c.drainSeen = c.drainSeen || h.Draining
}

func (c *Core) claimSeen(h Heartbeat) {
	known := c.claim.known && c.claim.heartbeat.Worker == h.Worker && c.claim.heartbeat.Incarnation == h.Incarnation
	switch {
	case !known:
		c.claim.heartbeat, c.claim.known = h, true
		c.claim.nextAt, c.claim.failures = time.Time{}, 0
	case h.Sequence >= c.claim.heartbeat.Sequence:
		c.claim.heartbeat = h
	}
}

// probeDue returns the probe of the claim, if one is due. It extends no lease and
// acknowledges nothing.
func (c *Core) probeDue(now time.Time) []Action {
	if !c.claim.known || c.claim.probing || now.Before(c.claim.nextAt) || !c.row.known {
		return nil
	}
	c.claim.probing = true
	h := &c.claim.heartbeat
	return []Action{Poll{Worker: h.Worker, Incarnation: h.Incarnation, Generation: c.generation, Probe: true}}
}

// probed processes the result of a probe.
func (c *Core) probed(now time.Time, sent Poll, result PollResult, lists RunLists) {
	c.claim.probing = false
	if !c.claim.known || c.claim.heartbeat.Worker != sent.Worker || c.claim.heartbeat.Incarnation != sent.Incarnation {
		return
	}
	h := c.claim.heartbeat
	switch {
	case sent.Worker == c.status.Worker && sent.Incarnation == c.incarnation && !c.workerLeft:
		// A poll has found the new incarnation meanwhile.
		c.claim = claim{}
		c.HeartbeatSeen(h)
	case result == PollAnswered && lists.Incarnation == sent.Incarnation:
		c.claim = claim{}
		c.beginIncarnation(h.Incarnation, "heartbeat")
		c.status, c.statusKnown, c.drainSeen = h, true, h.Draining
	case result == PollAnswered || result == PollOtherIncarnation || (result == PollNoListener && c.departure.worker == sent.Worker):
		c.note("heartbeat_refuted", nil, string(sent.Worker))
		c.claim = claim{}
	default:
		if result == PollFenced {
			c.note("worker_fenced", nil, "")
			c.generation++
			c.reregister()
		}
		c.claim.nextAt = now.Add(c.backoff(c.claim.failures))
		c.claim.failures++
	}
}

// recordOutdatedPoll records the result of a poll that was sent to a former incarnation.
// One that reached the present incarnation may have extended its lease.
func (c *Core) recordOutdatedPoll(now time.Time, sent Poll, result PollResult) {
	if !result.mayHaveArrived() || sent.LeaseEndMS == 0 || sent.Worker != c.status.Worker {
		return
	}
	if end := now.Add(c.settings.LeaseBound); end.After(c.lease.endsAt) {
		c.lease.endsAt = end
	}
}

// beginIncarnation resets the state for a restarted worker. The runs of the
// former incarnation are gone, but a start that was in flight may have reached
// the new one, which knows no fencing token yet. Runs of the former incarnation
// are therefore ended only after a poll under the new generation, which fences
// off calls that are still in flight.
func (c *Core) beginIncarnation(incarnation model.Incarnation, source string) {
	c.note("worker_life", nil, source)
	c.formerIncarnations[c.incarnation] = true
	delete(c.formerIncarnations, incarnation)
	c.incarnation, c.workerLeft, c.drainSeen, c.statusKnown = incarnation, false, false, false
	c.lists, c.lease, c.departure = workerLists{}, lease{}, departure{}
	c.strays = map[workload.RunID]time.Time{}
	c.reregister()
	for _, r := range c.runs {
		r.endNumber, r.seenRunning = 0, false
		r.startConfirmedAt, r.stopConfirmedAt = time.Time{}, time.Time{}
	}
	c.poll.nextAt = time.Time{}
}

// departure is a deregistration that is not settled yet. It names no incarnation, and it may
// have been held up until the worker has started again under its ID.
type departure struct {
	// worker is empty for none.
	worker model.WorkerID
	// until is when a worker that still answers has not left.
	until time.Time
}

// departureTime is how long a worker may go on answering after its deregistration.
const departureTime = 2 * time.Second

// WorkerLeft processes a deregistration of the worker. The worker itself decides whether it
// has left: until it answers again, it gets no orders, and its runs have ended as soon as
// nothing listens on its address or another worker answers there. A worker that doesn't
// answer at all keeps its runs until its lease has expired.
func (c *Core) WorkerLeft(now time.Time, worker model.WorkerID) {
	if c.workerLeft || worker == "" || (c.status.Worker != "" && worker != c.status.Worker) {
		return
	}
	c.note("worker_deregistered", nil, string(worker))
	c.departure = departure{worker, now.Add(departureTime)}
	c.setReached(now, false)
	c.poll.nextAt, c.poll.failures = time.Time{}, 0
}

// DeparturePoll returns the poll that settles a deregistration, and false if none is open. It
// extends no lease and acknowledges nothing.
func (c *Core) DeparturePoll() (Poll, bool) {
	open := c.departure.worker != "" && c.departure.worker == c.status.Worker && c.statusKnown
	return Poll{Worker: c.status.Worker, Incarnation: c.incarnation, Generation: c.generation}, open
}

// settleDeparture applies the result of a poll to an open deregistration.
func (c *Core) settleDeparture(now time.Time, result PollResult) {
	if c.departure.worker == "" || c.departure.worker != c.status.Worker {
		return
	}
	switch {
	case result == PollNoListener || result == PollOtherIncarnation:
		c.endLeftRuns()
	case result == PollAnswered && !now.Before(c.departure.until):
		c.note("deregistration_refuted", nil, string(c.departure.worker))
		c.departure = departure{}
	}
}

// endLeftRuns ends all runs on a worker that has left.
func (c *Core) endLeftRuns() {
	c.note("worker_left", nil, string(c.departure.worker))
	c.workerLeft, c.departure = true, departure{}
	c.row.announceNow()
	for _, r := range c.runs {
		c.recordEnd(r, workload.EndLost, r.checkpoint, "worker left")
		r.endNumber = 0
	}
}
