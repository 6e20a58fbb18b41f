package requestflow

import (
	"time"

	"dragonflyyard/internal/admission"
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// maxHeads bounds the accounts whose first request is tried in one pass.
const maxHeads = 16

// pump dispatches waiting requests as long as backend servers have room.
func (c *Core) pump(now time.Time) {
	for c.queue.Len() > 0 {
		if _, free := c.table.Slots(); free <= 0 {
			return
		}
		if !c.placeOne(now) {
			return
		}
	}
}

// placeOne tries the first request of each account in fair order. It reports
// whether one left the queue.
func (c *Core) placeOne(now time.Time) bool {
	c.table.DropReservations(func(id model.RequestID) bool {
		f := c.flights[id]
		return f == nil || f.item == nil || !c.queue.IsHead(f.item)
	})
	return c.queue.Each(maxHeads, func(item *admission.Item) bool {
		f := c.flights[item.ID]
		placed := c.place(now, f)
		if placed {
			c.schedule(f)
		}
		return placed
	})
}

// place moves a waiting request on if it can. It reports whether the request
// left the queue.
func (c *Core) place(now time.Time, f *flight) bool {
	holder, reach := c.holder(f)
	f.home = holder.Home
	switch {
	case reach == homeDown:
		c.dequeue(f)
		c.park(now, f)
		return true
	case reach == homeReplaced && !f.request.Idempotent:
		c.dequeue(f)
		c.fire(f, eventGivenUp)
		c.finishUnknown(f, model.ReasonOutsideHorizon)
		return true
	case reach == homeReplaced:
		f.unclaimed = true
	}
	choice := c.choice(f)
	executor, ok := c.table.Pick(now, choice)
	if !ok {
		return c.placeLater(now, f)
	}
	c.queue.Serve(f.item)
	c.dequeued(f)
	c.take(f, executor)
	if f.unclaimed || (executor == holder.Home && f.claim.Token == 0 && !f.explicit) {
		f.token = c.nextToken()
		f.claimVersion = c.assignmentVersion()
		f.makeClaim = !f.unclaimed
		c.fire(f, eventHomeIsExecutor)
		c.dispatch(now, f)
		return true
	}
	f.token = c.nextToken()
	f.makeClaim = false
	c.fire(f, eventExecutorChosen)
	f.waitUntil = now.Add(c.config.ResolveTimeout)
	c.sendClaim(now, f, false)
	return true
}

// placeLater handles a waiting request for which no backend server has room.
func (c *Core) placeLater(now time.Time, f *flight) bool {
	choice := c.choice(f)
	if !c.table.HasCandidate(choice) {
		c.dequeue(f)
		c.giveUp(now, f, model.ReasonNoBackendServer, noServerRetryAfter)
		return true
	}
	if f.request.Slots > 1 {
		c.table.Reserve(choice)
	}
	return false
}

// park waits for the home of a request to be reachable.
func (c *Core) park(now time.Time, f *flight) {
	f.phase = phaseParked
	f.nextProbe = now.Add(c.config.ClaimTimeout)
	if f.homeDeadline.IsZero() {
		f.homeDeadline = now.Add(c.config.ResolveTimeout)
	}
	f.waitUntil = f.homeDeadline
}

// unpark puts the requests whose home can be asked again back in the queue.
func (c *Core) unpark(now time.Time) {
	for _, f := range c.ordered(func(f *flight) bool { return f.phase == phaseParked }) {
		c.unparkOne(now, f)
		c.schedule(f)
	}
}

func (c *Core) unparkOne(now time.Time, f *flight) {
	if _, reach := c.holder(f); reach == homeDown {
		f.nextProbe = now.Add(c.config.ClaimTimeout)
		return
	}
	if f.query {
		c.askHome(now, f)
		return
	}
	if f.machine.State() == stateQueued {
		f.homeDeadline = time.Time{}
	}
	c.fire(f, eventRetryAllowed)
	c.enqueue(f, true)
}

// take holds the slots of the chosen executor for a flight.
func (c *Core) take(f *flight, executor model.BackendServerID) {
	l := c.links[executor]
	f.executor = executor
	f.executorLife = l.incarnation
	f.holdConnection = l.connection
	f.foreign = false
	c.table.Acquire(executor, f.request.Slots)
}

// release gives the held slots back, if there are any on the current connection.
func (c *Core) release(f *flight) {
	if f.holdConnection == 0 {
		return
	}
	if l := c.links[f.executor]; l != nil && l.connection == f.holdConnection {
		c.table.Release(f.executor, f.request.Slots)
	}
	f.holdConnection = 0
}

// dispatch sends the request to the chosen executor, whose slots are held.
func (c *Core) dispatch(now time.Time, f *flight) {
	l := c.links[f.executor]
	f.attempts++
	if !f.budgeted {
		// A dispatch that its executor did not run is not counted as an attempt,
		// and the one after it does not fill the budget again.
		f.budgeted = true
		c.budget.OnFirst()
	}
	f.phase = phaseNone
	f.claim = c.ownClaim(f)
	f.homeDeadline = time.Time{}
	f.sentConnection = l.connection
	f.dispatchedAt = now
	f.answer = answerAssembly{}
	f.waitUntil = time.Time{}
	f.nextProbe = now.Add(c.config.ProbeInterval)
	body := f.request.Body
	parts := max(1, (len(body)+wire.MaxPartBytes-1)/wire.MaxPartBytes)
	for part := range parts {
		begin := part * wire.MaxPartBytes
		end := min(begin+wire.MaxPartBytes, len(body))
		c.send(l, &wire.Dispatch{
			Request: f.request.ID, Account: f.request.Account, Idempotent: f.request.Idempotent,
			BodyHash: f.request.BodyHash, Slots: f.request.Slots, DeadlineUnixMS: f.request.Deadline.UnixMilli(),
			Assignment: f.claimVersion, Part: part, Parts: parts, Body: body[begin:end],
			Unclaimed: f.unclaimed, Token: f.token, MakeClaim: f.makeClaim,
		})
	}
}

func (c *Core) assignmentVersion() uint64 {
	if c.assignment == nil {
		return 0
	}
	return c.assignment.Version
}

// again puts a request back in the queue for another executor. confirmed says
// that the last one did not and will not run it.
func (c *Core) again(now time.Time, f *flight, confirmed bool, reason model.Reason) {
	c.release(f)
	c.fire(f, eventExecutorRejected)
	if !f.isTried(f.executor) {
		f.tried = append(f.tried, f.executor)
	}
	if !confirmed {
		if !f.request.Idempotent || f.giveUpReason != model.ReasonNone {
			c.finishUnknown(f, reason)
			return
		}
		if f.attempts >= c.config.MaxAttempts || !c.budget.TryRetry() {
			c.finishUnknown(f, model.ReasonRetryBudget)
			return
		}
		f.unconfirmed = true
	}
	if len(f.tried) >= c.config.MaxAttempts || c.stopping && f.foreign {
		c.giveUp(now, f, reason, noServerRetryAfter)
		return
	}
	if f.giveUpReason != model.ReasonNone {
		c.giveUp(now, f, f.giveUpReason, f.retryAfter)
		return
	}
	c.record(event.RequestRetried, f, string(reason))
	c.fire(f, eventRetryAllowed)
	c.enqueue(f, true)
}
