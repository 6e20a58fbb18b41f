// Package retry limits how much load repeated dispatches add. It is pure.
package retry

// Ratio is the share of first dispatches that may be dispatched again: in the
// steady state retries multiply the load by at most 1 + Ratio.
const Ratio = 0.1

// MaxSaved bounds the retries that are saved up in quiet times.
const MaxSaved = 10

// Budget is a token bucket that first dispatches fill and retries drain.
type Budget struct {
	tokens   float64
	disabled bool
}

// NewBudget returns an empty budget. A disabled one allows every retry.
func NewBudget(disabled bool) *Budget { return &Budget{disabled: disabled} }

// OnFirstDispatch counts a first dispatch.
func (b *Budget) OnFirstDispatch() {
	b.tokens = min(b.tokens+Ratio, MaxSaved)
}

// TryRetry takes one retry out of the budget, if there is one.
func (b *Budget) TryRetry() bool {
	if b.disabled {
		return true
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// HasRetry reports whether TryRetry would succeed.
func (b *Budget) HasRetry() bool { return b.disabled || b.tokens >= 1 }
