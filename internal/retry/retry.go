// Package retry limits the load that retries add, with a token bucket. It performs no
// I/O and reads no clock.
package retry

// Ratio is the number of retries that each first dispatch adds to the budget: in the
// steady state, retries multiply the load by at most 1 + Ratio.
const Ratio = 0.1

// MaxTokens bounds the retries that accumulate while few are needed.
const MaxTokens = 10

// Budget is a token bucket: first dispatches add tokens and retries consume them. It
// is not safe for concurrent use.
type Budget struct {
	tokens   float64
	disabled bool
}

// NewBudget returns an empty budget. A disabled budget allows every retry.
func NewBudget(disabled bool) *Budget { return &Budget{disabled: disabled} }

// OnFirstDispatch adds Ratio tokens for a first dispatch, up to MaxTokens.
func (b *Budget) OnFirstDispatch() {
	b.tokens = min(b.tokens+Ratio, MaxTokens)
}

// TryRetry consumes one token and returns true, or returns false if there is none.
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
