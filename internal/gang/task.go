package gang

import (
	"slices"
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
	"dragonflyyard/internal/wire"
)

// stopResend is the time between two orders to the worker to stop a task.
const stopResend = time.Second

// task is one reservation, one task or the memory of an ended one.
type task struct {
	id      model.TaskID
	job     model.JobID
	attempt uint64
	needs   model.Resources
	state   wire.TaskState
	// until is when the current state ends by itself: the hold of a
	// reservation, the lease, the end of a suspension, the end of a checkpoint
	// or the end of an ended task's memory.
	until        time.Time
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

// ended reports whether only the memory of the task is left.
func (t *task) ended() bool {
	return t.state == wire.TaskFinished || t.state == wire.TaskFailed || t.state == wire.TaskStopped
}

func (t *task) holdsCapacity() bool { return !t.ended() }

// leased reports whether the task needs its lease renewed.
func (t *task) leased() bool {
	return t.state == wire.TaskStarting || t.state == wire.TaskRunning || t.state == wire.TaskSuspended
}

func (m *Member) insert(t *task) {
	if at, found := slices.BinarySearch(m.order, t.id); !found {
		m.order = slices.Insert(m.order, at, t.id)
	}
	m.tasks[t.id] = t
}

func (m *Member) remove(id model.TaskID) {
	if at, found := slices.BinarySearch(m.order, id); found {
		m.order = slices.Delete(m.order, at, at+1)
	}
	delete(m.tasks, id)
}

// expire applies all limits that passed since the last step.
func (m *Member) expire(now time.Time) {
	for _, id := range slices.Clone(m.order) {
		t := m.tasks[id]
		if now.Before(t.until) {
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
	t.until = now.Add(m.settings.SuspensionTimeout)
	m.do(ThrottleTask{Task: t.id, Percent: 0})
	m.do(ExtendLease{Task: t.id, LeaseUntil: m.workerLease(now)})
	m.record(event.TaskSuspended, t.job, string(t.id), "lease lapsed")
	m.sendReport(t)
}

// end keeps only the memory of a task, so that late messages about it are refused.
func (m *Member) end(now time.Time, t *task, e statechart.Event, detail string) {
	t.fire(e)
	t.detail = detail
	t.until = now.Add(m.settings.TombstoneRetention)
}

// beginStop ends a task: a reservation at once, a running one after a checkpoint.
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
	t.until = now.Add(grace)
	m.do(ExtendLease{Task: t.id, LeaseUntil: m.workerLease(now)})
	m.do(CheckpointTask{Task: t.id, Until: t.until})
}

// stopAtWorker stops a task without a checkpoint, and again after stopResend
// until the worker says that it has ended.
func (m *Member) stopAtWorker(now time.Time, t *task) {
	t.until = now.Add(stopResend)
	m.do(StopTask{Task: t.id})
}

func (m *Member) sendReport(t *task) {
	report := t.report()
	m.send(&report)
}

// workerEvent takes a change of state at the worker over.
func (m *Member) workerEvent(now time.Time, in WorkerTaskEvent) {
	t := m.tasks[in.Task]
	if t == nil || t.ended() || t.state == wire.TaskReserved {
		if in.State == wire.TaskRunning {
			m.do(StopTask{Task: in.Task})
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
