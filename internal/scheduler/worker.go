package scheduler

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// workerState is what the owner knows of one worker.
type workerState struct {
	Worker model.Worker
	Up     bool
	// LastRequest is when the worker last asked for leases.
	LastRequest time.Time
	// LastGrant is when leases were last granted to the worker.
	LastGrant time.Time
	// AvoidUntil keeps new attempts off a worker that refused one, or whose
	// agent has just started and would refuse it.
	AvoidUntil time.Time
	// Used is what booked tasks hold. It is more than the capacity while a
	// gang waits for tasks in its place to end.
	Used model.Resources
	// pinned counts the booked tasks that cannot checkpoint.
	pinned int
	// tasks are the booked tasks of the worker.
	tasks map[model.TaskID]model.JobID
}

func newWorkerState(w model.Worker) *workerState {
	return &workerState{Worker: w, tasks: map[model.TaskID]model.JobID{}}
}

// hasMovable reports whether a booked task of the worker can checkpoint.
func (w *workerState) hasMovable() bool { return len(w.tasks) > w.pinned }

// workerUp adds a worker or makes it usable again.
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

// workerLost ends all gangs that have a task on the worker.
func (c *Core) workerLost(now time.Time, id model.WorkerID) {
	w := c.workers[id]
	if w == nil || !w.Up {
		return
	}
	w.Up = false
	c.refreshWorker(now, w)
	c.tasksGone(now, w, "worker "+string(id)+" was lost")
}

// tasksGone marks the worker's tasks as ending with their leases and ends their gangs.
func (c *Core) tasksGone(now time.Time, w *workerState, text string) {
	for _, id := range sortedKeys(w.tasks) {
		job, booked := w.tasks[id]
		if !booked {
			continue
		}
		j := c.jobs[job]
		i, _ := j.taskIndex(id)
		j.Tasks[i].GoneAt = c.goneAt(now, w, j, i)
		switch j.Phase {
		case PhaseDeciding, PhaseInDoubt, PhaseRecovering:
			// The decision row's result or the end of the recovery comes first.
		default:
			c.endAttempt(now, j, eventMemberLost, PhaseQueued, wire.StopGangMemberLost, c.settings.MemberLostGrace, text)
		}
	}
}

// goneAt is when a task on a worker that is not reached has ended for certain:
// its lease lapsed, a launch under way came too late, a checkpoint's time is over.
func (c *Core) goneAt(now time.Time, w *workerState, j *JobState, i int) time.Time {
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

// leaseRequest renews the leases of the worker's tasks whose gangs are whole.
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

// gangLease is how long the tasks of a gang may run from now on: until a fixed
// time after the oldest of its workers' last lease requests. So the
// members stop in time after one of them is lost, also when the owner is lost
// before it notices.
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

// silent reports whether a worker with leased tasks stopped asking for leases.
func (c *Core) silent(now time.Time, w *workerState) bool {
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
