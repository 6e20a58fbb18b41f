package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/storeapi"
)

const (
	// endedKeep is how long the row of an ended job is kept.
	endedKeep = time.Hour
	// endedBatch bounds the rows of ended jobs that are deleted at once.
	endedBatch = 50
)

// keptRow is the row of an ended job and when the job ended.
type keptRow struct {
	key string
	at  time.Time
}

func (s *Scheduler) endedPrefix() string { return "ended/" + string(s.p.Config.Settings.Region) + "/" }

// endedWrite deletes a job's row and keeps how it ended.
func (s *Scheduler) endedWrite(id model.JobID) rowWrite {
	write := rowWrite{row: scheduler.JobRow{Job: model.Job{ID: id}}, kind: rowDelete}
	if ended, ok := s.core.Ended(id); ok {
		write.ended = &ended
	}
	return write
}

func (s *Scheduler) deleteRow(ctx context.Context, key string, write rowWrite, fence storeapi.Check) error {
	tx := storeapi.Transaction{Checks: []storeapi.Check{fence}, Deletes: []string{key, s.cancelKey(write.row.Job.ID)}}
	if write.ended != nil {
		value, err := json.Marshal(write.ended)
		if err != nil {
			return errors.Wrap(err, "encode ended job")
		}
		tx.Puts = []storeapi.Put{{Key: s.endedPrefix() + string(write.row.Job.ID), Value: value}}
	}
	_, err := s.calls.table.Commit(ctx, tx)
	return err
}

// noteKept remembers the row of an ended job, to delete it in time.
func (s *Scheduler) noteKept(write rowWrite) {
	if write.ended != nil {
		s.kept = append(s.kept, keptRow{key: s.endedPrefix() + string(write.row.Job.ID), at: write.ended.At})
	}
}

// loadEnded reads the rows of the jobs that ended lately.
func (s *Scheduler) loadEnded(ctx context.Context) ([]scheduler.EndedJob, []keptRow, error) {
	rows, err := s.calls.list(ctx, s.endedPrefix())
	if err != nil {
		return nil, nil, err
	}
	var ended []scheduler.EndedJob
	var kept []keptRow
	for _, row := range rows {
		job, err := decodeEndedRow(row, s.endedPrefix())
		if err != nil {
			s.p.Log.Record(event.Event{Code: event.RowWriteFailed, Subject: row.Key, Detail: err.Error()})
		} else {
			ended = append(ended, job)
		}
		kept = append(kept, keptRow{key: row.Key, at: job.At})
	}
	slices.SortFunc(kept, func(a, b keptRow) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.key, b.key)) })
	return ended, kept, nil
}

// forgetEnded deletes a batch of rows that were kept long enough. A batch that
// fails is found again by the next owner.
func (s *Scheduler) forgetEnded(now time.Time) {
	if !s.ready || len(s.kept) == 0 || now.Sub(s.kept[0].at) < endedKeep {
		return
	}
	check := *s.state.check.Load()
	tx := storeapi.Transaction{Checks: []storeapi.Check{check.check}}
	for len(s.kept) > 0 && len(tx.Deletes) < endedBatch && now.Sub(s.kept[0].at) >= endedKeep {
		tx.Deletes = append(tx.Deletes, s.kept[0].key)
		s.kept = s.kept[1:]
	}
	failed := func(err error) {
		s.p.Log.Record(event.Event{Code: event.RowWriteFailed, Subject: s.endedPrefix(), Detail: err.Error()})
	}
	s.calls.start(func(ctx context.Context) {
		if _, err := s.calls.table.Commit(ctx, tx); err != nil {
			failed(err)
		}
	}, failed)
}
