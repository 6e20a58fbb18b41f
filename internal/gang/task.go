package gang

import (
	"slices"
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
	"dragonflyyard/internal/wire"
)

// stopRetryInterval is the time between two stop requests to the worker for a task.
const stopRetryInterval = time.Second

// task is a reservation, a task, or the tombstone of an ended task.
type task struct {
	id      model.TaskID
	job     model.JobID
	attempt uint64
	needs   model.Resources
	state   wire.TaskState
	// deadline is when the current state times out: the expiry of the reservation
	// or lease, the end of the suspension or the checkpoint, the next stop request,
	// or the removal of the tombstone.
	deadline     time.Time
	checkpointed bool
	doneMS       int64
	detail       string
	reason       wire.StopReason
}

func (t *task) report() wire.TaskReport {
	return wire.TaskReport{
		Job: t.job, Attempt: t.attempt, Task: t.id, State: t.state,
		Checkpointed: t.checkpointed, DoneMS: t.doneMS, Detail: t.detail,
	}
}

// ended reports whether the task is a tombstone.
func (t *task) ended() bool {
	return t.state == wire.TaskFinished || t.state == wire.TaskFailed || t.state == wire.TaskStopped
}

func (t *task) holdsCapacity() bool { return !t.ended() }

// leased reports whether the task needs lease renewals from the owner.
func (t *task) leased() bool {
	return t.state == wire.TaskStarting || t.state == wire.TaskRunning || t.state == wire.TaskSuspended
}

func (m *Member) insert(t *task) {
	if at, found := slices.BinarySearch(m.sortedIDs, t.id); !found {
		m.sortedIDs = slices.Insert(m.sortedIDs, at, t.id)
	}
	m.tasks[t.id] = t
}

func (m *Member) remove(id model.TaskID) {
	if at, found := slices.BinarySearch(m.sortedIDs, id); found {
		m.sortedIDs = slices.Delete(m.sortedIDs, at, at+1)
	}
	delete(m.tasks, id)
}

// expire applies all deadlines that have passed.
func (m *Member) expire(now time.Time) {
	for _, id := range slices.Clone(m.sortedIDs) {
		t := m.tasks[id]
		if now.Before(t.deadline) {
			continue
		}
		switch t.state {
		case wire.TaskReserved:
			m.record(event.ReservationExpired, t.job, string(id), "")
			m.end(now, t, eventHoldExpired, "reservation expired")
		case wire.TaskStarting, wire.TaskRunning:
			m.suspend(now, t)
		case wire.TaskSuspended:
			m.beginStop(now, t, eventSuspensionExpired, m.settings.LapseGrace, wire.StopLeaseLapsed)
		case wire.TaskStopping:
			m.stopAtWorker(now, t)
		default:
			m.remove(id)
		}
	}
}

func (m *Member) suspend(now time.Time, t *task) {
	t.fire(eventLeaseLapsed)
	t.deadline = now.Add(m.settings.SuspensionTimeout)
	m.emit(ThrottleTask{Task: t.id, Percent: 0})
	m.emit(ExtendLease{Task: t.id, LeaseUntil: m.workerLease(now)})
	m.record(event.TaskSuspended, t.job, string(t.id), "lease lapsed")
	m.sendReport(t)
}

// end moves a task to an ended state and keeps it as a tombstone, so that delayed
// messages about it are refused.
func (m *Member) end(now time.Time, t *task, e statechart.Event, detail string) {
	t.fire(e)
	t.detail = detail
	t.deadline = now.Add(m.settings.TombstoneRetention)
}

// beginStop ends a reservation at once and stops a task: with a checkpoint if grace
// is positive, without one otherwise. A stop with a grace does not affect a task
// that is already stopping.
func (m *Member) beginStop(now time.Time, t *task, e statechart.Event, grace time.Duration, reason wire.StopReason) {
	switch {
	case t.ended() || t.state == wire.TaskStopping && grace > 0:
		return
	case t.state == wire.TaskReserved:
		m.end(now, t, e, string(reason))
		m.sendReport(t)
		return
	}
	if !t.fire(e) {
		return
	}
	t.reason = reason
	m.record(event.TaskStopping, t.job, string(t.id), string(reason))
	if grace <= 0 {
		m.stopAtWorker(now, t)
		return
	}
	t.deadline = now.Add(grace)
	m.emit(ExtendLease{Task: t.id, LeaseUntil: m.workerLease(now)})
	m.emit(CheckpointTask{Task: t.id, Until: t.deadline})
}

// stopAtWorker stops a task without a checkpoint. The request is repeated every
// stopRetryInterval until the worker reports that the task has ended.
func (m *Member) stopAtWorker(now time.Time, t *task) {
	t.deadline = now.Add(stopRetryInterval)
	m.emit(StopTask{Task: t.id})
}

func (m *Member) sendReport(t *task) {
	report := t.report()
	m.send(&report)
}

// workerEvent applies a change of a task's state that the worker reported. It stops
// a task that runs at the worker although the member has not started it or has
// recorded its end.
func (m *Member) workerEvent(now time.Time, in WorkerTaskEvent) {
	t := m.tasks[in.Task]
	if t == nil || t.ended() || t.state == wire.TaskReserved {
		if in.State == wire.TaskRunning {
			m.emit(StopTask{Task: in.Task})
		}
		return
	}
	t.doneMS = max(t.doneMS, in.DoneMS)
	t.checkpointed = t.checkpointed || in.Checkpointed
	e, known := workerEvents[in.State]
	if !known {
		return
	}
	if e == eventWorkerStarted {
		t.fire(e)
	} else {
		m.end(now, t, e, in.Detail)
		m.record(event.TaskEnded, t.job, string(t.id), in.Detail)
	}
	m.sendReport(t)
}
