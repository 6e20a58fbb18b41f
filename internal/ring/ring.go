// Package ring provides the bounded queue between two goroutines of a process.
// TryPush neither blocks on a full ring nor drops an item silently: it reports that
// there is no room, and the producer decides what to do.
package ring

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Ring is a bounded first-in, first-out queue, safe for any number of
// producers and consumers.
type Ring[T any] struct {
	items    chan T
	depth    metrics.Gauge
	rejected metrics.Counter
}

// New returns a ring that holds up to capacity items. Its depth and the number of
// rejected items are registered as "ring.NAME.depth" and "ring.NAME.rejected".
// A nil registry registers nothing.
func New[T any](name string, capacity int, registry metrics.Registry) *Ring[T] {
	r := &Ring[T]{
		items:    make(chan T, capacity),
		depth:    metrics.NewGauge(),
		rejected: metrics.NewCounter(),
	}
	if registry != nil {
		_ = registry.Register("ring."+name+".depth", r.depth)
		_ = registry.Register("ring."+name+".rejected", r.rejected)
	}
	return r
}

// TryPush appends an item without blocking. It returns false if the ring is full.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		r.depth.Update(int64(len(r.items)))
		return true
	default:
		r.rejected.Inc(1)
		return false
	}
}

// pushRetry is the delay between two attempts of Push.
const pushRetry = time.Millisecond

// Push appends an item, waiting for room until ctx is done. It returns false
// if the item was not appended. It is for results that must not be lost. A goroutine
// must not call it on a ring that it consumes itself, since it could block forever.
func (r *Ring[T]) Push(ctx context.Context, item T) bool {
	for !r.TryPush(item) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pushRetry):
		}
	}
	return true
}

// Out returns the channel from which consumers receive items.
func (r *Ring[T]) Out() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }
