// Package storeclock keeps an upper bound of the store's steady clock.
package storeclock

import (
	"sync"
	"time"
)

// Clock is safe for concurrent use. The zero value knows nothing.
type Clock struct {
	mu sync.Mutex
	// ms is the store's time in an answer, and at when the call was sent.
	ms int64
	at time.Time
}

// Observe takes in the store's time of an answer to a call. Of several answers
// the one with the least time under way bounds the clock best: a feed that
// waited says little. A bound below what the store says has drifted and is
// replaced.
func (c *Clock) Observe(storeMS int64, sentAt, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if storeMS <= 0 {
		return
	}
	present, known := c.time(now)
	bound := storeMS + elapsedMS(sentAt, now)
	if !known || bound < present || present < storeMS {
		c.ms, c.at = storeMS, sentAt
	}
}

// Time returns an upper bound of the store's time in milliseconds, and false
// before the first answer.
func (c *Clock) Time(now time.Time) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.time(now)
}

func (c *Clock) time(now time.Time) (int64, bool) {
	if c.at.IsZero() {
		return 0, false
	}
	return c.ms + elapsedMS(c.at, now), true
}

// elapsedMS returns the time since an instant. The steady clock stands still
// while a machine is suspended and the time of day does not, so the longer one
// counts.
func elapsedMS(since, now time.Time) int64 {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0))).Milliseconds()
}
