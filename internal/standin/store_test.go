package standin

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/storeapi"
)

func TestFrozenStoreAppliesHeldWritesWhenItWakes(t *testing.T) {
	store := NewStore(time.Now)
	store.SetFaults(ServiceTable, Faults{Freeze: true})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	tx := storeapi.Transaction{Puts: []storeapi.Put{{Key: "k", Value: []byte("v")}}}
	if _, err := store.Commit(ctx, tx); !errors.Is(err, storeapi.ErrInDoubt) {
		t.Fatalf("got %v, want in doubt", err)
	}
	store.SetFaults(ServiceTable, Faults{})
	if _, err := store.Get(context.Background(), "k"); err != nil {
		t.Errorf("the held write did not take effect: %v", err)
	}
}

func TestPeakCountsAnyOneSecond(t *testing.T) {
	now := time.Unix(100, 0)
	store := NewStore(func() time.Time { return now })
	steps := []struct {
		advance time.Duration
		current int
		peak    int
	}{{0, 1, 1}, {600 * time.Millisecond, 2, 2}, {600 * time.Millisecond, 2, 2}, {100 * time.Millisecond, 3, 3}, {3 * time.Second, 1, 3}}
	for i, step := range steps {
		now = now.Add(step.advance)
		_, _ = store.Get(context.Background(), "k")
		got := store.Stats().Reads
		if got.Current != step.current || got.Peak != step.peak {
			t.Errorf("step %d: got %+v, want current %d, peak %d", i, got, step.current, step.peak)
		}
	}
}
