package placement

import (
	"cmp"
	"slices"

	"dragonflyyard/internal/model"
)

// Fit says how workers are chosen among those that fit.
type Fit uint8

// Ways to choose.
const (
	// BestFit leaves the least free in the chosen rack, so that other racks stay whole.
	BestFit Fit = iota
	// FirstFit takes workers in the order of zone, rack and worker.
	FirstFit
)

// maxRacksTried bounds the racks of one group that are looked at one by one,
// when cores or memory are short where accelerators are not.
const maxRacksTried = 32

// Request asks for places of equal tasks.
type Request struct {
	Shape model.Shape
	Fit   Fit
	// Limit bounds the tasks on one worker; nil sets no bound.
	Limit func(model.WorkerID) int
}

// Place returns a worker for each task, or nil. The index does not change.
func (x *Index) Place(r Request) []model.WorkerID {
	if r.Shape.Tasks < 1 {
		return nil
	}
	p := &placer{x: x, r: r}
	if r.Fit == FirstFit {
		return p.firstFit()
	}
	switch r.Shape.Topology {
	case model.TopologyRack:
		return p.inOneRack(x.zones)
	case model.TopologyZone:
		return p.inOneZone()
	default:
		return p.anywhere()
	}
}

// placer is one placement under way.
type placer struct {
	x *Index
	r Request
}

// slots returns how many of the request's tasks a worker takes.
func (p *placer) slots(w *worker) int {
	if !w.usable {
		return 0
	}
	n := Slots(w.free, p.r.Shape.PerTask)
	if n > 0 && p.r.Limit != nil {
		n = min(n, p.r.Limit(w.id))
	}
	return n
}

// Slots returns how many tasks that need per each fit in free.
func Slots(free, per model.Resources) int {
	n := model.MaxGangSize
	n = min(n, slotsOf(free.Accelerators, per.Accelerators))
	n = min(n, slotsOf(free.Cores, per.Cores))
	return max(0, min(n, slotsOf(free.MemoryMB, per.MemoryMB)))
}

func slotsOf(free, per int) int {
	if per <= 0 {
		return model.MaxGangSize
	}
	return free / per
}

// candidate is a rack that takes a number of tasks.
type candidate struct {
	rack  *rack
	slots int
	// free is the rack's free accelerators.
	free int
}

// rackFor returns the best rack that takes at least want tasks, or, when none
// does and partial is set, the one that takes the most.
func (p *placer) rackFor(zones []*zone, want int, partial bool, used map[*rack]bool) (candidate, bool) {
	var best candidate
	found := false
	for _, z := range zones {
		for _, g := range z.order {
			bound := min(g.slots(p.r.Shape.PerTask.Accelerators), model.MaxGangSize)
			if bound == 0 || bound < want && !partial {
				continue
			}
			if found && !better(candidate{slots: bound, free: g.free}, best, want) {
				continue
			}
			if c, ok := p.rackInGroup(g, min(want, bound), partial, used); ok && (!found || better(c, best, want)) {
				best = c
				found = true
			}
		}
	}
	return best, found
}

// better orders candidates: one that takes all tasks goes before one that does
// not; among the former the one with the least free; among the latter the one
// that takes the most.
func better(a, b candidate, want int) bool {
	aAll, bAll := a.slots >= want, b.slots >= want
	switch {
	case aAll != bAll:
		return aAll
	case aAll:
		return a.free < b.free
	case a.slots != b.slots:
		return a.slots > b.slots
	default:
		return a.free < b.free
	}
}

// rackInGroup returns a rack of a group that takes want tasks, checking cores,
// memory and limits of a bounded number of racks.
func (p *placer) rackInGroup(g *group, want int, partial bool, used map[*rack]bool) (candidate, bool) {
	best := candidate{free: g.free}
	tried := 0
	for _, r := range g.racks {
		if used[r] {
			continue
		}
		n := 0
		for _, w := range r.workers {
			n += p.slots(w)
		}
		if n >= want {
			best.rack = r
			best.slots = n
			break
		}
		if partial && n > best.slots {
			best.rack = r
			best.slots = n
		}
		if tried++; tried >= maxRacksTried {
			break
		}
	}
	return best, best.rack != nil
}

// fill puts up to want tasks on a rack, on the fullest workers that take them.
func (p *placer) fill(r *rack, want int) []model.WorkerID {
	type choice struct {
		w     *worker
		slots int
	}
	var choices []choice
	for _, w := range r.workers {
		if n := p.slots(w); n > 0 {
			choices = append(choices, choice{w, n})
		}
	}
	var out []model.WorkerID
	for len(out) < want && len(choices) > 0 {
		left := want - len(out)
		slices.SortStableFunc(choices, func(a, b choice) int {
			aAll, bAll := a.slots >= left, b.slots >= left
			if aAll != bAll {
				if aAll {
					return -1
				}
				return 1
			}
			if aAll {
				return a.w.free.Accelerators - b.w.free.Accelerators
			}
			return b.slots - a.slots
		})
		take := min(left, choices[0].slots)
		for range take {
			out = append(out, choices[0].w.id)
		}
		choices = choices[1:]
	}
	return out
}

func (p *placer) inOneRack(zones []*zone) []model.WorkerID {
	c, ok := p.rackFor(zones, p.r.Shape.Tasks, false, nil)
	if !ok {
		return nil
	}
	return p.fill(c.rack, p.r.Shape.Tasks)
}

// inOneZone takes the zone in which the gang needs the fewest racks.
func (p *placer) inOneZone() []model.WorkerID {
	var best []model.WorkerID
	bestRacks := 0
	for i := range p.x.zones {
		out, racks := p.spread(p.x.zones[i : i+1])
		if out != nil && (best == nil || racks < bestRacks) {
			best = out
			bestRacks = racks
		}
	}
	return best
}

// anywhere prefers one rack, then one zone, then several zones.
func (p *placer) anywhere() []model.WorkerID {
	if out := p.inOneRack(p.x.zones); out != nil {
		return out
	}
	if out := p.inOneZone(); out != nil {
		return out
	}
	out, _ := p.spread(p.x.zones)
	return out
}

// spread fills racks one after the other, and returns how many it took.
func (p *placer) spread(zones []*zone) ([]model.WorkerID, int) {
	var out []model.WorkerID
	used := map[*rack]bool{}
	for len(out) < p.r.Shape.Tasks {
		want := p.r.Shape.Tasks - len(out)
		c, ok := p.rackFor(zones, want, true, used)
		if !ok || c.slots == 0 {
			return nil, 0
		}
		used[c.rack] = true
		out = append(out, p.fill(c.rack, want)...)
	}
	return out, len(used)
}

// firstFit takes the workers in order, as a scheduler without an index would.
func (p *placer) firstFit() []model.WorkerID {
	var out []model.WorkerID
	for _, z := range p.x.zones {
		if p.r.Shape.Topology == model.TopologyZone {
			out = nil
		}
		for _, r := range p.x.sortedRacks(z) {
			if p.r.Shape.Topology == model.TopologyRack {
				out = nil
			}
			for _, w := range r.workers {
				for range min(p.slots(w), p.r.Shape.Tasks-len(out)) {
					out = append(out, w.id)
				}
			}
			if len(out) == p.r.Shape.Tasks {
				return out
			}
		}
	}
	return nil
}

func (x *Index) sortedRacks(z *zone) []*rack {
	var racks []*rack
	for _, r := range x.racks {
		if r.zone == z {
			racks = append(racks, r)
		}
	}
	slices.SortFunc(racks, func(a, b *rack) int { return cmp.Compare(a.id, b.id) })
	return racks
}
