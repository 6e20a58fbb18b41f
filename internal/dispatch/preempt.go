package dispatch

import (
	"dragonflyyard/internal/model"
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

// claim makes room for those tasks of a unit that found no place. What is being
// stopped already counts as free. The room that it will get is taken out of r,
// so that nothing else starts there meanwhile.
func (r *room) claim(u *unit, placed []placement) {
	missing := len(u.tasks) - len(placed)
	if missing <= 0 || u.job.Priority != 0 {
		return
	}
	best := r.bestClaims(u, missing)
	if best == nil {
		r.hold(u, missing)
		return
	}
	u.job.thrownAway[u.key()] += best.charged
	for _, w := range best.places {
		r.take(u, w)
	}
	r.countUrgent(u, len(best.places))
	for _, v := range best.victims {
		r.preempt(v, u)
		u.job.claimedMS[u.key()] = r.now.StoreMS
	}
	if rest := missing - len(best.places); rest > 0 {
		r.hold(u, rest)
	}
}

// bestClaims returns the claims for missing tasks that throw the least work
// away and no more than the unit may, or nil. A gang is claimed for whole; of
// other tasks those come first for which room costs the least.
func (r *room) bestClaims(u *unit, missing int) *claims {
	b := r.budgetOf(u)
	var best *claims
	for _, set := range r.workerSets(u) {
		cl := newClaims(r, u, b, set)
		for len(cl.places) < missing && cl.claimOne() {
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

// preempt stops runs, and with them the other members of their gang.
func (r *room) preempt(v victim, u *unit) {
	for _, o := range v.orders {
		o.wantStop("room for urgent " + string(u.job.ID))
		r.core.decide(Decision{Kind: "run_preempted", Job: o.job.ID, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: o.stopReason, AgeMS: -1})
	}
	for _, o := range v.all() {
		o.wantStop("another member of the gang ended")
		r.coming[o.worker] = r.coming[o.worker].Add(o.demand)
		delete(r.ending, o.worker)
	}
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
