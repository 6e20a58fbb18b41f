// Package storeclock maintains an upper bound of the store's monotonic clock,
// derived from the store times in its answers.
package storeclock

import (
	"sync"
	"time"
)

// Clock holds the upper bound. It is safe for concurrent use. The zero value is
// ready to use and has no bound until the first Observe.
type Clock struct {
	mu sync.Mutex
	// storeMS is the store's time in milliseconds as of an answer, and sentAt the
	// local time at which the request of that answer was sent.
	storeMS int64
	sentAt  time.Time
}

// Observe updates the bound from an answer received at now that carries the
// store's time storeMS; its request was sent at sentAt. The answer with the
// shortest round trip gives the tightest bound; a change feed call that waited
// gives a loose one. If the bound is below storeMS, the clocks have drifted apart
// and the bound is replaced. A storeMS of zero or less is ignored.
func (c *Clock) Observe(storeMS int64, sentAt, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if storeMS <= 0 {
		return
	}
	currentBound, known := c.time(now)
	newBound := storeMS + elapsedMS(sentAt, now)
	if !known || newBound < currentBound || currentBound < storeMS {
		c.storeMS, c.sentAt = storeMS, sentAt
	}
}

// Time returns an upper bound of the store's time at now in milliseconds, and
// false before the first observed answer.
func (c *Clock) Time(now time.Time) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.time(now)
}

func (c *Clock) time(now time.Time) (int64, bool) {
	if c.sentAt.IsZero() {
		return 0, false
	}
	return c.storeMS + elapsedMS(c.sentAt, now), true
}

// elapsedMS returns the milliseconds from since to now. The local monotonic clock
// stops while the machine is suspended and the wall clock does not, so the longer
// of the two durations counts.
func elapsedMS(since, now time.Time) int64 {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0))).Milliseconds()
}
