package requestflow

import (
	"time"

	"dragonflyyard/internal/dedup"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// queryTimeout bounds the time that a Query may take.
const queryTimeout = 2 * time.Second

// queryRequest looks a request up by its ID: on this entry host, else at its home
// and then at the executor that the home names.
func (c *Core) queryRequest(now time.Time, in Query) {
	mintMS, err := dedup.MintTime(in.Request)
	if err != nil {
		c.queryResult(in.Request, in.Caller, wire.StateOutsideHorizon, model.Outcome{
			Kind: model.OutcomeRefused, Reason: model.ReasonInvalidID,
		})
		return
	}
	if f := c.flights[in.Request]; f != nil {
		c.queryLocal(f, in)
		return
	}
	if len(c.flights) >= 2*c.config.MaxRequests {
		c.queryResult(in.Request, in.Caller, wire.StateOutsideHorizon, model.Outcome{
			Kind: model.OutcomeUnknown, Reason: model.ReasonQueueFull, RetryAfter: noServerRetryAfter,
		})
		return
	}
	request := model.Request{ID: in.Request, Account: in.Account, Idempotent: true, Deadline: now.Add(queryTimeout)}
	f := c.newFlight(request, in.Caller, mintMS)
	f.query = true
	c.queryHome(now, f)
	c.schedule(f)
}

// queryLocal answers a query of a request that is in flight on this entry host, or
// adds the caller to a query that the same account has in flight.
func (c *Core) queryLocal(f *flight, in Query) {
	isOwn := f.request.Account == in.Account
	switch {
	case !f.query && isOwn:
		c.queryResult(in.Request, in.Caller, wire.StateRunning, model.Outcome{})
	case !f.query:
		c.queryResult(in.Request, in.Caller, wire.StateAbsent, model.Outcome{})
	case isOwn && len(f.callers) < c.config.MaxCallers:
		f.callers = append(f.callers, waitingCaller{in.Caller, f.request.Deadline})
		c.callers[in.Caller] = f
	default:
		c.queryResult(in.Request, in.Caller, wire.StateOutsideHorizon, tooManyCallers())
	}
}

func tooManyCallers() model.Outcome {
	return model.Outcome{Kind: model.OutcomeUnknown, Reason: model.ReasonTooManyCallers, RetryAfter: noServerRetryAfter}
}

// queryHome reads the claim of a queried request at its home.
func (c *Core) queryHome(now time.Time, f *flight) {
	holder, reach := c.holder(f)
	switch reach {
	case homeDown:
		c.park(now, f)
	case homeReplaced:
		c.finishQuery(f, wire.StateOutsideHorizon, model.ReasonOutsideHorizon)
	default:
		f.phase = phaseSealing
		f.waitUntil = now.Add(queryTimeout)
		f.nextProbe = now.Add(c.config.ClaimTimeout)
		f.home = holder.Home
		f.token = c.nextToken()
		c.send(c.links[holder.Home], &wire.Claim{
			Request: f.request.ID, Assignment: c.assignmentVersion(), ReadOnly: true, Token: f.token,
			Account: f.request.Account,
		})
	}
}

func (c *Core) queryHomeReply(now time.Time, f *flight, m *wire.ClaimReply) {
	switch m.State {
	case wire.StateClaimed:
		c.startLookup(now, f, m.Executor)
		f.waitUntil = f.request.Deadline
	case wire.StateRejected:
		f.nextProbe = now.Add(time.Duration(max(1, m.RetryAfterMS)) * time.Millisecond)
	default:
		c.finishQuery(f, m.State, m.Reason)
	}
}

func (c *Core) queryExecutorReply(f *flight, m *wire.LookupReply) {
	if m.State != wire.StateFinished {
		c.finishQuery(f, m.State, m.Reason)
	}
}

func (c *Core) queryAnswer(f *flight) {
	outcome := model.Outcome{Kind: model.OutcomeAnswered, Status: f.answer.status, Body: f.answer.body()}
	if f.answer.failed {
		outcome.Kind, outcome.Reason = model.OutcomeBackendFailed, model.ReasonBackendError
	}
	for _, caller := range callersOf(f) {
		c.queryResult(f.request.ID, caller, wire.StateFinished, outcome)
	}
	c.forget(f)
}

func (c *Core) expireQuery(now time.Time, f *flight, late bool) {
	switch {
	case late:
		c.finishQuery(f, wire.StateOutsideHorizon, model.ReasonHomeUnreachable)
	case f.phase == phaseLookup:
		c.sendLookup(now, f)
	default:
		c.queryHome(now, f)
	}
}

// supersedeQuery ends a query because its ID is being submitted. The state is
// reported only to callers of the submitting account.
func (c *Core) supersedeQuery(f *flight, submitter model.ClientAccountID) {
	if f.request.Account != submitter {
		c.finishQuery(f, wire.StateOutsideHorizon, model.ReasonTooManyCallers)
		return
	}
	c.finishQuery(f, wire.StateRunning, model.ReasonInProgress)
}

func (c *Core) finishQuery(f *flight, state wire.RequestState, reason model.Reason) {
	outcome := model.Outcome{}
	switch state {
	case wire.StateSealed:
		outcome = model.Outcome{Kind: model.OutcomeNotRun, Reason: model.ReasonSealed}
	case wire.StateRunning, wire.StateClaimed, wire.StateAbsent, wire.StateRejected:
		outcome.Reason = reason
	default:
		outcome = model.Outcome{Kind: model.OutcomeUnknown, Reason: reason}
	}
	for _, caller := range callersOf(f) {
		c.queryResult(f.request.ID, caller, state, outcome)
	}
	c.forget(f)
}

func (c *Core) queryResult(id model.RequestID, caller Caller, state wire.RequestState, outcome model.Outcome) {
	c.actions = append(c.actions, QueryResult{Request: id, Caller: caller, State: state, Outcome: outcome})
}
