package schedulerhost

import (
	"context"

	"dragonflyyard/internal/dispatch"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// voiding is the concurrent commit of a batch that marks the row of a lost worker as
// gone, followed by a scan of the ends that the worker's agent reported before.
type voiding struct {
	batch *dispatch.Batch
	// done is closed once the other fields are set.
	done     chan struct{}
	versions []storeapi.RowVersion
	ends     storeapi.Snapshot
	err      error
}

// startVoiding starts a voiding in its own goroutine, so that several may overlap.
func (s *session) startVoiding(ctx context.Context, batch *dispatch.Batch) *voiding {
	v := &voiding{batch: batch, done: make(chan struct{})}
	go func() {
		defer close(v.done)
		if v.versions, v.err = s.store.Commit(ctx, batch.Tx); v.err == nil {
			v.ends, v.err = s.store.Scan(ctx, workload.EndsPrefix(batch.Host))
		}
	}()
	return v
}

// finishVoiding waits for a voiding. It passes the worker's reported ends to the core
// before the outcome of the batch, which ends the worker's remaining runs.
func (s *session) finishVoiding(v *voiding) {
	<-v.done
	if v.err == nil {
		s.applyEnds(v.ends.Rows)
	}
	s.reportUnfenced(v.batch, v.versions, v.err)
}
