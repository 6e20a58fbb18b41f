package partscan

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/storeapi"
)

func partNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("h-%03d", i)
	}
	return names
}

// Response time of the store, and the timeout after which an answer counts as lost.
const (
	answerDelay = 5 * time.Millisecond
	lossTimeout = 700 * time.Millisecond
)

// lossyStore answers reads with one row and loses a random fraction of the answers.
type lossyStore struct {
	mu       sync.Mutex
	random   *rand.Rand
	lossRate float64
	reads    int
}

func (l *lossyStore) read(_ context.Context, part string) (storeapi.Snapshot, error) {
	l.mu.Lock()
	l.reads++
	lost := l.random.Float64() < l.lossRate
	l.mu.Unlock()
	if lost {
		time.Sleep(lossTimeout)
		return storeapi.Snapshot{}, errors.Wrap(ErrLost, part)
	}
	time.Sleep(answerDelay)
	return storeapi.Snapshot{Rows: []storeapi.Row{{Key: part}}}, nil
}

// TestLostAnswersDoNotEndAScan guards against scans that fail while the store
// loses a third of its answers: with this many parts, some first reads always fail.
func TestLostAnswersDoNotEndAScan(t *testing.T) {
	const scans, parts = 100, 240
	completed := 0
	for seed := range uint64(scans) {
		synctest.Test(t, func(t *testing.T) {
			store := &lossyStore{random: rand.New(rand.NewPCG(seed, 1)), lossRate: 0.35}
			snapshots, err := Read(t.Context(), partNames(parts), store.read)
			if err != nil {
				return
			}
			completed++
			for i, s := range snapshots {
				if len(s.Rows) != 1 || s.Rows[0].Key != partNames(parts)[i] {
					t.Fatalf("seed %d: part %d holds %v", seed, i, s.Rows)
				}
			}
		})
	}
	if completed < scans*8/10 {
		t.Errorf("%d of %d scans completed", completed, scans)
	}
}

// TestScanFailsWhenStoreIsUnavailable guards against a scan that keeps retrying
// while no read is answered: each part in progress is read a few times, and the
// remaining parts are not read at all.
func TestScanFailsWhenStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		store := &lossyStore{random: rand.New(rand.NewPCG(1, 1)), lossRate: 1.1}
		if _, err := Read(t.Context(), partNames(MaxConcurrentReads), store.read); !errors.Is(err, ErrLost) {
			t.Errorf("got %v", err)
		}
		if took := time.Since(start); took > maxConsecutiveLost*lossTimeout {
			t.Errorf("ended after %v", took)
		}
	})
}

// TestRefusedPartEndsAScan checks that a refused read is not retried.
func TestRefusedPartEndsAScan(t *testing.T) {
	refused, tries := errors.New("refused"), 0
	_, err := Read(t.Context(), []string{"a"}, func(context.Context, string) (storeapi.Snapshot, error) {
		tries++
		return storeapi.Snapshot{}, refused
	})
	if !errors.Is(err, refused) || tries != 1 {
		t.Errorf("%d tries, %v", tries, err)
	}
}
