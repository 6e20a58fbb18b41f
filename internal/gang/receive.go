package gang

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// receive handles a message from the scheduler's owner. It rejects a message whose
// epoch is lower than the highest epoch seen.
func (m *Member) receive(now time.Time, msg wire.Message) {
	epoch, ok := epochOf(msg)
	if !ok {
		return
	}
	if epoch < m.highestEpoch {
		m.refuseStale(now, msg, epoch)
		return
	}
	m.highestEpoch = epoch
	switch msg := msg.(type) {
	case *wire.Reserve:
		m.reserve(now, msg)
	case *wire.Launch:
		m.launch(now, msg)
	case *wire.LeaseGrant:
		m.renewLeases(now, msg)
	case *wire.Release:
		m.release(now, msg)
	case *wire.StopTask:
		m.stopTask(now, msg)
	case *wire.Throttle:
		m.throttle(msg)
	}
}

func epochOf(msg wire.Message) (model.Epoch, bool) {
	switch msg := msg.(type) {
	case *wire.Reserve:
		return msg.Epoch, true
	case *wire.Launch:
		return msg.Epoch, true
	case *wire.LeaseGrant:
		return msg.Epoch, true
	case *wire.Release:
		return msg.Epoch, true
	case *wire.StopTask:
		return msg.Epoch, true
	case *wire.Throttle:
		return msg.Epoch, true
	default:
		return 0, false
	}
}

func (m *Member) refuseStale(now time.Time, msg wire.Message, epoch model.Epoch) {
	m.record(event.StaleEpoch, "", string(m.worker.ID), fmt.Sprintf("message has epoch %d, highest epoch seen is %d", epoch, m.highestEpoch))
	if r, ok := msg.(*wire.Reserve); ok {
		m.replyReserve(now, r, "stale epoch")
	}
}

func (m *Member) reserve(now time.Time, r *wire.Reserve) {
	m.replyReserve(now, r, m.tryReserve(now, r))
}

// tryReserve makes a reservation, or extends one that exists for the same attempt.
// It returns the reason if it refuses, and an empty string otherwise.
func (m *Member) tryReserve(now time.Time, r *wire.Reserve) string {
	if now.Before(m.acceptFrom) {
		return "agent is starting"
	}
	if reason := m.startRefusal(now); reason != "" {
		return reason
	}
	if m.stopOlderAttempts(now, r.Job, r.Attempt) {
		return "an older attempt is stopping"
	}
	if t := m.tasks[r.Task]; t != nil {
		switch {
		case t.attempt > r.Attempt:
			return "a newer attempt is known"
		case t.attempt == r.Attempt && t.state == wire.TaskReserved:
			t.deadline = now.Add(time.Duration(r.HoldMS) * time.Millisecond)
			return ""
		case t.attempt == r.Attempt && t.ended():
			return "attempt has ended: " + t.detail
		case t.attempt == r.Attempt:
			return ""
		}
	}
	if !m.Allocated().Add(r.Needs).Fits(m.worker.Capacity) {
		return "no capacity"
	}
	m.insert(&task{
		id: r.Task, job: r.Job, attempt: r.Attempt, needs: r.Needs, state: wire.TaskReserved,
		deadline: now.Add(time.Duration(r.HoldMS) * time.Millisecond),
	})
	return ""
}

// stopOlderAttempts stops all tasks of older attempts of a job without a
// checkpoint. It reports whether one of them still holds capacity.
func (m *Member) stopOlderAttempts(now time.Time, job model.JobID, attempt uint64) bool {
	holding := false
	for _, id := range slices.Clone(m.sortedIDs) {
		t := m.tasks[id]
		if t.job != job || t.attempt >= attempt || t.ended() {
			continue
		}
		m.beginStop(now, t, eventStopOrdered, 0, wire.StopGangMemberLost)
		holding = holding || t.holdsCapacity()
	}
	return holding
}

func (m *Member) replyReserve(now time.Time, r *wire.Reserve, reason string) {
	if reason != "" {
		m.record(event.TaskRefused, r.Job, string(r.Task), reason)
	}
	m.send(&wire.ReserveReply{
		Epoch: m.highestEpoch, Job: r.Job, Attempt: r.Attempt, Task: r.Task, OK: reason == "", Reason: reason,
		SentMS: now.UnixMilli(),
	})
}

// launch starts a reserved task, and reports its state. In any other state it only
// reports. A launch that arrives more than StartWithinMS after the reservation was
// confirmed ends the reservation instead, since the agent may have been paused.
func (m *Member) launch(now time.Time, l *wire.Launch) {
	t := m.tasks[l.Task]
	if t == nil || t.attempt != l.Attempt {
		m.reportUnknown(now, l.Job, l.Attempt, l.Task)
		return
	}
	if t.state == wire.TaskReserved && !l.Renew {
		reason := m.startRefusal(now)
		if now.UnixMilli()-l.AnsweredMS > l.StartWithinMS {
			reason = "launch arrived after its start deadline"
		}
		if reason != "" {
			m.record(event.TaskRefused, t.job, string(t.id), reason)
			m.end(now, t, eventLaunchRefused, reason)
		} else {
			m.start(now, t, l)
		}
	}
	m.sendReport(t)
}

func (m *Member) start(now time.Time, t *task, l *wire.Launch) {
	t.fire(eventLaunched)
	t.deadline = now.Add(time.Duration(l.LeaseMS) * time.Millisecond)
	m.emit(StartTask{
		Job: t.job, Attempt: t.attempt, Task: t.id, Needs: t.needs, RunMS: l.RunMS,
		LeaseUntil: t.deadline.Add(m.settings.WorkerLeaseMargin),
	})
	m.record(event.TaskStarted, t.job, string(t.id), "")
}

// renewLeases extends leases by the granted time, counted from when the lease
// request was sent. It ignores a grant for a request sent in the future of the
// agent's clock. If the owner renews the lease of a task that has ended here, the
// owner missed the report of the end, so the report is sent again.
func (m *Member) renewLeases(now time.Time, g *wire.LeaseGrant) {
	if g.SentMS > now.UnixMilli() {
		return
	}
	for _, lease := range g.Tasks {
		t := m.tasks[lease.Task]
		switch {
		case t == nil || t.attempt < lease.Attempt:
			m.reportUnknown(now, jobOf(lease.Task), lease.Attempt, lease.Task)
		case t.attempt == lease.Attempt && t.ended():
			m.sendReport(t)
		case t.attempt == lease.Attempt && t.leased():
			m.extendLease(now, t, time.UnixMilli(g.SentMS+lease.LeaseMS))
		}
	}
}

// reportUnknown reports to the owner that a task does not run on this worker.
// During StartDelay the member only stops the task at the worker and reports
// nothing: the worker may still run a task that an earlier process of the agent
// started, until its worker lease expires.
func (m *Member) reportUnknown(now time.Time, job model.JobID, attempt uint64, id model.TaskID) {
	if now.Before(m.acceptFrom) {
		m.emit(StopTask{Task: id})
		return
	}
	m.send(&wire.TaskReport{Job: job, Attempt: attempt, Task: id, State: wire.TaskStopped, Detail: "unknown attempt"})
}

// jobOf returns the part of a task ID before the last '/', which is the job ID.
func jobOf(id model.TaskID) model.JobID {
	at := strings.LastIndexByte(string(id), '/')
	return model.JobID(id[:max(at, 0)])
}

// extendLease extends a task's lease and worker lease, and resumes a suspended
// task. A lease that has already expired has no effect.
func (m *Member) extendLease(now time.Time, t *task, until time.Time) {
	if !now.Before(until) {
		return
	}
	suspended := t.state == wire.TaskSuspended
	if !t.fire(eventLeaseRenewed) {
		return
	}
	if suspended {
		t.deadline = until
		m.emit(ThrottleTask{Task: t.id, Percent: 100})
		m.record(event.TaskResumed, t.job, string(t.id), "")
		m.sendReport(t)
	}
	if until.After(t.deadline) {
		t.deadline = until
	}
	m.emit(ExtendLease{Task: t.id, LeaseUntil: t.deadline.Add(m.settings.WorkerLeaseMargin)})
}

func (m *Member) release(now time.Time, r *wire.Release) {
	t := m.tasks[r.Task]
	if t == nil || t.attempt < r.Attempt && t.ended() {
		m.addTombstone(now, r.Job, r.Attempt, r.Task, "reservation released")
		return
	}
	if t.attempt == r.Attempt && t.state == wire.TaskReserved {
		m.end(now, t, eventReleased, "reservation released")
	}
}

// addTombstone records an attempt that the member does not know as ended, so that a
// delayed reservation for it is refused.
func (m *Member) addTombstone(now time.Time, job model.JobID, attempt uint64, id model.TaskID, detail string) *task {
	t := &task{id: id, job: job, attempt: attempt, state: wire.TaskReserved}
	m.end(now, t, eventReleased, detail)
	m.insert(t)
	return t
}

func (m *Member) stopTask(now time.Time, s *wire.StopTask) {
	t := m.tasks[s.Task]
	if t == nil && now.Before(m.acceptFrom) {
		m.reportUnknown(now, s.Job, s.Attempt, s.Task)
		return
	}
	if t == nil || t.attempt < s.Attempt && t.ended() {
		t = m.addTombstone(now, s.Job, s.Attempt, s.Task, string(s.Reason))
	}
	if t.attempt > s.Attempt {
		m.send(&wire.TaskReport{
			Job: s.Job, Attempt: s.Attempt, Task: s.Task, State: wire.TaskStopped, Detail: "a newer attempt is known",
		})
		return
	}
	m.beginStop(now, t, eventStopOrdered, time.Duration(s.GraceMS)*time.Millisecond, s.Reason)
	if t.ended() {
		m.sendReport(t)
	}
}

func (m *Member) throttle(th *wire.Throttle) {
	if t := m.tasks[th.Task]; t != nil && t.state == wire.TaskRunning {
		m.emit(ThrottleTask{Task: t.id, Percent: th.Percent})
	}
}
