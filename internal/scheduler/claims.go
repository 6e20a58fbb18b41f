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

// failedWorkerCost is added to the cost of a placement, in accelerator-seconds,
// so that a claim uses workers on which its job failed only if there is no
// other placement.
const failedWorkerCost = 1e8

// placeClaims starts jobs of the guaranteed class in their accounts' cells and
// evicts borrowed work that occupies them.
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
	claim, ok := c.ledger.Find(j.Job, c.claimCoster(now, j))
	if !ok {
		return false
	}
	victims, ok := c.victimsFor(now, j, claim.Workers, c.isReclaimable)
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

// claimCoster returns the limits and the cost function by which the ledger
// chooses a claim's placement: the least work lost to evictions.
func (c *Core) claimCoster(now time.Time, j *JobState) guarantee.CostModel {
	per := j.Job.Shape.PerTask
	failedOn := c.failedOn(j)
	limits := []func(model.WorkerID) int{
		func(id model.WorkerID) int {
			free, _ := c.capacity.free.Free(id)
			return placement.Slots(free, per)
		},
		func(id model.WorkerID) int {
			return placement.Slots(c.freeAfterCheapEvictions(id, c.settings.LargeAccelerators-1), per)
		},
		func(id model.WorkerID) int { return placement.Slots(c.freeAfterCheapEvictions(id, math.MaxInt), per) },
	}
	if len(failedOn) > 0 {
		limits = append(limits, unlimited)
		for i, limit := range limits {
			limits[i] = excluding(failedOn, limit)
		}
	}
	return guarantee.CostModel{
		Limits: limits,
		Cost: func(workers []model.WorkerID) float64 {
			cost := c.evictionCost(now, j, workers)
			if slices.ContainsFunc(workers, func(id model.WorkerID) bool { return slices.Contains(failedOn, id) }) {
				cost += failedWorkerCost
			}
			return cost
		},
	}
}

// freeAfterCheapEvictions is a worker's free capacity after evicting the
// borrowed gangs of at most size accelerators that can checkpoint, which lose
// no work.
func (c *Core) freeAfterCheapEvictions(id model.WorkerID, size int) model.Resources {
	free, _ := c.capacity.free.Free(id)
	for _, job := range c.workers[id].tasks {
		if j := c.jobs[job]; c.isReclaimable(j) && j.Job.CanCheckpoint && j.Job.Shape.Accelerators() <= size {
			free = free.Add(j.Job.Shape.PerTask)
		}
	}
	return free
}

func (c *Core) evictionCost(now time.Time, j *JobState, workers []model.WorkerID) float64 {
	victims, ok := c.victimsFor(now, j, workers, c.isReclaimable)
	if !ok {
		return math.MaxFloat64
	}
	cost := 0.0
	for _, id := range victims {
		cost += c.lostWork(now, c.jobs[id], j.Job.Urgent)
	}
	return cost
}

// evict stops the victims in favor of a job: after a checkpoint if they can
// take one, or at once for urgent work, which cannot wait for checkpoints.
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

// stopVictim ends a gang's attempt. If the decision row is not confirmed yet,
// the attempt ends as soon as it is.
func (c *Core) stopVictim(now time.Time, v *JobState, reason wire.StopReason, grace time.Duration, text string) {
	if v.Phase == PhaseDeciding || v.Phase == PhaseInDoubt {
		v.StopAfterDecision = true
		v.explain(now, "%s, as soon as its decision row is known", text)
		return
	}
	c.endAttempt(now, v, eventReclaimed, PhaseQueued, reason, grace, text)
}

// cover assigns workers to guaranteed cells and raises alarms for cells that
// became covered or uncovered.
func (c *Core) cover(now time.Time) {
	c.coverDue = false
	c.ledger.Cover()
	uncovered := c.ledger.Uncovered()
	for _, key := range uncovered {
		if _, raised := c.uncoveredAlarms[key]; raised {
			continue
		}
		c.uncoveredAlarms[key] = now
		why := c.ledger.UncoveredReason(key)
		c.record(event.GuaranteeUncovered, "", key, why)
		c.emit(Notify{Alarm: AlarmGuaranteeUncovered, Subject: key, Text: why})
	}
	for _, key := range sortedKeys(c.uncoveredAlarms) {
		if slices.Contains(uncovered, key) {
			continue
		}
		delete(c.uncoveredAlarms, key)
		c.record(event.GuaranteeCovered, "", key, "")
		c.emit(Notify{Alarm: AlarmGuaranteeCovered, Subject: key, Text: key + " can be claimed again"})
	}
}
