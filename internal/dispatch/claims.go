package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"dragonflyyard/internal/workload"
)

// claims collects where the missing tasks of a unit go and what is stopped there.
type claims struct {
	room    *room
	unit    *unit
	budget  budget
	workers *choice[claimCost]
	places  []*worker
	victims []victim
	chosen  map[*order]bool
	// coming is what will be free beyond the room, by what is being stopped.
	coming map[*worker]workload.Resources
	// cost is the work that is thrown away, and charged the part of it that
	// counts against the budget.
	cost, charged float64
}

// claimCost is what is stopped on a worker for one more task, and the unsaved
// work of it. There may be nothing to stop.
type claimCost struct {
	victims []victim
	cost    float64
}

func newClaims(r *room, u *unit, b budget, workers []*worker) *claims {
	cl := &claims{room: r, unit: u, budget: b, chosen: map[*order]bool{}, coming: maps.Clone(r.coming)}
	cl.workers = newChoice(workers, cl.costOn, func(a, b *claimCost) bool { return a.cost < b.cost })
	return cl
}

// claimOne chooses a worker for one more task, and what is stopped there. It
// returns false when there is none, or none inside what may be thrown away.
func (cl *claims) claimOne() bool {
	w, c := cl.workers.best()
	if w == nil {
		return false
	}
	if len(cl.places) >= cl.budget.promised {
		if cl.charged+c.cost > cl.budget.coreSeconds {
			return false
		}
		cl.charged += c.cost
	}
	cl.cost += c.cost
	cl.victims = append(cl.victims, c.victims...)
	cl.places = append(cl.places, w)
	cl.room.take(cl.unit, w)
	for _, v := range c.victims {
		for _, o := range v.all() {
			cl.chosen[o] = true
			cl.coming[o.worker] = cl.coming[o.worker].Add(o.demand)
			cl.workers.changed(o.worker)
		}
	}
	cl.workers.changed(w)
	return true
}

// costOn returns what is stopped on a worker to make room for one task, the runs
// with the least unsaved work first and no more than needed, and false when
// there is not enough.
func (cl *claims) costOn(w *worker) (claimCost, bool) {
	if !cl.room.allowed(cl.unit, w) || !cl.room.underLimit(cl.unit, w) {
		return claimCost{}, false
	}
	demand := cl.unit.spec().PerTask
	free := cl.room.free[w].Add(cl.coming[w])
	var out claimCost
	for _, v := range cl.room.stoppableOn(w) {
		if demand.Fits(free) {
			break
		}
		if o := v.orders[0]; !o.stopWanted && !cl.chosen[o] {
			out.victims = append(out.victims, v)
			free = free.Add(v.demand)
		}
	}
	if !demand.Fits(free) {
		return claimCost{}, false
	}
	out.victims = withoutNeedless(out.victims, free, demand)
	for _, v := range out.victims {
		out.cost += v.unsaved
	}
	return out, true
}

// victim is what is stopped together on a worker: a run, or those members of a
// gang that run there.
type victim struct {
	orders []*order
	demand workload.Resources
	// unsaved is the work that is thrown away, that of a gang's members elsewhere
	// included, in core seconds.
	unsaved float64
}

// all returns the runs that end with the victim, those on other workers, too.
func (v *victim) all() []*order { return v.orders[0].group() }

// stoppableOn returns what urgent work may stop on a worker, the least unsaved
// work first.
func (r *room) stoppableOn(w *worker) []victim {
	if known, ok := r.stoppable[w]; ok {
		return known
	}
	var out []victim
	gangs := map[gangRun]int{}
	for _, o := range sortedOrders(w.orders) {
		if o.job.Priority == 0 || o.step().LongRunning || o.stopWanted || o.version == 0 {
			continue
		}
		if at, known := gangs[o.gangRun()]; known && o.step().Gang {
			out[at].orders = append(out[at].orders, o)
			out[at].demand = out[at].demand.Add(o.demand)
			continue
		}
		gangs[o.gangRun()] = len(out)
		out = append(out, victim{orders: []*order{o}, demand: o.demand, unsaved: unsaved(r.now, o)})
	}
	slices.SortStableFunc(out, func(a, b victim) int { return cmp.Compare(a.unsaved, b.unsaved) })
	r.stoppable[w] = out
	return out
}

// withoutNeedless drops victims whose capacity is not needed, the costliest first.
func withoutNeedless(victims []victim, free, demand workload.Resources) []victim {
	kept := victims
	for i := len(kept) - 1; i >= 0; i-- {
		if rest := free.Sub(kept[i].demand); demand.Fits(rest) {
			free = rest
			kept = slices.Delete(kept, i, i+1)
		}
	}
	return kept
}
