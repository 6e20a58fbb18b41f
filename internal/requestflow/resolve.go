package requestflow

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/routing"
	"dragonflyyard/internal/wire"
)

// startLookup looks a request up at the executor of another submission.
func (c *Core) startLookup(now time.Time, f *flight, executor model.BackendServerID) {
	f.phase = phaseLookup
	f.dispatchedElsewhere = true
	f.executor = executor
	f.executorIncarnation = 0
	f.answer = answerAssembly{}
	f.waitUntil = now.Add(c.resolveTimeout(f))
	if l := c.links[executor]; l != nil {
		f.executorIncarnation = l.incarnation
	}
	c.sendLookup(now, f)
}

// resolveTimeout returns how long a request waits for a lost executor to reconnect.
func (c *Core) resolveTimeout(f *flight) time.Duration {
	if f.request.Idempotent {
		return c.config.ReconnectGrace
	}
	return c.config.ResolveTimeout
}

// sendLookup sends a look-up to the executor, if it is connected. Unless it is for
// a query, an executor that has never seen the request seals it.
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

// isFrom reports whether a connection is the one to the flight's current executor
// on which the last Dispatch or Lookup was sent.
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
		// The executor sends the answer in AnswerPart messages.
	case wire.StateRejected, wire.StateSealed, wire.StateAbsent:
		c.rejected(now, l, f, m)
	case wire.StateClaimed:
		c.claimExplicitly(f)
	case wire.StateExpired:
		c.releaseSlots(f)
		c.toResolving(f)
		c.finishUnknown(f, model.ReasonAnswerExpired)
	case wire.StateBodyMismatch:
		c.releaseSlots(f)
		c.toResolving(f)
		c.finish(f, model.Outcome{Kind: model.OutcomeRefused, Reason: model.ReasonBodyMismatch})
	case wire.StateAnswerLost:
		c.observe(now, f, routing.ResultFailed)
		c.retryOrFinish(now, f, false, model.ReasonConnectionLost)
	case wire.StateOutsideHorizon:
		c.executorOutsideHorizon(now, f)
	}
}

// isWaitingForExecutor reports whether replies of the executor are to be handled.
func (f *flight) isWaitingForExecutor() bool {
	return f.machine.State() == stateDispatched || f.phase == phaseLookup
}

// toResolving moves a flight from the state "dispatched" to "resolving", for
// outcomes that the chart has only there.
func (c *Core) toResolving(f *flight) { c.fire(f, eventGivenUp) }

func (c *Core) stillRunning(now time.Time, f *flight) {
	f.phase = phaseNone
	f.waitUntil = time.Time{}
	f.nextProbe = now.Add(c.config.ProbeInterval)
	c.fire(f, eventStillRunning)
}

// rejected handles an executor that did not run the request and will not run it.
func (c *Core) rejected(now time.Time, l *link, f *flight, m *wire.LookupReply) {
	if m.Reason == model.ReasonBackendLeaving {
		c.table.MarkLeaving(l.backend.ID)
	}
	if !f.dispatchedElsewhere {
		c.observe(now, f, routing.ResultRejected)
	}
	c.retryOrFinish(now, f, true, m.Reason)
}

// claimExplicitly queues a request again whose home is its executor and has another
// claim. The next attempt sends a Claim, since only the reply to a Claim names the
// executor of the other claim.
func (c *Core) claimExplicitly(f *flight) {
	c.releaseSlots(f)
	c.toResolving(f)
	if f.dispatchedElsewhere || f.item == nil {
		c.finishUnknown(f, model.ReasonInProgress)
		return
	}
	f.explicitClaim = true
	f.claim = wire.ClaimRef{}
	f.attempts = max(0, f.attempts-1)
	c.fire(f, eventRetryAllowed)
	c.enqueue(f, true)
}

// executorOutsideHorizon handles an executor that may have dropped its record of the
// request. A home that could not make the claim of an idempotent request gets the
// request again without a claim.
func (c *Core) executorOutsideHorizon(now time.Time, f *flight) {
	atHome := !f.dispatchedElsewhere && f.executor == f.home && f.request.Idempotent && !f.unclaimed
	if atHome && f.machine.State() == stateDispatched {
		f.unclaimed = true
		f.makeClaim = false
		f.attempts--
		c.dispatch(now, f)
		return
	}
	c.retryOrFinish(now, f, false, model.ReasonOutsideHorizon)
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
	c.releaseSlots(f)
	c.fire(f, chartEvent)
	c.finish(f, model.Outcome{Kind: kind, Reason: reason, Status: f.answer.status, Body: f.answer.body()})
}

// retryFailed queues a failed idempotent request for another backend server if the
// retry budget, the attempts and the deadline allow it. It reports whether it did.
func (c *Core) retryFailed(now time.Time, f *flight) bool {
	mean, _ := c.controller.ServiceTime(f.request.Account, f.request.Slots)
	allowed := f.request.Idempotent && !f.dispatchedElsewhere && f.attempts < c.config.MaxAttempts &&
		now.Add(mean).Before(f.request.Deadline) && !c.stopping
	if !allowed {
		return false
	}
	choice := c.choice(f)
	choice.Excluded = append(choice.Excluded[:len(choice.Excluded):len(choice.Excluded)], f.executor)
	if !c.table.HasCandidate(choice) || !c.budget.HasRetry() {
		return false
	}
	c.retryOrFinish(now, f, false, model.ReasonBackendError)
	return true
}

// observe reports the result of a dispatch by this flight to routing, and the
// service time of a successful one to admission control.
func (c *Core) observe(now time.Time, f *flight, result routing.Result) {
	if f.dispatchedElsewhere || f.holdConnection == 0 {
		return
	}
	service := now.Sub(f.dispatchedAt)
	expected, _ := c.controller.ServiceTime(f.request.Account, f.request.Slots)
	c.table.Observe(now, f.executor, result, service, expected)
	if result == routing.ResultOK {
		c.controller.Observe(f.request.Account, f.request.Slots, service)
	}
}

// handleTimer handles the wake time of a flight: an expired deadline or wait, or
// else the next probe.
func (c *Core) handleTimer(now time.Time, f *flight) {
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

// expireQueued gives a queued request up once it can no longer finish in time.
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
		c.createHold(now, f)
		c.toResolving(f)
		c.finishUnknown(f, model.ReasonDeadline)
	}
}

// expireWait ends the wait for a home or an executor that did not reconnect.
func (c *Core) expireWait(now time.Time, f *flight) {
	switch {
	case f.phase == phaseParked:
		c.giveUp(now, f, model.ReasonHomeUnreachable, noServerRetryAfter)
	case f.machine.State() == stateClaiming:
		f.claim = c.ownClaim(f)
		c.giveUp(now, f, model.ReasonHomeUnreachable, noServerRetryAfter)
	case f.phase == phaseLookup:
		c.retryOrFinish(now, f, false, model.ReasonConnectionLost)
	default:
		f.waitUntil = time.Time{}
	}
}

// probe sends the claim or look-up again whose reply a flight waits for, or checks
// whether its home is reachable again.
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

// claimUnanswered parks a request whose home became unreachable, or rejected the
// claim for now. Nothing was sent to the executor under that claim.
func (c *Core) claimUnanswered(now time.Time, f *flight) {
	c.releaseSlots(f)
	f.claim = c.ownClaim(f)
	c.fire(f, eventClaimUnanswered)
	c.park(now, f)
}
