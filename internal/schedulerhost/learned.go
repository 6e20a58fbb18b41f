package schedulerhost

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dragonflyyard/internal/dispatch"
	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// learnedWait bounds the read of what a previous owner has learned. Scheduling does
// not depend on it.
const learnedWait = time.Second

// readLearned reads the row beside the scans of a load. The channel yields a row with
// version 0 if there is none or it can't be read in time.
func (s *session) readLearned(ctx context.Context) <-chan storeapi.Row {
	out := make(chan storeapi.Row, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, learnedWait)
		defer cancel()
		row, err := s.store.Get(ctx, workload.KeyLearned)
		if err != nil && !errors.Is(err, storeapi.ErrNotFound) {
			s.log.Warn("store_read_failed", zap.String("table", workload.TableControl), logging.Err(err))
		}
		out <- row
	}()
	return out
}

func (s *session) applyLearned(rows <-chan storeapi.Row) {
	row := <-rows
	if row.Version == 0 {
		return
	}
	var learned dispatch.Learned
	if err := rowcodec.Decode(row.Value, &learned); err != nil {
		s.logMalformed(row, err)
		return
	}
	now, _ := s.now()
	s.core.LearnedSeen(now, learned)
}

// countSpeeds updates the metrics of the workers that differ in speed.
func (s *session) countSpeeds() {
	slow, fast := s.core.UnevenWorkers()
	s.slowWorkers.Update(int64(slow))
	s.fastWorkers.Update(int64(fast))
}
