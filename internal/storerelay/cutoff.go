package storerelay

import "time"

// Load pattern: the store turns this host away, in silence, and serves the others.
// Each part would be found out by itself, after two seconds of unanswered
// transactions. A submission goes to one of sixteen parts of the inbox, and its
// caller waits for three seconds.

// cutOffParts is the number of parts whose direct calls failed, with no answer to
// any other direct call since, from which the host counts as turned away by the
// whole store. One part alone may be away.
const cutOffParts = 2

// cutOff reports whether the store seems to turn this host away for all parts. The
// caller holds c.mu.
func (c *Client) cutOff() bool {
	lost := 0
	for _, f := range c.failingParts {
		if f.since.After(c.answeredAt) {
			lost++
		}
	}
	return lost >= cutOffParts
}

// recordAnswer records that the store answered a direct call at a time.
func (c *Client) recordAnswer(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredAt = at
}
