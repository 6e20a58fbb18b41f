package ownership

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/platform"
	"dragonflyyard/internal/statechart"
)

// Candidate is one entry host's part in the ownership of a region's scheduler.
// At most one call to the table service is outstanding at any time.
type Candidate struct {
	limits      Limits
	key         string
	epochKey    string
	id          model.EntryID
	incarnation model.Incarnation

	machine statechart.Machine
	// trace is told of each transition; nil for none.
	trace func(statechart.Transition)
	epoch model.Epoch
	// epochVersion is the version of the row that the start of the epoch wrote.
	epochVersion platform.RowVersion
	// validUntil is the end of the held lease.
	validUntil time.Time

	row      platform.Row
	lease    Lease
	rowKnown bool
	// unchangedSince is when the row's present version was first received.
	unchangedSince time.Time

	lastCall uint64
	// pending is the number of the outstanding call, zero for none.
	pending  uint64
	nextCall time.Time
	stopping bool
	tries    int

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

// Check returns the precondition that fences a write of the owner: no later
// epoch began. It stays the same over renewals of one epoch.
func (c *Candidate) Check() platform.Check {
	return platform.Check{Key: c.epochKey, Version: c.epochVersion}
}

// LastLease returns the lease that was last read or written, and whether any was.
func (c *Candidate) LastLease() (Lease, bool) { return c.lease, c.rowKnown }

// Step takes one input and returns the actions to do, in order.
func (c *Candidate) Step(now time.Time, in Input) []Action {
	actions := c.lapse(now)
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
	return []Action{Lost{Epoch: c.epoch, Reason: LossLapsed}}
}

func (c *Candidate) onRead(now time.Time, in RowRead) []Action {
	if !c.finish(in.Call) {
		return nil
	}
	if in.Result != ResultOK {
		return nil
	}
	return c.observe(now, in.Row)
}

// observe takes in the row as it was read.
func (c *Candidate) observe(now time.Time, row platform.Row) []Action {
	if c.rowKnown && row.Version == c.row.Version {
		return nil
	}
	lease, err := DecodeLease(row)
	if err != nil {
		// A row that cannot be read is nobody's lease: it is taken over after
		// its time, under the next epoch that this candidate knows of.
		lease = Lease{Epoch: c.lease.Epoch}
	}
	c.row, c.lease, c.rowKnown = row, lease, true
	c.unchangedSince = now
	if sentAt, mine := c.takeWrite(lease); mine {
		return c.landed(now, sentAt)
	}
	c.writes = nil
	if c.isFree(now) {
		c.nextCall = now
	}
	return append(c.deposed(), Observed{Lease: lease})
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
	case ResultOK:
		write := c.writes[len(c.writes)-1]
		c.writes = nil
		c.row = platform.Row{Key: c.key, Value: EncodeLease(write.lease), Version: in.Versions[0]}
		c.lease, c.rowKnown, c.unchangedSince = write.lease, true, now
		if len(in.Versions) > 1 {
			c.epochVersion = in.Versions[1]
		}
		return c.confirmed(now, write.sentAt)
	case ResultUnavailable:
		c.writes = c.writes[:len(c.writes)-1]
		c.fire(storeDown)
		return nil
	case ResultConflict:
		// The row has another version than the one known. It is either another
		// owner's, or one of this candidate's writes that was in doubt.
		c.writes = c.writes[:len(c.writes)-1]
		c.fire(checkFailed)
		return c.readNow()
	default:
		// The write may still take effect. Reading back tells when it did; a
		// further write under the same check settles it.
		c.fire(writeInDoubt)
		return c.readNow()
	}
}

// landed takes in a write in doubt that was found in the row. A renewal counts.
// An acquisition does not, as the version of its epoch row is not known: the
// candidate holds the row and begins the next epoch at once.
func (c *Candidate) landed(now, sentAt time.Time) []Action {
	isRenewal := c.State() == StateHolding && c.lease.Epoch == c.epoch
	if isRenewal || c.lease.Released {
		return c.confirmed(now, sentAt)
	}
	c.nextCall = now
	return nil
}

// confirmed takes in a write of this candidate that took effect.
func (c *Candidate) confirmed(now, sentAt time.Time) []Action {
	if c.lease.Released {
		c.fire(releaseConfirmed)
		return []Action{HandedOver{Confirmed: true}}
	}
	until := sentAt.Add(c.limits.Duration)
	if c.stopping || !now.Before(until) {
		return nil
	}
	c.validUntil = until
	c.nextCall = sentAt.Add(c.limits.RenewEvery)
	if c.State() == StateHolding && c.epoch == c.lease.Epoch {
		c.fire(renewed)
		return []Action{Extended{Epoch: c.epoch, ValidUntil: until}}
	}
	c.fire(acquired)
	c.epoch = c.lease.Epoch
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

// next returns the next call to the table service, when one is due.
func (c *Candidate) next(now time.Time) []Action {
	if c.pending != 0 || c.machine.Done() || now.Before(c.nextCall) {
		return nil
	}
	if !c.rowKnown {
		return c.read(now)
	}
	switch c.State() {
	case StateHolding:
		return c.renew(now)
	case StateHandingOver:
		return c.release(now)
	default:
		return c.follow(now)
	}
}

func (c *Candidate) renew(now time.Time) []Action {
	c.fire(renewalDue)
	c.nextCall = now.Add(c.limits.RenewEvery)
	return c.write(now, Lease{Epoch: c.epoch})
}

func (c *Candidate) release(now time.Time) []Action {
	mine := c.lease.Owner == c.id && c.lease.Incarnation == c.incarnation
	if c.tries >= c.limits.HandOverTries || (!mine && len(c.writes) == 0) {
		c.fire(givenUp)
		return []Action{HandedOver{Confirmed: !mine}}
	}
	c.tries++
	c.nextCall = now.Add(c.limits.PollEvery)
	return c.write(now, Lease{Epoch: c.lease.Epoch, Released: true})
}

// follow reads the row, or takes the lease when it is free.
func (c *Candidate) follow(now time.Time) []Action {
	if !c.isFree(now) {
		return c.read(now)
	}
	c.fire(candidateDue)
	c.nextCall = now.Add(c.limits.PollEvery)
	return c.write(now, Lease{Epoch: c.lease.Epoch + 1})
}

// isFree reports whether the row's lease may be taken: it was released, it is
// this process's own lapsed one, or it did not change for a lease's time.
func (c *Candidate) isFree(now time.Time) bool {
	if c.row.Version == 0 || c.lease.Released {
		return true
	}
	if c.lease.Owner == c.id && c.lease.Incarnation == c.incarnation {
		return true
	}
	return now.Sub(c.unchangedSince) >= c.limits.Duration+c.limits.Margin
}

func (c *Candidate) read(now time.Time) []Action {
	c.nextCall = now.Add(c.limits.PollEvery)
	return []Action{ReadRow{Call: c.newCall(), Key: c.key}}
}

// readNow reads without waiting for the next poll.
func (c *Candidate) readNow() []Action {
	return []Action{ReadRow{Call: c.newCall(), Key: c.key}}
}

func (c *Candidate) write(now time.Time, lease Lease) []Action {
	c.lastWrite++
	lease.Owner, lease.Incarnation, lease.Write = c.id, c.incarnation, c.lastWrite
	c.writes = append(c.writes, sentWrite{lease: lease, sentAt: now})
	tx := platform.Transaction{
		Checks: []platform.Check{{Key: c.key, Version: c.row.Version}},
		Puts:   []platform.Put{{Key: c.key, Value: EncodeLease(lease)}},
	}
	if lease.Epoch != c.lease.Epoch {
		tx.Puts = append(tx.Puts, platform.Put{Key: c.epochKey, Value: EncodeLease(lease)})
	}
	return []Action{CommitRow{Call: c.newCall(), Transaction: tx}}
}

// takeWrite finds the write in doubt that made a lease.
func (c *Candidate) takeWrite(lease Lease) (time.Time, bool) {
	for _, write := range c.writes {
		if write.lease == lease {
			c.writes = nil
			return write.sentAt, true
		}
	}
	return time.Time{}, false
}

func (c *Candidate) newCall() uint64 {
	c.lastCall++
	c.pending = c.lastCall
	return c.pending
}

// finish ends the outstanding call. It returns false for any other call.
func (c *Candidate) finish(call uint64) bool {
	if c.pending == 0 || c.pending != call {
		return false
	}
	c.pending = 0
	return true
}
