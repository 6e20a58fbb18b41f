package dedup

import (
	"sort"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// RangesPerHome is how many ranges NewAssignment gives to each home, so that
// the ranges of a lost home spread over several others.
const RangesPerHome = 4

// Holder is the agent, in one life, that keeps the claim of a request.
type Holder struct {
	Home        model.BackendServerID
	Incarnation model.Incarnation
	// FloorUnixMS: the holder cannot know requests minted at or before it.
	FloorUnixMS int64
}

// Member is an agent that can be a home.
type Member struct {
	ID          model.BackendServerID
	Incarnation model.Incarnation
	Leaving     bool
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

func rangeOf(a *wire.Assignment, hash uint64) *wire.HomeRange {
	i := sort.Search(len(a.Ranges), func(i int) bool { return a.Ranges[i].FirstHash > hash })
	if i == 0 {
		i = len(a.Ranges)
	}
	return &a.Ranges[i-1]
}

// IsNeeded reports whether an agent still keeps claims at the given time: it
// holds a range, or it held one until less than handover ago.
func IsNeeded(a *wire.Assignment, id model.BackendServerID, nowMS int64, skew, handover time.Duration) bool {
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

// NewAssignment returns version 1 with equal ranges over the members that stay.
func NewAssignment(members []Member, sinceMS int64) wire.Assignment {
	homes := staying(members)
	count := len(homes) * RangesPerHome
	a := wire.Assignment{Version: 1}
	if count == 0 {
		return a
	}
	width := ^uint64(0)/uint64(count) + 1
	for i := range count {
		h := homes[i%len(homes)]
		a.Ranges = append(a.Ranges, wire.HomeRange{
			FirstHash: uint64(i) * width, Home: h.ID, Incarnation: h.Incarnation, SinceUnixMS: sinceMS,
		})
	}
	return a
}

// Reassign returns the next assignment, and whether it differs from the given
// one. Ranges whose home is lost, leaving or in another life go to the members
// with the fewest ranges. A home that is alive and leaving stays on as the
// previous home. sinceMS must lie at least the longest permit in the future.
func Reassign(a *wire.Assignment, members []Member, sinceMS int64) (wire.Assignment, bool) {
	if a == nil || len(a.Ranges) == 0 {
		next := NewAssignment(members, sinceMS)
		if a != nil {
			next.Version = a.Version + 1
		}
		return next, len(next.Ranges) > 0
	}
	homes := staying(members)
	if len(homes) == 0 {
		return *a, false
	}
	alive := map[model.BackendServerID]model.Incarnation{}
	for _, m := range members {
		alive[m.ID] = m.Incarnation
	}
	load := rangeCounts(a, homes)
	next := wire.Assignment{Version: a.Version + 1, Ranges: append([]wire.HomeRange(nil), a.Ranges...)}
	changed := false
	for i := range next.Ranges {
		changed = reassignRange(&next.Ranges[i], homes, alive, load, sinceMS) || changed
	}
	changed = balance(&next, homes, load, sinceMS) || changed
	if !changed {
		return *a, false
	}
	return next, true
}

func reassignRange(r *wire.HomeRange, homes []Member, alive map[model.BackendServerID]model.Incarnation,
	load map[model.BackendServerID]int, sinceMS int64,
) bool {
	changed := false
	if r.PreviousHome != "" && alive[r.PreviousHome] != r.PreviousIncarnation {
		r.PreviousHome, r.PreviousIncarnation, r.PreviousSinceUnixMS = "", 0, 0
		changed = true
	}
	if _, stays := load[r.Home]; stays && alive[r.Home] == r.Incarnation {
		return changed
	}
	moveRange(r, leastLoaded(homes, load), alive[r.Home] == r.Incarnation, sinceMS)
	load[r.Home]++
	return true
}

func moveRange(r *wire.HomeRange, to Member, keepPrevious bool, sinceMS int64) {
	previous := *r
	*r = wire.HomeRange{FirstHash: r.FirstHash, Home: to.ID, Incarnation: to.Incarnation, SinceUnixMS: sinceMS}
	if keepPrevious {
		r.PreviousHome = previous.Home
		r.PreviousIncarnation = previous.Incarnation
		r.PreviousSinceUnixMS = previous.SinceUnixMS
	}
}

// balance gives ranges to members that have none. Only ranges without a
// previous home move, since a range remembers one previous home.
func balance(a *wire.Assignment, homes []Member, load map[model.BackendServerID]int, sinceMS int64) bool {
	changed := false
	for _, m := range homes {
		for load[m.ID] == 0 {
			r := movableRange(a, load)
			if r == nil {
				break
			}
			load[r.Home]--
			moveRange(r, m, true, sinceMS)
			load[m.ID]++
			changed = true
		}
	}
	return changed
}

func movableRange(a *wire.Assignment, load map[model.BackendServerID]int) *wire.HomeRange {
	var best *wire.HomeRange
	for i := range a.Ranges {
		r := &a.Ranges[i]
		if r.PreviousHome != "" || load[r.Home] < 2 {
			continue
		}
		if best == nil || load[r.Home] > load[best.Home] {
			best = r
		}
	}
	return best
}

func staying(members []Member) []Member {
	var homes []Member
	for _, m := range members {
		if !m.Leaving {
			homes = append(homes, m)
		}
	}
	sort.Slice(homes, func(i, j int) bool { return homes[i].ID < homes[j].ID })
	return homes
}

func rangeCounts(a *wire.Assignment, homes []Member) map[model.BackendServerID]int {
	load := map[model.BackendServerID]int{}
	for _, m := range homes {
		load[m.ID] = 0
	}
	for i := range a.Ranges {
		if _, ok := load[a.Ranges[i].Home]; ok {
			load[a.Ranges[i].Home]++
		}
	}
	return load
}

func leastLoaded(homes []Member, load map[model.BackendServerID]int) Member {
	best := homes[0]
	for _, m := range homes[1:] {
		if load[m.ID] < load[best.ID] {
			best = m
		}
	}
	return best
}
