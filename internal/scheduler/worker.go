package scheduler

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// workerState is the owner's view of one worker.
type workerState struct {
	Worker model.Worker
	Up     bool
	// LastRequest is when the worker last requested leases. A connection, a
	// first launch and resetSilence set it too.
	LastRequest time.Time
	// LastGrant is when leases were last granted to the worker.
	LastGrant time.Time
	// AvoidUntil blocks new attempts on a worker that refused a reservation,
	// or whose agent has just started and would refuse one.
	AvoidUntil time.Time
	// Used is the capacity of the booked tasks. It exceeds the worker's
	// capacity while a gang waits for other tasks on its workers to end.
	Used model.Resources
	// pinned counts the booked tasks that cannot checkpoint.
	pinned int
	// tasks maps the worker's booked tasks to their jobs.
	tasks map[model.TaskID]model.JobID
}

func newWorkerState(w model.Worker) *workerState {
	return &workerState{Worker: w, tasks: map[model.TaskID]model.JobID{}}
}

// hasCheckpointable reports whether at least one booked task can checkpoint.
func (w *workerState) hasCheckpointable() bool { return len(w.tasks) > w.pinned }

// workerUp registers a worker or marks it as connected again.
func (c *Core) workerUp(now time.Time, r *wire.WorkerReport) *workerState {
	w := c.workers[r.Worker.ID]
	if w == nil {
		w = newWorkerState(r.Worker)
		c.workers[r.Worker.ID] = w
	}
	w.Worker = r.Worker
	if ready := now.Add(time.Duration(r.AcceptInMS) * time.Millisecond); ready.After(w.AvoidUntil) {
		w.AvoidUntil = ready
	}
	w.Up = true
	w.LastRequest = now
	for _, id := range sortedKeys(w.tasks) {
		j := c.jobs[w.tasks[id]]
		i, _ := j.taskIndex(id)
		j.Tasks[i].GoneAt = time.Time{}
	}
	c.refreshWorker(now, w)
	return w
}

// workerLost marks a worker as disconnected and ends all gangs with a task on
// it.
func (c *Core) workerLost(now time.Time, id model.WorkerID) {
	w := c.workers[id]
	if w == nil || !w.Up {
		return
	}
	w.Up = false
	c.refreshWorker(now, w)
	c.loseTasks(now, w, "worker "+string(id)+" was lost")
}

// loseTasks records when the worker's tasks will certainly have ended, and ends
// their gangs.
func (c *Core) loseTasks(now time.Time, w *workerState, text string) {
	for _, id := range sortedKeys(w.tasks) {
		job, booked := w.tasks[id]
		if !booked {
			continue
		}
		j := c.jobs[job]
		i, _ := j.taskIndex(id)
		j.Tasks[i].GoneAt = c.latestTaskEnd(now, w, j, i)
		switch j.Phase {
		case PhaseDeciding, PhaseInDoubt, PhaseRecovering:
			// The decision row's result or the end of recovery is handled
			// first.
		default:
			c.endAttempt(now, j, eventMemberLost, PhaseQueued, wire.StopGangMemberLost, c.settings.MemberLostGrace, text)
		}
	}
}

// latestTaskEnd is the time by which a task on an unreachable worker has
// certainly ended: its lease has expired, a launch in progress has become too
// late to take effect, and the time for a checkpoint is over.
func (c *Core) latestTaskEnd(now time.Time, w *workerState, j *JobState, i int) time.Time {
	gone := now
	if at := w.LastGrant.Add(c.settings.Lease + c.settings.LapseMargin); at.After(gone) {
		gone = at
	}
	t := j.Tasks[i]
	if at := t.StartedAt.Add(c.settings.Lease + c.settings.LapseMargin); at.After(gone) {
		gone = at
	}
	if j.Phase == PhaseLaunching && t.State == wire.TaskReserved {
		if at := t.ReplyAt.Add(c.settings.ReservationHold + c.settings.Lease + c.settings.LapseMargin); at.After(gone) {
			gone = at
		}
	}
	if j.Phase == PhaseStopping {
		if at := j.PhaseSince.Add(j.StopGrace + c.settings.LapseMargin); at.After(gone) {
			gone = at
		}
	}
	return gone
}

// leaseRequest renews the leases of the worker's tasks whose gangs have no
// missing member.
func (c *Core) leaseRequest(now time.Time, from model.WorkerID, r *wire.LeaseRequest) {
	w := c.workers[from]
	if w == nil || !w.Up {
		return
	}
	w.LastRequest = now
	grant := &wire.LeaseGrant{Epoch: c.epoch, SentMS: r.SentMS}
	for _, id := range sortedKeys(w.tasks) {
		j := c.jobs[w.tasks[id]]
		if lease := c.gangLease(now, j); lease > 0 {
			grant.Tasks = append(grant.Tasks, wire.TaskLease{Task: id, Attempt: j.Attempt, LeaseMS: lease.Milliseconds()})
		}
	}
	if len(grant.Tasks) == 0 {
		return
	}
	w.LastGrant = now
	c.send(from, grant)
}

// gangLease is how long the tasks of a gang may continue to run: until
// Settings.Lease after the oldest of its workers' last lease requests. The
// members therefore stop in time after one of them is lost, even if the owner
// is lost before it notices.
func (c *Core) gangLease(now time.Time, j *JobState) time.Duration {
	if !j.active() {
		return 0
	}
	oldest := now
	for i := range j.Tasks {
		switch j.Tasks[i].State {
		case wire.TaskStarting, wire.TaskRunning, wire.TaskSuspended:
			if at := c.workers[j.Tasks[i].Worker].LastRequest; at.Before(oldest) {
				oldest = at
			}
		case wire.TaskFinished:
		default:
			return 0
		}
	}
	return c.settings.Lease - now.Sub(oldest)
}

// isSilent reports whether a worker with leased tasks has stopped requesting
// leases.
func (c *Core) isSilent(now time.Time, w *workerState) bool {
	if !w.Up || now.Sub(w.LastRequest) <= c.settings.SilenceLimit {
		return false
	}
	for _, job := range w.tasks {
		if c.jobs[job].active() {
			return true
		}
	}
	return false
}
