package scheduler

import (
	"fmt"
	"time"
)

// StoreStatus reports whether the owner's writes reach the table service. While
// they do not, no attempt begins and nothing is preempted, because no decision
// row could be written. Running work, attempts in progress, drains and
// cancellations continue.
type StoreStatus struct{ Reachable bool }

func (StoreStatus) isInput() {}

// storeState is the owner's view of the table service.
type storeState struct {
	// downSince is when the service was first known to be unreachable; zero
	// while it is reachable.
	downSince time.Time
	// pausedUntil is when attempts may begin again after a decision row could
	// not be written.
	pausedUntil time.Time
	// rampUntil is when the period after an outage ends in which
	// Settings.MaxStartsPerTick also limits claims.
	rampUntil time.Time
}

const (
	// failedWritePause is how long no attempt begins after a decision row
	// could not be written. It covers the time until StoreStatus reports the
	// outage.
	failedWritePause = time.Second
	// claimRamp is how long the starts of claims are limited after an outage.
	claimRamp = 5 * time.Second
)

func (c *Core) storeStatus(now time.Time, in StoreStatus) {
	switch {
	case in.Reachable && !c.store.downSince.IsZero():
		c.store = storeState{rampUntil: now.Add(claimRamp)}
		c.scheduleDue = true
	case !in.Reachable && c.store.downSince.IsZero():
		c.store.downSince = now
	}
}

// pauseAttempts stops new attempts for failedWritePause after a decision row
// could not be written.
func (c *Core) pauseAttempts(now time.Time) {
	c.store.pausedUntil = now.Add(failedWritePause)
	c.store.rampUntil = now.Add(failedWritePause + claimRamp)
}

// mayStartAttempts reports whether the state of the table service allows new
// attempts.
func (c *Core) mayStartAttempts(now time.Time) bool {
	return c.store.downSince.IsZero() && !now.Before(c.store.pausedUntil)
}

// mayClaim reports whether another claim may begin before the next tick, and
// counts it against the limit.
func (c *Core) mayClaim(now time.Time) bool {
	if !now.Before(c.store.rampUntil) {
		return true
	}
	if c.startsLeft <= 0 {
		return false
	}
	c.startsLeft--
	return true
}

// whyStoreUnavailable returns why the table service prevents new attempts;
// empty if it does not.
func (c *Core) whyStoreUnavailable(now time.Time) string {
	switch {
	case !c.store.downSince.IsZero():
		return fmt.Sprintf("the table service has been out of reach since %s; nothing is started, and nothing is stopped for others, until decisions can be written",
			c.store.downSince.UTC().Format(time.RFC3339))
	case now.Before(c.store.pausedUntil):
		return "the table service did not take a decision; the next ones are tried in a moment"
	default:
		return ""
	}
}
