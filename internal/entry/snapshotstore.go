package entry

import (
	"context"
	"encoding/json"
	"hash/crc32"
	"slices"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/storeapi"
)

// maxSegments is how many segments follow a whole snapshot before the next
// whole one. A successor reads at most one object more than that.
const maxSegments = 24

var errSnapshotBusy = errors.New("the last snapshot is still being stored")

// errSegment means that a segment is missing, cut or of another write. The
// state up to the segment before it is complete.
var errSegment = errors.New("snapshot segment cannot be used")

// snapshotStore keeps the scheduler's snapshots in the object store: a whole
// one, then segments with what changed since, each a scheduler.SnapshotDelta.
// One row holds the checksums of all, so an object that was cut, or that a
// frozen store wrote late, is never taken for another.
// Its methods are called by the platform callers.
type snapshotStore struct {
	table   storeapi.Table
	objects storeapi.ObjectStore
	region  model.RegionName

	// mu is held while a snapshot is stored.
	mu sync.Mutex
	// row is the last confirmed row of this process's present epoch, and stored
	// the state that it leads to; nil before the epoch's first whole snapshot.
	row    snapshotRow
	stored *scheduler.Snapshot
	// doubtful are the whole objects that rows of unknown effect may name.
	doubtful []string
}

// snapshotRow is the value of the row that names the last snapshot.
type snapshotRow struct {
	// Object holds the whole snapshot, Sum is its CRC-32 checksum (IEEE).
	Object string      `json:"object"`
	Sum    uint32      `json:"sum,omitempty"`
	Epoch  model.Epoch `json:"epoch"`
	// Segments are the checksums of the segments that follow it.
	Segments []uint32 `json:"segments,omitempty"`
}

// segment returns the name of the object of a segment.
func (r snapshotRow) segment(number int) string {
	return r.Object + "/segment/" + strconv.Itoa(number)
}

func (s *snapshotStore) prefix() string { return "scheduler/" + string(s.region) + "/" }

func (s *snapshotStore) rowKey() string { return s.prefix() + "snapshot" }

// save stores a snapshot: as a segment where the epoch has a whole one with room
// for more, whole otherwise. The row is fenced by check, so a deposed owner
// cannot replace a successor's. After an error the next call starts from the
// last state whose row was confirmed.
func (s *snapshotStore) save(ctx context.Context, snapshot *scheduler.Snapshot, check ownerCheck) error {
	if !s.mu.TryLock() {
		return errSnapshotBusy
	}
	defer s.mu.Unlock()
	next, err := s.put(ctx, snapshot, check.epoch)
	if err != nil {
		return err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode snapshot row")
	}
	_, err = s.table.Commit(ctx, storeapi.Transaction{
		Checks: []storeapi.Check{check.check}, Puts: []storeapi.Put{{Key: s.rowKey(), Value: value}},
	})
	if err != nil {
		// The row may name the new objects or not. A whole snapshot under a name
		// of its own is right after both.
		s.stored = nil
		s.doubtful = append(s.doubtful, next.Object)
		return err
	}
	s.row, s.stored, s.doubtful = next, snapshot, nil
	return nil
}

// put stores the object of a snapshot and returns the row that names it.
func (s *snapshotStore) put(ctx context.Context, snapshot *scheduler.Snapshot, epoch model.Epoch) (snapshotRow, error) {
	if s.stored == nil || s.row.Epoch != epoch || len(s.row.Segments) >= maxSegments {
		row := snapshotRow{Object: s.freeObject(epoch), Epoch: epoch}
		var err error
		row.Sum, err = s.putJSON(ctx, row.Object, snapshot)
		return row, err
	}
	row := s.row
	sum, err := s.putJSON(ctx, row.segment(len(row.Segments)), scheduler.DeltaBetween(s.stored, snapshot))
	row.Segments = append(slices.Clone(row.Segments), sum)
	return row, err
}

// freeObject returns the first name for a whole snapshot of an epoch that no
// row can name, so that a write which is cut destroys nothing.
func (s *snapshotStore) freeObject(epoch model.Epoch) string {
	for number := 0; ; number++ {
		object := s.prefix() + strconv.FormatUint(uint64(epoch), 10) + "/" + strconv.Itoa(number)
		if object != s.row.Object && !slices.Contains(s.doubtful, object) {
			return object
		}
	}
}

// putJSON stores a value and returns the checksum of what it stored.
func (s *snapshotStore) putJSON(ctx context.Context, object string, value any) (uint32, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Wrapf(err, "encode %s", object)
	}
	return crc32.ChecksumIEEE(encoded), errors.Wrapf(s.objects.PutObject(ctx, object, encoded), "store %s", object)
}

// load returns the last snapshot. With an error it returns what is complete of
// it: the state up to the last good segment, or nil.
func (s *snapshotStore) load(ctx context.Context) (*scheduler.Snapshot, error) {
	named, err := s.table.Get(ctx, s.rowKey())
	if errors.Is(err, storeapi.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read snapshot row")
	}
	var row snapshotRow
	if err := json.Unmarshal(named.Value, &row); err != nil {
		return nil, errors.Wrap(err, "decode snapshot row")
	}
	encoded, err := s.objects.GetObject(ctx, row.Object)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", row.Object)
	}
	snapshot := &scheduler.Snapshot{}
	if err := json.Unmarshal(encoded, snapshot); err != nil {
		return nil, errors.Wrapf(err, "decode %s", row.Object)
	}
	if len(row.Segments) > 0 && crc32.ChecksumIEEE(encoded) != row.Sum {
		return snapshot, errors.Wrapf(errSegment, "%s is not the one that the segments follow", row.Object)
	}
	for number, sum := range row.Segments {
		delta, err := s.loadSegment(ctx, row.segment(number), sum)
		if err != nil {
			return snapshot, errors.Wrapf(err, "segment %d of %d", number+1, len(row.Segments))
		}
		snapshot = snapshot.Apply(delta)
	}
	return snapshot, nil
}

func (s *snapshotStore) loadSegment(ctx context.Context, object string, sum uint32) (*scheduler.SnapshotDelta, error) {
	encoded, err := s.objects.GetObject(ctx, object)
	if err != nil {
		return nil, errors.CombineErrors(errSegment, err)
	}
	if crc32.ChecksumIEEE(encoded) != sum {
		return nil, errors.Wrapf(errSegment, "%s has another checksum", object)
	}
	delta := &scheduler.SnapshotDelta{}
	if err := json.Unmarshal(encoded, delta); err != nil {
		return nil, errors.CombineErrors(errSegment, err)
	}
	return delta, nil
}
