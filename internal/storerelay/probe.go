package storerelay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/storeapi"
)

// Probing detects that direct calls succeed again. Load pattern: a store that is
// silent for seconds, during which each call runs into its timeout; callers must
// neither wait for it nor detect its recovery late.

// failingPart is a part of the store whose direct calls fail.
type failingPart struct {
	// key is a key of the failed call; it identifies the part to probe.
	key string
	// since is when the first of its direct calls failed.
	since time.Time
	// probedAt is when the part was last probed, or when it failed.
	probedAt time.Time
}

// Probe probes the failing parts round-robin, one per interval, until ctx is done.
// It does not wait for a response before the next probe: a probe sent during an
// outage gets no response even after the outage has ended.
func (c *Client) Probe(ctx context.Context, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if key, failing := c.nextProbe(now); failing {
				go c.probe(ctx, key)
			}
		}
	}
}

// nextProbe returns a key of the failing part with the oldest probe and records a
// probe of it at now.
func (c *Client) nextProbe(now time.Time) (key string, failing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var next string
	for part, f := range c.failingParts {
		if oldest := c.failingParts[next]; !failing || f.probedAt.Before(oldest.probedAt) {
			next, failing = part, true
		}
	}
	if !failing {
		return "", false
	}
	probed := c.failingParts[next]
	probed.probedAt = now
	c.failingParts[next] = probed
	return probed.key, true
}

// probe probes one part. If it responds, all other failing parts are probed at
// once, since an outage of the whole store ends for all parts together.
func (c *Client) probe(ctx context.Context, key string) {
	if !c.answers(ctx, key) {
		return
	}
	c.recordDirectCall(key, nil)
	for _, other := range c.failingKeys() {
		go func() {
			if c.answers(ctx, other) {
				c.recordDirectCall(other, nil)
			}
		}()
	}
}

// probeRow is the key of a row that exists in no table, so that probe responses
// carry no row: a large one would be slow over a slow link.
const probeRow = "-"

// answers reports whether the part of a key responds to a read. For a key of all
// parts, the response of the part with the empty name stands for all of them.
func (c *Client) answers(ctx context.Context, key string) bool {
	table, part, _ := storeapi.SplitKey(key)
	if part == storeapi.AllParts {
		part = ""
	}
	_, err := c.direct.Get(ctx, storeapi.JoinKey(table, part, probeRow))
	return err == nil || errors.Is(err, storeapi.ErrNotFound)
}

func (c *Client) failingKeys() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := make([]string, 0, len(c.failingParts))
	for _, f := range c.failingParts {
		keys = append(keys, f.key)
	}
	return keys
}
