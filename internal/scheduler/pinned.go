package scheduler

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Work that cannot checkpoint is pinned: it stays until it ends. It is kept
// together on few workers, also by moving work that can checkpoint out of them,
// so that no worker of a large gang's place is blocked by one pinned task.

// hasPinned limits a placement to workers with pinned work.
func (c *Core) hasPinned(id model.WorkerID) int {
	if c.workers[id].pinned == 0 {
		return 0
	}
	return model.MaxGangSize
}

// hasNoPinned limits a placement to workers without pinned work.
func (c *Core) hasNoPinned(id model.WorkerID) int {
	if c.workers[id].pinned > 0 {
		return 0
	}
	return model.MaxGangSize
}

// segregate returns the workers that a job takes where it can, and why: pinned
// work goes beside pinned work, and work that yields stays away from it. Nil
// means all workers.
func (c *Core) segregate(j *JobState) (func(model.WorkerID) int, string) {
	switch {
	case c.settings.Policy.MixPinned:
		return nil, ""
	case !j.Job.CanCheckpoint:
		return c.hasPinned, "the fullest place that takes it, beside other work that cannot checkpoint"
	case c.isYielding(j):
		return c.hasNoPinned, "the fullest place that takes it, away from work that cannot checkpoint"
	default:
		return nil, ""
	}
}

// joinPinned starts a small job that cannot checkpoint beside others like it,
// where work that yields has to move for that.
func (c *Core) joinPinned(now time.Time, j *JobState) bool {
	if j.Job.CanCheckpoint || j.Job.Urgent || c.isLarge(j) || c.settings.Policy.MixPinned || now.Before(j.preemptAt) {
		return false
	}
	r := c.request(j)
	r.Limit = both(r.Limit, c.hasPinned)
	if c.books.free.Place(r) != nil {
		return false
	}
	may := func(v *JobState) bool { return c.mayYieldToSmall(now, v) }
	r.Limit = both(r.Limit, func(id model.WorkerID) int {
		if !c.workers[id].hasMovable() {
			return c.slotsIfYielded(id, j, nil)
		}
		return c.slotsIfYielded(id, j, may)
	})
	place := c.books.fleet.Place(r)
	if place == nil {
		j.preemptAt = now.Add(preemptRetry)
		return false
	}
	victims, ok := c.victimsFor(now, j, place, may)
	if !ok {
		return false
	}
	c.evict(now, j, victims, wire.StopReclaimed)
	c.startBorrowed(now, j, place, "beside other work that cannot checkpoint")
	return true
}

// mayYieldToSmall reports whether a gang may be moved for a small job.
func (c *Core) mayYieldToSmall(now time.Time, v *JobState) bool {
	return c.isBorrowed(v) && v.Phase != PhaseDeciding && v.Phase != PhaseInDoubt &&
		c.isYielding(v) && now.Sub(v.StartedAt) >= c.settings.MinRunBeforeMove
}
