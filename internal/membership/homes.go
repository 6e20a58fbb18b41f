package membership

import (
	"math/bits"
	"sort"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Bounds of the number of ranges in an assignment.
const (
	minRanges = 64
	// maxRanges bounds the size of an assignment on the wire.
	maxRanges = 4096
	// rangesPerAgent is the least number of ranges per agent, up to maxRanges. It
	// evens out the load.
	rangesPerAgent = 4
)

// HomeAgent is a live agent.
type HomeAgent struct {
	ID          model.BackendServerID
	Incarnation model.Incarnation
	// Leaving is set while the agent is stopping: it is assigned no ranges, but
	// still answers claims for those it had.
	Leaving bool
}

// PlanHomes returns an assignment in which each range has a live home that is not
// leaving, and whether it differs from the current one. It moves as few ranges as
// possible: those whose home is gone or leaving, and as many more as needed so that
// no agent holds more than its even share rounded up. An agent in a new
// incarnation is assigned its ranges again from a new start, as it has lost its
// claims. A range that moves away from a live home keeps it as its previous home.
//
// A moved range starts at nowUnixMS plus startDelay. Its home can know only requests
// that were minted later than the longest permit validity after it received the
// assignment, so startDelay is at least the longest permit validity plus the time
// until the assignment is written and received. It is also at least twice the
// clock skew bound plus the time for which a leaving agent lingers. The first
// assignment starts at once, since no claim was granted before it.
//
// A range whose previous home still keeps claims for it is not moved again while
// its home is alive, since a range records only one previous home. A previous home
// that is gone is cleared.
func PlanHomes(current wire.Assignment, agents []HomeAgent, nowUnixMS int64, startDelay time.Duration) (wire.Assignment, bool) {
	plan := newHomePlan(agents, nowUnixMS, startDelay.Milliseconds())
	plan.isFirst = current.Version == 0
	if len(plan.stayingAgents) == 0 {
		return current, false
	}
	plan.copyOrSplit(current, rangeCount(len(plan.stayingAgents)))
	plan.unassignLost()
	plan.unassignExcess()
	plan.assignAll()
	plan.clearPrevious()
	if !plan.changed {
		return current, false
	}
	return wire.Assignment{Version: current.Version + 1, Ranges: plan.ranges}, true
}

// HomeOf returns the range that contains a request hash, or false if there is none.
func HomeOf(a wire.Assignment, hash uint64) (wire.HomeRange, bool) {
	i := sort.Search(len(a.Ranges), func(i int) bool { return a.Ranges[i].FirstHash > hash })
	if i == 0 {
		return wire.HomeRange{}, false
	}
	return a.Ranges[i-1], true
}

type homePlan struct {
	ranges []wire.HomeRange
	// stayingAgents are the agents that are not leaving, sorted by ID;
	// liveIncarnations holds the leaving ones as well.
	stayingAgents    []HomeAgent
	liveIncarnations map[model.BackendServerID]model.Incarnation
	rangeCounts      map[model.BackendServerID]int
	unassigned       []int
	nowUnixMS        int64
	startDelayMS     int64
	isFirst          bool
	changed          bool
}

func newHomePlan(agents []HomeAgent, nowUnixMS, startDelayMS int64) *homePlan {
	p := &homePlan{
		liveIncarnations: map[model.BackendServerID]model.Incarnation{},
		rangeCounts:      map[model.BackendServerID]int{},
		nowUnixMS:        nowUnixMS,
		startDelayMS:     startDelayMS,
	}
	for _, agent := range agents {
		p.liveIncarnations[agent.ID] = agent.Incarnation
		if !agent.Leaving {
			p.stayingAgents = append(p.stayingAgents, agent)
		}
	}
	sort.Slice(p.stayingAgents, func(i, j int) bool { return p.stayingAgents[i].ID < p.stayingAgents[j].ID })
	return p
}

// rangeCount returns the number of ranges for a number of agents, a power of two.
func rangeCount(agents int) int {
	want := max(agents*rangesPerAgent, minRanges)
	return min(1<<bits.Len(uint(want-1)), maxRanges)
}

// copyOrSplit copies the ranges, or splits them if the number of agents calls for
// more. The parts of a split range keep its home and its start.
func (p *homePlan) copyOrSplit(current wire.Assignment, count int) {
	if len(current.Ranges) >= count {
		p.ranges = append([]wire.HomeRange(nil), current.Ranges...)
		return
	}
	p.changed = true
	step := ^uint64(0)/uint64(count) + 1
	for i := range count {
		first := uint64(i) * step
		piece, _ := HomeOf(current, first)
		piece.FirstHash = first
		p.ranges = append(p.ranges, piece)
	}
}

// unassignLost unassigns the ranges whose home is gone or leaving, unless they are
// in a hand-over. Those of an agent in a new incarnation are assigned to it again.
func (p *homePlan) unassignLost() {
	byID := map[model.BackendServerID]HomeAgent{}
	for _, agent := range p.stayingAgents {
		byID[agent.ID] = agent
	}
	for i, r := range p.ranges {
		agent, stays := byID[r.Home]
		switch {
		case !stays && p.isInHandOver(r):
			continue
		case !stays:
			p.unassigned = append(p.unassigned, i)
		case agent.Incarnation != r.Incarnation:
			p.assign(i, agent)
		default:
			p.rangeCounts[r.Home]++
		}
	}
}

// isInHandOver reports whether a range's previous home still keeps claims for
// it, and its home is alive to keep the later ones.
func (p *homePlan) isInHandOver(r wire.HomeRange) bool {
	previous, previousAlive := p.liveIncarnations[r.PreviousHome]
	home, homeAlive := p.liveIncarnations[r.Home]
	return previousAlive && previous == r.PreviousIncarnation && homeAlive && home == r.Incarnation &&
		p.nowUnixMS < r.SinceUnixMS+p.startDelayMS
}

// clearPrevious clears previous homes that are gone. This counts as a change of the
// assignment only while new requests still go to the previous home.
func (p *homePlan) clearPrevious() {
	for i, r := range p.ranges {
		incarnation, alive := p.liveIncarnations[r.PreviousHome]
		if r.PreviousHome == "" || (alive && incarnation == r.PreviousIncarnation) {
			continue
		}
		r.PreviousHome, r.PreviousIncarnation, r.PreviousSinceUnixMS = "", 0, 0
		p.ranges[i] = r
		p.changed = p.changed || p.nowUnixMS < r.SinceUnixMS+p.startDelayMS
	}
}

// assign assigns a range to an agent. A home that is still alive in the same
// incarnation becomes the previous home.
func (p *homePlan) assign(i int, agent HomeAgent) {
	old := p.ranges[i]
	next := wire.HomeRange{
		FirstHash:   old.FirstHash,
		Home:        agent.ID,
		Incarnation: agent.Incarnation,
		SinceUnixMS: p.nowUnixMS + p.startDelayMS,
	}
	if p.isFirst {
		next.SinceUnixMS = wire.SinceFirstAssignment
	}
	if incarnation, alive := p.liveIncarnations[old.Home]; alive && incarnation == old.Incarnation {
		next.PreviousHome = old.Home
		next.PreviousIncarnation = old.Incarnation
		next.PreviousSinceUnixMS = old.SinceUnixMS
	} else if !p.isFirst {
		// No agent would answer for requests minted before a later start. The new
		// home itself refuses claims of requests minted before the permits under
		// the former assignment have ended.
		next.SinceUnixMS = p.nowUnixMS
	}
	p.ranges[i] = next
	p.rangeCounts[agent.ID]++
	p.changed = true
}

// unassignExcess unassigns the ranges that agents hold above the even share rounded
// up, and as many more as agents below the share rounded down need.
func (p *homePlan) unassignExcess() {
	ceiling := (len(p.ranges) + len(p.stayingAgents) - 1) / len(p.stayingAgents)
	floor := len(p.ranges) / len(p.stayingAgents)
	p.unassign(ceiling, len(p.ranges))
	wanted := -len(p.unassigned)
	for _, agent := range p.stayingAgents {
		wanted += max(0, floor-p.rangeCounts[agent.ID])
	}
	p.unassign(floor, wanted)
}

// unassign unassigns at most count ranges of agents that hold more than limit.
// Ranges without a previous home come first, as a range records only one.
func (p *homePlan) unassign(limit, count int) {
	isUnassigned := map[int]bool{}
	for _, i := range p.unassigned {
		isUnassigned[i] = true
	}
	for _, withPrevious := range []bool{false, true} {
		for i := len(p.ranges) - 1; i >= 0 && count > 0; i-- {
			r := p.ranges[i]
			if isUnassigned[i] || p.isInHandOver(r) || p.rangeCounts[r.Home] <= limit || (r.PreviousHome != "") != withPrevious {
				continue
			}
			isUnassigned[i] = true
			p.rangeCounts[r.Home]--
			p.unassigned = append(p.unassigned, i)
			count--
		}
	}
}

// assignAll assigns each unassigned range to the agent with the fewest ranges.
func (p *homePlan) assignAll() {
	sort.Ints(p.unassigned)
	for _, i := range p.unassigned {
		p.assign(i, p.agentWithFewestRanges())
	}
}

func (p *homePlan) agentWithFewestRanges() HomeAgent {
	least := p.stayingAgents[0]
	for _, agent := range p.stayingAgents[1:] {
		if p.rangeCounts[agent.ID] < p.rangeCounts[least.ID] {
			least = agent
		}
	}
	return least
}
