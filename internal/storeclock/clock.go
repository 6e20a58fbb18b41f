// Package storeclock maintains bounds of the store's monotonic clock, derived from
// the store times in its answers.
package storeclock

import (
	"sync"
	"time"

	"dragonflyyard/internal/hostclock"
	"dragonflyyard/internal/storeapi"
)

// Clock holds the bounds. It is safe for concurrent use. The zero value is ready
// to use and has no bounds until the first Observe.
//
// Neither bound depends on the host's time of day. While the host is suspended, the
// upper bound advances and the lower one does not.
type Clock struct {
	mu sync.Mutex
	// latestMS bounds the store's time from above when a request was sent, which was
	// latestAt after the host booted.
	latestMS int64
	latestAt time.Duration
	// earliestMS bounds the store's time from below when an answer was received, at
	// earliestAt on the host's steady clock.
	earliestMS int64
	earliestAt time.Time
}

// Observe updates the bounds from an answer that says what the store's time was
// when it was given. The answer with the shortest round trip gives the tightest
// upper bound; a change feed call that waited gives a loose one. A bound that
// contradicts the answer is replaced, since the clocks have drifted apart. An answer
// whose latest time is zero or less is ignored.
func (c *Clock) Observe(answer storeapi.TimeBounds, sent, received hostclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer.LatestMS <= 0 {
		return
	}
	known, ok := c.time(received)
	latestMS := answer.LatestMS + (received.SinceBoot - sent.SinceBoot).Milliseconds()
	if !ok || latestMS < known.LatestMS || known.LatestMS < answer.EarliestMS {
		c.latestMS, c.latestAt = answer.LatestMS, sent.SinceBoot
	}
	if !ok || answer.EarliestMS > known.EarliestMS || known.EarliestMS > latestMS {
		c.earliestMS, c.earliestAt = answer.EarliestMS, received.Steady
	}
}

// Time returns the bounds of the store's time at now, and false before the first
// observed answer.
func (c *Clock) Time(now hostclock.Instant) (storeapi.TimeBounds, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.time(now)
}

func (c *Clock) time(now hostclock.Instant) (storeapi.TimeBounds, bool) {
	if c.earliestAt.IsZero() {
		return storeapi.TimeBounds{}, false
	}
	return storeapi.TimeBounds{
		EarliestMS: c.earliestMS + now.Steady.Sub(c.earliestAt).Milliseconds(),
		LatestMS:   c.latestMS + (now.SinceBoot - c.latestAt).Milliseconds(),
	}, true
}
