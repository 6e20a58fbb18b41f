package dedup

import (
	"sort"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Holder is the agent, in one life, that keeps the claim of a request.
type Holder struct {
	Home        model.BackendServerID
	Incarnation model.Incarnation
	// FloorUnixMS: the holder cannot know requests minted at or before it.
	FloorUnixMS int64
}

// HolderOf returns the holder of a request minted at mintMS. Every process that
// has the same assignment finds the same holder. It returns false when the
// assignment has no ranges.
func HolderOf(a *wire.Assignment, id model.RequestID, mintMS int64, skew time.Duration) (Holder, bool) {
	if a == nil || len(a.Ranges) == 0 {
		return Holder{}, false
	}
	r := rangeOf(a, Hash(id))
	floor := r.SinceUnixMS + 2*skew.Milliseconds()
	if r.PreviousHome != "" && mintMS <= floor {
		previousFloor := r.PreviousSinceUnixMS + 2*skew.Milliseconds()
		return Holder{Home: r.PreviousHome, Incarnation: r.PreviousIncarnation, FloorUnixMS: previousFloor}, true
	}
	return Holder{Home: r.Home, Incarnation: r.Incarnation, FloorUnixMS: floor}, true
}

// rangeOf returns the range that a hash falls into. The ranges are sorted and not
// empty; a hash before the first of them belongs to the last.
func rangeOf(a *wire.Assignment, hash uint64) *wire.HomeRange {
	i := sort.Search(len(a.Ranges), func(i int) bool { return a.Ranges[i].FirstHash > hash })
	if i == 0 {
		i = len(a.Ranges)
	}
	return &a.Ranges[i-1]
}

// KeepsClaims reports whether an agent still keeps claims at the given time: it
// holds a range, or it held one until less than handover ago.
func KeepsClaims(a *wire.Assignment, id model.BackendServerID, nowMS int64, skew, handover time.Duration) bool {
	if a == nil {
		return false
	}
	for i := range a.Ranges {
		r := &a.Ranges[i]
		until := r.SinceUnixMS + (2*skew + handover).Milliseconds()
		if r.Home == id || (r.PreviousHome == id && nowMS < until) {
			return true
		}
	}
	return false
}
