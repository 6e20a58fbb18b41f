package taskrunner

import (
	"fmt"
	"time"

	"dragonflyyard/internal/workload"
)

func (c *Core) applyLists(now, sentAt time.Time, lists RunLists) {
	c.lists.known, c.lists.clockMS, c.lists.receivedAt, c.lists.running = true, lists.ClockMS, now, lists.Running
	if !c.ordersLoaded {
		return
	}
	c.lists.reconciled = c.lists.reconciled || !lists.MoreEnds
	listedRuns := map[workload.RunID]bool{}
	for i := range lists.Running {
		c.applyRunning(now, &lists.Running[i], listedRuns)
	}
	for _, ended := range lists.Ended {
		c.applyEnded(ended, listedRuns)
	}
	for id, r := range c.runs {
		// The end of a run may be among those that a cut list leaves out. Later
		// lists hold them, once the listed ends are acknowledged.
		if !listedRuns[id] && !lists.MoreEnds {
			c.applyAbsent(r, sentAt)
		}
	}
	for id := range c.strays {
		if !listedRuns[id] {
			delete(c.strays, id)
		}
	}
	c.acknowledge()
}

func (c *Core) applyRunning(now time.Time, running *workload.RunningTask, listedRuns map[workload.RunID]bool) {
	checkpointSize := len(running.Checkpoint)
	if checkpointSize > workload.MaxCheckpointBytes {
		running.Checkpoint = ""
	}
	ref, err := workload.ParseTaskRef(running.Task)
	if err != nil {
		return
	}
	id := workload.RunID{Task: ref, Run: running.Run}
	listedRuns[id] = true
	r := c.runs[id]
	if r == nil {
		if _, known := c.strays[id]; !known {
			c.strays[id] = time.Time{}
			c.note("stray_run", &run{Order: workload.Order{Task: running.Task, Run: running.Run}}, "no order for this run")
		}
		return
	}
	if checkpointSize > workload.MaxCheckpointBytes {
		c.ignoreCheckpoint(r, checkpointSize)
	}
	if !r.seenRunning || r.percent != running.Percent {
		r.percent, r.progressAt, r.stallAnnounced = running.Percent, now, false
	}
	r.maybeSent, r.seenRunning, r.checkpoint = true, true, running.Checkpoint
	running.StalledMS = now.Sub(r.progressAt).Milliseconds()
	if running.StalledMS >= stallAnnounceAfter.Milliseconds() && !r.stallAnnounced {
		r.stallAnnounced = true
		c.row.announceNow()
	}
}

// stallAnnounceAfter is the time without progress after which a run is announced
// immediately; the scheduler decides whether that is a stall for a task of its
// length.
const stallAnnounceAfter = 900 * time.Millisecond

func (c *Core) applyEnded(ended EndedRun, listedRuns map[workload.RunID]bool) {
	c.lists.highestEnd = max(c.lists.highestEnd, ended.Number)
	ref, err := workload.ParseTaskRef(ended.Task)
	if err != nil {
		return
	}
	id := workload.RunID{Task: ref, Run: ended.Run}
	listedRuns[id] = true
	r := c.runs[id]
	if r == nil {
		return
	}
	if len(ended.Checkpoint) > workload.MaxCheckpointBytes {
		c.ignoreCheckpoint(r, len(ended.Checkpoint))
		ended.Checkpoint = ""
	}
	c.recordEnd(r, ended.Kind, ended.Checkpoint, "")
	r.endNumber = ended.Number
}

// ignoreCheckpoint notes, once for each run, a checkpoint that is too large to store.
func (c *Core) ignoreCheckpoint(r *run, size int) {
	if !r.checkpointIgnored {
		r.checkpointIgnored = true
		c.note("checkpoint_ignored", r, fmt.Sprintf("%d bytes (allowed: %d)", size, workload.MaxCheckpointBytes))
	}
}

// applyAbsent handles an ordered run that the worker lists neither as running
// nor as ended, in its answer to a poll that was sent at sentAt.
func (c *Core) applyAbsent(r *run, sentAt time.Time) {
	switch {
	case r.inFlight || r.end != nil:
	case !r.stopConfirmedAt.IsZero() && sentAt.After(r.stopConfirmedAt):
		kind := workload.EndNotStarted
		if r.seenRunning {
			kind = workload.EndStopped
		}
		c.recordEnd(r, kind, r.checkpoint, "worker confirmed the stop and no longer lists the run")
	case !r.startConfirmedAt.IsZero() && sentAt.After(r.startConfirmedAt):
		c.recordEnd(r, workload.EndLost, r.checkpoint, "worker confirmed the start but does not list the run")
	}
}

// acknowledge advances the number up to which the worker may drop its ends: all
// listed ends below the first uncommitted one.
func (c *Core) acknowledge() {
	upTo := c.lists.highestEnd
	for _, r := range c.runs {
		if r.end != nil && !r.reported && r.endNumber > 0 {
			upTo = min(upTo, r.endNumber-1)
		}
	}
	c.lists.acknowledged = max(c.lists.acknowledged, upTo)
}
