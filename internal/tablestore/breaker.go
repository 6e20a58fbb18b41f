// Package tablestore is the client of the platform's table service and object
// store. It limits the load on them: each call has a deadline, retries are
// jittered and limited by a retry budget, a circuit breaker guards each service,
// and each process is limited to its share of the rate that all processes
// together may use. Concurrent reads of the same row share one call, and
// independent transactions are batched into one commit call.
//
// Breaker, TokenBucket, RetryBudget and Coalescer are deterministic: they take
// the current time as an argument and do no I/O.
package tablestore

import "time"

// BreakerLimits configures a Breaker.
type BreakerLimits struct {
	// FailureThreshold is the number of consecutive failures that opens the breaker.
	FailureThreshold int
	// OpenDuration is how long an open breaker rejects calls before it allows a
	// probe. The actual time is random, between half of it and all of it.
	OpenDuration time.Duration
}

// BreakerState is the state of a Breaker.
type BreakerState string

// States of a breaker. BreakerProbing is the half-open state.
const (
	BreakerClosed  BreakerState = "closed"
	BreakerOpen    BreakerState = "open"
	BreakerProbing BreakerState = "probing"
)

// Breaker is a circuit breaker: it rejects calls to a failing service and probes
// it with one call at a time. It is not safe for concurrent use.
type Breaker struct {
	limits BreakerLimits
	// random returns a number in [0, 1).
	random   func() float64
	state    BreakerState
	failures int
	// probeAt is when the next probe is allowed while the breaker is not closed.
	probeAt time.Time
}

// NewBreaker returns a closed breaker.
func NewBreaker(limits BreakerLimits, random func() float64) *Breaker {
	return &Breaker{limits: limits, random: random, state: BreakerClosed}
}

// State returns the breaker's state.
func (b *Breaker) State() BreakerState { return b.state }

// Allow reports whether a call may be made now. The caller reports the outcome
// of each allowed call with Success or Failure.
func (b *Breaker) Allow(now time.Time) bool {
	if b.state == BreakerClosed {
		return true
	}
	if b.rejects(now) {
		return false
	}
	b.state = BreakerProbing
	b.probeAt = now.Add(b.limits.OpenDuration)
	return true
}

// rejects reports whether Allow would reject a call now. A probe expires after
// OpenDuration, so that one whose outcome is never reported does not keep the
// breaker rejecting calls forever.
func (b *Breaker) rejects(now time.Time) bool {
	return b.state != BreakerClosed && now.Before(b.probeAt)
}

// Success records a successful call and closes the breaker.
func (b *Breaker) Success() {
	b.state = BreakerClosed
	b.failures = 0
}

// Failure records a failed call. A failed probe reopens the breaker.
func (b *Breaker) Failure(now time.Time) {
	b.failures++
	if b.state == BreakerClosed && b.failures < b.limits.FailureThreshold {
		return
	}
	b.state = BreakerOpen
	wait := time.Duration(float64(b.limits.OpenDuration) * (0.5 + 0.5*b.random()))
	b.probeAt = now.Add(wait)
}
