package entry

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/storeapi"
)

// cancelBatch bounds the cancellations that one transaction keeps.
const cancelBatch = 500

// cancelResult is the result of keeping an operator's cancellations.
type cancelResult struct {
	call  *operatorCall
	reply operatorapi.CancelReply
	epoch model.Epoch
	// kept are the jobs whose cancellation is written.
	kept []model.JobID
	err  error
}

func (s *Scheduler) cancelPrefix() string {
	return "cancel/" + string(s.p.Config.Settings.Region) + "/"
}

func (s *Scheduler) cancelKey(id model.JobID) string { return s.cancelPrefix() + string(id) }

// keepCancels writes the cancellations that a call orders, so that a later
// owner carries them out as well. They take effect once they are written.
func (s *Scheduler) keepCancels(call *operatorCall, reply operatorapi.CancelReply, ordered []model.JobID) {
	check := *s.state.check.Load()
	result := cancelResult{call: call, reply: reply, epoch: check.epoch}
	s.calls.start(func(ctx context.Context) {
		result.kept, result.err = s.putCancels(ctx, ordered, check.check)
		s.inputs.Push(ctx, schedulerInput{cancelled: &result})
	}, func(err error) {
		call.reply(cancelRefusal(nil, err))
	})
}

// putCancels writes a row for each job and returns those that were written.
func (s *Scheduler) putCancels(ctx context.Context, ids []model.JobID, fence storeapi.Check) ([]model.JobID, error) {
	var kept []model.JobID
	for batch := range slices.Chunk(ids, cancelBatch) {
		tx := storeapi.Transaction{Checks: []storeapi.Check{fence}}
		for _, id := range batch {
			tx.Puts = append(tx.Puts, storeapi.Put{Key: s.cancelKey(id), Value: []byte("{}")})
		}
		if _, err := s.calls.table.Commit(ctx, tx); err != nil {
			return kept, err
		}
		kept = append(kept, batch...)
	}
	return kept, nil
}

// takeCancelled carries out the cancellations that were written and answers
// the operator. Once the lease is lost they are left to the next owner, which
// reads them.
func (s *Scheduler) takeCancelled(result cancelResult) {
	epoch, holds := s.state.holdsLease(s.p.Now())
	if !holds || epoch != result.epoch || !s.owns(epoch) {
		result.call.reply(inDoubtReply())
		return
	}
	if len(result.kept) > 0 {
		s.step(scheduler.Cancel{IDs: result.kept})
		for _, id := range result.kept {
			if doubtful := s.doubtful[id]; doubtful != nil {
				doubtful.cancelled = true
			}
			s.forgetCancelOfEnded(id)
		}
	}
	if result.err != nil {
		result.call.reply(cancelRefusal(result.kept, result.err))
		return
	}
	result.call.reply(jsonReply(fasthttp.StatusOK, result.reply))
}

// forgetCancelOfEnded deletes the row of a cancellation whose job had ended
// before it was written. For any other job the row goes with the job's own.
func (s *Scheduler) forgetCancelOfEnded(id model.JobID) {
	if len(s.rows.queue[id]) > 0 {
		return
	}
	if _, ended := s.core.Ended(id); ended {
		s.kept = slices.Insert(s.kept, 0, keptRow{key: s.cancelKey(id)})
	}
}

// cancelRefusal answers a cancellation that was not wholly written.
func cancelRefusal(kept []model.JobID, err error) operatorReply {
	switch {
	case len(kept) > 0:
		return inDoubtReply()
	case errors.Is(err, storeapi.ErrUnavailable):
		return errorReply(fasthttp.StatusServiceUnavailable, "table_unavailable", "The cancellation could not be written; nothing was accepted.", ownerRetry)
	case errors.Is(err, storeapi.ErrConflict):
		return noOwnerReply()
	default:
		return inDoubtReply()
	}
}

// loadCancels reads the cancellations that were kept.
func (s *Scheduler) loadCancels(ctx context.Context) ([]model.JobID, error) {
	rows, err := s.calls.list(ctx, s.cancelPrefix())
	if err != nil {
		return nil, err
	}
	ids := make([]model.JobID, 0, len(rows))
	for _, row := range rows {
		ids = append(ids, model.JobID(strings.TrimPrefix(row.Key, s.cancelPrefix())))
	}
	return ids, nil
}

// resumeCancels carries kept cancellations out under a new owner. The rows of
// jobs that no longer exist are deleted.
func (s *Scheduler) resumeCancels(ids []model.JobID) {
	s.step(scheduler.Cancel{IDs: ids})
	for _, id := range ids {
		if _, known := s.core.Job(id); !known {
			s.kept = slices.Insert(s.kept, 0, keptRow{key: s.cancelKey(id)})
			continue
		}
		s.forgetCancelOfEnded(id)
	}
}
