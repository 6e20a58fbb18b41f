package dedup

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// RetryInterval is how long a sender waits after a refusal for now.
const RetryInterval = 50 * time.Millisecond

// claim is the record of one request at its home. Once sealed it never changes.
type claim struct {
	executor   model.BackendServerID
	ref        wire.ClaimRef
	bodyHash   uint64
	sealed     bool
	mayHaveRun bool
}

// Permit is the fence of a home and of an executor: the agent acts on an
// assignment only while it holds a valid permit of the same version.
type Permit struct {
	Assignment uint64
	ValidUntil time.Time
	ZoneOut    bool
}

// IsValid reports whether the permit holds at the given time.
func (p Permit) IsValid(now time.Time) bool { return now.Before(p.ValidUntil) }

// Claims is a home agent's side of the claim protocol.
type Claims struct {
	self        model.BackendServerID
	incarnation model.Incarnation
	skew        time.Duration
	assignment  *wire.Assignment
	permit      Permit
	window      *Window[claim]
}

// NewClaims returns the claims of one life of an agent.
func NewClaims(self model.BackendServerID, incarnation model.Incarnation, skew, horizon time.Duration, maxRecords int) *Claims {
	return &Claims{
		self: self, incarnation: incarnation, skew: skew,
		window: NewWindow[claim](horizon, maxRecords, 0),
	}
}

// SetAssignment replaces the home ranges unless the version is not higher.
func (c *Claims) SetAssignment(a wire.Assignment) {
	if c.assignment == nil || a.Version > c.assignment.Version {
		c.assignment = &a
	}
}

// SetPermit replaces the permit.
func (c *Claims) SetPermit(p Permit) { c.permit = p }

// Version returns the version of the home ranges, zero if there are none.
func (c *Claims) Version() uint64 {
	if c.assignment == nil {
		return 0
	}
	return c.assignment.Version
}

// Assignment returns the home ranges, nil if there are none.
func (c *Claims) Assignment() *wire.Assignment { return c.assignment }

// Advance forgets claims older than the horizon.
func (c *Claims) Advance(now time.Time) { c.window.Advance(unixMS(now)) }

// Len returns the number of claims kept.
func (c *Claims) Len() int { return c.window.Len() }

// Handle answers a claim of an entry host.
func (c *Claims) Handle(now time.Time, from model.EntryID, m *wire.Claim) *wire.ClaimReply {
	reply := &wire.ClaimReply{Request: m.Request, Assignment: c.Version(), Token: m.Token}
	mintMS, err := MintTime(m.Request)
	if err != nil {
		return refuse(reply, model.ReasonInvalidID)
	}
	state, reason := c.check(now, m, mintMS)
	if state != 0 {
		reply.State = state
		reply.Reason = reason
		reply.RetryAfterMS = RetryInterval.Milliseconds()
		return reply
	}
	record, found := c.window.Get(m.Request)
	if m.ReadOnly {
		return describe(reply, record, found)
	}
	if !found {
		record = claim{bodyHash: m.BodyHash, ref: wire.ClaimRef{Claimant: from, Token: m.Token}, executor: m.Executor}
		record.sealed = m.SealOnly
		record.mayHaveRun = m.Unconfirmed
		c.window.Put(m.Request, mintMS, record)
		reply.Granted = true
		return describe(reply, record, true)
	}
	if record.bodyHash != m.BodyHash {
		reply.State = wire.StateBodyMismatch
		return reply
	}
	if next, ok := transition(record, from, m); ok {
		c.window.Put(m.Request, mintMS, next)
		reply.Granted = true
		return describe(reply, next, true)
	}
	return describe(reply, record, true)
}

// transition returns the claim after m, if m may change or repeat it.
func transition(record claim, from model.EntryID, m *wire.Claim) (claim, bool) {
	ref := wire.ClaimRef{Claimant: from, Token: m.Token}
	if record.ref == ref {
		return record, record.sealed == m.SealOnly
	}
	if record.sealed || m.Move != record.ref {
		return record, false
	}
	record.ref = ref
	record.sealed = m.SealOnly
	record.mayHaveRun = record.mayHaveRun || m.Unconfirmed
	if !m.SealOnly {
		record.executor = m.Executor
	}
	return record, true
}

// check returns a state other than zero when this home cannot answer.
func (c *Claims) check(now time.Time, m *wire.Claim, mintMS int64) (wire.RequestState, model.Reason) {
	holder, ok := HolderOf(c.assignment, m.Request, mintMS, c.skew)
	if !ok || holder.Home != c.self || holder.Incarnation != c.incarnation {
		return wire.StateRejected, model.ReasonHomeUnreachable
	}
	if !c.permit.IsValid(now) || c.permit.Assignment != c.Version() || m.Assignment != c.Version() {
		return wire.StateRejected, model.ReasonPermitExpired
	}
	if mintMS > unixMS(now)+c.skew.Milliseconds() {
		return wire.StateRejected, model.ReasonOutsideHorizon
	}
	if mintMS <= max(holder.FloorUnixMS, c.window.Floor()) {
		if _, found := c.window.Get(m.Request); !found {
			return wire.StateOutsideHorizon, model.ReasonOutsideHorizon
		}
	}
	return 0, model.ReasonNone
}

func refuse(reply *wire.ClaimReply, reason model.Reason) *wire.ClaimReply {
	reply.State = wire.StateRejected
	reply.Reason = reason
	reply.RetryAfterMS = RetryInterval.Milliseconds()
	return reply
}

func describe(reply *wire.ClaimReply, record claim, found bool) *wire.ClaimReply {
	if !found {
		reply.State = wire.StateAbsent
		return reply
	}
	reply.State = wire.StateClaimed
	if record.sealed {
		reply.State = wire.StateSealed
	}
	reply.Executor = record.executor
	reply.MayHaveRun = record.mayHaveRun
	reply.Current = record.ref
	return reply
}
