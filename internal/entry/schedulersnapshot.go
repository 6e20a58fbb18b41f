package entry

import (
	"context"
	"strconv"
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/scheduler"
)

// snapshotInterval is the time between two snapshots of an owner's state. What
// only a snapshot holds (histories, learned run times, quarantine) may be that
// old after a change of owner; job rows are always complete.
const snapshotInterval = 5 * time.Minute

// saveSnapshot stores the state when that is due.
func (s *Scheduler) saveSnapshot(now time.Time) {
	if !s.ready || s.core.IsRecovering() || now.Before(s.nextSnapshot) {
		return
	}
	s.nextSnapshot = now.Add(snapshotInterval)
	snapshot := s.core.Snapshot()
	check := *s.state.check.Load()
	s.calls.start(func(ctx context.Context) {
		if err := s.snapshots.save(ctx, snapshot, check); err != nil {
			s.noteSnapshotFailure(check.epoch, err)
		}
	}, func(err error) { s.noteSnapshotFailure(check.epoch, err) })
}

func (s *Scheduler) noteSnapshotFailure(epoch model.Epoch, err error) {
	s.p.Log.Record(event.Event{
		Code: event.SnapshotFailed, Subject: strconv.FormatUint(uint64(epoch), 10), Detail: err.Error(),
	})
}

// loadSnapshot returns the last snapshot, or nil when there is none or it
// cannot be read: the job rows suffice without it.
func (s *Scheduler) loadSnapshot(ctx context.Context) *scheduler.Snapshot {
	snapshot, err := s.snapshots.load(ctx)
	if err != nil {
		s.p.Log.Record(event.Event{Code: event.SnapshotFailed, Subject: s.snapshots.rowKey(), Detail: err.Error()})
	}
	return snapshot
}
