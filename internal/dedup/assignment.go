package dedup

import (
	"sort"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Holder is the incarnation of an agent that keeps the claim of a request.
type Holder struct {
	Home        model.BackendServerID
	Incarnation model.Incarnation
	// FloorUnixMS is the mint time up to which the holder cannot know a request.
	FloorUnixMS int64
}

// HolderOf returns the holder of a request minted at mintMS. All processes that
// have the same assignment get the same holder. It returns false when the
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

// rangeOf returns the range that contains a hash. There is at least one range, and
// they are sorted; a hash before the first range belongs to the last.
func rangeOf(a *wire.Assignment, hash uint64) *wire.HomeRange {
	i := sort.Search(len(a.Ranges), func(i int) bool { return a.Ranges[i].FirstHash > hash })
	if i == 0 {
		i = len(a.Ranges)
	}
	return &a.Ranges[i-1]
}

// KeepsClaims reports whether an agent still has to keep claims at the given time:
// it is the home of a range, or was the previous home of one that changed homes
// less than handover plus twice the clock skew bound ago.
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
