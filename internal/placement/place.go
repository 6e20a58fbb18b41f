package placement

import (
	"cmp"
	"slices"

	"dragonflyyard/internal/model"
)

// Fit is a strategy for the choice among the workers that fit a request.
type Fit uint8

// Fit strategies.
const (
	// BestFit chooses the rack with the fewest free accelerators that fits, to avoid
	// fragmenting other racks.
	BestFit Fit = iota
	// FirstFit chooses workers in the order of zone, rack and worker.
	FirstFit
)

// maxRacksTried bounds the racks of one group that a placement checks one by one.
// The racks of a group have equal free accelerators, but may lack cores or memory.
const maxRacksTried = 32

// Request describes a gang of equal tasks to place.
type Request struct {
	Shape model.Shape
	Fit   Fit
	// Limit bounds the tasks on one worker; nil sets no bound.
	Limit func(model.WorkerID) int
}

// Place returns a worker for each task, or nil if the gang does not fit. It does
// not reserve the capacity.
func (x *Index) Place(r Request) []model.WorkerID {
	if r.Shape.Tasks < 1 {
		return nil
	}
	p := &placer{index: x, request: r}
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

// placer holds the state of one call of Place.
type placer struct {
	index   *Index
	request Request
}

// slots returns how many of the request's tasks fit on a worker.
func (p *placer) slots(w *worker) int {
	if !w.usable {
		return 0
	}
	n := Slots(w.free, p.request.Shape.PerTask)
	if n > 0 && p.request.Limit != nil {
		n = min(n, p.request.Limit(w.id))
	}
	return n
}

// Slots returns how many tasks fit in the free capacity, with per as the need of
// one task; at most model.MaxGangSize.
func Slots(free, per model.Resources) int {
	n := model.MaxGangSize
	n = min(n, resourceSlots(free.Accelerators, per.Accelerators))
	n = min(n, resourceSlots(free.Cores, per.Cores))
	return max(0, min(n, resourceSlots(free.MemoryMB, per.MemoryMB)))
}

func resourceSlots(free, per int) int {
	if per <= 0 {
		return model.MaxGangSize
	}
	return free / per
}

// candidate is a rack with the number of tasks that fit on it.
type candidate struct {
	rack  *rack
	slots int
	// free is the number of free accelerators in the rack.
	free int
}

// bestRack returns the best unused rack that fits want tasks. If none does and
// partial is set, it returns the rack that fits the most tasks.
func (p *placer) bestRack(zones []*zone, want int, partial bool, used map[*rack]bool) (candidate, bool) {
	var best candidate
	found := false
	for _, z := range zones {
		for _, g := range z.sortedGroups {
			bound := min(g.slots(p.request.Shape.PerTask.Accelerators), model.MaxGangSize)
			if bound == 0 || bound < want && !partial {
				continue
			}
			if found && !better(candidate{slots: bound, free: g.totalFree}, best, want) {
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

// better reports whether candidate a is preferred to b. Candidates that fit all
// want tasks come first, those with the fewest free accelerators leading. The
// others are ordered by the number of tasks that fit, the most first, then by the
// fewest free accelerators.
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

// rackInGroup returns a rack of a group that fits want tasks or, if partial is set,
// as many as possible. It checks cores, memory and limits of at most maxRacksTried
// racks.
func (p *placer) rackInGroup(g *group, want int, partial bool, used map[*rack]bool) (candidate, bool) {
	best := candidate{free: g.totalFree}
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

// fill chooses workers of a rack for up to want tasks. It prefers a worker that fits
// all remaining tasks, the one with the fewest free accelerators first, and
// otherwise the worker that fits the most tasks.
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
	c, ok := p.bestRack(zones, p.request.Shape.Tasks, false, nil)
	if !ok {
		return nil
	}
	return p.fill(c.rack, p.request.Shape.Tasks)
}

// inOneZone chooses the zone in which the gang needs the fewest racks.
func (p *placer) inOneZone() []model.WorkerID {
	var best []model.WorkerID
	bestRacks := 0
	for i := range p.index.zones {
		out, racks := p.spread(p.index.zones[i : i+1])
		if out != nil && (best == nil || racks < bestRacks) {
			best = out
			bestRacks = racks
		}
	}
	return best
}

// anywhere prefers one rack, then one zone, then several zones.
func (p *placer) anywhere() []model.WorkerID {
	if out := p.inOneRack(p.index.zones); out != nil {
		return out
	}
	if out := p.inOneZone(); out != nil {
		return out
	}
	out, _ := p.spread(p.index.zones)
	return out
}

// spread places the gang on one or more racks of the given zones, best rack first.
// It returns the workers and the number of racks, or nil if the gang does not fit.
func (p *placer) spread(zones []*zone) ([]model.WorkerID, int) {
	var out []model.WorkerID
	used := map[*rack]bool{}
	for len(out) < p.request.Shape.Tasks {
		want := p.request.Shape.Tasks - len(out)
		c, ok := p.bestRack(zones, want, true, used)
		if !ok || c.slots == 0 {
			return nil, 0
		}
		used[c.rack] = true
		out = append(out, p.fill(c.rack, want)...)
	}
	return out, len(used)
}

// firstFit chooses the first workers in the order of zone, rack and worker. It scans
// all workers and does not use the groups, like a scheduler without an index.
func (p *placer) firstFit() []model.WorkerID {
	var out []model.WorkerID
	for _, z := range p.index.zones {
		if p.request.Shape.Topology == model.TopologyZone {
			out = nil
		}
		for _, r := range p.index.sortedRacks(z) {
			if p.request.Shape.Topology == model.TopologyRack {
				out = nil
			}
			for _, w := range r.workers {
				for range min(p.slots(w), p.request.Shape.Tasks-len(out)) {
					out = append(out, w.id)
				}
			}
			if len(out) == p.request.Shape.Tasks {
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
