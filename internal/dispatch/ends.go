package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

func compareRuns(a, b workload.RunID) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
		cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Run, b.Run),
	)
}

// EndSeen processes the end of a run, read from the row with the given key, and
// marks the row for deletion. A repeated report of the same end has no effect.
func (c *Core) EndSeen(now Now, key string, end workload.End) {
	ref, err := workload.ParseTaskRef(end.Task)
	if err != nil {
		c.processedEndKeys = append(c.processedEndKeys, key)
		return
	}
	j := c.jobs[ref.Job]
	if j != nil {
		if j.seenEnds[key] {
			return
		}
		j.seenEnds[key] = true
	}
	if j == nil || !j.setAside {
		c.processedEndKeys = append(c.processedEndKeys, key)
	}
	if j == nil || ref.Step >= len(j.Steps) || ref.Index >= j.Steps[ref.Step].Tasks {
		return
	}
	run := workload.RunID{Task: ref, Run: end.Run}
	o := j.orders[run]
	j.begun = j.begun || end.Kind != workload.EndNotStarted
	c.recordDecision(Decision{Kind: "run_ended", Job: j.ID, Task: end.Task, Run: end.Run, Worker: workerOf(o), Reason: string(end.Kind) + " " + end.Detail, AgeMS: -1})
	if o != nil {
		c.learnFrom(now, o)
		c.unlink(o)
		c.obsoleteKeys = append(c.obsoleteKeys, o.Key())
	}
	if task := j.progress.Task(ref); task != nil && task.LastRun > end.Run {
		// The run was given up before, and a newer run has replaced it.
		return
	}
	c.applyEnd(now, j, run, end, o)
}

func workerOf(o *order) model.WorkerID {
	if o == nil {
		return ""
	}
	return o.Worker
}

// applyEnd applies the end of a run to the job's progress. o is the run's order, or
// nil if it is unknown or its worker was lost.
func (c *Core) applyEnd(now Now, j *job, run workload.RunID, end workload.End, o *order) {
	occurrence := j.progress.EnsureOccurrence(j.Job, run.Task.Occurrence)
	if occurrence.Done {
		return
	}
	j.dirty = true
	step := &j.Steps[run.Task.Step]
	task := j.progress.Task(run.Task)
	task.LastRun = max(task.LastRun, run.Run)
	c.recordCheckpoint(j, run.Task, end.Checkpoint)
	switch {
	case end.Kind == workload.EndDone && !step.LongRunning:
		c.taskDone(now, j, run, o)
	case end.Kind == workload.EndFailed:
		c.taskFailed(now, j, run, o)
	case end.Kind == workload.EndNotStarted && o != nil:
		c.notStarted(now, j, run, o)
	}
	if step.Gang && end.Kind != workload.EndDone {
		c.stopGangRun(j, run)
	}
	group := run.Task
	if step.Gang {
		group = firstMember(group)
	}
	if !j.movedForRoom[group] {
		// Tasks that were moved have waited for their rack before.
		j.endWait(run.Task)
	}
}

// restartBackoffMS is how long a step waits after a worker did not start one of
// its tasks.
const restartBackoffMS = 300

// notStarted counts a run that never started as a failure of its worker, unless
// the run was to be stopped.
func (c *Core) notStarted(now Now, j *job, run workload.RunID, o *order) {
	if o.stopRequested {
		return
	}
	if o.worker.State == workload.WorkerReady {
		c.countFailure(now, j, o)
	}
	j.notBeforeMS[stepKey{run.Task.Occurrence, run.Task.Step}] = now.StoreMS + restartBackoffMS
}

// firstMember returns the first task of a gang, whose progress holds the failures
// and the checkpoint of the whole gang.
func firstMember(ref workload.TaskRef) workload.TaskRef {
	ref.Index = 0
	return ref
}

// recordCheckpoint records the checkpoint of a task. A gang has one checkpoint
// for all members.
func (c *Core) recordCheckpoint(j *job, ref workload.TaskRef, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if j.Steps[ref.Step].Gang {
		ref = firstMember(ref)
	}
	j.progress.Task(ref).Checkpoint = checkpoint
}

func (c *Core) taskDone(now Now, j *job, run workload.RunID, o *order) {
	if o != nil {
		c.quarantine.Succeeded(o.Worker)
		o.worker.suspectUntilMS = 0
		o.worker.recordGoodStart(o, now.StoreMS)
		c.observeEnd(now, o)
	}
	if j.Steps[run.Task.Step].Gang {
		for i := range j.progress.Occurrences[run.Task.Occurrence].Steps[run.Task.Step] {
			j.progress.Occurrences[run.Task.Occurrence].Steps[run.Task.Step][i] = workload.TaskProgress{Done: true, LastRun: run.Run}
		}
	} else {
		*j.progress.Task(run.Task) = workload.TaskProgress{Done: true, LastRun: run.Run}
	}
	if j.progress.State.Final() {
		return
	}
	if j.progress.CompleteIfDone(j.Job, run.Task.Occurrence) {
		c.recordDecision(Decision{Kind: "job_completed", Job: j.ID, Reason: "all tasks done", AgeMS: now.StoreMS - j.AcceptedMS})
	}
}

// suspectDuration is how long other workers are preferred after a task failed on
// a worker; faulty workers fail every task that they start for some seconds.
const suspectDuration = 6 * time.Second

// taskFailed counts a failure, once for each run: several members of a gang may
// report it, and a previous owner may have counted it.
func (c *Core) taskFailed(now Now, j *job, run workload.RunID, o *order) {
	switch {
	case o == nil:
	case o.workedLong(now):
		c.quarantine.Succeeded(o.Worker)
	default:
		o.worker.recordFailure(o, now.StoreMS)
		c.countFailure(now, j, o)
	}
	step := &j.Steps[run.Task.Step]
	ref := run.Task
	if step.Gang {
		ref = firstMember(ref)
	}
	task := j.progress.Task(ref)
	if task.FailedRun >= run.Run {
		return
	}
	task.Failures++
	task.FailedRun = run.Run
	if task.Failures >= max(1, j.MaxAttempts) && !step.LongRunning {
		c.finish(j, workload.StateFailed, fmt.Sprintf("task %s failed %d times", run.Task, task.Failures))
	}
}

// gangRun identifies a run of a gang, whose members share the run number.
type gangRun struct {
	job  model.JobID
	step stepKey
	run  int
}

func gangRunOf(run workload.RunID) gangRun {
	return gangRun{run.Task.Job, stepKey{run.Task.Occurrence, run.Task.Step}, run.Run}
}

func (o *order) gangRun() gangRun { return gangRunOf(o.id) }

// groupOrders returns the orders that are stopped together with this one: those
// of its gang's members, or only itself.
func (o *order) groupOrders() []*order {
	if !o.step().Gang {
		return []*order{o}
	}
	return o.job.gangOrders(o.gangRun())
}

// gangOrders returns the orders of a gang's run, sorted by run.
func (j *job) gangOrders(g gangRun) []*order {
	var out []*order
	for _, o := range j.orders {
		if o.gangRun() == g {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b *order) int { return compareRuns(a.id, b.id) })
	return out
}

// stopGangRun requests that the remaining members of a gang's run stop.
func (c *Core) stopGangRun(j *job, run workload.RunID) {
	for _, o := range j.gangOrders(gangRunOf(run)) {
		o.requestStop("another member of the gang ended")
	}
}
