package ownership

import (
	"time"

	"dragonflyyard/internal/storeapi"
)

// callTimeout is how long a candidate waits for the result of a call before it
// makes another one. It is far longer than the deadline of any call.
const callTimeout = 10 * time.Second

// next returns the next call to the table service, or nil if none is due.
func (c *Candidate) next(now time.Time) []Action {
	if c.pendingCall != 0 || c.machine.Done() || now.Before(c.nextCallAt) {
		return nil
	}
	if !c.rowKnown {
		return c.poll(now)
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

// renew rewrites the lease row under the held epoch.
func (c *Candidate) renew(now time.Time) []Action {
	c.fire(renewalDue)
	c.nextCallAt = now.Add(c.limits.RenewInterval)
	return c.write(now, Lease{Epoch: c.epoch})
}

// release writes the lease as released. It retries until the write is confirmed,
// the row shows another owner, or MaxReleaseAttempts is reached.
func (c *Candidate) release(now time.Time) []Action {
	isOwner := c.lease.Owner == c.id && c.lease.Incarnation == c.incarnation
	if c.releaseAttempts >= c.limits.MaxReleaseAttempts || (!isOwner && len(c.unresolvedWrites) == 0) {
		c.fire(givenUp)
		return []Action{HandedOver{Confirmed: !isOwner}}
	}
	c.releaseAttempts++
	c.nextCallAt = now.Add(c.limits.PollInterval)
	return c.write(now, Lease{Epoch: c.lease.Epoch, Released: true})
}

// follow reads the row, or acquires the lease if it is free and this candidate
// is eligible.
func (c *Candidate) follow(now time.Time) []Action {
	if c.ineligible || !c.isFree(now) {
		return c.poll(now)
	}
	c.fire(candidateDue)
	c.nextCallAt = now.Add(c.limits.PollInterval)
	return c.write(now, Lease{Epoch: c.lease.Epoch + 1})
}

// isFree reports whether the lease may be acquired.
func (c *Candidate) isFree(now time.Time) bool { return !now.Before(c.freeAt()) }

// freeAt returns the time from which the lease may be acquired. A row that does
// not exist, or whose lease this host owned, is free at once. A released lease is
// free after the takeover delay, and any other once the row has also been
// unchanged for the lease duration and the clock drift margin.
func (c *Candidate) freeAt() time.Time {
	if c.row.Version == 0 || c.lease.Owner == c.id {
		// A host runs one process at a time, so its earlier incarnation has ended.
		return c.unchangedSince
	}
	wait := c.takeoverDelay
	if !c.lease.Released {
		wait += c.limits.Duration + c.limits.ClockDriftMargin
	}
	return c.unchangedSince.Add(wait)
}

// poll reads the row. The next call is due after the poll interval, or when the
// lease becomes free if that is sooner, but no sooner than Limits.PollInterval.
func (c *Candidate) poll(now time.Time) []Action {
	c.nextCallAt = now.Add(c.pollInterval)
	if freeAt := c.freeAt(); c.rowKnown && freeAt.Before(c.nextCallAt) {
		c.nextCallAt = latest(freeAt, now.Add(c.limits.PollInterval))
	}
	return c.readRow(now)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// readRow reads the row without changing when the next poll is due.
func (c *Candidate) readRow(now time.Time) []Action {
	return []Action{ReadRow{Call: c.newCall(now), Key: c.key}}
}

// write commits a lease under a check of the row's version. A lease that starts
// an epoch is written together with the epoch row, under the membership check.
func (c *Candidate) write(now time.Time, lease Lease) []Action {
	c.lastWrite++
	lease.Owner, lease.Incarnation, lease.Write = c.id, c.incarnation, c.lastWrite
	c.unresolvedWrites = append(c.unresolvedWrites, sentWrite{lease: lease, sentAt: now})
	tx := storeapi.Transaction{
		Checks: []storeapi.Check{{Key: c.key, Version: c.row.Version}},
		Puts:   []storeapi.Put{{Key: c.key, Value: EncodeLease(lease)}},
	}
	if lease.Epoch != c.lease.Epoch {
		tx.Puts = append(tx.Puts, storeapi.Put{Key: c.epochKey, Value: EncodeLease(lease)})
		if c.memberCheck.Key != "" {
			tx.Checks = append(tx.Checks, c.memberCheck)
		}
	}
	return []Action{CommitRow{Call: c.newCall(now), Transaction: tx}}
}

// resolveWrite returns when the unresolved write that produced the lease was
// sent, or false if none did. It clears the unresolved writes if one matches.
func (c *Candidate) resolveWrite(lease Lease) (time.Time, bool) {
	for _, write := range c.unresolvedWrites {
		if write.lease == lease {
			c.unresolvedWrites = nil
			return write.sentAt, true
		}
	}
	return time.Time{}, false
}

func (c *Candidate) newCall(now time.Time) uint64 {
	c.lastCall++
	c.pendingCall, c.pendingAt = c.lastCall, now
	return c.pendingCall
}

// expireCall abandons the pending call after callTimeout. A write whose call is
// abandoned stays unresolved.
func (c *Candidate) expireCall(now time.Time) {
	if c.pendingCall != 0 && now.Sub(c.pendingAt) >= callTimeout {
		c.pendingCall = 0
	}
}

// completeCall ends the pending call. It returns false for any other call.
func (c *Candidate) completeCall(call uint64) bool {
	if c.pendingCall == 0 || c.pendingCall != call {
		return false
	}
	c.pendingCall = 0
	return true
}
