package entry

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"dragonflyyard/internal/process"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/storeapi"
)

// platformCallers is how many calls of the platform's services an entry host
// has under way at the same time.
const platformCallers = 8

// platformCall makes one call of a platform service and hands its result to
// the duty that asked for it. It must not keep the duty's ring full for long.
type platformCall func(ctx context.Context)

// platformCalls is the duty that calls the platform's services.
type platformCalls struct {
	table   storeapi.Table
	objects storeapi.ObjectStore
	calls   *ring.Ring[platformCall]
}

func newPlatformCalls(table storeapi.Table, objects storeapi.ObjectStore, capacity int, p *process.Base) *platformCalls {
	return &platformCalls{
		table: table, objects: objects,
		calls: ring.New[platformCall]("platform.calls", capacity, p.Metrics),
	}
}

// run is the duty. Its callers take one call at a time from the ring.
func (c *platformCalls) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range platformCallers {
		group.Go(func() error {
			for {
				select {
				case call := <-c.calls.Out():
					call(ctx)
				case <-ctx.Done():
					return nil
				}
			}
		})
	}
	return group.Wait()
}

// start queues a call. When there is no room it reports ErrUnavailable to the
// result function at once: the call was never made.
func (c *platformCalls) start(call platformCall, refused func(error)) {
	if !c.calls.TryPush(call) {
		refused(errors.Wrap(storeapi.ErrUnavailable, "too many calls wait"))
	}
}

// list returns all rows under a prefix, page by page.
func (c *platformCalls) list(ctx context.Context, prefix string) ([]storeapi.Row, error) {
	const page = 500
	var rows []storeapi.Row
	after := ""
	for {
		batch, err := c.table.List(ctx, prefix, after, page)
		if err != nil {
			return nil, err
		}
		rows = append(rows, batch...)
		if len(batch) < page {
			return rows, nil
		}
		after = batch[len(batch)-1].Key
	}
}
