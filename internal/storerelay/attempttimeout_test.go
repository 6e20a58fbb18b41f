package storerelay

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/storeapi"
)

func TestAttemptTimeout(t *testing.T) {
	var p attemptTimeout
	expect := func(what string, want time.Duration) {
		t.Helper()
		if got := p.next(0); got != want {
			t.Errorf("%s: timeout %v, want %v", what, got, want)
		}
	}
	expect("no latency is known", minAttemptTimeout)
	p.recordLatency(10 * time.Millisecond)
	expect("the store responds fast", minAttemptTimeout)
	for range maxUnansweredAttempts - 1 {
		if p.recordUnanswered() {
			t.Error("a few lost responses count as a failure")
		}
	}
	expect("two attempts got no response", min(4*minAttemptTimeout, maxAttemptTimeout))
	if !p.recordUnanswered() {
		t.Error("three attempts without a response do not count as a failure")
	}
	expect("many attempts got no response", maxAttemptTimeout)
	p.recordLatency(10 * time.Millisecond)
	expect("the store responds again", minAttemptTimeout)
	for range 10 {
		p.recordLatency(200 * time.Millisecond)
	}
	if got := p.next(0); got < 3*200*time.Millisecond {
		t.Errorf("timeout %v for a store that takes 200 ms", got)
	}
}

// TestFewLostResponsesAreNoFailure: the store commits transactions but loses some
// responses. Calls stay direct until maxUnansweredAttempts consecutive responses
// are lost, which indicates an unreachable store.
func TestFewLostResponsesAreNoFailure(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return false })
	w.direct.err = errors.Wrap(storeapi.ErrInDoubt, "no answer")
	for range maxUnansweredAttempts {
		if w.DirectUnavailable("t/a") {
			t.Fatal("a lost response counts as a failure of the store")
		}
		if _, err := w.Commit(t.Context(), put("t/a")); !errors.Is(err, storeapi.ErrInDoubt) {
			t.Fatalf("a lost response gives %v", err)
		}
	}
	if !w.DirectUnavailable("t/a") {
		t.Error("many consecutive lost responses do not count as a failure")
	}
}

// TestUnansweredAttemptTimesOutEarly guards against an attempt that waits for a
// lost response as long as a slow store may take.
func TestUnansweredAttemptTimesOutEarly(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return false })
	var timeout time.Duration
	w.direct.onCommit = func(deadline time.Time) { timeout = time.Until(deadline) }
	if _, err := w.Commit(t.Context(), put("t/a")); err != nil {
		t.Fatal(err)
	}
	if timeout <= 0 || timeout > minAttemptTimeout {
		t.Errorf("the attempt's timeout is %v, want at most %v", timeout, minAttemptTimeout)
	}
}

// TestSlowReadsRaiseAttemptTimeout guards against sending the first transaction of
// a slowdown twice: slow reads before it must raise its timeout.
func TestSlowReadsRaiseAttemptTimeout(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return false })
	var timeout time.Duration
	w.direct.onCommit = func(deadline time.Time) { timeout = time.Until(deadline) }
	if _, err := w.Commit(t.Context(), put("t/a")); err != nil {
		t.Fatal(err)
	}
	w.direct.readDelay = 300 * time.Millisecond
	for range 2 {
		if _, err := w.Get(t.Context(), "t/a"); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := w.Commit(t.Context(), put("t/b")); err != nil {
		t.Fatal(err)
	}
	if timeout < 800*time.Millisecond {
		t.Errorf("an attempt's timeout is %v while reads take %v", timeout, w.direct.readDelay)
	}
}
