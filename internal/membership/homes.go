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

// HomeAgent is an agent that can be the home of ranges.
type HomeAgent struct {
	ID          model.BackendServerID
	Incarnation model.Incarnation
}

// PlanHomes returns an assignment in which each range has a live home, and
// whether it differs from the present one. It moves as few ranges as it can: those
// of homes that are gone or have a new incarnation, and as many as it takes
// for no agent to hold more than its even share rounded up. A moved range
// starts at nowUnixMS plus settle, which is at least the longest permit.
func PlanHomes(present wire.Assignment, agents []HomeAgent, nowUnixMS int64, settle time.Duration) (wire.Assignment, bool) {
	if len(agents) == 0 {
		return present, false
	}
	plan := newHomePlan(present, agents, nowUnixMS+settle.Milliseconds())
	plan.dropLost()
	plan.shedExcess()
	plan.fill()
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
	ranges  []wire.HomeRange
	agents  []HomeAgent
	live    map[model.BackendServerID]model.Incarnation
	load    map[model.BackendServerID]int
	open    []int
	since   int64
	changed bool
}

func newHomePlan(present wire.Assignment, agents []HomeAgent, since int64) *homePlan {
	p := &homePlan{
		agents: append([]HomeAgent(nil), agents...),
		live:   map[model.BackendServerID]model.Incarnation{},
		load:   map[model.BackendServerID]int{},
		since:  since,
	}
	sort.Slice(p.agents, func(i, j int) bool { return p.agents[i].ID < p.agents[j].ID })
	for _, agent := range p.agents {
		p.live[agent.ID] = agent.Incarnation
	}
	p.cut(present, rangeCount(len(agents)))
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

func (p *homePlan) dropLost() {
	for i, r := range p.ranges {
		incarnation, alive := p.live[r.Home]
		if !alive || incarnation != r.Incarnation {
			p.open = append(p.open, i)
			continue
		}
		p.load[r.Home]++
	}
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

// shed opens at most count ranges of agents that hold more than limit.
func (p *homePlan) shed(limit, count int) {
	opened := map[int]bool{}
	for _, i := range p.open {
		opened[i] = true
	}
	for i := len(p.ranges) - 1; i >= 0 && count > 0; i-- {
		home := p.ranges[i].Home
		if opened[i] || p.load[home] <= limit {
			continue
		}
		p.load[home]--
		p.open = append(p.open, i)
		count--
	}
}

// fill gives each open range to the agent with the fewest ranges.
func (p *homePlan) fill() {
	sort.Ints(p.open)
	for _, i := range p.open {
		agent := p.leastLoaded()
		p.load[agent.ID]++
		p.ranges[i].Home = agent.ID
		p.ranges[i].Incarnation = agent.Incarnation
		p.ranges[i].SinceUnixMS = p.since
		p.changed = true
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
