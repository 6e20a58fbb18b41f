package tablestore

import "time"

// reserveShare is the part of a limit that the members of the roster leave to
// processes that are not yet known to all of them.
const reserveShare = 0.1

// burstShare is the part of a share that may be used at once.
const burstShare = 0.25

// RateShare returns how many calls a second one process may make, so that all
// processes together stay within limit. A confirmed member of a roster of the
// given size gets an even part of the limit less the reserve. A process that
// is not yet confirmed gets newcomer, which comes out of the reserve.
func RateShare(limit float64, rosterSize int, confirmed bool, newcomer float64) float64 {
	if !confirmed || rosterSize < 1 {
		return newcomer
	}
	return limit * (1 - reserveShare) / float64(rosterSize)
}

// minShare is the lowest share of a process, in calls a second.
const minShare = 2

// TokenBucket limits the calls of one process to a share: no second holds more
// calls than the share, the first one after an idle time included.
type TokenBucket struct {
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

// NewTokenBucket returns a full bucket for a share in calls a second, at least minShare.
func NewTokenBucket(share float64) *TokenBucket {
	b := &TokenBucket{}
	b.SetShare(share)
	b.tokens = b.burst
	return b
}

// SetShare changes the share. Rate and burst add up to it, since a second
// after an idle time can hold both.
func (b *TokenBucket) SetShare(share float64) {
	share = max(share, minShare)
	b.burst = max(1, share*burstShare)
	b.rate = share - b.burst
	b.tokens = min(b.tokens, b.burst)
}

// Take takes one call, or returns how long to wait before the next try.
func (b *TokenBucket) Take(now time.Time) (time.Duration, bool) {
	if b.last.IsZero() {
		b.last = now
	}
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+elapsed.Seconds()*b.rate)
		b.last = now
	}
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	wait := time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
	return max(wait, time.Millisecond), false
}
