package scheduler

import (
	"math"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
	"dragonflyyard/internal/wire"
)

// preemptRetryInterval and urgentRetryInterval are the times between two
// searches for victims for the same job.
const (
	preemptRetryInterval = 5 * time.Second
	urgentRetryInterval  = 200 * time.Millisecond
)

// preemptFor starts a job by stopping borrowed gangs that may yield to it. It
// reports whether it did.
func (c *Core) preemptFor(now time.Time, j *JobState) bool {
	mayEvict := c.mayYield(now, j)
	place := c.placeWithEvictions(now, j, mayEvict)
	if place == nil {
		j.preemptRetryAt = now.Add(preemptRetryInterval)
		if j.Job.Urgent {
			j.preemptRetryAt = now.Add(urgentRetryInterval)
		}
		return false
	}
	victims, ok := c.victimsFor(now, j, place, mayEvict)
	if !ok {
		return false
	}
	c.evict(now, j, victims, wire.StopReclaimed)
	c.startBorrowed(now, j, place, "where the least work was in its way")
	return true
}

// victimSizeSteps are limits on the victims' size in accelerators. They are
// tried in order, so that small work is moved before large work.
var victimSizeSteps = []int{2, 8, 1 << 30}

// urgentLossSteps are limits on the run time since the last checkpoint that
// victims of urgent work lose. They are tried in order.
var urgentLossSteps = []time.Duration{15 * time.Second, time.Minute, 4 * time.Minute, math.MaxInt64}

// placeWithEvictions returns a placement that needs only gangs to be evicted
// that may yield, or nil.
func (c *Core) placeWithEvictions(now time.Time, j *JobState, mayEvict func(*JobState) bool) []model.WorkerID {
	if !j.Job.Urgent {
		return c.placeEvictingSmallest(j, mayEvict)
	}
	for _, loss := range urgentLossSteps {
		withinLoss := func(v *JobState) bool { return c.sinceCheckpoint(now, v) <= loss && mayEvict(v) }
		if place := c.placeEvictingSmallest(j, withinLoss); place != nil {
			return place
		}
	}
	return nil
}

// placeEvictingSmallest returns a placement that evicts gangs of the smallest
// size step that suffices, or nil.
func (c *Core) placeEvictingSmallest(j *JobState, mayEvict func(*JobState) bool) []model.WorkerID {
	for _, size := range victimSizeSteps {
		r := c.request(j)
		withinSize := func(v *JobState) bool { return v.Job.Shape.Accelerators() <= size && mayEvict(v) }
		r.Limit = minLimit(r.Limit, func(id model.WorkerID) int { return c.slotsAfterEviction(id, j, withinSize) })
		if place := c.capacity.total.Place(r); place != nil {
			return place
		}
	}
	return nil
}

// slotsAfterEviction returns how many of a job's tasks a worker could take
// after the eviction of all gangs that may yield; with a nil predicate no gang
// may.
func (c *Core) slotsAfterEviction(id model.WorkerID, j *JobState, mayEvict func(*JobState) bool) int {
	free, usable := c.capacity.free.Free(id)
	if !usable {
		return 0
	}
	if mayEvict == nil {
		return placement.Slots(free, j.Job.Shape.PerTask)
	}
	for _, job := range c.workers[id].tasks {
		if v := c.jobs[job]; mayEvict(v) {
			free = free.Add(v.Job.Shape.PerTask)
		}
	}
	return placement.Slots(free, j.Job.Shape.PerTask)
}
