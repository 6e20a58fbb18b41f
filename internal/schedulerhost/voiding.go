package schedulerhost

import (
	"context"

	"dragonflyyard/internal/dispatch"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// voiding is the making of a batch that voids the row of a worker that is gone,
// and the read of the ends that the worker reported before. Several go on beside
// each other.
type voiding struct {
	batch *dispatch.Batch
	// done is closed once the other fields are set.
	done     chan struct{}
	versions []storeapi.RowVersion
	ends     storeapi.Snapshot
	err      error
}

func (s *session) beginVoiding(ctx context.Context, batch *dispatch.Batch) *voiding {
	v := &voiding{batch: batch, done: make(chan struct{})}
	go func() {
		defer close(v.done)
		if v.versions, v.err = s.store.Commit(ctx, batch.Tx); v.err == nil {
			v.ends, v.err = s.store.Scan(ctx, workload.EndsPrefix(batch.Host))
		}
	}()
	return v
}

// endVoiding takes in what became of a voided row, and first the worker's ends.
func (s *session) endVoiding(v *voiding) {
	<-v.done
	if v.err == nil {
		s.takeEnds(v.ends.Rows)
	}
	s.madeOther(v.batch, v.versions, v.err)
}
