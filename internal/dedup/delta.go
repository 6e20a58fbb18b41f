package dedup

import (
	"cmp"
	"slices"

	"dragonflyyard/internal/wire"
)

// maxHistoryVersions is how many versions a History keeps, so that a process that
// is a few versions behind gets only the ranges that moved.
const maxHistoryVersions = 8

// History holds the last versions of an assignment and builds updates from them.
type History struct {
	versions []wire.Assignment
	// deltas caches the deltas to the last version by base version; nil means that
	// the two versions are not split into the same ranges.
	deltas map[uint64]*wire.AssignmentDelta
}

// Add appends the next version. A version that is not higher than the last one is
// ignored.
func (h *History) Add(a wire.Assignment) {
	if len(h.versions) > 0 && a.Version <= h.versions[len(h.versions)-1].Version {
		return
	}
	h.versions = append(h.versions, a)
	if len(h.versions) > maxHistoryVersions {
		h.versions = slices.Delete(h.versions, 0, 1)
	}
	h.deltas = map[uint64]*wire.AssignmentDelta{}
}

// Version returns the last version, zero if there is none.
func (h *History) Version() uint64 {
	if len(h.versions) == 0 {
		return 0
	}
	return h.versions[len(h.versions)-1].Version
}

// FillUpdate sets in update what a process at the given version needs to get to
// the last one: a delta if that version is kept and split into the same ranges,
// the full assignment otherwise, and nothing if the process is up to date. Version
// zero requests the full assignment.
func (h *History) FillUpdate(update *wire.ConfigUpdate, version uint64) {
	if version >= h.Version() {
		return
	}
	if update.Delta = h.deltaFrom(version); update.Delta != nil {
		return
	}
	last := h.versions[len(h.versions)-1]
	update.Assignment = &last
}

// deltaFrom returns the delta from a version to the last one, nil if that version
// is not kept or split into other ranges.
func (h *History) deltaFrom(version uint64) *wire.AssignmentDelta {
	if delta, cached := h.deltas[version]; cached {
		return delta
	}
	i := slices.IndexFunc(h.versions, func(a wire.Assignment) bool { return a.Version == version })
	if i < 0 {
		return nil
	}
	delta := deltaBetween(&h.versions[i], &h.versions[len(h.versions)-1])
	h.deltas[version] = delta
	return delta
}

// deltaBetween returns the ranges of to that differ from those of from, or nil
// when the two are split into different ranges.
func deltaBetween(from, to *wire.Assignment) *wire.AssignmentDelta {
	if len(from.Ranges) != len(to.Ranges) {
		return nil
	}
	delta := &wire.AssignmentDelta{From: from.Version, To: to.Version, Count: len(to.Ranges)}
	for i, r := range to.Ranges {
		if r.FirstHash != from.Ranges[i].FirstHash {
			return nil
		}
		if r != from.Ranges[i] {
			delta.Ranges = append(delta.Ranges, r)
		}
	}
	return delta
}

// ApplyUpdate returns the assignment that results from an update, and whether its
// version is higher. It never returns a lower version. A delta applies only to
// exactly its base version: a range that moved away and back between the two
// versions of a delta is not part of it, so the delta would be wrong for a version
// in between.
func ApplyUpdate(current wire.Assignment, update *wire.ConfigUpdate) (wire.Assignment, bool) {
	if full := update.Assignment; full != nil && full.Version > current.Version {
		return *full, true
	}
	delta := update.Delta
	if delta == nil || delta.To <= current.Version || delta.From != current.Version || delta.Count != len(current.Ranges) {
		return current, false
	}
	next := wire.Assignment{Version: delta.To, Ranges: slices.Clone(current.Ranges)}
	for _, r := range delta.Ranges {
		i, found := slices.BinarySearchFunc(next.Ranges, r.FirstHash, compareFirstHash)
		if !found {
			return current, false
		}
		next.Ranges[i] = r
	}
	return next, true
}

func compareFirstHash(r wire.HomeRange, hash uint64) int {
	return cmp.Compare(r.FirstHash, hash)
}
