package scheduler

import (
	"slices"
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// becomeOwner rebuilds the state from the job rows and the last snapshot, and
// waits for the agents' reports before it decides anything.
func (c *Core) becomeOwner(now time.Time, in BecomeOwner) {
	if c.owner && in.Epoch <= c.epoch {
		return
	}
	c.reset()
	c.owner = true
	c.epoch = in.Epoch
	if in.Config != nil && (c.config == nil || in.Config.Version >= c.config.Version) {
		c.config = in.Config
	}
	if in.Snapshot != nil {
		c.restoreKnowledge(in.Snapshot)
	}
	c.restoreZones(now, in.Snapshot)
	for _, row := range c.dropLateRows(in.Rows, in.Ended) {
		c.restoreRow(now, row, in.Snapshot)
	}
	c.restoreEnded(in.Ended, in.Snapshot)
	c.recoverUntil = now.Add(c.settings.RecoveryWindow)
	c.record(event.OwnerRecovering, "", "", "waits for the agents' reports")
}

func (c *Core) restoreRow(now time.Time, row JobRow, snap *Snapshot) {
	j := &JobState{
		Job: row.Job, Attempt: row.Attempt, Class: row.Class, Cell: row.Cell, CellWorkers: row.CellWorkers, DoneMS: row.DoneMS, Committed: len(row.Allocation) > 0,
	}
	if j.Class == "" {
		j.Class = row.Job.Capacity
	}
	if old := snap.job(row.Job.ID); old != nil {
		j.History = slices.Clone(old.History)
		j.DoneMS = max(j.DoneMS, old.DoneMS)
		if old.Attempt == row.Attempt {
			j.StartedAt = old.StartedAt
		}
	}
	c.jobs[row.Job.ID] = j
	for i, w := range row.Allocation {
		j.Tasks = append(j.Tasks, TaskState{Worker: w})
		c.book(j, i)
	}
	if row.Parked {
		c.enter(now, j, PhaseParked)
		return
	}
	c.enter(now, j, PhaseQueued)
	if j.placed() {
		c.fire(now, j, eventRowFound)
	}
}

// restoreZones notes the zones that are out.
func (c *Core) restoreZones(now time.Time, snap *Snapshot) {
	if c.config == nil {
		return
	}
	c.ledger.SetGuarantees(c.config.Guarantees)
	for zone, state := range c.config.Zones {
		if state == model.ZoneOut {
			c.zoneOutSince[zone] = now
		}
	}
	if snap == nil {
		return
	}
	for _, z := range snap.ZoneOutSince {
		if _, out := c.zoneOutSince[z.Zone]; out {
			c.zoneOutSince[z.Zone] = z.Since
		}
	}
}

// finishRecovery decides what became of each gang that was under way.
func (c *Core) finishRecovery(now time.Time) {
	c.recoverUntil = time.Time{}
	c.record(event.OwnerReady, "", "", "")
	recovering := c.inPhase(PhaseRecovering)
	for _, j := range recovering {
		if j.Cell != "" && !c.ledger.RestoreJob(j.Cell, j.Job, j.workers(), j.CellWorkers) {
			c.displaced(now, j)
		}
	}
	for _, j := range recovering {
		c.recoverJob(now, j)
	}
	c.coverDue = true
}

// recoverJob takes a gang over that is whole, launches one that is reserved on
// each member, and ends any other.
func (c *Core) recoverJob(now time.Time, j *JobState) {
	for i := range j.Tasks {
		if w := c.workers[j.Tasks[i].Worker]; w == nil || !w.Up {
			j.Tasks[i].GoneAt = now
		}
	}
	if j.CancelRequested {
		c.fire(now, j, eventOwnerChanged)
		c.endAttempt(now, j, eventCancelled, PhaseCancelled, wire.StopCancelled, 0, "cancelled")
		return
	}
	whole := j.allTasks(wire.TaskReserved, wire.TaskStarting, wire.TaskRunning, wire.TaskSuspended, wire.TaskFinished)
	if !whole {
		c.endAttempt(now, j, eventMemberLost, PhaseQueued, wire.StopGangMemberLost, c.settings.MemberLostGrace, "a member was missing when the owner changed")
		return
	}
	c.fire(now, j, eventOwnerChanged)
	if !j.allTasks(wire.TaskFinished) {
		j.explain(now, "taken over by the owner of epoch %d", c.epoch)
	}
	c.takeOver(now, j)
}

// takeOver goes on with a gang that is whole. Agents report a task when its
// state changes or they are asked, so a gang of which every task runs is known
// to run now: no later report would say so.
func (c *Core) takeOver(now time.Time, j *JobState) {
	startedAt := j.StartedAt
	c.checkRunning(now, j)
	switch {
	case j.Phase == PhaseLaunching:
		c.sendLaunches(now, j)
	case j.Phase == PhaseRunning && !startedAt.IsZero():
		j.StartedAt = startedAt
	}
}

// finishRecoveryEarly ends the wait once every worker with tasks has reported.
func (c *Core) finishRecoveryEarly(now time.Time) {
	for _, id := range sortedKeys(c.workers) {
		if w := c.workers[id]; !w.Up && len(w.tasks) > 0 {
			return
		}
	}
	c.finishRecovery(now)
}
