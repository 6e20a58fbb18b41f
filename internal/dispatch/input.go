package dispatch

import (
	"maps"
	"slices"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// JobSeen takes in an accepted job, with its progress when there is any.
func (c *Core) JobSeen(accepted *workload.Job, progress *workload.Progress) {
	if _, collected := c.collected[accepted.ID]; collected || c.jobs[accepted.ID] != nil {
		return
	}
	if progress == nil {
		progress = workload.NewProgress(accepted.Account)
	}
	j := &job{
		Job: accepted, progress: progress, orders: map[workload.RunID]*order{}, seenEnds: map[string]bool{},
		readySinceMS: map[stepKey]int64{}, notBeforeMS: map[stepKey]int64{}, thrownAway: map[stepKey]float64{}, claimedMS: map[stepKey]int64{},
	}
	c.jobs[accepted.ID] = j
	c.decide(Decision{Kind: "job_seen", Job: j.ID, Reason: string(progress.State), AgeMS: -1})
	if c.cancelled[accepted.ID] {
		delete(c.cancelled, accepted.ID)
		c.CancelSeen(accepted.ID)
	}
}

// CancelSeen takes in the cancellation of a job.
func (c *Core) CancelSeen(id model.JobID) {
	j := c.jobs[id]
	if j == nil {
		if _, collected := c.collected[id]; !collected {
			c.cancelled[id] = true
		}
		return
	}
	c.finish(j, workload.StateCancelled, "cancelled by its caller")
}

// finish puts a job into a final state and asks for the end of its runs.
func (c *Core) finish(j *job, state workload.State, reason string) {
	if j.progress.State.Final() {
		return
	}
	j.progress.State, j.progress.EndedMS, j.dirty = state, 0, true
	c.decide(Decision{Kind: "job_" + string(state), Job: j.ID, Reason: reason, AgeMS: -1})
	for _, o := range j.orders {
		o.wantStop("job " + string(state))
	}
}

func (o *order) wantStop(reason string) {
	if !o.stopWanted {
		o.stopWanted, o.stopReason = true, reason
	}
}

// WorkerSeen takes in the newest announcement of a worker.
func (c *Core) WorkerSeen(a workload.Announcement, version storeapi.RowVersion) {
	w := c.workers[a.Host]
	if w == nil {
		w = &worker{orders: map[workload.RunID]*order{}}
		c.workers[a.Host] = w
	}
	if version <= w.version {
		return
	}
	if w.State != a.State || w.Incarnation != a.Incarnation {
		c.decide(Decision{Kind: "worker_" + string(a.State), Worker: a.Worker, Reason: "announced by " + a.Host, AgeMS: -1})
	}
	w.Announcement, w.version = a, version
	c.takeReports(w)
}

// takeReports notes what the worker says of its runs.
func (c *Core) takeReports(w *worker) {
	for _, running := range w.Running {
		ref, err := workload.ParseTaskRef(running.Task)
		if err != nil {
			continue
		}
		o := w.orders[workload.RunID{Task: ref, Run: running.Run}]
		if o == nil {
			continue
		}
		if o.reportedMS == 0 {
			o.reportedMS = w.SentMS
		}
		o.report, o.reportMS = running, w.SentMS
		w.startWentWell(o, w.SentMS)
	}
}

// OrderSeen takes in an order that a former owner wrote. The workers and jobs
// are taken in first. An order of an unknown job gets a stop.
func (c *Core) OrderSeen(now Now, row workload.Order, version storeapi.RowVersion) {
	id, err := row.ID()
	if err != nil {
		return
	}
	j := c.jobs[id.Task.Job]
	if j == nil || id.Task.Step >= len(j.Steps) {
		return
	}
	w := c.workers[row.Host]
	if w == nil {
		w = &worker{Announcement: workload.Announcement{Host: row.Host, State: workload.WorkerGone}, orders: map[workload.RunID]*order{}}
		c.workers[row.Host] = w
	}
	o := &order{Order: row, id: id, job: j, worker: w, version: version, demand: j.Steps[id.Task.Step].PerTask, decidedMS: now.StoreMS, takenOver: true}
	j.progress.EnsureOccurrence(j.Job, id.Task.Occurrence)
	c.link(o)
	if task := j.progress.Task(id.Task); task != nil {
		task.LastRun = max(task.LastRun, id.Run)
	}
	switch {
	case j.progress.State.Final():
		o.wantStop("job " + string(j.progress.State))
	case row.Stop:
		o.wantStop("a former owner stopped it")
	}
	c.takeReports(w)
}

func (c *Core) link(o *order) {
	o.job.orders[o.id] = o
	o.worker.orders[o.id] = o
	o.worker.used = o.worker.used.Add(o.demand)
}

func (c *Core) unlink(o *order) {
	delete(o.job.orders, o.id)
	delete(o.worker.orders, o.id)
	o.worker.used = o.worker.used.Sub(o.demand)
}

// sortedJobs returns the jobs in a fixed order.
func (c *Core) sortedJobs() []*job {
	ids := slices.Sorted(maps.Keys(c.jobs))
	out := make([]*job, len(ids))
	for i, id := range ids {
		out[i] = c.jobs[id]
	}
	return out
}

// sortedWorkers returns the workers in a fixed order.
func (c *Core) sortedWorkers() []*worker {
	hosts := slices.Sorted(maps.Keys(c.workers))
	out := make([]*worker, len(hosts))
	for i, host := range hosts {
		out[i] = c.workers[host]
	}
	return out
}

// sortedOrders returns a job's or worker's orders in a fixed order.
func sortedOrders(orders map[workload.RunID]*order) []*order {
	out := slices.Collect(maps.Values(orders))
	slices.SortFunc(out, func(a, b *order) int { return compareRuns(a.id, b.id) })
	return out
}
