package storerelay

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/storeapi"
)

// TestCallersDoNotTryAFailingPart: each call to a silent store runs into its
// timeout. After one such call, the others must go through peers or fail at once
// for as long as the store is unavailable.
func TestCallersDoNotTryAFailingPart(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return true })
	w.direct.err = errStoreUnavailable
	for range 3 {
		if _, err := w.Get(t.Context(), "t/a"); !errors.Is(err, storeapi.ErrUnavailable) {
			t.Fatal(err)
		}
		// The interval between retries of callers.
		time.Sleep(600 * time.Millisecond)
	}
	if n := w.direct.reads.Load(); n != 1 {
		t.Errorf("callers called the unavailable store %d times", n)
	}
}

// TestProbeDetectsRecovery: when one part responds again, all other failing parts
// are probed, including keys of tables and of all parts of a table.
func TestProbeDetectsRecovery(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return true })
	w.direct.err = errStoreUnavailable
	keys := []string{"t/a", "t@p1/a", "t@*/"}
	for _, key := range keys {
		if _, err := w.Scan(t.Context(), key); !errors.Is(err, storeapi.ErrUnavailable) {
			t.Fatal(err)
		}
	}
	w.probe(t.Context(), keys[0])
	for _, key := range keys {
		if !w.DirectUnavailable(key) {
			t.Errorf("%s counts as available", key)
		}
	}
	w.direct.err = nil
	w.probe(t.Context(), keys[0])
	for _, key := range keys {
		for w.DirectUnavailable(key) {
			if t.Context().Err() != nil {
				t.Fatalf("%s is not probed again", key)
			}
			time.Sleep(time.Millisecond)
		}
	}
	if key, failing := w.nextProbe(time.Now()); failing {
		t.Errorf("%s is still probed", key)
	}
}

// TestProbesAreRoundRobin: failing parts are probed one at a time, so that a host's
// probe rate does not grow with the number of failing parts.
func TestProbesAreRoundRobin(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return true })
	for _, key := range []string{"t@p1/a", "t@p2/a", "t@p3/a"} {
		w.direct.err = errStoreUnavailable
		_, _ = w.Get(t.Context(), key)
		// Another part answers, so that the host does not count as turned away.
		w.direct.err = nil
		_, _ = w.Get(t.Context(), "t@p4/a")
	}
	now := time.Now()
	asked := map[string]int{}
	for i := range 6 {
		key, failing := w.nextProbe(now.Add(time.Duration(i+1) * time.Second))
		if !failing {
			t.Fatal("no part is probed")
		}
		asked[key]++
	}
	for key, n := range asked {
		if n != 2 || len(asked) != 3 {
			t.Errorf("%s was probed %d times of 6 for 3 parts", key, n)
		}
	}
}

// TestProbesReadNoRows: over a slow link, a probe that reads a large row would
// take longer than the probe interval.
func TestProbesReadNoRows(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return true })
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
