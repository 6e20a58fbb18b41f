package tablestore

import "time"

// RetryLimits are the bounds of retries.
type RetryLimits struct {
	// InitialBackoff and Longest bound the wait before a retry. It doubles with each try
	// and is drawn between half of its value and all of it.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// MaxAttempts bounds the calls for one operation, the first included.
	MaxAttempts int
	// BudgetRatio is how many retries each first call allows, on average.
	BudgetRatio float64
	// BudgetMax is how many retries can be saved up.
	BudgetMax float64
}

// RetryBudget decides whether a failed call is made again. All operations of a
// client share it, so that retries multiply the load by at most
// 1 + BudgetRatio for long.
type RetryBudget struct {
	limits RetryLimits
	random func() float64
	saved  float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(limits RetryLimits, random func() float64) *RetryBudget {
	return &RetryBudget{limits: limits, random: random, saved: limits.BudgetMax}
}

// RecordOperation counts a first call.
func (r *RetryBudget) RecordOperation() {
	r.saved = min(r.limits.BudgetMax, r.saved+r.limits.BudgetRatio)
}

// NextBackoff returns how long to wait before the next try of an operation that
// failed tries times, and false when there is to be none.
func (r *RetryBudget) NextBackoff(tries int) (time.Duration, bool) {
	if tries >= r.limits.MaxAttempts || r.saved < 1 {
		return 0, false
	}
	r.saved--
	wait := r.limits.MaxBackoff
	if shift := tries - 1; shift < 16 {
		wait = min(wait, r.limits.InitialBackoff<<shift)
	}
	return time.Duration(float64(wait) * (0.5 + 0.5*r.random())), true
}
