package storerelay

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/partscan"
	"dragonflyyard/internal/standin"
)

// TestSilentConnectionsToAPeer guards against trying one old connection after the other when
// all connections to a peer have gone silent, with a pause after each: a host that needs the
// relay has no store meanwhile.
func TestSilentConnectionsToAPeer(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return false })
	m, err := standin.NewMiddlebox()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	m.SetTarget(w.peer)
	m.SetDelay(10 * time.Millisecond)
	w.peer = m.Address()
	w.direct.err = errStoreUnavailable
	read := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := w.List(ctx, "t/", "", 1)
		return err
	}
	unbounded := func() error { _, err := w.Scan(t.Context(), "t/"); return err }
	open := func() {
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() { _ = read() })
			group.Go(func() { _ = unbounded() })
		}
		group.Wait()
	}
	open()
	m.Silence(true, true)
	if err := unbounded(); err == nil {
		t.Fatal("a call over a silent connection was answered")
	}
	for name, call := range map[string]func() error{"with a deadline": read, "without a deadline": unbounded} {
		w.mu.Lock()
		clear(w.avoidUntil)
		w.mu.Unlock()
		if err := call(); err != nil {
			t.Errorf("a call %s, after one that got no answer: %v", name, err)
		}
	}
	open()
	m.Silence(true, true)
	// The connection to the store went silent, too, and a call shows it.
	w.direct.err = errors.Mark(errStoreUnavailable, partscan.ErrLost)
	w.mu.Lock()
	clear(w.failingParts)
	clear(w.avoidUntil)
	w.mu.Unlock()
	if err := read(); err != nil {
		t.Errorf("a call through a peer, after the store gave no answer: %v", err)
	}
}
