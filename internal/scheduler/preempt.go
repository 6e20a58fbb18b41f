package scheduler

import (
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/preemption"
)

// undecidedCost keeps gangs whose decision row is being written from being
// chosen as victims while there are others, in accelerator-seconds.
const undecidedCost = 1e9

// largeGang is the size, in accelerators, at which stopping a gang counts twice
// its lost work.
const largeGang = 8

// isBorrowed reports whether a gang may be stopped for a guaranteed shape.
func (c *Core) isBorrowed(j *JobState) bool {
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

// lostWork is the work that stopping a gang costs, in accelerator-seconds. A gang
// that is stopped at once loses its work since its last checkpoint.
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
	// A large gang waits longer for its next place, and one that was stopped
	// before has waited already.
	again := 1 + accelerators*accelerators/largeGang/largeGang
	return lost * accelerators * again * float64(1+j.Preemptions)
}

// sinceCheckpoint is the run time that a gang loses when it is stopped at once: a
// checkpoint is taken only at the end of an attempt.
func (c *Core) sinceCheckpoint(now time.Time, j *JobState) time.Duration {
	if j.StartedAt.IsZero() {
		return 0
	}
	return now.Sub(j.StartedAt)
}

// victimsFor chooses the gangs to stop so that a job's tasks fit on workers,
// and reports whether that is possible at all.
func (c *Core) victimsFor(now time.Time, j *JobState, workers []model.WorkerID, may func(*JobState) bool) ([]model.JobID, bool) {
	deficits := map[model.WorkerID]model.Resources{}
	// What is being checkpointed comes too late for urgent work; a claim has no
	// other place.
	awaitStopping := !j.Job.Urgent || j.Job.Capacity == model.CapacityGuaranteed
	for id, need := range j.needsOn(workers) {
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
		order = preemption.AsGiven
	}
	return preemption.Choose(deficits, c.victims(now, deficits, j.Job.Urgent, may), order)
}

// victims lists the gangs with tasks on the given workers that may be stopped.
func (c *Core) victims(now time.Time, on map[model.WorkerID]model.Resources, atOnce bool, may func(*JobState) bool) []preemption.Victim {
	held := map[model.JobID][]preemption.Use{}
	for id := range on {
		for _, job := range c.workers[id].tasks {
			if may(c.jobs[job]) {
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

// mayYield reports whether a borrowed gang may be stopped for another borrowed
// job. A gang that can checkpoint yields to urgent work; a small one also to a
// large job, and a large one to a large job that is much further behind. A gang
// that cannot checkpoint yields only to urgent work of its own account.
func (c *Core) mayYield(now time.Time, waiting *JobState) func(*JobState) bool {
	return func(v *JobState) bool {
		if !c.isBorrowed(v) || v.Job.Urgent || v.Phase == PhaseDeciding || v.Phase == PhaseInDoubt {
			return false
		}
		if waiting.Job.Urgent {
			return v.Job.CanCheckpoint || v.Job.Account == waiting.Job.Account
		}
		if now.Sub(v.StartedAt) < c.minRunBeforeYield() {
			return false
		}
		return c.isYielding(v) || c.yieldsBySlowdown(now, v, waiting)
	}
}

// minRunBeforeYield is how long a gang runs before it yields to a large job. The
// longer, the sooner small work ends and the later large work starts.
func (c *Core) minRunBeforeYield() time.Duration {
	longer := c.weights().CompletionTime * float64(c.settings.ExtraRunBeforeYield)
	return c.settings.MinRunBeforeYield + time.Duration(longer)
}

// isYielding reports whether a job is small work that loses nothing by making
// room for a large job.
func (c *Core) isYielding(j *JobState) bool {
	return j.Job.CanCheckpoint && j.Class != model.CapacityGuaranteed && !j.Job.Urgent &&
		j.Preemptions < c.settings.MaxPreemptions && !c.isLarge(j)
}
