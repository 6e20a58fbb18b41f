package storerelay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"dragonflyyard/internal/storeapi"
)

// Bounds of the scans of a relay.
const (
	// unknownScanBytes is what a scan counts for at first whose size is not known: a
	// response of the store, its rows and the answer.
	unknownScanBytes = 4 << 20
	// copiesOfRows is how often the rows of a scan are in memory: as the store's response,
	// as rows, and as the answer.
	copiesOfRows = 3
	// scanWait is how long a scan waits for others; its caller then asks another relay.
	scanWait = 2 * time.Second
	// maxScansKnown bounds the scans whose sizes are known.
	maxScansKnown = 4096
)

// errNoRoom ends a scan that turns out to be larger than there is room for.
var errNoRoom = errors.Mark(errors.New("the relay has no room for the scan"), storeapi.ErrUnavailable)

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

// scanRoom is the memory that one scan has taken, and what it has used of it. Parts of
// one scan are read at the same time.
type scanRoom struct {
	gate *scanGate
	key  string

	mu          sync.Mutex
	taken, used int64
}

// enter waits for room for a scan, which leave gives back.
func (g *scanGate) enter(ctx context.Context, key string) (*scanRoom, error) {
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
	return &scanRoom{gate: g, key: key, taken: size}, nil
}

// take notes a page of rows. It returns errNoRoom if the scan needs more memory than is
// free; a scan that has all of it goes on.
func (r *scanRoom) take(bytes int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used += copiesOfRows * int64(bytes)
	more := min(r.used, r.gate.bytes) - r.taken
	if more <= 0 {
		return nil
	}
	if !r.gate.free.TryAcquire(more) {
		// The next try waits until it is alone.
		r.used = r.gate.bytes
		return errNoRoom
	}
	r.taken += more
	return nil
}

// leave gives the room back, and notes the scan's size for the next one. A scan that has
// failed may be larger than what it has read.
func (r *scanRoom) leave(failed bool) {
	r.gate.free.Release(r.taken)
	r.gate.mu.Lock()
	defer r.gate.mu.Unlock()
	if len(r.gate.known) >= maxScansKnown {
		clear(r.gate.known)
	}
	size := r.used
	if before, known := r.gate.known[r.key]; failed && known {
		size = max(size, before)
	} else if failed {
		size = max(size, unknownScanBytes)
	}
	r.gate.known[r.key] = size
}
