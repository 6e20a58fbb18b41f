package dispatch

import (
	"cmp"
	"slices"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// entitled reports whether a unit may stop others' work: it is of priority 0
// and within what is guaranteed to its account.
func (c *Core) entitled(u *unit) bool {
	if u.job.Priority != 0 {
		return false
	}
	need := len(u.tasks) * u.spec().PerTask.Accelerators
	return c.urgentInUse(u.job.Account)+need <= c.guaranteed[u.job.Account]
}

// urgentInUse returns the accelerators that an account's jobs of priority 0 hold.
func (c *Core) urgentInUse(account model.ClientAccountID) int {
	used := 0
	for _, j := range c.jobs {
		if j.Account != account || j.Priority != 0 {
			continue
		}
		for _, o := range j.orders {
			used += o.demand.Accelerators
		}
	}
	return used
}

// claim makes room for those tasks of a unit that found no place. What is being
// stopped already counts as free. The room that it will get is taken out of r,
// so that nothing else starts there meanwhile.
func (c *Core) claim(now Now, r *room, u *unit, placed []placement) {
	missing := len(u.tasks) - len(placed)
	if missing <= 0 || !c.entitled(u) {
		return
	}
	coming := map[*worker]workload.Demand{}
	for _, w := range r.workers {
		for _, o := range w.orders {
			if o.stopWanted {
				coming[w] = coming[w].Add(o.demand)
			}
		}
	}
	for range missing {
		w, victims := c.cheapest(now, r, u, coming)
		if w == nil {
			return
		}
		for _, o := range victims {
			c.preempt(o, u)
			coming[o.worker] = coming[o.worker].Add(o.demand)
		}
		r.take(u, w)
	}
}

// preempt stops a run, and with it the other members of its gang.
func (c *Core) preempt(o *order, u *unit) {
	o.wantStop("room for " + string(u.job.ID) + ", which its account is guaranteed")
	c.decide(Decision{Kind: "run_preempted", Job: o.job.ID, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: o.stopReason, AgeMS: -1})
	if o.step().Gang {
		c.breakGang(o.job, o.id)
	}
}

// cheapest returns the worker on which room for one task of the unit costs the
// least unsaved work, and the runs to stop there. There may be none to stop.
func (c *Core) cheapest(now Now, r *room, u *unit, coming map[*worker]workload.Demand) (*worker, []*order) {
	var best *worker
	var bestVictims []*order
	bestCost := 0.0
	for _, w := range r.workers {
		if !allowed(u, w) || !r.underLimit(u, w) {
			continue
		}
		victims, cost, ok := c.victims(now, u, w, r.free[w].Add(coming[w]))
		if ok && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = w, victims, cost
		}
	}
	return best, bestVictims
}

// victims returns runs on a worker that make room for one task when stopped,
// those with the least unsaved work first, and no more than needed.
func (c *Core) victims(now Now, u *unit, w *worker, free workload.Demand) (victims []*order, cost float64, ok bool) {
	demand := u.spec().PerTask
	candidates := make([]*order, 0, len(w.orders))
	for _, o := range sortedOrders(w.orders) {
		if !o.stopWanted && o.job.Priority > u.job.Priority && !o.step().LongRunning && o.version != 0 {
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

// savedLossSeconds is the work that a run which saves its work loses on average
// when it is stopped and resumed elsewhere.
const savedLossSeconds = 0.5

// unsaved returns the core seconds of work that stopping a run throws away; of
// a gang, those of all its members.
func unsaved(now Now, o *order) float64 {
	seconds := 0.0
	if o.reportedMS > 0 {
		// Processes know the store's time to some milliseconds only.
		seconds = max(0, float64(now.StoreMS-o.reportedMS)/1000)
	}
	if o.step().Checkpoints {
		seconds = min(seconds, savedLossSeconds)
	}
	members := 1
	if o.step().Gang {
		members = o.step().Tasks
	}
	return seconds * o.demand.Cores() * float64(members)
}
