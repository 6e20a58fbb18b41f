package storerelay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/storeapi"
)

// How the return of the direct way is noticed. Load pattern: a store that is
// silent for seconds, in which each call waits for its whole bound; callers must
// neither wait for it nor learn late that it is back.

// failure is a part of the store that does not answer this host.
type failure struct {
	// key is one that the failed call was about; it names the part to ask.
	key string
	// probedAt is when the part was asked last.
	probedAt time.Time
}

// Probe asks the parts that fail, one each time in turn, until ctx is done. It
// does not wait for an answer before it asks again: one that is sent into an
// outage stays unanswered after its end, too.
func (c *Client) Probe(ctx context.Context, every time.Duration) {
	tick := time.NewTicker(every)
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

// nextProbe returns a key of the failing part that was asked the longest ago.
func (c *Client) nextProbe(now time.Time) (key string, failing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var next string
	for part, f := range c.failing {
		if oldest := c.failing[next]; !failing || f.probedAt.Before(oldest.probedAt) {
			next, failing = part, true
		}
	}
	if !failing {
		return "", false
	}
	key = c.failing[next].key
	c.failing[next] = failure{key: key, probedAt: now}
	return key, true
}

// probe asks one part. When it answers, the other ones are asked at once: an
// outage of all parts ends for all.
func (c *Client) probe(ctx context.Context, key string) {
	if !c.answers(ctx, key) {
		return
	}
	c.directDone(key, nil)
	for _, other := range c.failingKeys() {
		go func() {
			if c.answers(ctx, other) {
				c.directDone(other, nil)
			}
		}()
	}
}

// probeRow is the key of a row that no table holds: the answer carries no rows,
// which may be large where the link is slow.
const probeRow = "-"

// answers reports whether the part of a key answers a read. All parts of a table
// are taken to answer when the table does.
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
	keys := make([]string, 0, len(c.failing))
	for _, f := range c.failing {
		keys = append(keys, f.key)
	}
	return keys
}
