package schedulerhost

import (
	"context"
	"fmt"
	"testing"
	"time"

	"dragonflyyard/internal/dispatch"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workerspeed"
	"dragonflyyard/internal/workload"
)

// TestLearnedRowOutlivesItsOwner guards against a load that fails on the row of what was
// learned, or that believes an old one: without a usable row the workers count as alike.
func TestLearnedRowOutlivesItsOwner(t *testing.T) {
	speeds := &workerspeed.State{}
	for i := range 12 {
		percent := 80 + 45*(i%2)
		speeds.Workers = append(speeds.Workers, workerspeed.Record{Host: fmt.Sprint("side-", i), FittedPercent: percent, FactorPercent: percent, Runs: 9})
	}
	nowMS := time.Now().UnixMilli()
	for _, c := range []struct {
		name  string
		value []byte
		known int
	}{
		{"no row", nil, 0},
		{"malformed", []byte("\xff\x00"), 0},
		{"an hour old", rowcodec.Encode(&dispatch.Learned{AsOfMS: nowMS - time.Hour.Milliseconds(), Speeds: speeds}), 0},
		{"valid", rowcodec.Encode(&dispatch.Learned{AsOfMS: nowMS, Speeds: speeds}), 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := standin.NewStore(time.Now)
			if c.value != nil {
				if _, err := store.Commit(context.Background(), storeapi.Transaction{Puts: []storeapi.Put{{Key: workload.KeyLearned, Value: c.value}}}); err != nil {
					t.Fatal(err)
				}
			}
			s := testSession(t, store)
			settings := dispatch.DefaultSettings()
			settings.LearnSpeeds = true
			s.core = dispatch.New(settings)
			if _, err := s.load(t.Context()); err != nil {
				t.Fatal(err)
			}
			if slow, fast := s.core.UnevenWorkers(); slow+fast != c.known {
				t.Errorf("%d workers count as slow and %d as fast, want %d together", slow, fast, c.known)
			}
		})
	}
}
