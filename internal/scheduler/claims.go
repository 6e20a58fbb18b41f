package scheduler

import (
	"math"
	"slices"
	"strings"
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/guarantee"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
	"dragonflyyard/internal/wire"
)

// failedWorkerCost makes a claim prefer any other place to workers that its job
// failed on, in accelerator-seconds.
const failedWorkerCost = 1e8

// placeClaims puts jobs of the guaranteed class into their accounts' cells and
// evicts the borrowed work in the way.
func (c *Core) placeClaims(now time.Time) {
	for _, r := range slices.Clone(c.claims) {
		j := c.jobs[r.job]
		if now.Before(j.NotBefore) {
			continue
		}
		if !c.mayClaim(now) {
			return
		}
		c.claim(now, j)
	}
}

func (c *Core) claim(now time.Time, j *JobState) bool {
	claim, ok := c.ledger.Find(j.Job, c.coster(now, j))
	if !ok {
		return false
	}
	victims, ok := c.victimsFor(now, j, claim.Workers, c.isBorrowed)
	if !ok || len(victims) > 0 && c.settings.Policy.NoReclaim {
		return false
	}
	c.ledger.Occupy(claim, j.Job.ID)
	j.Class = model.CapacityGuaranteed
	j.Cell = claim.Key
	if cell := c.ledger.Cell(claim.Key); len(cell.Workers) > len(claim.Workers) {
		j.CellWorkers = slices.Clone(cell.Workers)
	}
	c.evict(now, j, victims, wire.StopReclaimed)
	c.beginAttempt(now, j, claim.Workers, "in its guaranteed cell "+claim.Key)
	return true
}

// coster compares places by the work lost there.
func (c *Core) coster(now time.Time, j *JobState) guarantee.CostModel {
	per := j.Job.Shape.PerTask
	failedOn := c.failedOn(j)
	limits := []func(model.WorkerID) int{
		func(id model.WorkerID) int {
			free, _ := c.books.free.Free(id)
			return placement.Slots(free, per)
		},
		func(id model.WorkerID) int {
			return placement.Slots(c.cheaplyFree(id, c.settings.LargeAccelerators-1), per)
		},
		func(id model.WorkerID) int { return placement.Slots(c.cheaplyFree(id, math.MaxInt), per) },
	}
	if len(failedOn) > 0 {
		limits = append(limits, unlimited)
		for i, limit := range limits {
			limits[i] = except(failedOn, limit)
		}
	}
	return guarantee.CostModel{
		Limits: limits,
		Cost: func(workers []model.WorkerID) float64 {
			cost := c.costOf(now, j, workers)
			if slices.ContainsFunc(workers, func(id model.WorkerID) bool { return slices.Contains(failedOn, id) }) {
				cost += failedWorkerCost
			}
			return cost
		},
	}
}

// cheaplyFree is what would be free without the borrowed tasks that lose no
// work, of gangs up to a size in accelerators.
func (c *Core) cheaplyFree(id model.WorkerID, size int) model.Resources {
	free, _ := c.books.free.Free(id)
	for _, job := range c.workers[id].tasks {
		if j := c.jobs[job]; c.isBorrowed(j) && j.Job.CanCheckpoint && j.Job.Shape.Accelerators() <= size {
			free = free.Add(j.Job.Shape.PerTask)
		}
	}
	return free
}

func (c *Core) costOf(now time.Time, j *JobState, workers []model.WorkerID) float64 {
	victims, ok := c.victimsFor(now, j, workers, c.isBorrowed)
	if !ok {
		return math.MaxFloat64
	}
	cost := 0.0
	for _, id := range victims {
		cost += c.lostWork(now, c.jobs[id], j.Job.Urgent)
	}
	return cost
}

// evict stops the victims for a job: after a checkpoint where they can take one,
// or at once for urgent work, which has no time for it.
func (c *Core) evict(now time.Time, j *JobState, victims []model.JobID, reason wire.StopReason) {
	if len(victims) == 0 {
		return
	}
	names := make([]string, len(victims))
	grace := c.settings.CheckpointGrace
	how := ""
	if j.Job.Urgent {
		grace = 0
		how = " at once"
	}
	for i, id := range victims {
		names[i] = string(id)
		v := c.jobs[id]
		v.Moved = true
		v.Preemptions++
		c.record(event.JobPreempted, id, string(j.Job.ID), string(reason))
		c.stopVictim(now, v, reason, grace, "stopped"+how+" for job "+string(j.Job.ID)+" of account "+string(j.Job.Account))
	}
	j.explain(now, "evicts %s%s, the choice that loses least work", strings.Join(names, ", "), how)
}

// stopVictim ends a gang; one whose decision is not known yet ends right after it is.
func (c *Core) stopVictim(now time.Time, v *JobState, reason wire.StopReason, grace time.Duration, text string) {
	if v.Phase == PhaseDeciding || v.Phase == PhaseInDoubt {
		v.StopAfterDecision = true
		v.explain(now, "%s, as soon as its decision row is known", text)
		return
	}
	c.endAttempt(now, v, eventReclaimed, PhaseQueued, reason, grace, text)
}

// cover gives cells their places and tells operators what changed.
func (c *Core) cover(now time.Time) {
	c.coverDue = false
	c.ledger.Cover()
	uncovered := c.ledger.Uncovered()
	for _, key := range uncovered {
		if _, told := c.alarmed[key]; told {
			continue
		}
		c.alarmed[key] = now
		why := c.ledger.UncoveredReason(key)
		c.record(event.GuaranteeUncovered, "", key, why)
		c.do(Notify{Alarm: AlarmGuaranteeUncovered, Subject: key, Text: why})
	}
	for _, key := range sortedKeys(c.alarmed) {
		if slices.Contains(uncovered, key) {
			continue
		}
		delete(c.alarmed, key)
		c.record(event.GuaranteeCovered, "", key, "")
		c.do(Notify{Alarm: AlarmGuaranteeCovered, Subject: key, Text: key + " can be claimed again"})
	}
}
