package dedup

import (
	"time"
	"unique"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// RetryInterval is how long a sender waits before it retries after a temporary
// refusal.
const RetryInterval = 50 * time.Millisecond

// claim is the record of one request at its home. A sealed claim never changes.
type claim struct {
	executor model.BackendServerID
	account  unique.Handle[model.ClientAccountID]
	ref      wire.ClaimRef
	bodyHash uint64
	// sealed means that no executor may run the request any more.
	sealed bool
	// mayHaveRun means that a sender could not confirm that an earlier executor
	// did not run the request, so that callers must not get the outcome not_run.
	mayHaveRun bool
}

// Permit is a lease that lets an agent act until ValidUntil by its own clock. A
// home answers claims only under a valid permit for the version of its own
// assignment, which fences off former homes. An executor starts a non-idempotent
// request only under a valid permit, of any version.
type Permit struct {
	Assignment uint64
	ValidUntil time.Time
	ZoneOut    bool
}

// IsValid reports whether the permit is valid at the given time.
func (p Permit) IsValid(now time.Time) bool { return now.Before(p.ValidUntil) }

// ownership identifies the time during which one agent holds one range, across
// all assignment versions.
type ownership struct {
	firstHash uint64
	sinceMS   int64
}

// Claims is a home agent's side of the claim protocol.
type Claims struct {
	self        model.BackendServerID
	incarnation model.Incarnation
	skew        time.Duration
	// longestPermit bounds how long requests may still be started under a former
	// assignment.
	longestPermit time.Duration
	assignment    *wire.Assignment
	// receivedMS is when this agent first received an assignment that gives it the
	// range, in milliseconds since the Unix epoch by its own clock.
	receivedMS map[ownership]int64
	permit     Permit
	window     *Window[claim]
}

// Limits holds the identity of the home agent and the bounds of its Claims.
type Limits struct {
	Self        model.BackendServerID
	Incarnation model.Incarnation
	// ClockSkewBound is the largest difference between the clocks of any two
	// processes.
	ClockSkewBound time.Duration
	// LongestPermit is the longest validity of a permit.
	LongestPermit time.Duration
	// Horizon is how long a claim is kept after its request was minted, MaxRecords
	// how many claims are kept.
	Horizon    time.Duration
	MaxRecords int
}

// NewClaims returns the empty claims of one incarnation of an agent.
func NewClaims(limits Limits) *Claims {
	return &Claims{
		self: limits.Self, incarnation: limits.Incarnation, skew: limits.ClockSkewBound,
		longestPermit: limits.LongestPermit, receivedMS: map[ownership]int64{},
		window: NewWindow[claim](limits.Horizon, limits.MaxRecords, 0),
	}
}

// SetAssignment replaces the home ranges if the version is higher. It records when
// the agent first received each range that it holds: the write of an assignment
// may take effect long after SinceUnixMS, and the former home grants claims until
// then.
func (c *Claims) SetAssignment(now time.Time, a wire.Assignment) {
	if c.assignment != nil && a.Version <= c.assignment.Version {
		return
	}
	previous := c.assignment
	c.assignment = &a
	receivedMS := map[ownership]int64{}
	for i := range a.Ranges {
		owned, ok := c.ownershipOf(&a.Ranges[i])
		if !ok {
			continue
		}
		receivedMS[owned] = now.UnixMilli()
		if first, known := c.firstReceived(previous, owned); known {
			receivedMS[owned] = first
		}
	}
	c.receivedMS = receivedMS
}

// firstReceived returns when this agent first received a range that it owns, in
// milliseconds since the Unix epoch. The range may be a part of one that it held
// before, since ranges are split as the fleet grows.
func (c *Claims) firstReceived(previous *wire.Assignment, owned ownership) (int64, bool) {
	if first, known := c.receivedMS[owned]; known || previous == nil || len(previous.Ranges) == 0 {
		return first, known
	}
	previouslyOwned, ok := c.ownershipOf(rangeOf(previous, owned.firstHash))
	if !ok || previouslyOwned.sinceMS != owned.sinceMS {
		return 0, false
	}
	first, known := c.receivedMS[previouslyOwned]
	return first, known
}

// ownershipOf returns this agent's ownership of a range as its home or previous
// home. It returns false when this incarnation of the agent is neither.
func (c *Claims) ownershipOf(r *wire.HomeRange) (ownership, bool) {
	switch {
	case r.Home == c.self && r.Incarnation == c.incarnation:
		return ownership{r.FirstHash, r.SinceUnixMS}, true
	case r.PreviousHome == c.self && r.PreviousIncarnation == c.incarnation:
		return ownership{r.FirstHash, r.PreviousSinceUnixMS}, true
	default:
		return ownership{}, false
	}
}

// floor returns the mint time, in milliseconds since the Unix epoch, up to which
// this home cannot know a request. It includes the time in which claims may still
// have been granted under a former assignment.
func (c *Claims) floor(id model.RequestID, holder Holder) int64 {
	floor := max(holder.FloorUnixMS, c.window.Floor())
	owned, ok := c.ownershipOf(rangeOf(c.assignment, Hash(id)))
	if !ok || owned.sinceMS == wire.SinceFirstAssignment {
		return floor
	}
	formerGrantsEndMS := c.receivedMS[owned] + (c.longestPermit + 2*c.skew).Milliseconds()
	return max(floor, formerGrantsEndMS)
}

// SetPermit replaces the permit under which claims are answered.
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

// Advance evicts the claims that are older than the horizon.
func (c *Claims) Advance(now time.Time) { c.window.Advance(now.UnixMilli()) }

// Len returns the number of claims.
func (c *Claims) Len() int { return c.window.Len() }

// Handle answers a claim message of an entry host. It records or changes the claim
// of the request if the message may do so.
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

// transition returns the claim that results from m. It returns false unless m
// repeats the message that made the claim or moves a claim that is not sealed.
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

// check returns a nonzero state, and the reason, when this home cannot answer the
// message: it does not hold the request's range, it has no valid permit for the
// version of its own assignment and the sender's, the request was minted in the
// future, or it has no record of a request minted at or before the floor.
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

// refuse fills in a reply that grants nothing and lets the sender retry later.
func refuse(reply *wire.ClaimReply, state wire.RequestState, reason model.Reason) *wire.ClaimReply {
	reply.State = state
	reply.Reason = reason
	reply.RetryAfterMS = RetryInterval.Milliseconds()
	return reply
}

// describe fills in a reply with the current claim, or with StateAbsent if there
// is none.
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
