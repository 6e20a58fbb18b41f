package storerelay

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"dragonflyyard/internal/storeapi"
)

// Bounds of the scans of a relay.
const (
	// unknownScanBytes is what a scan counts for whose size is not known yet: a response
	// of the store, its rows and the answer.
	unknownScanBytes = 4 << 20
	// copiesOfRows is how often the rows of a scan are in memory: as the store's response,
	// as rows, and as the answer.
	copiesOfRows = 3
	// scanWait is how long a scan waits for others; its caller then asks another relay.
	scanWait = 2 * time.Second
	// maxScansKnown bounds the scans whose sizes are known.
	maxScansKnown = 4096
)

// scanGate lets scans wait for each other where their rows together would not fit into
// memory. Load pattern: many processes that lost the store read whole tables at once, or
// clients ask for the largest one over and over.
type scanGate struct {
	bytes int64
	free  *semaphore.Weighted

	mu sync.Mutex
	// known holds the size of the last scan of each key.
	known map[string]int64
}

func newScanGate(bytes int64) *scanGate {
	return &scanGate{bytes: bytes, free: semaphore.NewWeighted(bytes), known: map[string]int64{}}
}

// enter waits for room for a scan. leave gives it back, and is called with the answer.
func (g *scanGate) enter(ctx context.Context, key string) (leave func(*response), err error) {
	g.mu.Lock()
	size, known := g.known[key]
	g.mu.Unlock()
	if !known {
		size = unknownScanBytes
	}
	size = min(size, g.bytes)
	ctx, cancel := context.WithTimeout(ctx, scanWait)
	defer cancel()
	if err := g.free.Acquire(ctx, size); err != nil {
		return nil, err
	}
	return func(out *response) {
		if out.Result == storeapi.ResultOK {
			g.learn(key, out.Rows)
		}
		g.free.Release(size)
	}, nil
}

// learn notes the size of a scan.
func (g *scanGate) learn(key string, rows []storeapi.Row) {
	size := int64(0)
	for i := range rows {
		size += int64(len(rows[i].Key) + len(rows[i].Value))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.known) >= maxScansKnown {
		clear(g.known)
	}
	g.known[key] = copiesOfRows * size
}
