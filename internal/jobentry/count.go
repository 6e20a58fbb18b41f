package jobentry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dragonflyyard/internal/dispatch"
	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/queueconfig"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// maxCountAge is the maximum age of the scheduler's counts that are returned to
// callers. The platform allows counts that are up to 2 s old.
const maxCountAge = 1500 * time.Millisecond

// count returns the number of jobs of a queue that have not started. It uses the
// scheduler's counts while they are recent and include the queue, otherwise it counts
// the job rows.
func (s *Service) count(ctx context.Context, queue *queueconfig.Queue) Outcome {
	row, err := s.store.Get(ctx, workload.KeyPending)
	if err != nil && !errors.Is(err, storeapi.ErrNotFound) {
		return rejected(err.Error(), s.retryAfter())
	}
	var pending dispatch.Pending
	if err == nil {
		if err := rowcodec.Decode(row.Value, &pending); err != nil {
			return rejected("cannot decode the pending job counts: "+err.Error(), s.retryAfter())
		}
	}
	nowMS, known := s.store.StoreTime(time.Now())
	if known && pending.AsOfMS > 0 && nowMS-pending.AsOfMS <= maxCountAge.Milliseconds() {
		if count, listed := pending.ByQueue[queue.Name]; listed || !pending.Partial {
			return Outcome{Kind: OutcomeCount, Count: count}
		}
	}
	return s.countRows(ctx, queue)
}

// countRows counts the stored jobs of a queue that have no progress row. A job
// that is stored under several of its keys counts once.
func (s *Service) countRows(ctx context.Context, queue *queueconfig.Queue) Outcome {
	jobs, err := s.store.Scan(ctx, workload.PrefixAllJobs)
	if err != nil {
		return rejected(err.Error(), s.retryAfter())
	}
	progress, err := s.store.Scan(ctx, workload.TableProgress+"/")
	if err != nil {
		return rejected(err.Error(), s.retryAfter())
	}
	started := map[string]bool{}
	for _, row := range progress.Rows {
		started[row.Key] = true
	}
	counted := map[model.JobID]bool{}
	count := 0
	for _, row := range jobs.Rows {
		var job workload.Job
		if err := rowcodec.Decode(row.Value, &job); err != nil {
			s.log.Error("row_malformed", zap.String("key", row.Key), logging.Err(err))
			continue
		}
		if job.Queue == queue.Name && !started[workload.ProgressKey(job.ID)] && !counted[job.ID] {
			counted[job.ID] = true
			count++
		}
	}
	return Outcome{Kind: OutcomeCount, Count: count}
}
