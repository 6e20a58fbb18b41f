package scheduler

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"dragonflyyard/internal/estimate"
	"dragonflyyard/internal/guarantee"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/quarantine"
)

// SnapshotDelta is the difference between two snapshots of the same owner. The
// times of workers' last lease requests and grants change constantly and a
// successor does not use them, so a delta carries them only with workers that
// changed otherwise.
type SnapshotDelta struct {
	Epoch     model.Epoch
	Jobs      listDelta[model.JobID, JobState]
	Workers   listDelta[model.WorkerID, WorkerSnapshot]
	Cells     listDelta[string, guarantee.Cell]
	Estimates listDelta[estimate.Key, estimate.Samples]
	// The following lists are short and are always carried in full.
	Reservations []Reservation
	Quarantine   quarantine.State
	Ended        []model.JobID
	ZoneOutSince []ZoneSince
}

// listDelta holds the new and changed items of a sorted list and the keys of
// the removed ones.
type listDelta[K comparable, V any] struct {
	Set  []V
	Gone []K
}

// DeltaBetween returns the delta that turns one snapshot into another.
func DeltaBetween(from, to *Snapshot) *SnapshotDelta {
	return &SnapshotDelta{
		Epoch:        to.Epoch,
		Jobs:         diffList(from.Jobs, to.Jobs, jobKey, sameItem),
		Workers:      diffList(from.Workers, to.Workers, workerKey, sameWorker),
		Cells:        diffList(from.Cells, to.Cells, cellKey, sameItem),
		Estimates:    diffList(from.Estimates, to.Estimates, estimateKey, sameItem),
		Reservations: to.Reservations,
		Quarantine:   to.Quarantine,
		Ended:        to.Ended,
		ZoneOutSince: to.ZoneOutSince,
	}
}

// Apply returns the snapshot that results from a delta. The receiver is not
// modified.
func (s *Snapshot) Apply(d *SnapshotDelta) *Snapshot {
	return &Snapshot{
		Epoch:        d.Epoch,
		Jobs:         applyList(s.Jobs, d.Jobs, jobKey, cmp.Compare),
		Workers:      applyList(s.Workers, d.Workers, workerKey, cmp.Compare),
		Cells:        applyList(s.Cells, d.Cells, cellKey, cmp.Compare),
		Estimates:    applyList(s.Estimates, d.Estimates, estimateKey, estimate.CompareKeys),
		Reservations: d.Reservations,
		Quarantine:   d.Quarantine,
		Ended:        d.Ended,
		ZoneOutSince: d.ZoneOutSince,
	}
}

func jobKey(j JobState) model.JobID               { return j.Job.ID }
func workerKey(w WorkerSnapshot) model.WorkerID   { return w.Worker.ID }
func cellKey(c guarantee.Cell) string             { return c.Key }
func estimateKey(s estimate.Samples) estimate.Key { return s.Key }
func sameItem[V any](a, b V) bool                 { return reflect.DeepEqual(a, b) }

// sameWorker compares workers without the times of their last request and
// grant.
func sameWorker(a, b WorkerSnapshot) bool {
	a.LastRequest, a.LastGrant = time.Time{}, time.Time{}
	b.LastRequest, b.LastGrant = time.Time{}, time.Time{}
	return reflect.DeepEqual(a, b)
}

func diffList[K comparable, V any](from, to []V, key func(V) K, same func(a, b V) bool) listDelta[K, V] {
	old := make(map[K]V, len(from))
	for _, item := range from {
		old[key(item)] = item
	}
	var d listDelta[K, V]
	for _, item := range to {
		before, known := old[key(item)]
		delete(old, key(item))
		if !known || !same(before, item) {
			d.Set = append(d.Set, item)
		}
	}
	for _, item := range from {
		if _, gone := old[key(item)]; gone {
			d.Gone = append(d.Gone, key(item))
		}
	}
	return d
}

// applyList returns the list that results from d, sorted by key.
func applyList[K comparable, V any](list []V, d listDelta[K, V], key func(V) K, compare func(a, b K) int) []V {
	replaced := make(map[K]bool, len(d.Set)+len(d.Gone))
	for _, k := range d.Gone {
		replaced[k] = true
	}
	for _, item := range d.Set {
		replaced[key(item)] = true
	}
	var out []V
	for _, item := range list {
		if !replaced[key(item)] {
			out = append(out, item)
		}
	}
	out = append(out, d.Set...)
	slices.SortFunc(out, func(a, b V) int { return compare(key(a), key(b)) })
	return out
}
