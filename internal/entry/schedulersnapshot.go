package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/platform"
	"dragonflyyard/internal/scheduler"
)

// snapshotInterval is the time between two snapshots of an owner's state. What
// only a snapshot holds (histories, learned run times, quarantine) may be that
// old after a change of owner; job rows are always complete.
const snapshotInterval = 5 * time.Minute

// snapshotRow is the value of the row that names the last snapshot.
type snapshotRow struct {
	Object string      `json:"object"`
	Epoch  model.Epoch `json:"epoch"`
}

func (s *Scheduler) snapshotRowKey() string {
	return "scheduler/" + string(s.p.Config.Settings.Region) + "/snapshot"
}

// saveSnapshot stores the state when that is due. The row that names the
// object is fenced, so a deposed owner cannot replace a successor's snapshot.
func (s *Scheduler) saveSnapshot(now time.Time) {
	if !s.ready || s.core.IsRecovering() || now.Before(s.nextSnapshot) {
		return
	}
	s.nextSnapshot = now.Add(snapshotInterval)
	snapshot := s.core.Snapshot()
	check := *s.state.check.Load()
	s.snapshots++
	object := s.snapshotObject(check.epoch, s.snapshots)
	s.calls.start(func(ctx context.Context) {
		if err := s.putSnapshot(ctx, object, snapshot, check); err != nil {
			s.p.Log.Record(event.Event{Code: event.SnapshotFailed, Subject: object, Detail: err.Error()})
		}
	}, func(err error) {
		s.p.Log.Record(event.Event{Code: event.SnapshotFailed, Subject: object, Detail: err.Error()})
	})
}

// snapshotObject names the object of an epoch's snapshot. Two names take turns,
// so that the one that the row names is never written over.
func (s *Scheduler) snapshotObject(epoch model.Epoch, number uint64) string {
	const turns = 2
	return "scheduler/" + string(s.p.Config.Settings.Region) + "/" +
		strconv.FormatUint(uint64(epoch), 10) + "/" + strconv.FormatUint(number%turns, 10)
}

func (s *Scheduler) putSnapshot(ctx context.Context, object string, snapshot *scheduler.Snapshot, check ownerCheck) error {
	encoded, err := json.Marshal(snapshot)
	if err != nil {
		return errors.Wrap(err, "encode scheduler snapshot")
	}
	if err := s.calls.objects.PutObject(ctx, object, encoded); err != nil {
		return err
	}
	row, err := json.Marshal(snapshotRow{Object: object, Epoch: check.epoch})
	if err != nil {
		return errors.Wrap(err, "encode snapshot row")
	}
	_, err = s.calls.table.Commit(ctx, platform.Transaction{
		Checks: []platform.Check{check.check}, Puts: []platform.Put{{Key: s.snapshotRowKey(), Value: row}},
	})
	return err
}

// loadSnapshot returns the last snapshot, or nil when there is none or it
// cannot be read: the job rows suffice without it.
func (s *Scheduler) loadSnapshot(ctx context.Context) *scheduler.Snapshot {
	row, err := s.calls.table.Get(ctx, s.snapshotRowKey())
	if err != nil {
		return nil
	}
	var named snapshotRow
	if json.Unmarshal(row.Value, &named) != nil {
		return nil
	}
	encoded, err := s.calls.objects.GetObject(ctx, named.Object)
	if err != nil {
		s.p.Log.Record(event.Event{Code: event.SnapshotFailed, Subject: named.Object, Detail: err.Error()})
		return nil
	}
	snapshot := &scheduler.Snapshot{}
	if json.Unmarshal(encoded, snapshot) != nil {
		return nil
	}
	return snapshot
}
