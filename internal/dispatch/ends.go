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

// EndSeen takes in the end of a run, which lies under a key until the next
// batch. A second report of the same end changes nothing.
func (c *Core) EndSeen(now Now, key string, end workload.End) {
	ref, err := workload.ParseTaskRef(end.Task)
	if err != nil {
		c.endKeys = append(c.endKeys, key)
		return
	}
	j := c.jobs[ref.Job]
	if j != nil {
		if j.seenEnds[key] {
			return
		}
		j.seenEnds[key] = true
	}
	c.endKeys = append(c.endKeys, key)
	if j == nil || ref.Step >= len(j.Steps) || ref.Index >= j.Steps[ref.Step].Tasks {
		return
	}
	run := workload.RunID{Task: ref, Run: end.Run}
	o := j.orders[run]
	c.decide(Decision{Kind: "run_ended", Job: j.ID, Task: end.Task, Run: end.Run, Worker: workerOf(o), Reason: string(end.Kind) + " " + end.Detail, AgeMS: -1})
	if o != nil {
		c.unlink(o)
		c.dropKeys = append(c.dropKeys, o.Key())
	}
	if task := j.progress.Task(ref); task != nil && task.LastRun > end.Run {
		// The run was given up before, and another one has its place.
		return
	}
	c.apply(now, j, run, end, o)
}

func workerOf(o *order) model.WorkerID {
	if o == nil {
		return ""
	}
	return o.Worker
}

// apply works the end of a run into the job's progress.
func (c *Core) apply(now Now, j *job, run workload.RunID, end workload.End, o *order) {
	occurrence := j.progress.EnsureOccurrence(j.Job, run.Task.Occurrence)
	if occurrence.Done {
		return
	}
	j.dirty = true
	step := &j.Steps[run.Task.Step]
	task := j.progress.Task(run.Task)
	task.LastRun = max(task.LastRun, run.Run)
	c.keepCheckpoint(j, run.Task, end.Checkpoint)
	switch {
	case end.Kind == workload.EndDone && !step.LongRunning:
		c.taskDone(now, j, run, o)
	case end.Kind == workload.EndFailed:
		c.taskFailed(now, j, run, o)
	case end.Kind == workload.EndNotStarted && o != nil:
		c.notStarted(now, j, run, o)
	}
	if step.Gang && end.Kind != workload.EndDone {
		c.breakGang(j, run)
	}
	delete(j.readySinceMS, stepKey{run.Task.Occurrence, run.Task.Step})
}

// restartPauseMS is how long a step waits after a worker did not start its task.
const restartPauseMS = 300

// notStarted counts a run that never began against its worker, unless it was
// asked to stop.
func (c *Core) notStarted(now Now, j *job, run workload.RunID, o *order) {
	if o.stopWanted {
		return
	}
	c.sick.Failed(now.time(), o.Worker, j.ID)
	j.notBeforeMS[stepKey{run.Task.Occurrence, run.Task.Step}] = now.StoreMS + restartPauseMS
}

// gangTask returns the task whose progress stands for a whole gang.
func gangTask(ref workload.TaskRef) workload.TaskRef {
	ref.Index = 0
	return ref
}

// keepCheckpoint keeps saved work. A gang has one checkpoint for all members.
func (c *Core) keepCheckpoint(j *job, ref workload.TaskRef, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if j.Steps[ref.Step].Gang {
		ref = gangTask(ref)
	}
	j.progress.Task(ref).Checkpoint = checkpoint
}

func (c *Core) taskDone(now Now, j *job, run workload.RunID, o *order) {
	if o != nil {
		c.sick.Succeeded(o.Worker)
		o.worker.suspectUntilMS = 0
		o.worker.startWentWell(o, now.StoreMS)
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
		c.decide(Decision{Kind: "job_completed", Job: j.ID, Reason: "all tasks done", AgeMS: now.StoreMS - j.AcceptedMS})
	}
}

// suspectFor is how long a worker comes after the others on which a task failed;
// unhealthy workers fail what they start for some seconds.
const suspectFor = 6 * time.Second

// taskFailed counts a failure, once for each run: of a gang several members may
// report it, and a former owner may have counted it before.
func (c *Core) taskFailed(now Now, j *job, run workload.RunID, o *order) {
	if o != nil {
		o.worker.failed(o, now.StoreMS)
		if v := c.sick.Failed(now.time(), o.Worker, j.ID); v.Quarantined {
			c.decide(Decision{Kind: "worker_quarantined", Worker: o.Worker, Reason: "tasks of several jobs failed", AgeMS: -1})
		}
	}
	step := &j.Steps[run.Task.Step]
	ref := run.Task
	if step.Gang {
		ref = gangTask(ref)
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

// gangRun names a run of a step whose members belong together.
type gangRun struct {
	job  model.JobID
	step stepKey
	run  int
}

func gangRunOf(run workload.RunID) gangRun {
	return gangRun{run.Task.Job, stepKey{run.Task.Occurrence, run.Task.Step}, run.Run}
}

func (o *order) gangRun() gangRun { return gangRunOf(o.id) }

// group returns the orders that end with this one: the members of its gang, or
// itself alone.
func (o *order) group() []*order {
	if !o.step().Gang {
		return []*order{o}
	}
	return o.job.gangOrders(o.gangRun())
}

// gangOrders returns the orders of a gang's run in a fixed order.
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

// breakGang asks for the end of the other members of a gang's run.
func (c *Core) breakGang(j *job, run workload.RunID) {
	for _, o := range j.gangOrders(gangRunOf(run)) {
		o.wantStop("another member of the gang ended")
	}
}
