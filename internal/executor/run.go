package executor

import (
	"time"

	"dragonflyyard/internal/dedup"
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// run is the record of one request on the agent.
type run struct {
	id       model.RequestID
	entry    model.EntryID
	bodyHash uint64
	slots    int
	state    wire.RequestState
	reason   model.Reason
	waiters  []waiter
	// undelivered is set from the end of the run until its result is sent to an
	// entry host.
	undelivered bool
}

// waiter is a connection that receives the result of a run when it ends.
type waiter struct {
	entry      model.EntryID
	connection uint64
}

func (c *Core) dispatch(now time.Time, l *link, m *wire.Dispatch) {
	mintMS, err := dedup.MintTime(m.Request)
	if err != nil {
		c.reply(l, m.Request, wire.StateRejected, model.ReasonInvalidID)
		return
	}
	if r := c.find(m.Request); r != nil {
		c.handleRepeatedDispatch(now, l, r, m)
		return
	}
	if mintMS <= c.runs.Floor() && !isUnclaimed(m) {
		c.reply(l, m.Request, wire.StateOutsideHorizon, model.ReasonOutsideHorizon)
		return
	}
	body, state := c.partial.add(now, l, m)
	switch state {
	case bodyIncomplete:
		return
	case bodyRefused:
		c.reject(l, m, mintMS, model.ReasonQueueFull)
		return
	}
	if reason := c.refusal(now, m); reason != model.ReasonNone {
		c.reject(l, m, mintMS, reason)
		return
	}
	if isUnclaimed(m) || !m.MakeClaim {
		c.start(l, m, body, mintMS)
		return
	}
	c.dispatchAtHome(now, l, m, body, mintMS)
}

// dispatchAtHome claims a request at this agent, which is its home, and starts it
// if the claim is granted.
func (c *Core) dispatchAtHome(now time.Time, l *link, m *wire.Dispatch, body []byte, mintMS int64) {
	reply := c.claims.Handle(now, l.entry, &wire.Claim{
		Request: m.Request, BodyHash: m.BodyHash, Executor: c.config.ID, Assignment: m.Assignment, Token: m.Token,
		Account: m.Account,
	})
	switch {
	case reply.Granted && reply.Executor == c.config.ID:
		c.start(l, m, body, mintMS)
	case reply.State == wire.StateRejected || reply.State == wire.StateSealed:
		// The sender has to send an explicit Claim: its reply says whether an
		// earlier executor may have run the request, and when to retry.
		c.reply(l, m.Request, wire.StateClaimed, reply.Reason)
	default:
		c.reply(l, m.Request, reply.State, reply.Reason)
	}
}

// refusal returns why a request cannot start now, or model.ReasonNone. Previous
// homes are fenced by the permit check that each home makes itself: at most one
// home grants claims of an ID.
func (c *Core) refusal(now time.Time, m *wire.Dispatch) model.Reason {
	valid := c.permit.IsValid(now)
	switch {
	case c.leaving:
		return model.ReasonBackendLeaving
	case now.UnixMilli() >= m.DeadlineUnixMS:
		return model.ReasonDeadline
	case c.permit.ZoneOut && (valid || !m.Idempotent):
		return model.ReasonZoneOut
	case !m.Idempotent && !valid:
		return model.ReasonPermitExpired
	case c.slotsInUse+slotsOf(m) > c.config.Slots:
		return model.ReasonAgentRejected
	case len(c.running) >= c.config.Connections:
		return model.ReasonAgentRejected
	default:
		return model.ReasonNone
	}
}

func (c *Core) start(l *link, m *wire.Dispatch, body []byte, mintMS int64) {
	r := &run{
		id: m.Request, entry: l.entry, bodyHash: m.BodyHash, slots: slotsOf(m), state: wire.StateRunning,
		waiters: []waiter{{l.entry, l.connection}},
	}
	c.running[r.id] = r
	c.keep(r, mintMS)
	c.slotsInUse += r.slots
	l.slots += r.slots
	l.connections++
	c.record(event.RequestStarted, r.id, "")
	c.actions = append(c.actions, StartBackend{Request: model.Request{
		ID: m.Request, Account: m.Account, Idempotent: m.Idempotent, BodyHash: m.BodyHash, Slots: r.slots,
		Deadline: time.UnixMilli(m.DeadlineUnixMS), Body: body,
	}})
}

// reject refuses a dispatch permanently: while the record is kept, the agent does
// not start the ID.
func (c *Core) reject(l *link, m *wire.Dispatch, mintMS int64, reason model.Reason) {
	c.keep(&run{id: m.Request, bodyHash: m.BodyHash, state: wire.StateRejected, reason: reason}, mintMS)
	c.record(event.RequestRejected, m.Request, string(reason))
	c.reply(l, m.Request, wire.StateRejected, reason)
}

// keep stores a run. A run whose ID was minted at or before the floor of the
// window is not stored; later lookups and claimed dispatches of such an ID are
// answered as outside the horizon.
func (c *Core) keep(r *run, mintMS int64) {
	if mintMS > c.runs.Floor() {
		c.runs.Put(r.id, mintMS, r)
	}
}

func (c *Core) find(id model.RequestID) *run {
	if r := c.running[id]; r != nil {
		return r
	}
	r, _ := c.runs.Get(id)
	return r
}

func (c *Core) handleRepeatedDispatch(now time.Time, l *link, r *run, m *wire.Dispatch) {
	if r.bodyHash != 0 && r.bodyHash != m.BodyHash {
		c.reply(l, m.Request, wire.StateBodyMismatch, model.ReasonBodyMismatch)
		return
	}
	if m.Part == 0 {
		c.sendState(now, l, r)
	}
}

func (c *Core) lookup(now time.Time, l *link, m *wire.Lookup) {
	if r := c.find(m.Request); r != nil {
		c.sendState(now, l, r)
		return
	}
	mintMS, err := dedup.MintTime(m.Request)
	if err != nil || mintMS <= max(c.knownSinceMS, c.runs.Floor()) {
		c.reply(l, m.Request, wire.StateOutsideHorizon, model.ReasonOutsideHorizon)
		return
	}
	if !m.Seal {
		c.reply(l, m.Request, wire.StateAbsent, model.ReasonNone)
		return
	}
	c.partial.forget(m.Request)
	c.keep(&run{id: m.Request, state: wire.StateSealed, reason: model.ReasonSealed}, mintMS)
	c.reply(l, m.Request, wire.StateSealed, model.ReasonSealed)
}

// sendState sends the state of a run and, if it finished, its answer to an entry
// host. If the request is still running, the entry host becomes a waiter.
func (c *Core) sendState(now time.Time, l *link, r *run) {
	switch r.state {
	case wire.StateRunning:
		c.addWaiter(l, r)
		c.reply(l, r.id, wire.StateRunning, model.ReasonInProgress)
	case wire.StateFinished:
		a := c.answers.get(now, r.id)
		if a == nil {
			c.reply(l, r.id, wire.StateExpired, model.ReasonAnswerExpired)
			return
		}
		c.reply(l, r.id, wire.StateFinished, model.ReasonNone)
		c.sendAnswer(l, a)
		c.markDelivered(r)
	default:
		c.reply(l, r.id, r.state, r.reason)
	}
}

func (c *Core) addWaiter(l *link, r *run) {
	for i := range r.waiters {
		if r.waiters[i].entry == l.entry {
			r.waiters[i].connection = l.connection
			return
		}
	}
	if len(r.waiters) < c.config.MaxWaiters {
		r.waiters = append(r.waiters, waiter{l.entry, l.connection})
	}
}

func (c *Core) reply(l *link, id model.RequestID, state wire.RequestState, reason model.Reason) {
	m := &wire.LookupReply{Request: id, State: state, Reason: reason}
	if state == wire.StateRejected {
		m.RetryAfterMS = dedup.RetryInterval.Milliseconds()
	}
	c.send(l, m)
}

func (c *Core) backendDone(now time.Time, in BackendDone) {
	r := c.running[in.Request]
	if r == nil {
		return
	}
	delete(c.running, r.id)
	c.slotsInUse -= r.slots
	c.lastEnd = now
	if l := c.links[r.entry]; l != nil {
		l.slots -= r.slots
		l.connections--
	}
	c.finish(now, r, in)
	c.allotCredits(now)
	c.checkStopped(now)
}

func (c *Core) finish(now time.Time, r *run, in BackendDone) {
	switch in.Result {
	case BackendNotStarted:
		r.state, r.reason = wire.StateRejected, model.ReasonAgentRejected
	case BackendLost:
		r.state, r.reason = wire.StateAnswerLost, model.ReasonConnectionLost
	default:
		r.state = wire.StateFinished
		c.answers.put(now, &answer{id: r.id, status: in.Status, failed: in.Result == BackendFailed, body: in.Body})
	}
	c.record(event.RequestEnded, r.id, endDetail(in.Result))
	c.undelivered++
	r.undelivered = true
	for _, w := range r.waiters {
		l := c.links[w.entry]
		if l == nil || l.connection != w.connection {
			continue
		}
		c.notify(now, l, r)
	}
	r.waiters = nil
}

// notify sends the result of an ended run to a waiter.
func (c *Core) notify(now time.Time, l *link, r *run) {
	c.markDelivered(r)
	if r.state != wire.StateFinished {
		c.reply(l, r.id, r.state, r.reason)
		return
	}
	if a := c.answers.get(now, r.id); a != nil {
		c.sendAnswer(l, a)
	}
}

func (c *Core) markDelivered(r *run) {
	if r.undelivered {
		r.undelivered = false
		c.undelivered--
	}
}

func endDetail(result BackendResult) string {
	switch result {
	case BackendAnswered:
		return "answered"
	case BackendFailed:
		return "failed"
	case BackendNotStarted:
		return "not started"
	default:
		return "answer lost"
	}
}

func isUnclaimed(m *wire.Dispatch) bool { return m.Unclaimed && m.Idempotent }

func slotsOf(m *wire.Dispatch) int { return max(1, m.Slots) }
