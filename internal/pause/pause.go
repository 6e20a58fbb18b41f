// Package pause waits for a time that a context may cut short.
package pause

import (
	"context"
	"time"
)

// For waits, and returns false when the context ends first.
func For(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
