package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"dragonflyyard/internal/model"
)

// Guarantees. An account is guaranteed a number of accelerators for its jobs of priority
// 0, at all times. A unit that needs no more than what is left of it is a claim. What an
// account holds beyond its guarantee is lent by those who don't use theirs, and yields to
// a claim: first work of lower priority, then urgent work beyond the guarantee. Work
// within another account's guarantee only makes room, and finds it elsewhere.
//
// Load pattern: tasks that last, or a wide urgent job, take all that is idle; then
// another account claims what it is guaranteed, and has to get it within 2.7 s.

// yieldClass says to which work a run yields. Of the runs that may be stopped for a task,
// those of the lowest class are.
type yieldClass int

// Classes of runs, those that yield first first.
const (
	// yieldsToUrgent is the class of runs of lower priority that end by themselves. They
	// also yield to urgent work that is no claim, within its budget.
	yieldsToUrgent yieldClass = iota
	// yieldsLasting is the class of long-running tasks of lower priority.
	yieldsLasting
	// yieldsLent is the class of urgent runs beyond the guarantee of their account.
	yieldsLent
	// yieldsRoom is the class of urgent runs within the guarantee of their account. They
	// are stopped where other runs leave no worker with enough room, each task and each gang once, and
	// only if there are enough accelerators for all. If their account needs no more than
	// its guarantee, they are claims themselves then.
	yieldsRoom
)

func (r *schedulingRound) yieldClassOf(o *order) yieldClass {
	switch {
	case o.job.Priority > 0 && !o.step().LongRunning:
		return yieldsToUrgent
	case o.job.Priority > 0:
		return yieldsLasting
	case r.lentOrders()[o]:
		return yieldsLent
	default:
		return yieldsRoom
	}
}

// yields reports whether a victim may be stopped for the next task of the plan. A claim
// does not stop urgent runs of its own account that are beyond the guarantee: they count
// against it.
func (plan *preemptionPlan) yields(v *victim) bool {
	o := v.orders[0]
	switch {
	case !plan.claims():
		return v.class == yieldsToUrgent && o.earlierStops() < maxStopsForUrgent
	case v.class == yieldsToUrgent:
		return true
	case v.class == yieldsLent:
		return o.job.Account != plan.unit.job.Account
	case v.class == yieldsRoom:
		own := o.job.Account == plan.unit.job.Account
		return plan.mayMove && !o.job.movedForRoom[firstOfGroup(o)] && (!own || plan.movesOwn) && (o.job != plan.unit.job || o.stepKey() != plan.unit.key())
	default:
		return true
	}
}

// mayMove reports whether runs within a guarantee may be stopped for a unit: it does not
// wait for a rack, and the workers have the accelerators for the unit beside all such
// runs. Otherwise a run that made room would find none elsewhere.
func (r *schedulingRound) mayMove(u *unit, b budget) bool {
	if b.guaranteedTasks == 0 || u.spec().PerTask.Accelerators == 0 || !r.usesAllRacks(u) {
		return false
	}
	free := 0
	for _, w := range r.workers {
		if w.Service == u.job.Service {
			free += w.Capacity.Accelerators
		}
	}
	lent := r.lentOrders()
	for _, o := range r.core.urgentOrders() {
		if !lent[o] && !o.stopRequested && (o.job != u.job || o.stepKey() != u.key()) {
			free -= o.demand.Accelerators
		}
	}
	return free >= u.spec().Tasks*u.spec().PerTask.Accelerators
}

// lentOrders returns the urgent orders beyond the guarantees of their accounts. Of an
// account's runs, the earliest that fit into its guarantee count as within it, and a gang
// counts as a whole.
func (r *schedulingRound) lentOrders() map[*order]bool {
	if r.lent != nil {
		return r.lent
	}
	r.lent = map[*order]bool{}
	held := map[model.ClientAccountID]int{}
	counted := map[*order]bool{}
	for _, o := range r.core.urgentOrders() {
		if counted[o] {
			continue
		}
		group, need := o.groupOrders(), 0
		for _, member := range group {
			counted[member] = true
			need += member.demand.Accelerators
		}
		if account := o.job.Account; held[account]+need <= r.core.guaranteed[account] {
			held[account] += need
			continue
		}
		for _, member := range group {
			r.lent[member] = true
		}
	}
	return r.lent
}

// urgentOrders returns the orders of jobs of priority 0, the earliest first.
func (c *Core) urgentOrders() []*order {
	var out []*order
	for _, j := range c.jobs {
		if j.Priority == 0 {
			out = slices.AppendSeq(out, maps.Values(j.orders))
		}
	}
	slices.SortFunc(out, func(a, b *order) int {
		return cmp.Or(cmp.Compare(a.decidedMS, b.decidedMS), compareRuns(a.id, b.id))
	})
	return out
}

// markClaims marks the units whose accounts are guaranteed all that they need, those of
// earlier jobs first. A claim is never too late: what was promised is not conditional on
// what the job is still worth.
func (c *Core) markClaims(units []*unit) {
	used := c.urgentInUse()
	urgent := slices.DeleteFunc(slices.Clone(units), func(u *unit) bool { return u.job.Priority != 0 })
	slices.SortStableFunc(urgent, func(a, b *unit) int { return cmp.Compare(a.job.AcceptedMS, b.job.AcceptedMS) })
	for _, u := range urgent {
		need := len(u.tasks) * u.spec().PerTask.Accelerators
		if account := u.job.Account; used[account]+need <= c.guaranteed[account] {
			used[account] += need
			u.rank.claim, u.rank.claimedShape, u.rank.tooLate = true, u.spec().PerTask.Accelerators, false
		}
	}
}
