package scheduler

import (
	"slices"
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
	// AvoidUntil keeps new attempts off a worker that refused one.
	AvoidUntil time.Time
	// Used is what booked tasks hold. It is more than the capacity while a
	// gang waits for tasks in its place to end.
	Used model.Resources
	// tasks are the booked tasks of the worker.
	tasks map[model.TaskID]model.JobID
}

func newWorkerState(w model.Worker) *workerState {
	return &workerState{Worker: w, tasks: map[model.TaskID]model.JobID{}}
}

// workerUp adds a worker or makes it usable again.
func (c *Core) workerUp(now time.Time, worker model.Worker) *workerState {
	w := c.workers[worker.ID]
	if w == nil {
		w = newWorkerState(worker)
		c.workers[worker.ID] = w
	}
	w.Worker = worker
	w.Up = true
	w.LastRequest = now
	for _, id := range sortedTasks(w) {
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
	gone := w.LastGrant.Add(c.settings.Lease + c.settings.Resend)
	if gone.Before(now) {
		gone = now
	}
	for _, id := range sortedTasks(w) {
		j := c.jobs[w.tasks[id]]
		i, _ := j.taskIndex(id)
		j.Tasks[i].GoneAt = gone
		switch j.Phase {
		case PhaseDeciding, PhaseInDoubt:
			// The decision row's result comes first; the launch then times out.
		default:
			c.endAttempt(now, j, PhaseQueued, wire.StopGangMemberLost, c.settings.MemberLostGrace, text)
		}
	}
}

// leaseRequest renews the leases of the worker's tasks whose gangs are whole.
func (c *Core) leaseRequest(now time.Time, from model.WorkerID, r *wire.LeaseRequest) {
	w := c.workers[from]
	if w == nil || !w.Up {
		return
	}
	w.LastRequest = now
	grant := &wire.LeaseGrant{Epoch: c.epoch, SentMS: r.SentMS, LeaseMS: c.settings.Lease.Milliseconds()}
	for _, id := range sortedTasks(w) {
		if j := c.jobs[w.tasks[id]]; j.active() {
			grant.Tasks = append(grant.Tasks, wire.TaskLease{Task: id, Attempt: j.Attempt})
		}
	}
	if len(grant.Tasks) == 0 {
		return
	}
	w.LastGrant = now
	c.send(from, grant)
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

func sortedTasks(w *workerState) []model.TaskID {
	ids := make([]model.TaskID, 0, len(w.tasks))
	for id := range w.tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
