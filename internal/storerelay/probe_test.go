package storerelay

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/storeapi"
)

// TestCallersDoNotTryAFailingPart: a store that is silent holds each call for its
// whole bound. Once one call has found that out, the others go through peers or
// fail at once, however long the store is away.
func TestCallersDoNotTryAFailingPart(t *testing.T) {
	w := newTwoWays(t, func(string) bool { return true })
	w.direct.err = errAway
	for range 3 {
		if _, err := w.Get(t.Context(), "t/a"); !errors.Is(err, storeapi.ErrUnavailable) {
			t.Fatal(err)
		}
		// As long as callers wait between two tries.
		time.Sleep(600 * time.Millisecond)
	}
	if n := w.direct.reads.Load(); n != 1 {
		t.Errorf("the store that is away was asked %d times by callers", n)
	}
}

// TestProbeDetectsRecovery: one part that answers again lets all others be
// asked, of tables and of all parts of a table.
func TestProbeDetectsRecovery(t *testing.T) {
	w := newTwoWays(t, func(string) bool { return true })
	w.direct.err = errAway
	keys := []string{"t/a", "t@p1/a", "t@*/"}
	for _, key := range keys {
		if _, err := w.Scan(t.Context(), key); !errors.Is(err, storeapi.ErrUnavailable) {
			t.Fatal(err)
		}
	}
	w.probe(t.Context(), keys[0])
	for _, key := range keys {
		if !w.DirectUnavailable(key) {
			t.Errorf("%s counts as answering", key)
		}
	}
	w.direct.err = nil
	w.probe(t.Context(), keys[0])
	for _, key := range keys {
		for w.DirectUnavailable(key) {
			if t.Context().Err() != nil {
				t.Fatalf("%s is not asked again", key)
			}
			time.Sleep(time.Millisecond)
		}
	}
	if key, failing := w.nextProbe(time.Now()); failing {
		t.Errorf("%s is still asked", key)
	}
}

// TestProbesAreRoundRobin: failing parts are asked one by one, so that a host asks no
// more often the more of its parts fail.
func TestProbesAreRoundRobin(t *testing.T) {
	w := newTwoWays(t, func(string) bool { return true })
	w.direct.err = errAway
	for _, key := range []string{"t@p1/a", "t@p2/a", "t@p3/a"} {
		_, _ = w.Get(t.Context(), key)
	}
	now := time.Now()
	asked := map[string]int{}
	for i := range 6 {
		key, failing := w.nextProbe(now.Add(time.Duration(i+1) * time.Second))
		if !failing {
			t.Fatal("nothing is asked")
		}
		asked[key]++
	}
	for key, n := range asked {
		if n != 2 || len(asked) != 3 {
			t.Errorf("%s was asked %d times of 6 for 3 parts", key, n)
		}
	}
}

// TestProbesReadNoRows: a large row behind a slow link would take longer than
// the pause between two probes.
func TestProbesReadNoRows(t *testing.T) {
	w := newTwoWays(t, func(string) bool { return true })
	for _, key := range []string{"t/a", "t@p1/a", "u@p1/a"} {
		if _, err := w.Commit(t.Context(), put(key)); err != nil {
			t.Fatal(err)
		}
	}
	w.direct.rows.Store(0)
	for _, key := range []string{"t/a", "t", "t@p1/a", "u@*/"} {
		if !w.answers(t.Context(), key) {
			t.Errorf("%s counts as failing", key)
		}
	}
	if n := w.direct.rows.Load(); n != 0 {
		t.Errorf("probes read %d rows", n)
	}
}
