package ownership

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
	"dragonflyyard/internal/storeapi"
)

// Candidate is one entry host's part in the ownership of a region's scheduler.
// At most one call to the table service is outstanding at any time.
type Candidate struct {
	limits      Limits
	key         string
	epochKey    string
	id          model.EntryID
	incarnation model.Incarnation
	// barred keeps the candidate from taking the lease over, and member is a
	// precondition of doing so (see Admit).
	barred bool
	member storeapi.Check
	// deferral is how much longer this candidate leaves a free lease to others.
	deferral time.Duration
	// pollEvery is the interval of reads while another host holds the lease.
	pollEvery time.Duration

	machine statechart.Machine
	// trace is told of each transition; nil for none.
	trace func(statechart.Transition)
	epoch model.Epoch
	// epochVersion is the version of the row that the start of the epoch wrote.
	epochVersion storeapi.RowVersion
	// validUntil is the end of the held lease.
	validUntil time.Time

	row      storeapi.Row
	lease    Lease
	rowKnown bool
	// unchangedSince is when the row's present version was first received.
	unchangedSince time.Time

	lastCall uint64
	// pending is the number of the outstanding call, zero for none, and pendingAt
	// when it was made.
	pending   uint64
	pendingAt time.Time
	// nextCall is when the next call is due.
	nextCall time.Time
	stopping bool
	// releaseTries counts the writes of the release (see Limits.HandOverTries).
	releaseTries int

	lastWrite uint64
	// writes holds the writes whose effect is not known, with their send times.
	writes []sentWrite
}

// sentWrite is a write that may have taken effect.
type sentWrite struct {
	lease  Lease
	sentAt time.Time
}

// NewCandidate returns a follower of the region's lease row.
func NewCandidate(limits Limits, region model.RegionName, id model.EntryID, incarnation model.Incarnation) *Candidate {
	return &Candidate{
		limits:      limits,
		pollEvery:   limits.PollEvery,
		key:         RowKey(region),
		epochKey:    EpochKey(region),
		id:          id,
		incarnation: incarnation,
		machine:     leaseChart.NewMachine(),
	}
}

// RowKey returns the key of a region's lease row.
func RowKey(region model.RegionName) string { return "head/lease/" + string(region) }

// EpochKey returns the key of the row that is written once at the start of each
// epoch of a region. Writes of the owner are fenced by its version.
func EpochKey(region model.RegionName) string { return "head/epoch/" + string(region) }

// State returns the candidate's state as of its last input.
func (c *Candidate) State() State { return stateOf(c.machine.State()) }

// Trace registers a function that is told of each transition of the candidate.
func (c *Candidate) Trace(trace func(statechart.Transition)) { c.trace = trace }

// Key returns the key of the lease row.
func (c *Candidate) Key() string { return c.key }

// Holds returns the epoch under which the candidate may act at the given time.
// A process asks again before each act, since it may have been paused.
func (c *Candidate) Holds(now time.Time) (model.Epoch, bool) {
	held := c.State() == StateHolding && now.Before(c.validUntil)
	return c.epoch, held
}

// FencingCheck returns the precondition that fences a write of the owner: no later
// epoch began. It stays the same over renewals of one epoch.
func (c *Candidate) FencingCheck() storeapi.Check {
	return storeapi.Check{Key: c.epochKey, Version: c.epochVersion}
}

// LastLease returns the lease that was last read or written, and whether any was.
func (c *Candidate) LastLease() (Lease, bool) { return c.lease, c.rowKnown }

// SetEligibility tells whether the candidate may take the lease over, and the
// precondition that its host is still a member of the roster; a check without
// a key is none. Only established members may own the region: an owner that
// cannot reach the table service relies on the statements of the members it
// knows. The check fences a host that was removed while it was paused.
func (c *Candidate) SetEligibility(allowed bool, member storeapi.Check) {
	c.barred, c.member = !allowed, member
}

// Defer tells how much longer than others the candidate waits before it takes a
// lease that another host left.
func (c *Candidate) Defer(by time.Duration) { c.deferral = by }

// PollEvery sets the interval of reads while another host holds the lease, at
// least that of the limits. Many candidates may each read seldom: the first of
// them that sees a free lease takes it.
func (c *Candidate) PollEvery(interval time.Duration) {
	c.pollEvery = max(interval, c.limits.PollEvery)
}

// Step takes one input and returns the actions to do, in order.
func (c *Candidate) Step(now time.Time, in Input) []Action {
	actions := c.lapse(now)
	c.giveUpCall(now)
	switch in := in.(type) {
	case RowRead:
		actions = append(actions, c.onRead(now, in)...)
	case RowCommitted:
		actions = append(actions, c.onCommitted(now, in)...)
	case Stop:
		actions = append(actions, c.onStop(now)...)
	}
	return append(actions, c.next(now)...)
}

// lapse ends a lease whose time has passed.
func (c *Candidate) lapse(now time.Time) []Action {
	if c.State() != StateHolding || now.Before(c.validUntil) {
		return nil
	}
	c.fire(validityPassed)
	return []Action{Lost{Epoch: c.epoch, Reason: LossExpired}}
}

func (c *Candidate) onRead(now time.Time, in RowRead) []Action {
	if !c.finish(in.Call) {
		return nil
	}
	if in.Result != storeapi.ResultOK {
		return nil
	}
	return c.observe(now, in.Row)
}

// observe takes in the row as it was read.
func (c *Candidate) observe(now time.Time, row storeapi.Row) []Action {
	if c.rowKnown && row.Version == c.row.Version {
		return nil
	}
	lease, err := DecodeLease(row)
	if err != nil {
		// A row that cannot be read is nobody's lease: it is taken over after
		// its time, under the next epoch that this candidate knows of.
		lease = Lease{Epoch: c.lease.Epoch}
	}
	renewed := c.rowKnown && lease.Owner == c.lease.Owner && lease.Epoch == c.lease.Epoch && lease.Released == c.lease.Released
	c.row, c.lease, c.rowKnown = row, lease, true
	c.unchangedSince = now
	if sentAt, mine := c.takeWrite(lease); mine {
		// A renewal in doubt counts from when it was sent. An acquisition in
		// doubt does not count, as the version of its epoch row is not known:
		// the candidate has the row and begins the next epoch at once.
		return c.confirmed(now, sentAt, 0)
	}
	c.writes = nil
	if c.isFree(now) {
		c.nextCall = now
	}
	actions := c.deposed()
	if renewed && len(actions) == 0 {
		return nil
	}
	return append(actions, Observed{Lease: lease})
}

// deposed ends a held lease after another owner's write was seen.
func (c *Candidate) deposed() []Action {
	held := c.State() == StateHolding
	c.fire(otherOwner)
	if !held {
		return nil
	}
	return []Action{Lost{Epoch: c.epoch, Reason: LossDeposed}}
}

func (c *Candidate) onCommitted(now time.Time, in RowCommitted) []Action {
	if !c.finish(in.Call) {
		return nil
	}
	switch in.Result {
	case storeapi.ResultOK:
		write := c.writes[len(c.writes)-1]
		c.writes = nil
		c.row = storeapi.Row{Key: c.key, Value: EncodeLease(write.lease), Version: in.Versions[0]}
		c.lease, c.rowKnown, c.unchangedSince = write.lease, true, now
		var epochVersion storeapi.RowVersion
		if len(in.Versions) > 1 {
			epochVersion = in.Versions[1]
		}
		return c.confirmed(now, write.sentAt, epochVersion)
	case storeapi.ResultUnavailable:
		c.writes = c.writes[:len(c.writes)-1]
		c.fire(storeDown)
		return nil
	case storeapi.ResultConflict:
		// The row has another version than the one known. It is either another
		// owner's, or one of this candidate's writes that was in doubt.
		c.writes = c.writes[:len(c.writes)-1]
		c.fire(checkFailed)
		return c.readNow(now)
	default:
		// The write may still take effect. Reading back tells when it did; a
		// further write under the same check settles it.
		c.fire(writeInDoubt)
		return c.readNow(now)
	}
}

// confirmed takes in a write of this candidate that took effect. An epoch that
// was lost is not held again: a renewal that is confirmed after the lapse leads
// to the next epoch.
func (c *Candidate) confirmed(now, sentAt time.Time, epochVersion storeapi.RowVersion) []Action {
	if c.lease.Released {
		c.fire(releaseConfirmed)
		return []Action{HandedOver{Confirmed: true}}
	}
	until := sentAt.Add(c.limits.Duration)
	if c.stopping {
		return nil
	}
	isRenewal := c.State() == StateHolding && c.epoch == c.lease.Epoch
	if !now.Before(until) || (!isRenewal && epochVersion == 0) {
		c.nextCall = now
		return nil
	}
	c.validUntil = until
	c.nextCall = sentAt.Add(c.limits.RenewEvery)
	if isRenewal {
		c.fire(renewed)
		return []Action{Renewed{Epoch: c.epoch, ValidUntil: until}}
	}
	c.fire(acquired)
	c.epoch, c.epochVersion = c.lease.Epoch, epochVersion
	return []Action{Acquired{Epoch: c.epoch, ValidUntil: until}}
}

// onStop stops the candidate from acting before it gives the lease up, so that
// the successor never acts beside it.
func (c *Candidate) onStop(now time.Time) []Action {
	if c.stopping {
		return nil
	}
	c.stopping = true
	c.nextCall = now
	held := c.State() == StateHolding
	if !held && len(c.writes) == 0 {
		c.fire(stoppedIdle)
		return []Action{HandedOver{Confirmed: true}}
	}
	c.fire(stopOrdered)
	if !held {
		return nil
	}
	return []Action{Lost{Epoch: c.epoch, Reason: LossHandedOver}}
}
