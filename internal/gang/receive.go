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

// receive handles a message of the owner. A message of an older epoch than the
// highest seen has no effect.
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
		m.renew(now, msg)
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
	m.record(event.StaleEpoch, "", string(m.worker.ID), fmt.Sprintf("epoch %d, seen %d", epoch, m.highestEpoch))
	if r, ok := msg.(*wire.Reserve); ok {
		m.replyReserve(now, r, "stale epoch")
	}
}

func (m *Member) reserve(now time.Time, r *wire.Reserve) {
	m.replyReserve(now, r, m.tryReserve(now, r))
}

// tryReserve returns an empty string or the reason of the refusal.
func (m *Member) tryReserve(now time.Time, r *wire.Reserve) string {
	if now.Before(m.acceptFrom) {
		return "agent is starting"
	}
	if reason := m.mayStart(now); reason != "" {
		return reason
	}
	if m.replaceOlder(now, r.Job, r.Attempt) {
		return "an older attempt is stopping"
	}
	if t := m.tasks[r.Task]; t != nil {
		switch {
		case t.attempt > r.Attempt:
			return "a newer attempt is known"
		case t.attempt == r.Attempt && t.state == wire.TaskReserved:
			t.until = now.Add(time.Duration(r.HoldMS) * time.Millisecond)
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
		until: now.Add(time.Duration(r.HoldMS) * time.Millisecond),
	})
	return ""
}

// replaceOlder stops all tasks of older attempts of a job. It reports whether
// one of them still holds capacity.
func (m *Member) replaceOlder(now time.Time, job model.JobID, attempt uint64) bool {
	busy := false
	for _, id := range slices.Clone(m.order) {
		t := m.tasks[id]
		if t.job != job || t.attempt >= attempt || t.ended() {
			continue
		}
		m.beginStop(now, t, eventStopOrdered, 0, wire.StopGangMemberLost)
		busy = busy || t.holdsCapacity()
	}
	return busy
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

// launch starts a reserved task. Any other state is only reported again.
func (m *Member) launch(now time.Time, l *wire.Launch) {
	t := m.tasks[l.Task]
	if t == nil || t.attempt != l.Attempt {
		m.reportUnknown(now, l.Job, l.Attempt, l.Task)
		return
	}
	if t.state == wire.TaskReserved && !l.Renew {
		reason := m.mayStart(now)
		if now.UnixMilli()-l.AnsweredMS > l.StartWithinMS {
			reason = "launch came too late"
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
	t.until = now.Add(time.Duration(l.LeaseMS) * time.Millisecond)
	m.do(StartTask{
		Job: t.job, Attempt: t.attempt, Task: t.id, Needs: t.needs, RunMS: l.RunMS,
		LeaseUntil: t.until.Add(m.settings.WorkerLeaseMargin),
	})
	m.record(event.TaskStarted, t.job, string(t.id), "")
}

// renew moves leases to the granted time after the answered request was sent.
// A task that is not running any more is reported again, as the owner does not
// know of its end.
func (m *Member) renew(now time.Time, g *wire.LeaseGrant) {
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
			m.extend(now, t, time.UnixMilli(g.SentMS+lease.LeaseMS))
		}
	}
}

// reportUnknown tells the owner that a task does not run here. A member that
// has just started cannot know: the worker may still run a task that an earlier
// process of the agent started, until its worker lease lapses.
func (m *Member) reportUnknown(now time.Time, job model.JobID, attempt uint64, id model.TaskID) {
	if now.Before(m.acceptFrom) {
		m.do(StopTask{Task: id})
		return
	}
	m.send(&wire.TaskReport{Job: job, Attempt: attempt, Task: id, State: wire.TaskStopped, Detail: "attempt is not known"})
}

// jobOf returns the job part of a task ID.
func jobOf(id model.TaskID) model.JobID {
	at := strings.LastIndexByte(string(id), '/')
	return model.JobID(id[:max(at, 0)])
}

// extend moves a task's lease. A suspended task runs again.
func (m *Member) extend(now time.Time, t *task, until time.Time) {
	if !now.Before(until) {
		return
	}
	suspended := t.state == wire.TaskSuspended
	if !t.fire(eventLeaseRenewed) {
		return
	}
	if suspended {
		t.until = until
		m.do(ThrottleTask{Task: t.id, Percent: 100})
		m.record(event.TaskResumed, t.job, string(t.id), "")
		m.sendReport(t)
	}
	if until.After(t.until) {
		t.until = until
	}
	m.do(ExtendLease{Task: t.id, LeaseUntil: t.until.Add(m.settings.WorkerLeaseMargin)})
}

func (m *Member) release(now time.Time, r *wire.Release) {
	t := m.tasks[r.Task]
	if t == nil || t.attempt < r.Attempt && t.ended() {
		m.remember(now, r.Job, r.Attempt, r.Task, "reservation released")
		return
	}
	if t.attempt == r.Attempt && t.state == wire.TaskReserved {
		m.end(now, t, eventReleased, "reservation released")
	}
}

// remember keeps an attempt as ended, so that a reservation that arrives late is refused.
func (m *Member) remember(now time.Time, job model.JobID, attempt uint64, id model.TaskID, detail string) *task {
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
		t = m.remember(now, s.Job, s.Attempt, s.Task, string(s.Reason))
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
		m.do(ThrottleTask{Task: t.id, Percent: th.Percent})
	}
}
