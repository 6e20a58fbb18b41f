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

// Times of the store's answers, and after which one counts as lost.
const (
	answeredAfter = 5 * time.Millisecond
	lostAfter     = 700 * time.Millisecond
)

// lossy answers reads, and loses a share of the answers.
type lossy struct {
	mu     sync.Mutex
	random *rand.Rand
	share  float64
	reads  int
}

func (l *lossy) read(_ context.Context, part string) (storeapi.Snapshot, error) {
	l.mu.Lock()
	l.reads++
	lost := l.random.Float64() < l.share
	l.mu.Unlock()
	if lost {
		time.Sleep(lostAfter)
		return storeapi.Snapshot{}, errors.Wrap(ErrLost, part)
	}
	time.Sleep(answeredAfter)
	return storeapi.Snapshot{Rows: []storeapi.Row{{Key: part}}}, nil
}

// TestLostAnswersDoNotEndAScan: a store that loses a third of its answers, and
// more parts than are ever all answered at the first try.
func TestLostAnswersDoNotEndAScan(t *testing.T) {
	const scans, parts = 100, 240
	whole := 0
	for seed := range uint64(scans) {
		synctest.Test(t, func(t *testing.T) {
			store := &lossy{random: rand.New(rand.NewPCG(seed, 1)), share: 0.35}
			snapshots, err := Read(t.Context(), partNames(parts), store.read)
			if err != nil {
				return
			}
			whole++
			for i, s := range snapshots {
				if len(s.Rows) != 1 || s.Rows[0].Key != partNames(parts)[i] {
					t.Fatalf("seed %d: part %d holds %v", seed, i, s.Rows)
				}
			}
		})
	}
	if whole < scans*8/10 {
		t.Errorf("%d of %d scans were whole", whole, scans)
	}
}

// TestScanEndsWhenTheStoreIsAway: nothing is answered, so each part that is under
// way is asked a few times and the others not at all.
func TestScanEndsWhenTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		store := &lossy{random: rand.New(rand.NewPCG(1, 1)), share: 1.1}
		if _, err := Read(t.Context(), partNames(MaxConcurrentReads), store.read); !errors.Is(err, ErrLost) {
			t.Errorf("got %v", err)
		}
		if took := time.Since(began); took > maxLost*lostAfter {
			t.Errorf("ended after %v", took)
		}
	})
}

// TestRefusedPartEndsAScan: a part that is refused is not asked again.
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
