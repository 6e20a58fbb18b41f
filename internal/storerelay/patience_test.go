package storerelay

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/storeapi"
)

func TestAttemptTimeout(t *testing.T) {
	var p patience
	expect := func(what string, want time.Duration) {
		t.Helper()
		if got := p.next(0); got != want {
			t.Errorf("%s: waits %v, want %v", what, got, want)
		}
	}
	expect("nothing is known", shortestTry)
	p.answered(10 * time.Millisecond)
	expect("the store answers soon", shortestTry)
	for range maxDoubts - 1 {
		if p.unanswered() {
			t.Error("a few lost answers count as a failure")
		}
	}
	expect("two tries got no answer", min(4*shortestTry, longestTry))
	if !p.unanswered() {
		t.Error("three tries without an answer do not count as a failure")
	}
	expect("many tries got no answer", longestTry)
	p.answered(10 * time.Millisecond)
	expect("the store answers again", shortestTry)
	for range 10 {
		p.answered(200 * time.Millisecond)
	}
	if got := p.next(0); got < 3*200*time.Millisecond {
		t.Errorf("waits %v for a store that takes 200 ms", got)
	}
}

// TestFewLostResponsesAreNoFailure: the store does what it is asked and loses some
// answers. The next call still goes the direct way; many lost answers in a row
// look like a store that is out of reach.
func TestFewLostResponsesAreNoFailure(t *testing.T) {
	w := newTwoWays(t, func(string) bool { return false })
	w.direct.err = errors.Wrap(storeapi.ErrInDoubt, "no answer")
	for range maxDoubts {
		if w.DirectUnavailable("t/a") {
			t.Fatal("a lost answer counts as a failure of the store")
		}
		if _, err := w.Commit(t.Context(), put("t/a")); !errors.Is(err, storeapi.ErrInDoubt) {
			t.Fatalf("a lost answer gives %v", err)
		}
	}
	if !w.DirectUnavailable("t/a") {
		t.Error("many lost answers in a row do not count as a failure")
	}
}

// TestUnansweredAttemptTimesOutEarly: a try does not wait for a lost answer for as
// long as a slow store may take.
func TestUnansweredAttemptTimesOutEarly(t *testing.T) {
	w := newTwoWays(t, func(string) bool { return false })
	var patient time.Duration
	w.direct.commit = func(deadline time.Time) { patient = time.Until(deadline) }
	if _, err := w.Commit(t.Context(), put("t/a")); err != nil {
		t.Fatal(err)
	}
	if patient <= 0 || patient > shortestTry {
		t.Errorf("the try waits %v, want at most %v", patient, shortestTry)
	}
}

// TestSlowReadsRaiseAttemptTimeout: reads tell that the store has turned slow, so
// the first transaction of a slow spell is not sent twice.
func TestSlowReadsRaiseAttemptTimeout(t *testing.T) {
	w := newTwoWays(t, func(string) bool { return false })
	var patient time.Duration
	w.direct.commit = func(deadline time.Time) { patient = time.Until(deadline) }
	if _, err := w.Commit(t.Context(), put("t/a")); err != nil {
		t.Fatal(err)
	}
	w.direct.slow = 300 * time.Millisecond
	for range 2 {
		if _, err := w.Get(t.Context(), "t/a"); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := w.Commit(t.Context(), put("t/b")); err != nil {
		t.Fatal(err)
	}
	if patient < 800*time.Millisecond {
		t.Errorf("a try waits %v while reads take %v", patient, w.direct.slow)
	}
}
