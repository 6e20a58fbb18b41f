package retry

import "testing"

// A backend server that fails every request multiplies the load by at most 1 + Ratio.
func TestBudgetBoundsTheLoad(t *testing.T) {
	b := NewBudget(false)
	first, retries := 0, 0
	for range 10_000 {
		first++
		b.OnFirstDispatch()
		for b.TryRetry() {
			retries++
		}
	}
	if load := float64(first+retries) / float64(first); load > 1+Ratio || retries == 0 {
		t.Errorf("load %.3f", load)
	}
}

func TestBudgetSavesUpALimitedNumber(t *testing.T) {
	b := NewBudget(false)
	for range 10_000 {
		b.OnFirstDispatch()
	}
	retries := 0
	for b.TryRetry() {
		retries++
	}
	if retries != MaxSaved || b.HasRetry() {
		t.Errorf("%d retries saved up", retries)
	}
}

func TestDisabledBudgetAllowsEveryRetry(t *testing.T) {
	if b := NewBudget(true); !b.TryRetry() || !b.HasRetry() {
		t.Error("refused")
	}
}
