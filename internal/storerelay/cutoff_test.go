package storerelay

import (
	"sync/atomic"
	"testing"
	"time"
)

// A host that the store turns away learns so from its reads. A submission that still
// tries its own part of the inbox directly spends its caller's whole time on it.
func TestHostThatIsTurnedAwayWritesThroughAPeerAtOnce(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return false })
	var tried atomic.Int32
	w.direct.onCommit = func(time.Time) { tried.Add(1) }
	w.direct.err = errStoreUnavailable
	for _, key := range []string{"control/pending", "control@lease/region"} {
		if _, err := w.Get(t.Context(), key); err == nil {
			t.Fatalf("%s has a row", key)
		}
	}
	if _, err := w.Commit(t.Context(), put("inbox@in-03/job/a")); err != nil || tried.Load() != 0 {
		t.Errorf("%d direct tries, %v; want the peer's at once", tried.Load(), err)
	}
	w.direct.err = nil
	w.probe(t.Context(), "control/pending")
	if _, err := w.Commit(t.Context(), put("inbox@in-03/job/b")); err != nil || tried.Load() != 1 {
		t.Errorf("%d direct tries, %v; want one after the store's return", tried.Load(), err)
	}
}

// While parts of the store are away and others answer, a part that was not asked is
// asked directly: its own calls are the only evidence about it.
func TestPartsThatAnswerKeepTheOthersDirect(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return false })
	for i, key := range []string{"control/pending", "control@lease/region", "workers@h-a/a"} {
		w.direct.err = errStoreUnavailable
		if i == 1 {
			w.direct.err = nil
		}
		_, _ = w.Get(t.Context(), key)
	}
	if w.DirectUnavailable("inbox@in-03/job/a") {
		t.Error("a part that was not asked counts as away")
	}
}
