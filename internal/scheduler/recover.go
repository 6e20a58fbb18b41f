package scheduler

import (
	"slices"
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// becomeOwner rebuilds the state from the job rows and the last snapshot. No
// decisions are made until the agents have reported or Settings.RecoveryWindow
// has passed.
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
		c.restoreFromSnapshot(in.Snapshot)
	}
	c.restoreZones(now, in.Snapshot)
	for _, row := range c.dropEndedRows(in.Rows, in.Ended) {
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
	if j.hasAttempt() {
		c.fire(now, j, eventRowFound)
	}
}

// restoreZones restores the zones that are out and since when.
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

// finishRecovery resumes or ends each gang that was active when the owner
// changed.
func (c *Core) finishRecovery(now time.Time) {
	c.recoverUntil = time.Time{}
	c.record(event.OwnerReady, "", "", "")
	recovering := c.inPhase(PhaseRecovering)
	for _, j := range recovering {
		if j.Cell != "" && !c.ledger.RestoreJob(j.Cell, j.Job, j.workers(), j.CellWorkers) {
			c.demoteToBorrowed(now, j)
		}
	}
	for _, j := range recovering {
		c.recoverJob(now, j)
	}
	c.coverDue = true
}

// recoverJob resumes a gang of which no member is missing, launches it if all
// members are only reserved, and ends any other gang.
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
	complete := j.allTasks(wire.TaskReserved, wire.TaskStarting, wire.TaskRunning, wire.TaskSuspended, wire.TaskFinished)
	if !complete {
		c.endAttempt(now, j, eventMemberLost, PhaseQueued, wire.StopGangMemberLost, c.settings.MemberLostGrace, "a member was missing when the owner changed")
		return
	}
	c.fire(now, j, eventOwnerChanged)
	if !j.allTasks(wire.TaskFinished) {
		j.explain(now, "taken over by the owner of epoch %d", c.epoch)
	}
	c.resumeGang(now, j)
}

// resumeGang resumes a gang of which no member is missing. Agents report a task
// only when its state changes or on request, so a gang of which every task runs
// is marked as running here: no later report would do so.
func (c *Core) resumeGang(now time.Time, j *JobState) {
	startedAt := j.StartedAt
	c.checkRunning(now, j)
	switch {
	case j.Phase == PhaseLaunching:
		c.sendLaunches(now, j)
	case j.Phase == PhaseRunning && !startedAt.IsZero():
		j.StartedAt = startedAt
	}
}

// finishRecoveryEarly finishes recovery once every worker with tasks has
// reported.
func (c *Core) finishRecoveryEarly(now time.Time) {
	for _, id := range sortedKeys(c.workers) {
		if w := c.workers[id]; !w.Up && len(w.tasks) > 0 {
			return
		}
	}
	c.finishRecovery(now)
}
