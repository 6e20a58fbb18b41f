package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"dragonflyyard/internal/workload"
)

// preemptionPlan collects the workers for the unplaced tasks of a unit and the
// victims to stop there.
type preemptionPlan struct {
	round      *schedulingRound
	unit       *unit
	budget     budget
	candidates *scoredWorkers[victimSet]
	targets    []*worker
	victims    []victim
	chosen     map[*order]bool
	// releasing is the demand that each worker's runs release when they end that
	// are being stopped or that the plan has chosen.
	releasing map[*worker]workload.Resources
	// cost is the unsaved work that the plan discards, and charged the part of it
	// that counts against the budget, both in core seconds.
	cost, charged float64
}

// victimSet holds the victims on a worker that make room for one more task, and
// their unsaved work in core seconds. It may be empty.
type victimSet struct {
	victims []victim
	cost    float64
}

func newPreemptionPlan(r *schedulingRound, u *unit, b budget, workers []*worker) *preemptionPlan {
	plan := &preemptionPlan{round: r, unit: u, budget: b, chosen: map[*order]bool{}, releasing: maps.Clone(r.releasing)}
	plan.candidates = newScoredWorkers(workers, plan.victimsOn, func(a, b *victimSet) bool { return a.cost < b.cost })
	return plan
}

// addTask chooses the worker for one more task and the victims there. It returns
// false if no worker suits or if the cheapest one exceeds the budget.
func (plan *preemptionPlan) addTask() bool {
	w, c := plan.candidates.best()
	if w == nil {
		return false
	}
	if len(plan.targets) >= plan.budget.guaranteedTasks {
		if plan.charged+c.cost > plan.budget.coreSeconds {
			return false
		}
		plan.charged += c.cost
	}
	plan.cost += c.cost
	plan.victims = append(plan.victims, c.victims...)
	plan.targets = append(plan.targets, w)
	plan.round.allocate(plan.unit, w)
	for _, v := range c.victims {
		for _, o := range v.groupOrders() {
			plan.chosen[o] = true
			plan.releasing[o.worker] = plan.releasing[o.worker].Add(o.demand)
			plan.candidates.rescore(o.worker)
		}
	}
	plan.candidates.rescore(w)
	return true
}

// victimsOn returns the victims on a worker for one more task: those with the
// least unsaved work, and no more than needed. It returns false if stopping all
// of them would not be enough.
func (plan *preemptionPlan) victimsOn(w *worker) (victimSet, bool) {
	if !plan.round.allowed(plan.unit, w) || !plan.round.underLimit(plan.unit, w) {
		return victimSet{}, false
	}
	demand := plan.unit.spec().PerTask
	free := plan.round.free[w].Add(plan.releasing[w])
	var out victimSet
	for _, v := range plan.round.preemptibleOn(w) {
		if demand.Fits(free) {
			break
		}
		if o := v.orders[0]; !o.stopRequested && !plan.chosen[o] {
			out.victims = append(out.victims, v)
			free = free.Add(v.demand)
		}
	}
	if !demand.Fits(free) {
		return victimSet{}, false
	}
	out.victims = dropUnneeded(out.victims, free, demand)
	for _, v := range out.victims {
		out.cost += v.unsavedWork
	}
	return out, true
}

// victim is a set of runs on a worker that are stopped together: a single run, or
// the members of a gang that run there.
type victim struct {
	orders []*order
	demand workload.Resources
	// unsavedWork is the work that stopping the victim discards, in core seconds,
	// including that of the gang's members on other workers.
	unsavedWork float64
}

// groupOrders returns the orders of all runs that stop with the victim, including
// those on other workers.
func (v *victim) groupOrders() []*order { return v.orders[0].groupOrders() }

// preemptibleOn returns the runs on a worker that urgent work may preempt, those
// with the least unsaved work first.
func (r *schedulingRound) preemptibleOn(w *worker) []victim {
	if known, ok := r.victimsByWorker[w]; ok {
		return known
	}
	var out []victim
	gangs := map[gangRun]int{}
	for _, o := range sortedOrders(w.orders) {
		if o.job.Priority == 0 || o.step().LongRunning || o.stopRequested || o.version == 0 {
			continue
		}
		if at, known := gangs[o.gangRun()]; known && o.step().Gang {
			out[at].orders = append(out[at].orders, o)
			out[at].demand = out[at].demand.Add(o.demand)
			continue
		}
		gangs[o.gangRun()] = len(out)
		out = append(out, victim{orders: []*order{o}, demand: o.demand, unsavedWork: unsavedWork(r.now, o)})
	}
	slices.SortStableFunc(out, func(a, b victim) int { return cmp.Compare(a.unsavedWork, b.unsavedWork) })
	r.victimsByWorker[w] = out
	return out
}

// dropUnneeded removes the victims whose capacity is not needed, the costliest
// first.
func dropUnneeded(victims []victim, free, demand workload.Resources) []victim {
	kept := victims
	for i := len(kept) - 1; i >= 0; i-- {
		if rest := free.Sub(kept[i].demand); demand.Fits(rest) {
			free = rest
			kept = slices.Delete(kept, i, i+1)
		}
	}
	return kept
}
