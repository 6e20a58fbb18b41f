package scheduler

import (
	"math"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
	"dragonflyyard/internal/wire"
)

// preemptRetry and urgentRetry are the times between two searches for work that
// may yield to the same job.
const (
	preemptRetry = 5 * time.Second
	urgentRetry  = 200 * time.Millisecond
)

// preemptFor stops borrowed gangs that may yield to a job.
func (c *Core) preemptFor(now time.Time, j *JobState) bool {
	may := c.mayYield(now, j)
	place := c.placeIfYielded(now, j, may)
	if place == nil {
		j.preemptAt = now.Add(preemptRetry)
		if j.Job.Urgent {
			j.preemptAt = now.Add(urgentRetry)
		}
		return false
	}
	victims, ok := c.victimsFor(now, j, place, may)
	if !ok {
		return false
	}
	c.evict(now, j, victims, wire.StopReclaimed)
	c.startBorrowed(now, j, place, "where the least work was in its way")
	return true
}

// yieldSizes are the sizes of gangs, in accelerators, up to which victims are
// tried one after the other, so that small work moves before large work does.
var yieldSizes = []int{2, 8, 1 << 30}

// urgentLosses are the run times since the last checkpoint up to which gangs are
// stopped for urgent work, tried one after the other.
var urgentLosses = []time.Duration{15 * time.Second, time.Minute, 4 * time.Minute, math.MaxInt64}

// placeIfYielded returns a place in which only gangs that may yield are in the way.
func (c *Core) placeIfYielded(now time.Time, j *JobState, may func(*JobState) bool) []model.WorkerID {
	if !j.Job.Urgent {
		return c.placeBySize(j, may)
	}
	for _, loss := range urgentLosses {
		young := func(v *JobState) bool { return c.sinceCheckpoint(now, v) <= loss && may(v) }
		if place := c.placeBySize(j, young); place != nil {
			return place
		}
	}
	return nil
}

// placeBySize returns a place in which the gangs in the way are as small as can be.
func (c *Core) placeBySize(j *JobState, may func(*JobState) bool) []model.WorkerID {
	for _, size := range yieldSizes {
		r := c.request(j)
		small := func(v *JobState) bool { return v.Job.Shape.Accelerators() <= size && may(v) }
		r.Limit = both(r.Limit, func(id model.WorkerID) int { return c.slotsIfYielded(id, j, small) })
		if place := c.books.fleet.Place(r); place != nil {
			return place
		}
	}
	return nil
}

// slotsIfYielded returns how many of a job's tasks a worker would take without
// the gangs that may yield; nil means that none may.
func (c *Core) slotsIfYielded(id model.WorkerID, j *JobState, may func(*JobState) bool) int {
	free, usable := c.books.free.Free(id)
	if !usable {
		return 0
	}
	if may == nil {
		return placement.Slots(free, j.Job.Shape.PerTask)
	}
	for _, job := range c.workers[id].tasks {
		if v := c.jobs[job]; may(v) {
			free = free.Add(v.Job.Shape.PerTask)
		}
	}
	return placement.Slots(free, j.Job.Shape.PerTask)
}
