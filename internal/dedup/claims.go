package dedup

import (
	"time"
	"unique"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// RetryInterval is how long a sender waits after a refusal for now.
const RetryInterval = 50 * time.Millisecond

// claim is the record of one request at its home. Once sealed it never changes.
type claim struct {
	executor model.BackendServerID
	account  unique.Handle[model.ClientAccountID]
	ref      wire.ClaimRef
	bodyHash uint64
	// sealed means that no executor is to run the request any more.
	sealed bool
	// mayHaveRun means that a sender could not confirm that an earlier executor
	// did not run the request, so that not_run must not be told.
	mayHaveRun bool
}

// Permit lets an agent act until an instant of its own clock. As a home it
// answers claims only under a valid permit of its own assignment's version, which
// is the fence against former homes. As an executor it starts a non-idempotent
// request only under a valid permit, of any version.
type Permit struct {
	Assignment uint64
	ValidUntil time.Time
	ZoneOut    bool
}

// IsValid reports whether the permit holds at the given time.
func (p Permit) IsValid(now time.Time) bool { return now.Before(p.ValidUntil) }

// tenure is one agent's hold of one range, over all assignment versions.
type tenure struct {
	firstHash uint64
	since     int64
}

// Claims is a home agent's side of the claim protocol.
type Claims struct {
	self        model.BackendServerID
	incarnation model.Incarnation
	skew        time.Duration
	// longestPermit bounds how long starts go on under a former assignment.
	longestPermit time.Duration
	assignment    *wire.Assignment
	// received is when this agent first heard that it holds a range, in
	// milliseconds since the Unix epoch by its own clock.
	received map[tenure]int64
	permit   Permit
	window   *Window[claim]
}

// Limits are the identity and bounds of Claims.
type Limits struct {
	Self        model.BackendServerID
	Incarnation model.Incarnation
	// ClockSkewBound is the largest difference between any two processes' clocks.
	ClockSkewBound time.Duration
	// LongestPermit is the longest validity of a permit.
	LongestPermit time.Duration
	// Horizon is how long a claim is remembered, MaxRecords how many are.
	Horizon    time.Duration
	MaxRecords int
}

// NewClaims returns the claims of one life of an agent.
func NewClaims(limits Limits) *Claims {
	return &Claims{
		self: limits.Self, incarnation: limits.Incarnation, skew: limits.ClockSkewBound,
		longestPermit: limits.LongestPermit, received: map[tenure]int64{},
		window: NewWindow[claim](limits.Horizon, limits.MaxRecords, 0),
	}
}

// SetAssignment replaces the home ranges unless the version is not higher. It
// remembers when the agent first heard that it holds each range: the write of an
// assignment may take effect long after SinceUnixMS, and until then the former
// home has granted claims.
func (c *Claims) SetAssignment(now time.Time, a wire.Assignment) {
	if c.assignment != nil && a.Version <= c.assignment.Version {
		return
	}
	before := c.assignment
	c.assignment = &a
	kept := map[tenure]int64{}
	for i := range a.Ranges {
		held, ok := c.tenureOf(&a.Ranges[i])
		if !ok {
			continue
		}
		kept[held] = now.UnixMilli()
		if first, known := c.firstHeard(before, held); known {
			kept[held] = first
		}
	}
	c.received = kept
}

// firstHeard returns when this agent first heard of a hold. The range may be a
// piece of one that it held before, since ranges are cut as the fleet grows.
func (c *Claims) firstHeard(before *wire.Assignment, held tenure) (int64, bool) {
	if first, known := c.received[held]; known || before == nil || len(before.Ranges) == 0 {
		return first, known
	}
	whole, ok := c.tenureOf(rangeOf(before, held.firstHash))
	if !ok || whole.since != held.since {
		return 0, false
	}
	first, known := c.received[whole]
	return first, known
}

// tenureOf returns this agent's hold of a range, as its home or previous home.
func (c *Claims) tenureOf(r *wire.HomeRange) (tenure, bool) {
	switch {
	case r.Home == c.self && r.Incarnation == c.incarnation:
		return tenure{r.FirstHash, r.SinceUnixMS}, true
	case r.PreviousHome == c.self && r.PreviousIncarnation == c.incarnation:
		return tenure{r.FirstHash, r.PreviousSinceUnixMS}, true
	default:
		return tenure{}, false
	}
}

// floor returns the mint time up to which this home cannot know a request.
func (c *Claims) floor(id model.RequestID, holder Holder) int64 {
	floor := max(holder.FloorUnixMS, c.window.Floor())
	held, ok := c.tenureOf(rangeOf(c.assignment, Hash(id)))
	if !ok || held.since == wire.SinceFirstAssignment {
		return floor
	}
	granted := c.received[held] + (c.longestPermit + 2*c.skew).Milliseconds()
	return max(floor, granted)
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
func (c *Claims) Advance(now time.Time) { c.window.Advance(now.UnixMilli()) }

// Len returns the number of claims kept.
func (c *Claims) Len() int { return c.window.Len() }

// Handle answers a claim of an entry host.
func (c *Claims) Handle(now time.Time, from model.EntryID, m *wire.Claim) *wire.ClaimReply {
	reply := &wire.ClaimReply{Request: m.Request, Assignment: c.Version(), Token: m.Token}
	mintMS, err := MintTime(m.Request)
	if err != nil {
		return refuse(reply, wire.StateRejected, model.ReasonInvalidID)
	}
	if state, reason := c.check(now, m, mintMS); state != 0 {
		return refuse(reply, state, reason)
	}
	record, found := c.window.Get(m.Request)
	if m.ReadOnly {
		return describe(reply, record, found && record.account == unique.Make(m.Account))
	}
	if !found {
		record = claim{bodyHash: m.BodyHash, ref: wire.ClaimRef{Claimant: from, Token: m.Token}, executor: m.Executor}
		record.account = unique.Make(m.Account)
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
	if mintMS > now.UnixMilli()+c.skew.Milliseconds() {
		return wire.StateRejected, model.ReasonOutsideHorizon
	}
	if mintMS <= c.floor(m.Request, holder) {
		if _, found := c.window.Get(m.Request); !found {
			return wire.StateOutsideHorizon, model.ReasonOutsideHorizon
		}
	}
	return 0, model.ReasonNone
}

// refuse fills in a reply that grants nothing for now.
func refuse(reply *wire.ClaimReply, state wire.RequestState, reason model.Reason) *wire.ClaimReply {
	reply.State = state
	reply.Reason = reason
	reply.RetryAfterMS = RetryInterval.Milliseconds()
	return reply
}

// describe fills in the claim in force, or that there is none.
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
