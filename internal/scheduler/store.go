package scheduler

import (
	"fmt"
	"time"
)

// StoreStatus tells the owner whether its writes reach the table service. While
// they do not, no attempt begins and nothing is stopped for another job, since
// no decision row could be written. Running work, attempts under way, drains
// and cancellations go on.
type StoreStatus struct{ Reachable bool }

func (StoreStatus) isInput() {}

// storeState is what the owner knows of the table service.
type storeState struct {
	// downSince is when the service was first known to be out of reach; zero
	// while it is reachable.
	downSince time.Time
	// heldUntil is when attempts may begin again after a decision row could not
	// be written.
	heldUntil time.Time
	// rampUntil is the end of the time after an outage in which claims are
	// bounded by Settings.MaxStartsPerTick as well.
	rampUntil time.Time
}

const (
	// storeHold is how long no attempt begins after a decision row could not be
	// written. It bridges the time until StoreStatus tells of the outage.
	storeHold = time.Second
	// storeRamp is how long the starts of claims are bounded after an outage.
	storeRamp = 5 * time.Second
)

func (c *Core) storeStatus(now time.Time, in StoreStatus) {
	switch {
	case in.Reachable && !c.store.downSince.IsZero():
		c.store = storeState{rampUntil: now.Add(storeRamp)}
		c.scheduleDue = true
	case !in.Reachable && c.store.downSince.IsZero():
		c.store.downSince = now
	}
}

// noteUnwritten holds attempts back after a decision row could not be written.
func (c *Core) noteUnwritten(now time.Time) {
	c.store.heldUntil = now.Add(storeHold)
	c.store.rampUntil = now.Add(storeHold + storeRamp)
}

// mayDecide reports whether attempts may begin.
func (c *Core) mayDecide(now time.Time) bool {
	return c.store.downSince.IsZero() && !now.Before(c.store.heldUntil)
}

// mayClaim reports whether one more claim may begin before the next tick, and
// counts it.
func (c *Core) mayClaim(now time.Time) bool {
	if !now.Before(c.store.rampUntil) {
		return true
	}
	if c.starts <= 0 {
		return false
	}
	c.starts--
	return true
}

// whyUndecided says in words that decisions wait for the table service.
func (c *Core) whyUndecided(now time.Time) string {
	switch {
	case !c.store.downSince.IsZero():
		return fmt.Sprintf("the table service has been out of reach since %s; nothing is started, and nothing is stopped for others, until decisions can be written",
			c.store.downSince.UTC().Format(time.RFC3339))
	case now.Before(c.store.heldUntil):
		return "the table service did not take a decision; the next ones are tried in a moment"
	default:
		return ""
	}
}
