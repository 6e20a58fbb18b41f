package scheduler

import (
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/preemption"
)

// undecidedCost is the cost, in accelerator-seconds, of evicting a gang whose
// decision row is being written. It is high enough that such gangs are chosen
// only if there are no other victims.
const undecidedCost = 1e9

// largeGangAccelerators is the size at which the cost of stopping a gang is
// twice its lost work.
const largeGangAccelerators = 8

// isReclaimable reports whether a gang may be stopped in favor of a guaranteed
// shape.
func (c *Core) isReclaimable(j *JobState) bool {
	if j.Class == model.CapacityGuaranteed || j.StopAfterDecision {
		return false
	}
	switch j.Phase {
	case PhaseClearing, PhaseReserving, PhaseDeciding, PhaseInDoubt, PhaseLaunching, PhaseRunning:
		return true
	default:
		return false
	}
}

// lostWork is the cost of stopping a gang, in accelerator-seconds. A gang that
// is stopped at once loses its work since its last checkpoint.
func (c *Core) lostWork(now time.Time, j *JobState, atOnce bool) float64 {
	accelerators := float64(max(1, j.Job.Shape.Accelerators()))
	switch j.Phase {
	case PhaseDeciding, PhaseInDoubt:
		return undecidedCost
	case PhaseRunning, PhaseLaunching:
	default:
		return 0
	}
	lost := c.settings.RestartCost.Seconds()
	if atOnce || !j.Job.CanCheckpoint {
		lost += c.sinceCheckpoint(now, j).Seconds()
	}
	// A large gang waits longer for its next placement, and a gang that was
	// preempted before has already waited.
	requeueFactor := 1 + accelerators*accelerators/largeGangAccelerators/largeGangAccelerators
	return lost * accelerators * requeueFactor * float64(1+j.Preemptions)
}

// sinceCheckpoint is the run time that a gang loses if it is stopped at once. A
// checkpoint is taken only at the end of an attempt.
func (c *Core) sinceCheckpoint(now time.Time, j *JobState) time.Duration {
	if j.StartedAt.IsZero() {
		return 0
	}
	return now.Sub(j.StartedAt)
}

// victimsFor chooses the gangs to stop so that a job's tasks fit on the given
// workers, and reports whether that is possible.
func (c *Core) victimsFor(now time.Time, j *JobState, workers []model.WorkerID, mayEvict func(*JobState) bool) ([]model.JobID, bool) {
	deficits := map[model.WorkerID]model.Resources{}
	// Capacity that a checkpoint still occupies is freed too late for urgent
	// work. A claim has no alternative placement, so it waits even if it is
	// urgent.
	awaitStopping := !j.Job.Urgent || j.Job.Capacity == model.CapacityGuaranteed
	for id, need := range j.needsByWorker(workers) {
		missing := c.overbooked(id, awaitStopping).Add(need)
		if missing.Accelerators > 0 || missing.Cores > 0 || missing.MemoryMB > 0 {
			deficits[id] = missing
		}
	}
	if len(deficits) == 0 {
		return nil, true
	}
	order := preemption.LeastLostWork
	if c.settings.Policy.EvictNewest {
		order = preemption.InputOrder
	}
	return preemption.Choose(deficits, c.victims(now, deficits, j.Job.Urgent, mayEvict), order)
}

// victims lists the gangs with tasks on the given workers that may be evicted.
func (c *Core) victims(now time.Time, deficits map[model.WorkerID]model.Resources, atOnce bool, mayEvict func(*JobState) bool) []preemption.Victim {
	held := map[model.JobID][]preemption.Use{}
	for id := range deficits {
		for _, job := range c.workers[id].tasks {
			if mayEvict(c.jobs[job]) {
				held[job] = append(held[job], preemption.Use{Worker: id, Amount: c.jobs[job].Job.Shape.PerTask})
			}
		}
	}
	ids := sortedKeys(held)
	if c.settings.Policy.EvictNewest {
		slices.SortStableFunc(ids, func(a, b model.JobID) int { return c.jobs[b].StartedAt.Compare(c.jobs[a].StartedAt) })
	}
	out := make([]preemption.Victim, len(ids))
	for i, id := range ids {
		out[i] = preemption.Victim{Job: id, Cost: c.lostWork(now, c.jobs[id], atOnce), Uses: held[id]}
	}
	return out
}

// mayYield returns a predicate that reports whether a borrowed gang may be
// stopped in favor of another borrowed job. A gang that can checkpoint yields
// to urgent work; a small one also to a large job, and a large one to a large
// job whose slowdown is much higher. A gang that cannot checkpoint yields only
// to urgent work of its own account.
func (c *Core) mayYield(now time.Time, waiting *JobState) func(*JobState) bool {
	return func(v *JobState) bool {
		if !c.isReclaimable(v) || v.Job.Urgent || v.Phase == PhaseDeciding || v.Phase == PhaseInDoubt {
			return false
		}
		if waiting.Job.Urgent {
			return v.Job.CanCheckpoint || v.Job.Account == waiting.Job.Account
		}
		if now.Sub(v.StartedAt) < c.minRunBeforeYield() {
			return false
		}
		return c.yieldsToLarge(v) || c.yieldsBySlowdown(now, v, waiting)
	}
}

// minRunBeforeYield is how long a gang runs before it yields to a large job. A
// longer time lets small work end sooner and starts large work later.
func (c *Core) minRunBeforeYield() time.Duration {
	longer := c.weights().CompletionTime * float64(c.settings.ExtraRunBeforeYield)
	return c.settings.MinRunBeforeYield + time.Duration(longer)
}

// yieldsToLarge reports whether a job is small work that loses nothing by
// yielding to a large job.
func (c *Core) yieldsToLarge(j *JobState) bool {
	return j.Job.CanCheckpoint && j.Class != model.CapacityGuaranteed && !j.Job.Urgent &&
		j.Preemptions < c.settings.MaxPreemptions && !c.isLarge(j)
}
