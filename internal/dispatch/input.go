package dispatch

import (
	"fmt"
	"maps"
	"slices"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// JobSeen adds an accepted job that was read from an inbox row, with its progress if
// there is any. A job that is known from another row is not added again, and deleted
// rows are ignored.
func (c *Core) JobSeen(key string, version storeapi.RowVersion, accepted *workload.Job, progress *workload.Progress) {
	if c.inbox.deleted(key, version) {
		return
	}
	if known := c.jobs[accepted.ID]; known != nil {
		if known.Account == accepted.Account {
			known.inboxRows[key] = max(known.inboxRows[key], version)
		}
		return
	}
	if progress == nil {
		progress = workload.NewProgress(accepted.Account)
	}
	progress.DropUnstarted()
	j := &job{
		Job: accepted, progress: progress, orders: map[workload.RunID]*order{}, seenEnds: map[string]bool{},
		inboxRows:    map[string]storeapi.RowVersion{key: version},
		readySinceMS: map[taskKey]int64{}, notBeforeMS: map[stepKey]int64{}, preemptedWork: map[stepKey]float64{}, lastPreemptionMS: map[stepKey]int64{}, room: map[stepKey][]*worker{},
		movedForRoom: map[workload.TaskRef]bool{}, stalledRuns: map[workload.TaskRef]int{},
	}
	j.begun = progress.Begun()
	c.jobs[accepted.ID] = j
	c.recordDecision(Decision{Kind: "job_seen", Job: j.ID, Reason: j.describe(), AgeMS: -1})
	if c.inbox.cancelled[jobOfAccount{j.ID, j.Account}] > 0 {
		c.cancel(j)
	}
}

// describe returns what decides over the job's rank, for the log.
func (j *job) describe() string {
	kind := ""
	switch {
	case j.LongRunning():
		kind = ", lasts"
	case j.Scheduled():
		kind = ", scheduled"
	}
	return fmt.Sprintf("%s, account %s, priority %d, objective %d ms, %.0f core seconds%s",
		j.progress.State, j.Account, j.Priority, j.Objective().Milliseconds(), j.Work(), kind)
}

// CancelSeen records the cancellation of a job that was read from an inbox row. It
// cancels the job if it is of the same account, also if it is read later.
func (c *Core) CancelSeen(now Now, key string, version storeapi.RowVersion, id model.JobID, row workload.Cancellation) {
	target := jobOfAccount{id, row.Account}
	if !c.inbox.addCancellation(key, version, target, min(row.RequestedMS, now.StoreMS)) {
		return
	}
	if j := c.jobs[id]; j != nil && j.Account == row.Account {
		c.cancel(j)
		return
	}
	c.recordDecision(Decision{Kind: "cancellation_kept", Job: id, Reason: "the account has no such job", AgeMS: now.StoreMS - row.RequestedMS})
}

func (c *Core) cancel(j *job) { c.finish(j, workload.StateCancelled, "cancelled by its caller") }

// finish puts a job into a final state and requests that its runs stop. It has no
// effect on a job in a final state.
func (c *Core) finish(j *job, state workload.State, reason string) {
	if j.progress.State.Final() {
		return
	}
	j.progress.State, j.progress.EndedMS, j.dirty = state, 0, true
	c.recordDecision(Decision{Kind: "job_" + string(state), Job: j.ID, Reason: reason, AgeMS: -1})
	for _, o := range j.orders {
		o.requestStop("job " + string(state))
	}
}

func (o *order) requestStop(reason string) {
	if !o.stopRequested {
		o.stopRequested, o.stopReason = true, reason
	}
}

// WorkerSeen records an announcement of a worker. Announcements that are not
// newer than the last one are ignored.
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
		c.recordDecision(Decision{Kind: "worker_" + string(a.State), Worker: a.Worker, Reason: "announced by " + a.Host, AgeMS: -1})
	}
	w.Announcement, w.version = a, version
	c.recordReports(w)
	c.observeNeighbours(w)
}

// recordReports records the worker's reports of its runs.
func (c *Core) recordReports(w *worker) {
	for _, running := range w.Running {
		ref, err := workload.ParseTaskRef(running.Task)
		if err != nil {
			continue
		}
		o := w.orders[workload.RunID{Task: ref, Run: running.Run}]
		if o == nil {
			continue
		}
		if o.firstReportMS == 0 {
			o.firstReportMS = w.SentMS
			if o.takenOver && !o.ageUnknown {
				// Its first report went to a previous owner.
				o.firstReportMS = min(w.SentMS, o.decidedMS)
			}
		}
		o.job.begun = true
		o.lastReport, o.lastReportMS = running, w.SentMS
		w.recordGoodStart(o, w.SentMS)
		c.observeReport(o)
	}
}

// OrderSeen adds an order that a previous owner wrote. The workers and jobs must
// be added before. Orders of unknown jobs are ignored.
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
	o := &order{Order: row, id: id, job: j, worker: w, version: version, demand: j.Steps[id.Task.Step].PerTask, decidedMS: c.decidedMS(now, row), takenOver: true, ageUnknown: !c.settings.LearnSpeeds}
	j.progress.EnsureOccurrence(j.Job, id.Task.Occurrence)
	c.link(o)
	if task := j.progress.Task(id.Task); task != nil {
		task.LastRun = max(task.LastRun, id.Run)
	}
	switch {
	case j.progress.State.Final():
		o.requestStop("job " + string(j.progress.State))
	case row.Stop:
		o.requestStop("stop ordered by a previous scheduler owner")
	}
	c.recordReports(w)
}

// decidedMS returns when an order was decided that a previous owner wrote. The worker had
// a fixed time from then on to start the task.
func (c *Core) decidedMS(now Now, row workload.Order) int64 {
	if row.StartByMS <= 0 || !c.settings.LearnSpeeds {
		return now.StoreMS
	}
	return min(now.StoreMS, row.StartByMS-c.settings.StartWithin.Milliseconds())
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

// sortedJobs returns the jobs, sorted by ID.
func (c *Core) sortedJobs() []*job {
	ids := slices.Sorted(maps.Keys(c.jobs))
	out := make([]*job, len(ids))
	for i, id := range ids {
		out[i] = c.jobs[id]
	}
	return out
}

// sortedWorkers returns the workers, sorted by host.
func (c *Core) sortedWorkers() []*worker {
	hosts := slices.Sorted(maps.Keys(c.workers))
	out := make([]*worker, len(hosts))
	for i, host := range hosts {
		out[i] = c.workers[host]
	}
	return out
}

// sortedOrders returns the orders of a job or worker, sorted by run.
func sortedOrders(orders map[workload.RunID]*order) []*order {
	out := slices.Collect(maps.Values(orders))
	slices.SortFunc(out, func(a, b *order) int { return compareRuns(a.id, b.id) })
	return out
}
