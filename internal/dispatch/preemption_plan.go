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
	round  *schedulingRound
	unit   *unit
	budget budget
	// mayMove is set if runs within a guarantee may be stopped for the unit, and movesOwn
	// if those of its own account may, too.
	mayMove    bool
	movesOwn   bool
	candidates *scoredWorkers[victimSet]
	targets    []*worker
	victims    []victim
	chosen     map[*order]bool
	// releasing is the demand that each worker's runs release when they end that
	// are being stopped or that the plan has chosen.
	releasing map[*worker]workload.Resources
	// class is the highest class of a victim, cost what the stops cost, and charged the
	// unsaved work that counts against the budget, both in core seconds.
	class         yieldClass
	cost, charged float64
}

// victimSet holds the victims on a worker that make room for one more task, their
// highest class, the cost of their stops and their unsaved work, in core seconds. It may be
// empty.
type victimSet struct {
	victims       []victim
	class         yieldClass
	cost, unsaved float64
}

func (s *victimSet) before(o *victimSet) bool {
	return cmp.Or(cmp.Compare(s.class, o.class), cmp.Compare(s.cost, o.cost)) < 0
}

func newPreemptionPlan(r *schedulingRound, u *unit, b budget, movesOwn bool, workers []*worker) *preemptionPlan {
	plan := &preemptionPlan{round: r, unit: u, budget: b, mayMove: r.mayMove(u, b), movesOwn: movesOwn, chosen: map[*order]bool{}, releasing: maps.Clone(r.releasing)}
	plan.candidates = newScoredWorkers(workers, plan.victimsOn, (*victimSet).before)
	return plan
}

// before reports whether a plan is preferred to another one.
func (plan *preemptionPlan) before(o *preemptionPlan) bool {
	return cmp.Or(cmp.Compare(plan.class, o.class), cmp.Compare(plan.cost, o.cost)) < 0
}

// claims reports whether the next task of the plan is within the guarantee of its account.
func (plan *preemptionPlan) claims() bool { return len(plan.targets) < plan.budget.guaranteedTasks }

// addTask chooses the worker for one more task and the victims there. It returns
// false if no worker suits or if the cheapest one exceeds the budget.
func (plan *preemptionPlan) addTask() bool {
	if n := len(plan.targets); n > 0 && n == plan.budget.guaranteedTasks {
		// Fewer runs yield to the other tasks.
		plan.candidates.rescoreAll()
	}
	w, c := plan.candidates.best()
	if w == nil {
		return false
	}
	if !plan.claims() {
		if plan.charged+c.unsaved > plan.budget.coreSeconds {
			return false
		}
		plan.charged += c.unsaved
	}
	plan.class = max(plan.class, c.class)
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

// prune drops victims that the plan does not need, the costliest first: of tasks that were
// added one by one, those that stop a gang leave room on other workers. It leaves a plan
// as it is that counts against a budget.
func (plan *preemptionPlan) prune() {
	if plan.charged > 0 {
		return
	}
	order := slices.Clone(plan.victims)
	slices.SortStableFunc(order, func(a, b victim) int {
		return cmp.Or(cmp.Compare(b.class, a.class), cmp.Compare(b.cost, a.cost))
	})
	for _, v := range order {
		if targets := plan.targetsWithout(&v); targets != nil {
			plan.drop(&v, targets)
		}
	}
	plan.nameVictims()
}

// nameVictims lets the members of a gang that run on a target of the plan stand for it, so
// that a decision names the worker on which room is made.
func (plan *preemptionPlan) nameVictims() {
	for i := range plan.victims {
		v := &plan.victims[i]
		if slices.Contains(plan.targets, v.orders[0].worker) {
			continue
		}
		members := slices.Clone(v.groupOrders())
		at := slices.IndexFunc(members, func(o *order) bool { return slices.Contains(plan.targets, o.worker) })
		if at >= 0 {
			target := members[at].worker
			v.orders = slices.DeleteFunc(members, func(o *order) bool { return o.worker != target })
		}
	}
}

// targetsWithout returns workers for all tasks of the plan if a victim is not stopped, or
// nil if they don't fit then.
func (plan *preemptionPlan) targetsWithout(v *victim) []*worker {
	r, step := plan.round, plan.unit.spec()
	kept := map[*worker]workload.Resources{}
	for _, o := range v.groupOrders() {
		if plan.chosen[o] {
			kept[o.worker] = kept[o.worker].Add(o.demand)
		}
	}
	own := map[*worker]int{}
	for _, w := range plan.targets {
		own[w]++
	}
	var targets []*worker
	for _, w := range plan.candidates.workers {
		if !r.allowed(plan.unit, w) {
			continue
		}
		free := r.free[w].Add(plan.releasing[w]).Sub(kept[w])
		limit := workload.MaxTasks
		if step.MaxPerWorker > 0 {
			limit = step.MaxPerWorker - r.tasksOnWorker[stepOnWorker{plan.unit.job.ID, plan.unit.key(), w}] + own[w]
		}
		for range own[w] {
			free = free.Add(step.PerTask)
		}
		for n := min(tasksThatFit(step, free), limit); n > 0 && len(targets) < len(plan.targets); n-- {
			targets = append(targets, w)
		}
	}
	if len(targets) < len(plan.targets) {
		return nil
	}
	return targets
}

// drop removes a victim from the plan and moves its tasks to other workers.
func (plan *preemptionPlan) drop(v *victim, targets []*worker) {
	for _, w := range plan.targets {
		plan.round.release(plan.unit, w)
	}
	for _, w := range targets {
		plan.round.allocate(plan.unit, w)
	}
	plan.targets = targets
	for _, o := range v.groupOrders() {
		if plan.chosen[o] {
			delete(plan.chosen, o)
			plan.releasing[o.worker] = plan.releasing[o.worker].Sub(o.demand)
		}
	}
	plan.victims = slices.DeleteFunc(plan.victims, func(other victim) bool { return other.orders[0] == v.orders[0] })
	plan.class, plan.cost = yieldsToUrgent, 0
	for _, other := range plan.victims {
		plan.class, plan.cost = max(plan.class, other.class), plan.cost+other.cost
	}
}

// victimsOn returns the victims on a worker for one more task: those of the lowest
// class, of these the ones whose stops cost the least, and no more than needed. It
// returns false if stopping all of them would not be enough. Runs that are about to end are
// not stopped for work beyond a guarantee, which waits for them.
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
		if o := v.orders[0]; !o.stopRequested && !plan.chosen[o] && plan.yields(&v) {
			out.victims = append(out.victims, v)
			free = free.Add(v.demand)
		}
	}
	if !demand.Fits(free) {
		return victimSet{}, false
	}
	out.victims = dropUnneeded(out.victims, free, demand)
	for _, v := range out.victims {
		out.class = max(out.class, v.class)
		out.cost += v.cost
		out.unsaved += v.unsavedWork
	}
	return out, true
}

// victim is a set of runs on a worker that are stopped together: a single run, or
// the members of a gang that run there.
type victim struct {
	class  yieldClass
	orders []*order
	demand workload.Resources
	// unsavedWork is the work that stopping the victim discards, and cost what the stop
	// costs its job, both in core seconds and including the gang's members on other workers.
	unsavedWork, cost float64
}

// groupOrders returns the orders of all runs that stop with the victim, including
// those on other workers.
func (v *victim) groupOrders() []*order { return v.orders[0].groupOrders() }

// preemptibleOn returns the runs on a worker that may be preempted, those of the lowest
// class and with the cheapest stops first.
func (r *schedulingRound) preemptibleOn(w *worker) []victim {
	if known, ok := r.victimsByWorker[w]; ok {
		return known
	}
	var out []victim
	gangs := map[gangRun]int{}
	for _, o := range sortedOrders(w.orders) {
		if o.stopRequested || o.version == 0 {
			continue
		}
		if at, known := gangs[o.gangRun()]; known && o.step().Gang {
			out[at].orders = append(out[at].orders, o)
			out[at].demand = out[at].demand.Add(o.demand)
			continue
		}
		gangs[o.gangRun()] = len(out)
		unsaved := unsavedWork(r.now, o)
		out = append(out, victim{class: r.yieldClassOf(o), orders: []*order{o}, demand: o.demand, unsavedWork: unsaved, cost: stopCost(o, unsaved)})
	}
	slices.SortStableFunc(out, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.cost, b.cost))
	})
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
