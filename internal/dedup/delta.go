package dedup

import (
	"cmp"
	"slices"

	"dragonflyyard/internal/wire"
)

// keptAssignments is how many versions a History keeps, so that a process a few
// versions behind is sent the ranges that moved.
const keptAssignments = 8

// History holds the last versions of an assignment and makes updates from them.
type History struct {
	kept []wire.Assignment
	// deltas to the last version, by the version that they start from; nil for
	// one that cannot be followed range by range.
	deltas map[uint64]*wire.AssignmentDelta
}

// Add appends the next version. One that is not higher than the last is ignored.
func (h *History) Add(a wire.Assignment) {
	if len(h.kept) > 0 && a.Version <= h.kept[len(h.kept)-1].Version {
		return
	}
	h.kept = append(h.kept, a)
	if len(h.kept) > keptAssignments {
		h.kept = slices.Delete(h.kept, 0, 1)
	}
	h.deltas = map[uint64]*wire.AssignmentDelta{}
}

// Version returns the last version, zero if there is none.
func (h *History) Version() uint64 {
	if len(h.kept) == 0 {
		return 0
	}
	return h.kept[len(h.kept)-1].Version
}

// FillUpdate sets in update what brings a process from a version to the last one: a
// delta where that version is kept and cut into the same ranges, the whole
// assignment otherwise, nothing when the process has it. Version zero asks for
// the whole.
func (h *History) FillUpdate(update *wire.ConfigUpdate, version uint64) {
	if version >= h.Version() {
		return
	}
	if update.Delta = h.deltaFrom(version); update.Delta != nil {
		return
	}
	last := h.kept[len(h.kept)-1]
	update.Assignment = &last
}

func (h *History) deltaFrom(version uint64) *wire.AssignmentDelta {
	if delta, made := h.deltas[version]; made {
		return delta
	}
	at := slices.IndexFunc(h.kept, func(a wire.Assignment) bool { return a.Version == version })
	if at < 0 {
		return nil
	}
	delta := deltaBetween(&h.kept[at], &h.kept[len(h.kept)-1])
	h.deltas[version] = delta
	return delta
}

// deltaBetween returns the ranges of to that differ from those of from, or nil
// when the two are cut into different ranges.
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

// ApplyUpdate returns the assignment that results from an update, and whether it is
// a later one. It never goes to a lower version. A delta counts only from the
// very version that it starts from: a range that moved away and back between
// two versions is not in the delta, so it says nothing of those between.
func ApplyUpdate(present wire.Assignment, update *wire.ConfigUpdate) (wire.Assignment, bool) {
	if whole := update.Assignment; whole != nil && whole.Version > present.Version {
		return *whole, true
	}
	delta := update.Delta
	if delta == nil || delta.To <= present.Version || delta.From != present.Version || delta.Count != len(present.Ranges) {
		return present, false
	}
	next := wire.Assignment{Version: delta.To, Ranges: slices.Clone(present.Ranges)}
	for _, r := range delta.Ranges {
		i, found := slices.BinarySearchFunc(next.Ranges, r.FirstHash, compareFirstHash)
		if !found {
			return present, false
		}
		next.Ranges[i] = r
	}
	return next, true
}

func compareFirstHash(r wire.HomeRange, hash uint64) int {
	return cmp.Compare(r.FirstHash, hash)
}
