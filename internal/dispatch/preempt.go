package dispatch

import (
	"slices"

	"dragonflyyard/internal/model"
)

// maxPreemptionLossRatio bounds the unsaved work that urgent work beyond the
// guarantee may discard, as a ratio to its own work. A loss delays work that can
// wait; waiting makes urgent work late.
const maxPreemptionLossRatio = 1.0

// budget bounds the work of other jobs that preemption for a unit may discard.
type budget struct {
	// guaranteedTasks is the number of tasks within the account's guarantee. They
	// may discard any amount of work.
	guaranteedTasks int
	// coreSeconds is the unsaved work that the other tasks may discard.
	coreSeconds float64
}

// budgetOf returns the budget of a unit of priority 0. Either all members of a
// gang are guaranteed or none. Accelerators that the account's urgent tasks hold,
// or preempted in this plan, count against the guarantee.
func (r *schedulingRound) budgetOf(u *unit) budget {
	step := u.spec()
	own := float64(step.Tasks) * step.PerTask.Cores() * step.Estimate.Seconds()
	b := budget{coreSeconds: max(0, maxPreemptionLossRatio*own-u.job.preemptedWork[u.key()])}
	free := r.core.guaranteed[u.job.Account] - r.urgentAccelerators[u.job.Account]
	switch need := step.PerTask.Accelerators; {
	case len(u.tasks)*need <= free:
		b.guaranteedTasks = len(u.tasks)
	case !u.gang() && free > 0:
		b.guaranteedTasks = free / need
	}
	return b
}

// urgentInUse returns the accelerators that the jobs of priority 0 of each
// account hold.
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

// countUrgent counts tasks of a unit that were placed, or for which runs were
// preempted, against the guarantee of its account for the rest of the plan.
func (r *schedulingRound) countUrgent(u *unit, tasks int) {
	if u.job.Priority == 0 {
		r.urgentAccelerators[u.job.Account] += tasks * u.spec().PerTask.Accelerators
	}
}

// preemptFor preempts runs to make room for the unplaced tasks of a unit of
// priority 0. The capacity of runs that are already being stopped counts as free.
// The capacity that the unit is to get is allocated, so that no other unit takes
// it meanwhile.
func (r *schedulingRound) preemptFor(u *unit, placed []placement) {
	missing := len(u.tasks) - len(placed)
	if missing <= 0 || u.job.Priority != 0 {
		return
	}
	if r.keepRoom(u, missing) {
		return
	}
	best := r.bestPreemptionPlan(u, missing, false)
	if best == nil {
		best = r.bestPreemptionPlan(u, missing, true)
	}
	if best == nil && r.releaseSmaller(u) {
		best = r.bestPreemptionPlan(u, missing, true)
	}
	if best == nil {
		r.reserve(u, missing)
		return
	}
	u.job.preemptedWork[u.key()] += best.charged
	u.job.room[u.key()] = slices.Clone(best.targets)
	for _, w := range best.targets {
		r.allocate(u, w)
	}
	r.countUrgent(u, len(best.targets))
	for _, v := range best.victims {
		r.preempt(v, u)
		u.job.lastPreemptionMS[u.key()] = r.now.StoreMS
	}
	if rest := missing - len(best.targets); rest > 0 {
		r.reserve(u, rest)
	}
}

// bestPreemptionPlan returns the plan for the unplaced tasks that stops runs of the
// lowest class and discards the least work of these, within the unit's budget, or nil.
// A plan for a gang covers all its members; a plan for other tasks may cover only those
// that are cheapest to make room for. movesOwn is set if runs within the guarantee of
// the same account may be moved.
func (r *schedulingRound) bestPreemptionPlan(u *unit, missing int, movesOwn bool) *preemptionPlan {
	b := r.budgetOf(u)
	var best *preemptionPlan
	for _, set := range r.workerSets(u) {
		plan := newPreemptionPlan(r, u, b, movesOwn, set)
		for len(plan.targets) < missing && plan.addTask() {
			continue
		}
		plan.prune()
		for _, w := range plan.targets {
			r.release(u, w)
		}
		whole := len(plan.targets) == missing || (!u.gang() && len(plan.targets) > 0)
		if whole && (best == nil || plan.before(best)) {
			best = plan
		}
	}
	return best
}

// preempt stops a victim, including the members of its gang on other workers.
func (r *schedulingRound) preempt(v victim, u *unit) {
	if v.class == yieldsRoom {
		o := v.orders[0]
		o.job.movedForRoom[firstOfGroup(o)] = true
	}
	for _, o := range v.orders {
		o.requestStop("preempted by urgent job " + string(u.job.ID))
		r.core.recordDecision(Decision{Kind: "run_preempted", Job: o.job.ID, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: o.stopReason, AgeMS: -1})
	}
	for _, o := range v.groupOrders() {
		o.requestStop("another member of the gang ended")
		r.releasing[o.worker] = r.releasing[o.worker].Add(o.demand)
		delete(r.endsByWorker, o.worker)
	}
}
