package jobentry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/dispatch"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/queueconfig"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// maxCountAge is the age up to which the scheduler's counts are passed on. The
// platform allows counts that are 2 s old.
const maxCountAge = 1500 * time.Millisecond

// count tells how many jobs of a queue have not begun. While no scheduler
// writes counts, the rows of the jobs are counted.
func (s *Service) count(ctx context.Context, queue *queueconfig.Queue) Outcome {
	row, err := s.store.Get(ctx, workload.KeyPending)
	if err != nil && !errors.Is(err, storeapi.ErrNotFound) {
		return rejected(err.Error(), s.retryAfter())
	}
	var pending dispatch.Pending
	if err == nil {
		if err := rowcodec.Decode(row.Value, &pending); err != nil {
			return rejected("the counts can't be read: "+err.Error(), s.retryAfter())
		}
	}
	nowMS, known := s.store.StoreTime(time.Now())
	if known && pending.AsOfMS > 0 && nowMS-pending.AsOfMS <= maxCountAge.Milliseconds() {
		return Outcome{Kind: OutcomeCount, Count: pending.ByQueue[queue.Name]}
	}
	return s.countRows(ctx, queue)
}

func (s *Service) countRows(ctx context.Context, queue *queueconfig.Queue) Outcome {
	jobs, err := s.store.Scan(ctx, workload.PrefixAllJobs)
	if err != nil {
		return rejected(err.Error(), s.retryAfter())
	}
	begun, err := s.store.Scan(ctx, workload.TableProgress+"/")
	if err != nil {
		return rejected(err.Error(), s.retryAfter())
	}
	known := map[string]bool{}
	for _, row := range begun.Rows {
		known[row.Key] = true
	}
	counted := map[model.JobID]bool{}
	count := 0
	for _, row := range jobs.Rows {
		var job workload.Job
		if err := rowcodec.Decode(row.Value, &job); err != nil {
			return rejected("a stored job can't be read: "+err.Error(), s.retryAfter())
		}
		if job.Queue == queue.Name && !known[workload.ProgressKey(job.ID)] && !counted[job.ID] {
			counted[job.ID] = true
			count++
		}
	}
	return Outcome{Kind: OutcomeCount, Count: count}
}
