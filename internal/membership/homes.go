package membership

import (
	"math/bits"
	"sort"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Sizes of a home assignment.
const (
	minRanges = 64
	// maxRanges bounds the size of an assignment on the wire.
	maxRanges = 4096
	// rangesPerAgent is how finely the key space is cut, to even out the load.
	rangesPerAgent = 4
)

// HomeAgent is an agent that is alive.
type HomeAgent struct {
	ID          model.BackendServerID
	Incarnation model.Incarnation
	// Leaving agents get no ranges, but still answer for those they had.
	Leaving bool
}

// PlanHomes returns an assignment in which each range has a live home that
// stays, and whether it differs from the present one. It moves as few ranges as
// it can: those of homes that are gone or leaving, and as many as it takes for
// no agent to hold more than its even share rounded up. An agent in a new
// incarnation gets its ranges back, as it knows nothing of its former ones. A
// range that moves away from a live home keeps that one as its previous home.
// A moved range starts at nowUnixMS plus settle. Its home may know only requests
// that were minted later than the longest permit after it received the
// assignment, so settle is at least the longest permit and the time until the
// assignment is written and received; it is also at least twice the clock skew
// bound and the time for which a leaving agent lingers. A range whose previous
// home still keeps claims for it is not moved again while its home is alive,
// since a range remembers only one previous home. A previous home that is gone is
// cleared. The first assignment of all starts at once: nobody granted anything
// before it.
func PlanHomes(present wire.Assignment, agents []HomeAgent, nowUnixMS int64, settle time.Duration) (wire.Assignment, bool) {
	plan := newHomePlan(agents, nowUnixMS, settle.Milliseconds())
	plan.isFirst = present.Version == 0
	if len(plan.agents) == 0 {
		return present, false
	}
	plan.cut(present, rangeCount(len(plan.agents)))
	plan.dropLost()
	plan.shedExcess()
	plan.fill()
	plan.clearPrevious()
	if !plan.changed {
		return present, false
	}
	return wire.Assignment{Version: present.Version + 1, Ranges: plan.ranges}, true
}

// HomeOf returns the range that a request hash falls into.
func HomeOf(a wire.Assignment, hash uint64) (wire.HomeRange, bool) {
	i := sort.Search(len(a.Ranges), func(i int) bool { return a.Ranges[i].FirstHash > hash })
	if i == 0 {
		return wire.HomeRange{}, false
	}
	return a.Ranges[i-1], true
}

type homePlan struct {
	ranges []wire.HomeRange
	// agents are those that stay, sorted by ID; live holds the leaving ones too.
	agents  []HomeAgent
	live    map[model.BackendServerID]model.Incarnation
	load    map[model.BackendServerID]int
	open    []int
	now     int64
	settle  int64
	isFirst bool
	changed bool
}

func newHomePlan(agents []HomeAgent, now, settle int64) *homePlan {
	p := &homePlan{
		live:   map[model.BackendServerID]model.Incarnation{},
		load:   map[model.BackendServerID]int{},
		now:    now,
		settle: settle,
	}
	for _, agent := range agents {
		p.live[agent.ID] = agent.Incarnation
		if !agent.Leaving {
			p.agents = append(p.agents, agent)
		}
	}
	sort.Slice(p.agents, func(i, j int) bool { return p.agents[i].ID < p.agents[j].ID })
	return p
}

// rangeCount returns how many ranges a number of agents shares, a power of two.
func rangeCount(agents int) int {
	want := max(agents*rangesPerAgent, minRanges)
	return min(1<<bits.Len(uint(want-1)), maxRanges)
}

// cut copies the ranges, or cuts them finer when there are many more agents. A
// piece of a range keeps its home and its start.
func (p *homePlan) cut(present wire.Assignment, count int) {
	if len(present.Ranges) >= count {
		p.ranges = append([]wire.HomeRange(nil), present.Ranges...)
		return
	}
	p.changed = true
	step := ^uint64(0)/uint64(count) + 1
	for i := range count {
		first := uint64(i) * step
		piece, _ := HomeOf(present, first)
		piece.FirstHash = first
		p.ranges = append(p.ranges, piece)
	}
}

// dropLost opens the ranges whose home is gone or leaves, and gives those of an
// agent in a new incarnation back to it.
func (p *homePlan) dropLost() {
	stays := map[model.BackendServerID]HomeAgent{}
	for _, agent := range p.agents {
		stays[agent.ID] = agent
	}
	for i, r := range p.ranges {
		agent, staying := stays[r.Home]
		switch {
		case !staying && p.isHandedOver(r):
			continue
		case !staying:
			p.open = append(p.open, i)
		case agent.Incarnation != r.Incarnation:
			p.move(i, agent)
		default:
			p.load[r.Home]++
		}
	}
}

// isHandedOver reports whether a range's previous home still keeps claims for
// it, and its home is alive to take the later ones.
func (p *homePlan) isHandedOver(r wire.HomeRange) bool {
	previous, previousAlive := p.live[r.PreviousHome]
	home, homeAlive := p.live[r.Home]
	return previousAlive && previous == r.PreviousIncarnation && homeAlive && home == r.Incarnation &&
		p.now < r.SinceUnixMS+p.settle
}

// clearPrevious forgets previous homes that are gone. This alone makes another
// assignment only while the previous home is still asked for new requests.
func (p *homePlan) clearPrevious() {
	for i, r := range p.ranges {
		incarnation, alive := p.live[r.PreviousHome]
		if r.PreviousHome == "" || (alive && incarnation == r.PreviousIncarnation) {
			continue
		}
		r.PreviousHome, r.PreviousIncarnation, r.PreviousSinceUnixMS = "", 0, 0
		p.ranges[i] = r
		p.changed = p.changed || p.now < r.SinceUnixMS+p.settle
	}
}

// move gives a range to an agent. A home that is still alive in the same
// incarnation is kept as the previous one.
func (p *homePlan) move(i int, agent HomeAgent) {
	old := p.ranges[i]
	next := wire.HomeRange{
		FirstHash:   old.FirstHash,
		Home:        agent.ID,
		Incarnation: agent.Incarnation,
		SinceUnixMS: p.now + p.settle,
	}
	if p.isFirst {
		next.SinceUnixMS = wire.SinceFirstAssignment
	}
	if incarnation, alive := p.live[old.Home]; alive && incarnation == old.Incarnation {
		next.PreviousHome = old.Home
		next.PreviousIncarnation = old.Incarnation
		next.PreviousSinceUnixMS = old.SinceUnixMS
	} else if !p.isFirst {
		// Nobody answers for the IDs up to a later start, and the new home keeps to
		// the end of the permits under the former assignment by itself.
		next.SinceUnixMS = p.now
	}
	p.ranges[i] = next
	p.load[agent.ID]++
	p.changed = true
}

// shedExcess opens the ranges that agents hold above the even share rounded
// up, and as many more as agents below the share rounded down need.
func (p *homePlan) shedExcess() {
	ceiling := (len(p.ranges) + len(p.agents) - 1) / len(p.agents)
	floor := len(p.ranges) / len(p.agents)
	p.shed(ceiling, len(p.ranges))
	wanted := -len(p.open)
	for _, agent := range p.agents {
		wanted += max(0, floor-p.load[agent.ID])
	}
	p.shed(floor, wanted)
}

// shed opens at most count ranges of agents that hold more than limit. Ranges
// without a previous home go first, as a range remembers only one.
func (p *homePlan) shed(limit, count int) {
	opened := map[int]bool{}
	for _, i := range p.open {
		opened[i] = true
	}
	for _, withPrevious := range []bool{false, true} {
		for i := len(p.ranges) - 1; i >= 0 && count > 0; i-- {
			r := p.ranges[i]
			if opened[i] || p.isHandedOver(r) || p.load[r.Home] <= limit || (r.PreviousHome != "") != withPrevious {
				continue
			}
			opened[i] = true
			p.load[r.Home]--
			p.open = append(p.open, i)
			count--
		}
	}
}

// fill gives each open range to the agent with the fewest ranges.
func (p *homePlan) fill() {
	sort.Ints(p.open)
	for _, i := range p.open {
		p.move(i, p.leastLoaded())
	}
}

func (p *homePlan) leastLoaded() HomeAgent {
	least := p.agents[0]
	for _, agent := range p.agents[1:] {
		if p.load[agent.ID] < p.load[least.ID] {
			least = agent
		}
	}
	return least
}
