package dispatch

import (
	"cmp"
	"slices"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// maxLossShare is how much unsaved work may be thrown away for urgent work that
// is not guaranteed, as a share of that work. A loss delays work that has time;
// waiting makes urgent work late.
const maxLossShare = 1.0

// budget is how much of others' work a unit may have stopped.
type budget struct {
	// promised is the number of tasks inside what is guaranteed to the account.
	// For them any work may be thrown away.
	promised int
	// coreSeconds of unsaved work may be thrown away for the other tasks.
	coreSeconds float64
}

// budgetOf returns the budget of a unit of priority 0. A gang is promised whole
// or not at all. What its account's urgent tasks hold or claim in this plan counts
// against the guarantee.
func (r *room) budgetOf(u *unit) budget {
	step := u.spec()
	own := float64(step.Tasks) * step.PerTask.Cores() * step.Estimate.Seconds()
	b := budget{coreSeconds: max(0, maxLossShare*own-u.job.thrownAway[u.key()])}
	free := r.core.guaranteed[u.job.Account] - r.urgent[u.job.Account]
	switch need := step.PerTask.Accelerators; {
	case len(u.tasks)*need <= free:
		b.promised = len(u.tasks)
	case !u.gang() && free > 0:
		b.promised = free / need
	}
	return b
}

// urgentInUse returns the accelerators that each account's jobs of priority 0 hold.
func (c *Core) urgentInUse() map[model.ClientAccountID]int {
	used := map[model.ClientAccountID]int{}
	for _, j := range c.jobs {
		if j.Priority != 0 {
			continue
		}
		for _, o := range j.orders {
			used[j.Account] += o.demand.Accelerators
		}
	}
	return used
}

// countUrgent counts tasks of a unit, that were placed or claimed room, against
// the guarantee of its account for the rest of the plan.
func (r *room) countUrgent(u *unit, tasks int) {
	if u.job.Priority == 0 {
		r.urgent[u.job.Account] += tasks * u.spec().PerTask.Accelerators
	}
}

// claims collects where the missing tasks of a unit go and what is stopped there.
type claims struct {
	unit    *unit
	budget  budget
	workers []*worker
	places  []*worker
	victims []*order
	chosen  map[*order]bool
	// coming is what will be free beyond the room, by what is being stopped.
	coming map[*worker]workload.Demand
	// cost is the work that is thrown away, and charged the part of it that
	// counts against the budget.
	cost, charged float64
}

// claim makes room for those tasks of a unit that found no place. What is being
// stopped already counts as free. The room that it will get is taken out of r,
// so that nothing else starts there meanwhile.
func (c *Core) claim(now Now, r *room, u *unit, placed []placement) {
	missing := len(u.tasks) - len(placed)
	if missing <= 0 || u.job.Priority != 0 {
		return
	}
	best := c.bestClaims(now, r, u, missing)
	if best == nil {
		r.hold(u, missing)
		return
	}
	u.job.thrownAway[u.key()] += best.charged
	for _, w := range best.places {
		r.take(u, w)
	}
	r.countUrgent(u, len(best.places))
	for _, o := range best.victims {
		c.preempt(o, u)
	}
	if rest := missing - len(best.places); rest > 0 {
		r.hold(u, rest)
	}
}

// bestClaims returns the claims for missing tasks that throw the least work
// away and no more than the unit may, or nil. A gang is claimed for whole; of
// other tasks those come first for which room costs the least.
func (c *Core) bestClaims(now Now, r *room, u *unit, missing int) *claims {
	b := r.budgetOf(u)
	var best *claims
	for _, set := range r.workerSets(u) {
		cl := &claims{unit: u, budget: b, workers: set, chosen: map[*order]bool{}, coming: comingFree(r)}
		for len(cl.places) < missing && c.claimOne(now, r, cl) {
			continue
		}
		for _, w := range cl.places {
			r.giveBack(u, w)
		}
		whole := len(cl.places) == missing || (!u.gang() && len(cl.places) > 0)
		if whole && (best == nil || cl.cost < best.cost) {
			best = cl
		}
	}
	return best
}

// claimOne chooses a worker for one more task, and what is stopped there. It
// returns false when there is none, or none inside what may be thrown away.
func (c *Core) claimOne(now Now, r *room, cl *claims) bool {
	w, victims, cost := c.cheapest(now, r, cl)
	if w == nil {
		return false
	}
	if len(cl.places) >= cl.budget.promised {
		if cl.charged+cost > cl.budget.coreSeconds {
			return false
		}
		cl.charged += cost
	}
	cl.cost += cost
	for _, o := range victims {
		cl.chosen[o] = true
		cl.coming[o.worker] = cl.coming[o.worker].Add(o.demand)
	}
	cl.victims = append(cl.victims, victims...)
	cl.places = append(cl.places, w)
	r.take(cl.unit, w)
	return true
}

// preempt stops a run, and with it the other members of its gang.
func (c *Core) preempt(o *order, u *unit) {
	o.wantStop("room for urgent " + string(u.job.ID))
	c.decide(Decision{Kind: "run_preempted", Job: o.job.ID, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: o.stopReason, AgeMS: -1})
	if o.step().Gang {
		c.breakGang(o.job, o.id)
	}
}

// cheapest returns the worker on which room for one more task costs the least
// unsaved work, the runs to stop there, and that work. There may be none to stop.
func (c *Core) cheapest(now Now, r *room, cl *claims) (best *worker, bestVictims []*order, bestCost float64) {
	for _, w := range cl.workers {
		if !allowed(cl.unit, w) || !r.underLimit(cl.unit, w) {
			continue
		}
		victims, cost, ok := victimsOn(now, w, r.free[w].Add(cl.coming[w]), cl)
		if ok && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = w, victims, cost
		}
	}
	return best, bestVictims, bestCost
}

// victimsOn returns runs on a worker that make room for one task when stopped,
// those with the least unsaved work first, and no more than needed.
func victimsOn(now Now, w *worker, free workload.Demand, cl *claims) (victims []*order, cost float64, ok bool) {
	demand := cl.unit.spec().PerTask
	candidates := make([]*order, 0, len(w.orders))
	for _, o := range sortedOrders(w.orders) {
		lower := o.job.Priority > cl.unit.job.Priority && !o.step().LongRunning
		if lower && !o.stopWanted && !cl.chosen[o] && o.version != 0 {
			candidates = append(candidates, o)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *order) int { return cmp.Compare(unsaved(now, a), unsaved(now, b)) })
	for _, o := range candidates {
		if demand.Fits(free) {
			break
		}
		victims = append(victims, o)
		free = free.Add(o.demand)
	}
	if !demand.Fits(free) {
		return nil, 0, false
	}
	victims = withoutNeedless(victims, free, demand)
	for _, o := range victims {
		cost += unsaved(now, o)
	}
	return victims, cost, true
}

// withoutNeedless drops victims whose capacity is not needed, the costliest first.
func withoutNeedless(victims []*order, free, demand workload.Demand) []*order {
	kept := slices.Clone(victims)
	for i := len(kept) - 1; i >= 0; i-- {
		if rest := free.Sub(kept[i].demand); demand.Fits(rest) {
			free = rest
			kept = slices.Delete(kept, i, i+1)
		}
	}
	return kept
}

// Work that a stop costs, in seconds of a run.
const (
	// stopSeconds is what every stop costs, for the start and the end of a run.
	// It makes a worker that is being vacated cheaper than any other.
	stopSeconds = 1.0
	// savedLossSeconds is what a run that saves its work loses on average.
	savedLossSeconds = 0.5
)

// unsaved returns the core seconds of work that stopping a run throws away; of
// a gang, those of all its members. An owner that took a run over has not seen it
// begin, so its progress counts, too.
func unsaved(now Now, o *order) float64 {
	since := o.reportedMS
	if since == 0 {
		since = o.decidedMS
	}
	worked := float64(o.report.Percent) / 100 * o.step().Estimate.Seconds()
	seconds := max(now.ranSince(since).Seconds(), worked)
	if o.step().Checkpoints {
		seconds = min(seconds, savedLossSeconds)
	}
	members := 1
	if o.step().Gang {
		members = o.step().Tasks
	}
	return (seconds + stopSeconds) * o.demand.Cores() * float64(members)
}
