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
	now, known := s.store.StoreTime()
	if known && pending.AsOfMS > 0 && now.LatestMS-pending.AsOfMS <= maxCountAge.Milliseconds() {
		if count, listed := pending.ByQueue[queue.Name]; listed || !pending.Partial {
			return Outcome{Kind: OutcomeCount, Count: count}
		}
	}
	return s.countRows(ctx, queue)
}

// countRows counts the stored jobs of a queue that have no progress row. Concurrent
// calls share one count, which reads all jobs.
func (s *Service) countRows(ctx context.Context, queue *queueconfig.Queue) Outcome {
	counted := s.counts.DoChan(workload.PrefixAllJobs, func() (any, error) {
		return s.countByQueue(context.WithoutCancel(ctx))
	})
	select {
	case result := <-counted:
		if result.Err != nil {
			return rejected(result.Err.Error(), s.retryAfter())
		}
		return Outcome{Kind: OutcomeCount, Count: result.Val.(map[string]int)[queue.Name]}
	case <-ctx.Done():
		return rejected("the jobs were not counted in time", s.retryAfter())
	}
}

// countByQueue counts the stored jobs without a progress row by queue. A job that is
// stored under several of its keys counts once.
func (s *Service) countByQueue(ctx context.Context) (map[string]int, error) {
	jobs, err := s.store.Scan(ctx, workload.PrefixAllJobs)
	if err != nil {
		return nil, err
	}
	progress, err := s.store.Scan(ctx, workload.TableProgress+"/")
	if err != nil {
		return nil, err
	}
	started := map[string]bool{}
	for _, row := range progress.Rows {
		started[row.Key] = true
	}
	seen := map[model.JobID]bool{}
	counts := map[string]int{}
	for _, row := range jobs.Rows {
		var job workload.Job
		if err := rowcodec.Decode(row.Value, &job); err != nil {
			s.log.Error("row_malformed", zap.String("key", row.Key), logging.Err(err))
			continue
		}
		if !started[workload.ProgressKey(job.ID)] && !seen[job.ID] {
			seen[job.ID] = true
			counts[job.Queue]++
		}
	}
	return counts, nil
}
