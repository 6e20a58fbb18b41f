package scheduler

import (
	"fmt"
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
	"dragonflyyard/internal/wire"
)

// taskReport applies an agent's report of one task. A report of another attempt
// only causes that task to be stopped.
func (c *Core) taskReport(now time.Time, from model.WorkerID, r *wire.TaskReport) {
	j := c.jobs[r.Job]
	if j == nil || r.Attempt != j.Attempt || !j.hasAttempt() {
		c.stopStrayTask(from, r)
		return
	}
	i, ok := j.taskIndex(r.Task)
	if !ok || j.Tasks[i].Worker != from {
		c.stopStrayTask(from, r)
		return
	}
	t := &j.Tasks[i]
	if isEnded(t.State) {
		return
	}
	t.DoneMS = max(t.DoneMS, r.DoneMS)
	t.Checkpointed = t.Checkpointed || r.Checkpointed
	switch {
	case j.Phase == PhaseRecovering:
		t.State = r.State
	case isEnded(r.State):
		c.taskEnded(now, j, i, r)
	case j.active() && r.State != wire.TaskStopping:
		t.State = r.State
		if t.StartedAt.IsZero() && r.State != wire.TaskReserved {
			t.StartedAt = now
		}
		c.checkRunning(now, j)
	}
}

// stopStrayTask stops a live task that the owner does not know or no longer
// wants.
func (c *Core) stopStrayTask(from model.WorkerID, r *wire.TaskReport) {
	if isEnded(r.State) || r.State == wire.TaskStopping {
		return
	}
	if r.State == wire.TaskReserved {
		c.send(from, &wire.Release{Epoch: c.epoch, Job: r.Job, Attempt: r.Attempt, Task: r.Task})
		return
	}
	c.send(from, &wire.StopTask{Epoch: c.epoch, Job: r.Job, Attempt: r.Attempt, Task: r.Task, Reason: wire.StopGangMemberLost})
}

func (c *Core) checkRunning(now time.Time, j *JobState) {
	if j.Phase != PhaseLaunching || !j.allTasks(wire.TaskRunning, wire.TaskFinished) {
		return
	}
	j.StartedAt = now
	j.Refusals = 0
	c.fire(now, j, eventAllStarted)
	if j.allTasks(wire.TaskFinished) {
		c.jobFinished(now, j)
	}
}

// taskEnded releases a task's capacity and handles the consequences for the
// gang.
func (c *Core) taskEnded(now time.Time, j *JobState, i int, r *wire.TaskReport) {
	j.Tasks[i].State = r.State
	c.unbook(j, i)
	switch {
	case j.Phase == PhaseStopping:
		c.checkStopped(now, j)
	case j.Phase == PhaseReserving || j.Phase == PhaseDeciding || j.Phase == PhaseInDoubt:
		// The reservation expired; the next resend requests it again.
		j.Tasks[i].State = 0
		c.book(j, i)
	case r.State == wire.TaskFinished:
		c.checkRunning(now, j)
		if j.Phase == PhaseRunning && j.allTasks(wire.TaskFinished) {
			c.jobFinished(now, j)
		}
	case r.State == wire.TaskFailed:
		c.taskFailed(now, j, i, r)
	default:
		text := fmt.Sprintf("task %d ended on %s: %s", i, j.Tasks[i].Worker, r.Detail)
		c.endAttempt(now, j, eventMemberLost, PhaseQueued, wire.StopGangMemberLost, c.settings.MemberLostGrace, text)
	}
}

func (c *Core) jobFinished(now time.Time, j *JobState) {
	c.predictor.Observe(j.Job, time.Duration(j.DoneMS)*time.Millisecond+now.Sub(j.StartedAt))
	for _, t := range j.Tasks {
		if c.tracker.Probing(t.Worker) {
			c.tracker.Succeeded(t.Worker)
			c.refreshWorker(now, c.workers[t.Worker])
			c.record(event.WorkerReturned, j.Job.ID, string(t.Worker), "")
		}
	}
	c.finalize(now, j, eventAllFinished, "all tasks finished")
}

// taskFailed ends a gang whose task failed and records the failure for the
// worker and the job.
func (c *Core) taskFailed(now time.Time, j *JobState, i int, r *wire.TaskReport) {
	worker := j.Tasks[i].Worker
	text := fmt.Sprintf("task %d failed on %s: %s", i, worker, r.Detail)
	verdict := c.tracker.Failed(now, worker, j.Job.ID)
	if verdict.Quarantined && !c.settings.Policy.NoQuarantine {
		c.refreshWorker(now, c.workers[worker])
		c.record(event.WorkerQuarantined, j.Job.ID, string(worker), "until "+verdict.Until.UTC().Format(time.RFC3339))
		c.emit(Notify{Alarm: AlarmWorkerQuarantined, Subject: string(worker), Text: "distinct jobs failed on it"})
	}
	next := PhaseQueued
	if verdict.Park {
		next = PhaseParked
	}
	c.endAttempt(now, j, eventMemberFailed, next, wire.StopGangMemberLost, 0, text)
}

// park suspends retries of a job that failed on several distinct workers.
func (c *Core) park(now time.Time, j *JobState) {
	c.vacateCell(j)
	j.Tasks = nil
	text := fmt.Sprintf("parked: it failed on %s; submit it again under a new ID when it is mended", workerList(c.tracker.FailedOn(j.Job.ID)))
	j.explain(now, "%s", text)
	c.record(event.JobParked, j.Job.ID, string(j.Job.Account), text)
	c.emit(Notify{Alarm: AlarmJobParked, Subject: string(j.Job.ID), Text: text})
	c.fire(now, j, eventStoppedAndParked)
	c.emit(SaveJob{Row: j.row(c.epoch)})
}

// endAttempt fires an event and stops all tasks of a job. Once all have ended,
// the job enters phase next.
func (c *Core) endAttempt(now time.Time, j *JobState, e statechart.Event, next Phase, reason wire.StopReason, grace time.Duration, text string) {
	if j.Phase == PhaseStopping {
		if next != PhaseQueued {
			j.Next = next
		}
		return
	}
	if j.Phase == PhaseReserving || j.Phase == PhaseClearing {
		j.CancelRequested = j.CancelRequested || next == PhaseCancelled
		c.abandon(now, j, e, text)
		return
	}
	if !c.fire(now, j, e) {
		return
	}
	j.explain(now, "%s", text)
	j.Next, j.StopReason, j.StopGrace = next, reason, grace
	if !j.Job.CanCheckpoint {
		j.StopGrace = 0
	}
	c.sendStops(now, j)
	c.checkStopped(now, j)
}

func (c *Core) sendStops(now time.Time, j *JobState) {
	j.ResendAt = now.Add(c.settings.ResendInterval)
	grace := max(0, j.StopGrace-now.Sub(j.PhaseSince))
	for i, t := range j.Tasks {
		if isEnded(t.State) {
			continue
		}
		c.send(t.Worker, &wire.StopTask{
			Epoch: c.epoch, Job: j.Job.ID, Attempt: j.Attempt, Task: j.Job.Task(i),
			GraceMS: grace.Milliseconds(), Reason: j.StopReason,
		})
	}
}

// checkStopped completes PhaseStopping once each task has ended or, on a lost
// worker, has certainly ended.
func (c *Core) checkStopped(now time.Time, j *JobState) {
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if !isEnded(t.State) && (t.GoneAt.IsZero() || now.Before(t.GoneAt)) {
			return
		}
		c.unbook(j, i)
	}
	c.keepProgress(j)
	switch j.Next {
	case PhaseQueued:
	case PhaseParked:
		c.park(now, j)
		return
	default:
		c.finalize(now, j, eventStoppedForGood, "cancelled; all its tasks have ended")
		return
	}
	c.requeue(now, j, eventStoppedForRetry, "its tasks were stopped: "+string(j.StopReason))
}

// keepProgress credits the work of an attempt of which every task was
// checkpointed.
func (c *Core) keepProgress(j *JobState) {
	done := int64(-1)
	for _, t := range j.Tasks {
		if !t.Checkpointed {
			return
		}
		if done < 0 || t.DoneMS < done {
			done = t.DoneMS
		}
	}
	j.DoneMS += max(0, done)
}

// taskMissing handles a task that its agent no longer holds, for instance after
// a restart of the agent. The worker may still run the task until its worker
// lease expires.
func (c *Core) taskMissing(now time.Time, w *workerState, j *JobState, i int) {
	if isEnded(j.Tasks[i].State) {
		return
	}
	j.Tasks[i].GoneAt = c.latestTaskEnd(now, w, j, i)
	if j.Phase == PhaseRecovering {
		j.Tasks[i].State = 0
		return
	}
	text := fmt.Sprintf("the agent of %s does not hold task %d any more", w.Worker.ID, i)
	c.endAttempt(now, j, eventMemberLost, PhaseQueued, wire.StopGangMemberLost, c.settings.MemberLostGrace, text)
}

// workerReport marks a worker as connected and reconciles the tasks that it
// holds with those booked on it.
func (c *Core) workerReport(now time.Time, r *wire.WorkerReport) {
	w := c.workerUp(now, r)
	seen := map[model.TaskID]uint64{}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		seen[t.Task] = t.Attempt
		c.taskReport(now, w.Worker.ID, t)
	}
	for _, id := range sortedKeys(w.tasks) {
		job, booked := w.tasks[id]
		if !booked {
			continue
		}
		j := c.jobs[job]
		i, _ := j.taskIndex(id)
		if attempt, ok := seen[id]; ok && attempt == j.Attempt {
			continue
		}
		if j.Phase == PhaseReserving || j.Phase == PhaseDeciding || j.Phase == PhaseInDoubt {
			continue
		}
		c.taskMissing(now, w, j, i)
	}
	if !c.recoverUntil.IsZero() {
		c.finishRecoveryEarly(now)
	}
}
