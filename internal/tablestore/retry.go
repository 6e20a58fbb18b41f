package tablestore

import "time"

// RetryLimits configures a RetryBudget.
type RetryLimits struct {
	// InitialBackoff and MaxBackoff bound the wait before a retry. The wait doubles
	// with each attempt and is jittered between half of its value and all of it.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// MaxAttempts bounds the calls for one operation, including the first.
	MaxAttempts int
	// BudgetRatio is how many retries each operation adds to the budget.
	BudgetRatio float64
	// BudgetMax is the largest number of unused retries in the budget.
	BudgetMax float64
}

// RetryBudget decides whether a failed call is retried. All operations of a client
// share it, so that over longer periods retries multiply the load by at most
// 1 + BudgetRatio.
type RetryBudget struct {
	limits RetryLimits
	random func() float64
	saved  float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(limits RetryLimits, random func() float64) *RetryBudget {
	return &RetryBudget{limits: limits, random: random, saved: limits.BudgetMax}
}

// RecordOperation adds BudgetRatio to the budget. It is called once for each
// operation, before its first call.
func (r *RetryBudget) RecordOperation() {
	r.saved = min(r.limits.BudgetMax, r.saved+r.limits.BudgetRatio)
}

// NextBackoff takes one retry from the budget and returns how long to wait before
// it. It returns false when an operation that failed the given number of times
// must not be retried.
func (r *RetryBudget) NextBackoff(failedAttempts int) (time.Duration, bool) {
	if failedAttempts >= r.limits.MaxAttempts || r.saved < 1 {
		return 0, false
	}
	r.saved--
	wait := r.limits.MaxBackoff
	if shift := failedAttempts - 1; shift < 16 {
		wait = min(wait, r.limits.InitialBackoff<<shift)
	}
	return time.Duration(float64(wait) * (0.5 + 0.5*r.random())), true
}
