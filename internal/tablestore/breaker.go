// Package tablestore is the client of the platform's table service and object
// store. It bounds all that it does to them: a deadline for each call, retries
// with jitter inside a budget, a circuit breaker, and a share of the rates that
// all processes together may use. Reads of the same row share one call, and
// independent transactions share one commit call.
//
// Breaker, Bucket, RetryBudget and Coalescer are pure: they take the time as an
// argument and do no I/O.
package tablestore

import "time"

// BreakerLimits are the bounds of a Breaker.
type BreakerLimits struct {
	// FailureThreshold is how many failures in a row open the breaker.
	FailureThreshold int
	// OpenDuration is how long an open breaker refuses calls before it lets one
	// through. The time is drawn between half of it and all of it.
	OpenDuration time.Duration
}

// BreakerState is the state of a Breaker.
type BreakerState string

// States of a breaker.
const (
	BreakerClosed  BreakerState = "closed"
	BreakerOpen    BreakerState = "open"
	BreakerProbing BreakerState = "probing"
)

// Breaker refuses calls to a service that fails, and probes it with one call
// at a time.
type Breaker struct {
	limits BreakerLimits
	// random returns a number from 0 up to 1.
	random   func() float64
	state    BreakerState
	failures int
	probeAt  time.Time
}

// NewBreaker returns a closed breaker.
func NewBreaker(limits BreakerLimits, random func() float64) *Breaker {
	return &Breaker{limits: limits, random: random, state: BreakerClosed}
}

// State returns the breaker's state.
func (b *Breaker) State() BreakerState { return b.state }

// Allow reports whether a call may be made now. Each allowed call is followed
// by Success or Failure.
func (b *Breaker) Allow(now time.Time) bool {
	if b.state == BreakerClosed {
		return true
	}
	if b.isShut(now) {
		return false
	}
	b.state = BreakerProbing
	b.probeAt = now.Add(b.limits.OpenDuration)
	return true
}

// isShut reports whether Allow would refuse a call now. An outstanding probe is
// given up after OpenFor, so that one whose result is never reported does not
// keep the breaker shut.
func (b *Breaker) isShut(now time.Time) bool {
	return b.state != BreakerClosed && now.Before(b.probeAt)
}

// Success closes the breaker.
func (b *Breaker) Success() {
	b.state = BreakerClosed
	b.failures = 0
}

// Failure counts a failure. A failed probe opens the breaker again.
func (b *Breaker) Failure(now time.Time) {
	b.failures++
	if b.state == BreakerClosed && b.failures < b.limits.FailureThreshold {
		return
	}
	b.state = BreakerOpen
	wait := time.Duration(float64(b.limits.OpenDuration) * (0.5 + 0.5*b.random()))
	b.probeAt = now.Add(wait)
}
