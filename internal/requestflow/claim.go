package requestflow

import (
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// sendClaim asks the home for the claim of the chosen executor, or for the seal.
func (c *Core) sendClaim(now time.Time, f *flight, seal bool) bool {
	holder, reach := c.holder(f)
	if reach != homeUp {
		return false
	}
	f.home = holder.Home
	f.claimVersion = c.assignmentVersion()
	f.nextProbe = now.Add(c.config.ClaimTimeout)
	f.askedAt = now
	claim := &wire.Claim{
		Request: f.request.ID, BodyHash: f.request.BodyHash, Executor: f.executor,
		Assignment: f.claimVersion, SealOnly: seal, Token: f.token, Unconfirmed: f.unconfirmed,
		Account: f.request.Account,
	}
	if f.claim != c.ownClaim(f) {
		claim.Move = f.claim
	}
	c.send(c.links[holder.Home], claim)
	return true
}

// giveUp ends a request that was not started by this entry host, or whose
// executor confirmed that it will not run it. The home's seal makes not_run
// true; without it the outcome is unknown.
func (c *Core) giveUp(now time.Time, f *flight, reason model.Reason, retryAfter time.Duration) {
	c.release(f)
	c.fire(f, eventGivenUp)
	c.record(event.RequestRefused, f, string(reason))
	f.giveUpReason = reason
	f.retryAfter = retryAfter
	if f.unclaimed {
		c.finishUnknown(f, reason)
		return
	}
	f.phase = phaseSealing
	f.executor = ""
	f.token = c.nextToken()
	f.waitUntil = now.Add(c.config.SealTimeout)
	if !c.sendClaim(now, f, true) {
		c.finishUnknown(f, reason)
	}
}

// claimReply handles the home's reply to the claim in progress. Replies to
// earlier claims are told by their token.
func (c *Core) claimReply(now time.Time, l *link, m *wire.ClaimReply) {
	f := c.flights[m.Request]
	if f == nil || m.Token != f.token || l.backend.ID != f.home {
		return
	}
	defer c.schedule(f)
	switch {
	case f.query:
		c.queryHomeReply(now, f, m)
	case f.phase == phaseSealing:
		c.sealReply(now, f, m)
	case f.machine.State() == stateClaiming:
		c.grantReply(now, f, m)
	}
}

func (c *Core) grantReply(now time.Time, f *flight, m *wire.ClaimReply) {
	if m.Granted {
		c.granted(now, f)
		return
	}
	switch m.State {
	case wire.StateRejected:
		c.claimUnanswered(now, f)
		f.nextProbe = now.Add(time.Duration(max(1, m.RetryAfterMS)) * time.Millisecond)
	case wire.StateOutsideHorizon:
		c.outsideHorizon(now, f)
	case wire.StateBodyMismatch:
		c.release(f)
		c.fire(f, eventClaimRefused)
		c.finish(f, model.Outcome{Kind: model.OutcomeRefused, Reason: model.ReasonBodyMismatch})
	case wire.StateSealed:
		c.release(f)
		c.fire(f, eventClaimRefused)
		f.giveUpReason = model.ReasonSealed
		c.finishSealed(f, m)
	case wire.StateClaimed:
		c.claimedElsewhere(now, f, m)
	}
}

// granted dispatches under a granted claim, unless the executor has gone in the
// meantime: the claim then moves, since nothing was sent under it.
func (c *Core) granted(now time.Time, f *flight) {
	l := c.links[f.executor]
	if l == nil || l.connection != f.holdConnection || !c.table.AcceptsRequests(f.executor) {
		c.release(f)
		f.claim = c.ownClaim(f)
		c.fire(f, eventClaimUnanswered)
		c.fire(f, eventRetryAllowed)
		c.enqueue(f, true)
		return
	}
	c.fire(f, eventClaimGranted)
	c.dispatch(now, f)
}

// outsideHorizon handles a home that cannot know the request: nobody can claim
// or seal it any more.
func (c *Core) outsideHorizon(now time.Time, f *flight) {
	if !f.request.Idempotent {
		c.release(f)
		c.fire(f, eventClaimRefused)
		c.finishUnknown(f, model.ReasonOutsideHorizon)
		return
	}
	f.unclaimed = true
	c.granted(now, f)
}

// claimedElsewhere follows the claim of an earlier submission. A claim of this
// flight under which nothing was sent is moved.
func (c *Core) claimedElsewhere(now time.Time, f *flight, m *wire.ClaimReply) {
	if m.MayHaveRun {
		f.unconfirmed = true
	}
	c.release(f)
	c.fire(f, eventClaimRefused)
	f.claim = m.Current
	c.ask(now, f, m.Executor)
}

func (c *Core) sealReply(now time.Time, f *flight, m *wire.ClaimReply) {
	switch m.State {
	case wire.StateSealed:
		c.finishSealed(f, m)
	case wire.StateClaimed:
		if !now.Before(f.request.Deadline) {
			c.finishUnknown(f, model.ReasonInProgress)
			return
		}
		f.claim = m.Current
		c.ask(now, f, m.Executor)
	case wire.StateRejected:
		f.nextProbe = now.Add(time.Duration(max(1, m.RetryAfterMS)) * time.Millisecond)
	case wire.StateBodyMismatch:
		c.finish(f, model.Outcome{Kind: model.OutcomeRefused, Reason: model.ReasonBodyMismatch})
	default:
		c.finishUnknown(f, f.giveUpReason)
	}
}

// finishSealed gives not_run, unless an earlier executor may have run the request.
func (c *Core) finishSealed(f *flight, m *wire.ClaimReply) {
	if m.MayHaveRun || f.unconfirmed {
		c.finishUnknown(f, f.giveUpReason)
		return
	}
	c.fire(f, eventSealed)
	c.finish(f, model.Outcome{Kind: model.OutcomeNotRun, Reason: f.giveUpReason, RetryAfter: f.retryAfter})
}
