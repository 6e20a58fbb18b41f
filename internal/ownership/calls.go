package ownership

import (
	"time"

	"dragonflyyard/internal/storeapi"
)

// callLimit is how long a candidate waits for the result of a call. It is far
// longer than the deadline of any call.
const callLimit = 10 * time.Second

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

// renew writes the row anew under the held epoch.
func (c *Candidate) renew(now time.Time) []Action {
	c.fire(renewalDue)
	c.nextCall = now.Add(c.limits.RenewInterval)
	return c.write(now, Lease{Epoch: c.epoch})
}

// release writes that the lease was given up, until that is confirmed, the row
// shows another owner, or the tries are used up.
func (c *Candidate) release(now time.Time) []Action {
	mine := c.lease.Owner == c.id && c.lease.Incarnation == c.incarnation
	if c.releaseTries >= c.limits.MaxReleaseAttempts || (!mine && len(c.writes) == 0) {
		c.fire(givenUp)
		return []Action{HandedOver{Confirmed: !mine}}
	}
	c.releaseTries++
	c.nextCall = now.Add(c.limits.PollInterval)
	return c.write(now, Lease{Epoch: c.lease.Epoch, Released: true})
}

// follow reads the row, or takes the lease when it is free.
func (c *Candidate) follow(now time.Time) []Action {
	if c.barred || !c.isFree(now) {
		return c.read(now)
	}
	c.fire(candidateDue)
	c.nextCall = now.Add(c.limits.PollInterval)
	return c.write(now, Lease{Epoch: c.lease.Epoch + 1})
}

// isFree reports whether the row's lease may be taken.
func (c *Candidate) isFree(now time.Time) bool { return !now.Before(c.freeAt()) }

// freeAt returns from when the row's lease may be taken: at once when it is this
// host's own, lapsed or of an ended process, otherwise when it was released or
// did not change for a lease's time. A candidate that defers to others waits longer.
func (c *Candidate) freeAt() time.Time {
	if c.row.Version == 0 || c.lease.Owner == c.id {
		// A host runs one process at a time, so a former incarnation has ended.
		return c.unchangedSince
	}
	wait := c.deferral
	if !c.lease.Released {
		wait += c.limits.Duration + c.limits.ClockDriftMargin
	}
	return c.unchangedSince.Add(wait)
}

// read reads the row, as each poll does. The next call is due after the poll
// interval, or once the lease may be taken if that is sooner; calls are not closer
// than the interval of the limits.
func (c *Candidate) read(now time.Time) []Action {
	c.nextCall = now.Add(c.pollEvery)
	if free := c.freeAt(); c.rowKnown && free.Before(c.nextCall) {
		c.nextCall = latest(free, now.Add(c.limits.PollInterval))
	}
	return c.readNow(now)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// readNow reads without waiting for the next poll.
func (c *Candidate) readNow(now time.Time) []Action {
	return []Action{ReadRow{Call: c.newCall(now), Key: c.key}}
}

// write commits a lease under a check of the row's version. A lease of another
// epoch is written together with the epoch's row.
func (c *Candidate) write(now time.Time, lease Lease) []Action {
	c.lastWrite++
	lease.Owner, lease.Incarnation, lease.Write = c.id, c.incarnation, c.lastWrite
	c.writes = append(c.writes, sentWrite{lease: lease, sentAt: now})
	tx := storeapi.Transaction{
		Checks: []storeapi.Check{{Key: c.key, Version: c.row.Version}},
		Puts:   []storeapi.Put{{Key: c.key, Value: EncodeLease(lease)}},
	}
	if lease.Epoch != c.lease.Epoch {
		tx.Puts = append(tx.Puts, storeapi.Put{Key: c.epochKey, Value: EncodeLease(lease)})
		if c.member.Key != "" {
			tx.Checks = append(tx.Checks, c.member)
		}
	}
	return []Action{CommitRow{Call: c.newCall(now), Transaction: tx}}
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

func (c *Candidate) newCall(now time.Time) uint64 {
	c.lastCall++
	c.pending, c.pendingAt = c.lastCall, now
	return c.pending
}

// giveUpCall ends a call whose result never came. A write stays in doubt.
func (c *Candidate) giveUpCall(now time.Time) {
	if c.pending != 0 && now.Sub(c.pendingAt) >= callLimit {
		c.pending = 0
	}
}

// finish ends the outstanding call. It returns false for any other call.
func (c *Candidate) finish(call uint64) bool {
	if c.pending == 0 || c.pending != call {
		return false
	}
	c.pending = 0
	return true
}
