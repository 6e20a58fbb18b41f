package tablestore

import "time"

// reservedFraction is the fraction of a rate limit that roster members leave to
// processes that not all of them know yet.
const reservedFraction = 0.1

// burstFraction is the fraction of a rate share that may be used in one burst.
const burstFraction = 0.25

// RateShare returns how many calls a second one process may make, so that all
// processes together stay within limit. A confirmed member of a roster of the
// given size gets an equal part of the limit minus the reserved fraction. A
// process that is not yet confirmed gets unconfirmedShare, which comes out of the
// reserved fraction.
func RateShare(limit float64, rosterSize int, confirmed bool, unconfirmedShare float64) float64 {
	if !confirmed || rosterSize < 1 {
		return unconfirmedShare
	}
	return limit * (1 - reservedFraction) / float64(rosterSize)
}

// minSharePerSecond is the lower bound of a process's rate share.
const minSharePerSecond = 2

// TokenBucket limits the calls of one process to its rate share: no period of one
// second has more calls than the share, including the first second after an idle
// period.
type TokenBucket struct {
	rate       float64
	burst      float64
	tokens     float64
	lastRefill time.Time
}

// NewTokenBucket returns a full bucket for a share in calls a second, at least
// minSharePerSecond.
func NewTokenBucket(share float64) *TokenBucket {
	b := &TokenBucket{}
	b.SetShare(share)
	b.tokens = b.burst
	return b
}

// SetShare changes the share, in calls a second. Refill rate and burst add up to
// the share, since the first second after an idle period can use both.
func (b *TokenBucket) SetShare(share float64) {
	share = max(share, minSharePerSecond)
	b.burst = max(1, share*burstFraction)
	b.rate = share - b.burst
	b.tokens = min(b.tokens, b.burst)
}

// Take takes a token for one call, or returns how long to wait before trying again.
func (b *TokenBucket) Take(now time.Time) (time.Duration, bool) {
	if b.lastRefill.IsZero() {
		b.lastRefill = now
	}
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+elapsed.Seconds()*b.rate)
		b.lastRefill = now
	}
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	wait := time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
	return max(wait, time.Millisecond), false
}
