package requestflow

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/routing"
	"dragonflyyard/internal/wire"
)

// ask finds out what became of a request at another submission's executor.
func (c *Core) ask(now time.Time, f *flight, executor model.BackendServerID) {
	f.phase = phaseAsking
	f.foreign = true
	f.executor = executor
	f.executorLife = 0
	f.answer = answerAssembly{}
	f.waitUntil = now.Add(c.resolveTimeout(f))
	if l := c.links[executor]; l != nil {
		f.executorLife = l.incarnation
	}
	c.sendLookup(now, f)
}

// resolveTimeout returns how long a request waits for a lost executor.
func (c *Core) resolveTimeout(f *flight) time.Duration {
	if f.request.Idempotent {
		return c.config.ReconnectGrace
	}
	return c.config.ResolveTimeout
}

// sendLookup asks the executor, if it is connected. The executor seals the
// request if it never saw it.
func (c *Core) sendLookup(now time.Time, f *flight) {
	f.nextProbe = now.Add(c.config.ProbeInterval)
	l := c.links[f.executor]
	if l == nil {
		return
	}
	f.sentConnection = l.connection
	f.askedAt = now
	c.send(l, &wire.Lookup{Request: f.request.ID, Seal: !f.query})
}

// isFrom reports whether a message on a connection belongs to the flight's
// current executor and connection.
func (f *flight) isFrom(l *link) bool {
	return l.backend.ID == f.executor && l.connection == f.sentConnection
}

func (c *Core) lookupReply(now time.Time, l *link, m *wire.LookupReply) {
	f := c.flights[m.Request]
	if f == nil || !f.isFrom(l) || !f.isWaitingForExecutor() {
		if m.State != wire.StateRunning {
			c.releaseHold(m.Request, l)
		}
		return
	}
	defer c.schedule(f)
	if f.query {
		c.queryExecutorReply(f, m)
		return
	}
	switch m.State {
	case wire.StateRunning:
		c.stillRunning(now, f)
	case wire.StateFinished:
		// The answer follows in parts.
	case wire.StateRejected, wire.StateSealed, wire.StateAbsent:
		c.rejected(now, l, f, m)
	case wire.StateClaimed:
		c.claimExplicitly(f)
	case wire.StateExpired:
		c.release(f)
		c.toResolving(f)
		c.finishUnknown(f, model.ReasonAnswerExpired)
	case wire.StateBodyMismatch:
		c.release(f)
		c.toResolving(f)
		c.finish(f, model.Outcome{Kind: model.OutcomeRefused, Reason: model.ReasonBodyMismatch})
	case wire.StateAnswerLost:
		c.observe(now, f, routing.ResultFailed)
		c.again(now, f, false, model.ReasonConnectionLost)
	case wire.StateOutsideHorizon:
		c.executorCannotKnow(now, f)
	}
}

// isWaitingForExecutor reports whether the executor's word about the request counts.
func (f *flight) isWaitingForExecutor() bool {
	return f.machine.State() == stateDispatched || f.phase == phaseAsking
}

// toResolving leaves the state "dispatched" for an end that only "resolving" knows.
func (c *Core) toResolving(f *flight) { c.fire(f, eventGivenUp) }

func (c *Core) stillRunning(now time.Time, f *flight) {
	f.phase = phaseNone
	f.waitUntil = time.Time{}
	f.nextProbe = now.Add(c.config.ProbeInterval)
	c.fire(f, eventStillRunning)
}

// rejected handles an executor that did not and will not run the request.
func (c *Core) rejected(now time.Time, l *link, f *flight, m *wire.LookupReply) {
	if m.Reason == model.ReasonBackendLeaving {
		c.table.MarkLeaving(l.backend.ID)
	}
	if !f.foreign {
		c.observe(now, f, routing.ResultRejected)
	}
	c.again(now, f, true, m.Reason)
}

// claimExplicitly handles a home that is the executor and has another claim:
// only the home's reply to a Claim names its executor.
func (c *Core) claimExplicitly(f *flight) {
	c.release(f)
	c.toResolving(f)
	if f.foreign || f.item == nil {
		c.finishUnknown(f, model.ReasonInProgress)
		return
	}
	f.explicit = true
	f.claim = wire.ClaimRef{}
	f.attempts = max(0, f.attempts-1)
	c.fire(f, eventRetryAllowed)
	c.enqueue(f, true)
}

// executorCannotKnow handles an executor that may have forgotten the request.
func (c *Core) executorCannotKnow(now time.Time, f *flight) {
	atHome := !f.foreign && f.executor == f.home && f.request.Idempotent && !f.unclaimed
	if atHome && f.machine.State() == stateDispatched {
		f.unclaimed = true
		f.makeClaim = false
		f.attempts--
		c.dispatch(now, f)
		return
	}
	c.again(now, f, false, model.ReasonOutsideHorizon)
}

func (c *Core) answerPart(now time.Time, l *link, m *wire.AnswerPart) {
	f := c.flights[m.Request]
	if f == nil || !f.isFrom(l) || !f.isWaitingForExecutor() {
		c.releaseHold(m.Request, l)
		return
	}
	if !f.answer.add(m, c.config.MaxAnswerBytes) {
		return
	}
	defer c.schedule(f)
	if f.query {
		c.queryAnswer(f)
		return
	}
	result := routing.ResultOK
	if f.answer.failed {
		result = routing.ResultFailed
	}
	c.observe(now, f, result)
	if f.answer.failed && c.retryFailed(now, f) {
		return
	}
	kind, chartEvent := model.OutcomeAnswered, eventAnswerWhole
	reason := model.ReasonNone
	if f.answer.failed {
		kind, chartEvent, reason = model.OutcomeBackendFailed, eventBackendFailed, model.ReasonBackendError
	}
	c.release(f)
	c.fire(f, chartEvent)
	c.finish(f, model.Outcome{Kind: kind, Reason: reason, Status: f.answer.status, Body: f.answer.body()})
}

// retryFailed dispatches a failed idempotent request to another backend server
// if the budget and the deadline allow it.
func (c *Core) retryFailed(now time.Time, f *flight) bool {
	mean, _ := c.controller.ServiceTime(f.request.Account, f.request.Slots)
	allowed := f.request.Idempotent && !f.foreign && f.attempts < c.config.MaxAttempts &&
		now.Add(mean).Before(f.request.Deadline) && !c.stopping
	if !allowed {
		return false
	}
	choice := c.choice(f)
	choice.Excluded = append(choice.Excluded[:len(choice.Excluded):len(choice.Excluded)], f.executor)
	if !c.table.HasCandidate(choice) || !c.budget.HasRetry() {
		return false
	}
	c.again(now, f, false, model.ReasonBackendError)
	return true
}

// observe tells routing and admission how an own dispatch ended.
func (c *Core) observe(now time.Time, f *flight, result routing.Result) {
	if f.foreign || f.holdConnection == 0 {
		return
	}
	service := now.Sub(f.dispatchedAt)
	expected, _ := c.controller.ServiceTime(f.request.Account, f.request.Slots)
	c.table.Observe(now, f.executor, result, service, expected)
	if result == routing.ResultOK {
		c.controller.Observe(f.request.Account, f.request.Slots, service)
	}
}

// expire handles a flight's timer.
func (c *Core) expire(now time.Time, f *flight) {
	c.expireCallers(now, f)
	late := !now.Before(f.request.Deadline)
	waited := !f.waitUntil.IsZero() && !now.Before(f.waitUntil)
	switch {
	case f.query:
		c.expireQuery(now, f, late || waited)
	case f.phase == phaseSealing:
		c.expireSeal(now, f, waited)
	case late:
		c.expireDeadline(now, f)
	case waited:
		c.expireWait(now, f)
	case f.machine.State() == stateQueued && f.phase == phaseNone:
		c.expireQueued(now, f)
	default:
		c.probe(now, f)
	}
}

// expireQueued gives a waiting request up once it cannot finish in time.
func (c *Core) expireQueued(now time.Time, f *flight) {
	f.nextProbe = time.Time{}
	if c.controller.MissesDeadline(now, f.item) {
		c.dequeue(f)
		c.giveUp(now, f, model.ReasonDeadline, noServerRetryAfter)
	}
}

func (c *Core) expireSeal(now time.Time, f *flight, waited bool) {
	if waited || !c.sendClaim(now, f, true) {
		c.finishUnknown(f, f.giveUpReason)
	}
}

func (c *Core) expireDeadline(now time.Time, f *flight) {
	switch {
	case f.machine.State() == stateQueued || f.machine.State() == stateClaiming || f.phase == phaseParked:
		c.dequeue(f)
		if f.machine.State() == stateClaiming {
			f.claim = c.ownClaim(f)
		}
		c.giveUp(now, f, model.ReasonDeadline, noServerRetryAfter)
	default:
		c.keepHold(now, f)
		c.toResolving(f)
		c.finishUnknown(f, model.ReasonDeadline)
	}
}

// expireWait ends a wait for a home or an executor that did not come back.
func (c *Core) expireWait(now time.Time, f *flight) {
	switch {
	case f.phase == phaseParked:
		c.giveUp(now, f, model.ReasonHomeUnreachable, noServerRetryAfter)
	case f.machine.State() == stateClaiming:
		f.claim = c.ownClaim(f)
		c.giveUp(now, f, model.ReasonHomeUnreachable, noServerRetryAfter)
	case f.phase == phaseAsking:
		c.again(now, f, false, model.ReasonConnectionLost)
	default:
		f.waitUntil = time.Time{}
	}
}

// probe repeats what a flight waits for.
func (c *Core) probe(now time.Time, f *flight) {
	switch {
	case f.phase == phaseParked:
		c.unparkOne(now, f)
	case f.machine.State() == stateClaiming:
		c.suspectSilent(f.home, f.askedAt)
		if !c.sendClaim(now, f, false) {
			c.claimUnanswered(now, f)
		}
	case f.isWaitingForExecutor():
		if f.askedAt.After(f.dispatchedAt) {
			c.suspectSilent(f.executor, f.askedAt)
		}
		c.sendLookup(now, f)
	default:
		f.nextProbe = time.Time{}
	}
}

// claimUnanswered waits for a home that was lost while it was asked. Nothing
// was sent to the executor under the claim.
func (c *Core) claimUnanswered(now time.Time, f *flight) {
	c.release(f)
	f.claim = c.ownClaim(f)
	c.fire(f, eventClaimUnanswered)
	c.park(now, f)
}
