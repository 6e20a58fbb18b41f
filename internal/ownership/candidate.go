package ownership

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
	"dragonflyyard/internal/storeapi"
)

// Candidate competes for the lease of a region's scheduler on behalf of one entry
// host. It has at most one call to the table service pending at any time.
type Candidate struct {
	limits      Limits
	key         string
	epochKey    string
	id          model.EntryID
	incarnation model.Incarnation
	// ineligible keeps the candidate from acquiring the lease, and memberCheck is
	// a precondition of an acquisition (see SetEligibility).
	ineligible  bool
	memberCheck storeapi.Check
	// takeoverDelay is how long this candidate leaves a free lease to others.
	takeoverDelay time.Duration
	// pollInterval is the interval of reads while another host holds the lease.
	pollInterval time.Duration

	machine statechart.Machine
	// trace is called with each transition; nil disables it.
	trace func(statechart.Transition)
	epoch model.Epoch
	// epochVersion is the version of the epoch row as written at the epoch's start.
	epochVersion storeapi.RowVersion
	// validUntil is when the held lease expires.
	validUntil time.Time

	row      storeapi.Row
	lease    Lease
	rowKnown bool
	// unchangedSince is when the row's current version was first received.
	unchangedSince time.Time

	lastCall uint64
	// pendingCall is the number of the pending call, zero for none, and pendingAt
	// is when it was made.
	pendingCall uint64
	pendingAt   time.Time
	// nextCallAt is when the next call is due.
	nextCallAt time.Time
	stopping   bool
	// releaseAttempts counts the release writes (see Limits.MaxReleaseAttempts).
	releaseAttempts int

	lastWrite uint64
	// unresolvedWrites holds the writes that may or may not have taken effect.
	unresolvedWrites []sentWrite
}

// sentWrite is a write of the lease row and the time at which it was sent.
type sentWrite struct {
	lease  Lease
	sentAt time.Time
}

// NewCandidate returns a candidate that follows the region's lease row and is
// eligible to acquire the lease.
func NewCandidate(limits Limits, region model.RegionName, id model.EntryID, incarnation model.Incarnation) *Candidate {
	return &Candidate{
		limits:       limits,
		pollInterval: limits.PollInterval,
		key:          RowKey(region),
		epochKey:     EpochKey(region),
		id:           id,
		incarnation:  incarnation,
		machine:      leaseChart.NewMachine(),
	}
}

// RowKey returns the key of a region's lease row.
func RowKey(region model.RegionName) string { return "head/lease/" + string(region) }

// EpochKey returns the key of a region's epoch row, which is written once at the
// start of each epoch. Its version fences the owner's writes.
func EpochKey(region model.RegionName) string { return "head/epoch/" + string(region) }

// State returns the candidate's state as of its last input.
func (c *Candidate) State() State { return stateOf(c.machine.State()) }

// Trace registers a function that is called with each transition of the candidate.
func (c *Candidate) Trace(trace func(statechart.Transition)) { c.trace = trace }

// Key returns the key of the lease row.
func (c *Candidate) Key() string { return c.key }

// Holds returns the epoch, and whether the candidate holds its lease at the given
// time. A process calls it before each operation as the owner, since it may have
// been paused for longer than the lease.
func (c *Candidate) Holds(now time.Time) (model.Epoch, bool) {
	held := c.State() == StateHolding && now.Before(c.validUntil)
	return c.epoch, held
}

// FencingCheck returns the precondition that fences the owner's writes: no later
// epoch has begun. It stays the same across the renewals of one epoch.
func (c *Candidate) FencingCheck() storeapi.Check {
	return storeapi.Check{Key: c.epochKey, Version: c.epochVersion}
}

// LastLease returns the lease as last read or written, and whether the row was
// read or written at all.
func (c *Candidate) LastLease() (Lease, bool) { return c.lease, c.rowKnown }

// SetEligibility sets whether the candidate may acquire the lease, and the
// precondition that its host is still a member of the roster; a check without
// a key stands for no precondition. Only established members may own the region:
// an owner that cannot reach the table service relies on the status of the
// members it knows. The check fences a host that was removed while it was paused.
func (c *Candidate) SetEligibility(allowed bool, member storeapi.Check) {
	c.ineligible, c.memberCheck = !allowed, member
}

// SetTakeoverDelay sets how much longer than others the candidate waits before it
// acquires a lease that another host released or stopped renewing.
func (c *Candidate) SetTakeoverDelay(delay time.Duration) { c.takeoverDelay = delay }

// SetPollInterval sets the interval of reads while another host holds the lease.
// It is at least Limits.PollInterval. The more candidates there are, the longer
// the interval of each may be, since the first that sees a free lease acquires it.
func (c *Candidate) SetPollInterval(interval time.Duration) {
	c.pollInterval = max(interval, c.limits.PollInterval)
}

// Step handles one input and returns the actions to perform, in order.
func (c *Candidate) Step(now time.Time, in Input) []Action {
	actions := c.expireLease(now)
	c.expireCall(now)
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

// expireLease ends the held lease once its validity has passed.
func (c *Candidate) expireLease(now time.Time) []Action {
	if c.State() != StateHolding || now.Before(c.validUntil) {
		return nil
	}
	c.fire(validityPassed)
	return []Action{Lost{Epoch: c.epoch, Reason: LossExpired}}
}

func (c *Candidate) onRead(now time.Time, in RowRead) []Action {
	if !c.completeCall(in.Call) {
		return nil
	}
	if in.Result != storeapi.ResultOK {
		return nil
	}
	return c.observe(now, in.Row)
}

// observe updates the state from the row as it was read. An unchanged version is
// ignored.
func (c *Candidate) observe(now time.Time, row storeapi.Row) []Action {
	if c.rowKnown && row.Version == c.row.Version {
		return nil
	}
	lease, err := DecodeLease(row)
	if err != nil {
		// A malformed row is a lease without an owner: it is free after the lease
		// duration, and acquired under the epoch after the last one known here.
		lease = Lease{Epoch: c.lease.Epoch}
	}
	isRenewal := c.rowKnown && lease.Owner == c.lease.Owner && lease.Epoch == c.lease.Epoch && lease.Released == c.lease.Released
	c.row, c.lease, c.rowKnown = row, lease, true
	c.unchangedSince = now
	if sentAt, found := c.resolveWrite(lease); found {
		// An unresolved renewal counts from when it was sent. An unresolved
		// acquisition does not count, as the version of its epoch row is not
		// known: the candidate owns the row and begins the next epoch at once.
		return c.onConfirmed(now, sentAt, 0)
	}
	c.unresolvedWrites = nil
	if c.isFree(now) {
		c.nextCallAt = now
	}
	actions := c.depose()
	if isRenewal && len(actions) == 0 {
		return nil
	}
	return append(actions, Observed{Lease: lease})
}

// depose ends a held lease after a read showed another owner's write.
func (c *Candidate) depose() []Action {
	held := c.State() == StateHolding
	c.fire(otherOwner)
	if !held {
		return nil
	}
	return []Action{Lost{Epoch: c.epoch, Reason: LossDeposed}}
}

func (c *Candidate) onCommitted(now time.Time, in RowCommitted) []Action {
	if !c.completeCall(in.Call) {
		return nil
	}
	switch in.Result {
	case storeapi.ResultOK:
		write := c.unresolvedWrites[len(c.unresolvedWrites)-1]
		c.unresolvedWrites = nil
		c.row = storeapi.Row{Key: c.key, Value: EncodeLease(write.lease), Version: in.Versions[0]}
		c.lease, c.rowKnown, c.unchangedSince = write.lease, true, now
		var epochVersion storeapi.RowVersion
		if len(in.Versions) > 1 {
			epochVersion = in.Versions[1]
		}
		return c.onConfirmed(now, write.sentAt, epochVersion)
	case storeapi.ResultUnavailable:
		c.unresolvedWrites = c.unresolvedWrites[:len(c.unresolvedWrites)-1]
		c.fire(storeDown)
		return nil
	case storeapi.ResultConflict:
		// The row has another version than the known one, written either by
		// another owner or by an unresolved write of this candidate.
		c.unresolvedWrites = c.unresolvedWrites[:len(c.unresolvedWrites)-1]
		c.fire(checkFailed)
		return c.readRow(now)
	default:
		// The write may still take effect. A read shows whether it has; a further
		// write under the same check resolves it.
		c.fire(writeInDoubt)
		return c.readRow(now)
	}
}

// onConfirmed handles a write of this candidate that took effect. A lost epoch is
// never held again: a renewal that is confirmed after the lease expired leads to
// the next epoch.
func (c *Candidate) onConfirmed(now, sentAt time.Time, epochVersion storeapi.RowVersion) []Action {
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
		c.nextCallAt = now
		return nil
	}
	c.validUntil = until
	c.nextCallAt = sentAt.Add(c.limits.RenewInterval)
	if isRenewal {
		c.fire(renewed)
		return []Action{Renewed{Epoch: c.epoch, ValidUntil: until}}
	}
	c.fire(acquired)
	c.epoch, c.epochVersion = c.lease.Epoch, epochVersion
	return []Action{Acquired{Epoch: c.epoch, ValidUntil: until}}
}

// onStop ends the candidate's ownership before it releases the lease, so that the
// candidate and its successor are never owners at the same time.
func (c *Candidate) onStop(now time.Time) []Action {
	if c.stopping {
		return nil
	}
	c.stopping = true
	c.nextCallAt = now
	held := c.State() == StateHolding
	if !held && len(c.unresolvedWrites) == 0 {
		c.fire(stoppedIdle)
		return []Action{HandedOver{Confirmed: true}}
	}
	c.fire(stopOrdered)
	if !held {
		return nil
	}
	return []Action{Lost{Epoch: c.epoch, Reason: LossHandedOver}}
}
