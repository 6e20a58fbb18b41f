package scheduler

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Work that cannot checkpoint is pinned: it is not moved while it runs. The
// scheduler packs it on few workers, if necessary by moving checkpointable work
// away from them, so that a single pinned task does not block a worker that a
// large gang needs.

// hasPinned is a placement.Request.Limit that allows only workers with pinned work.
func (c *Core) hasPinned(id model.WorkerID) int {
	if c.workers[id].pinned == 0 {
		return 0
	}
	return model.MaxGangSize
}

// hasNoPinned is a placement.Request.Limit that allows only workers without pinned
// work.
func (c *Core) hasNoPinned(id model.WorkerID) int {
	if c.workers[id].pinned > 0 {
		return 0
	}
	return model.MaxGangSize
}

// preferredWorkers returns a limit to the workers that a job prefers, and the
// reason: pinned work goes beside pinned work, and preemptible work stays away
// from it. A nil limit means no preference.
func (c *Core) preferredWorkers(j *JobState) (func(model.WorkerID) int, string) {
	switch {
	case c.settings.Policy.MixPinned:
		return nil, ""
	case !j.Job.CanCheckpoint:
		return c.hasPinned, "the fullest place that takes it, beside other work that cannot checkpoint"
	case c.yieldsToLarge(j):
		return c.hasNoPinned, "the fullest place that takes it, away from work that cannot checkpoint"
	default:
		return nil, ""
	}
}

// placeWithPinned starts a small job that cannot checkpoint on workers with
// other pinned work by moving preemptible work away from them. It reports whether
// the job was started.
func (c *Core) placeWithPinned(now time.Time, j *JobState) bool {
	if j.Job.CanCheckpoint || j.Job.Urgent || c.isLarge(j) || c.settings.Policy.MixPinned || now.Before(j.preemptRetryAt) {
		return false
	}
	r := c.request(j)
	r.Limit = minLimit(r.Limit, c.hasPinned)
	if c.capacity.free.Place(r) != nil {
		return false
	}
	mayEvict := func(v *JobState) bool { return c.mayYieldToSmall(now, v) }
	r.Limit = minLimit(r.Limit, func(id model.WorkerID) int {
		if !c.workers[id].hasCheckpointable() {
			return c.slotsAfterEviction(id, j, nil)
		}
		return c.slotsAfterEviction(id, j, mayEvict)
	})
	place := c.capacity.total.Place(r)
	if place == nil {
		j.preemptRetryAt = now.Add(preemptRetryInterval)
		return false
	}
	victims, ok := c.victimsFor(now, j, place, mayEvict)
	if !ok {
		return false
	}
	c.evict(now, j, victims, wire.StopReclaimed)
	c.startBorrowed(now, j, place, "beside other work that cannot checkpoint")
	return true
}

// mayYieldToSmall reports whether a gang may be moved in favor of a small job.
func (c *Core) mayYieldToSmall(now time.Time, v *JobState) bool {
	return c.isReclaimable(v) && v.Phase != PhaseDeciding && v.Phase != PhaseInDoubt &&
		c.yieldsToLarge(v) && now.Sub(v.StartedAt) >= c.settings.MinRunBeforeMove
}
