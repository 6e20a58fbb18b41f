package gang

import (
	"slices"
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Settings are the member's time limits.
type Settings struct {
	// LeaseRequestInterval is the time between two lease requests.
	LeaseRequestInterval time.Duration
	// WorkerLeaseMargin is how much longer than the task's own lease the
	// worker's lease lasts. It covers an agent that is paused.
	WorkerLeaseMargin time.Duration
	// SuspensionTimeout is how long a suspended task keeps its capacity.
	SuspensionTimeout time.Duration
	// LapseGrace is the time for a checkpoint after SuspendHold.
	LapseGrace time.Duration
	// TombstoneRetention is how long an ended task's last report is kept.
	TombstoneRetention time.Duration
	// StartDelay is how long a new member refuses reservations. In that time
	// the worker ends the tasks that an earlier process of the agent left behind.
	StartDelay time.Duration
}

// DefaultSettings returns the limits that the bounds of the product follow from.
func DefaultSettings() Settings {
	return Settings{
		LeaseRequestInterval: 500 * time.Millisecond,
		WorkerLeaseMargin:    500 * time.Millisecond,
		SuspensionTimeout:          20 * time.Second,
		LapseGrace:           2 * time.Second,
		TombstoneRetention:        time.Minute,
		StartDelay:           3 * time.Second,
	}
}

// Member is the state of one agent in the job protocol.
type Member struct {
	worker       model.Worker
	settings     Settings
	tasks        map[model.TaskID]*task
	order        []model.TaskID
	permit       PermitUpdate
	highestEpoch model.Epoch
	acceptFrom   time.Time
	// lastStep is the time of the last input.
	lastStep   time.Time
	requestDue time.Time
	stopping   bool
	out        []Action
}

// NewMember returns the member of a worker. Time starts at now.
func NewMember(worker model.Worker, settings Settings, now time.Time) *Member {
	return &Member{
		worker:     worker,
		settings:   settings,
		tasks:      map[model.TaskID]*task{},
		acceptFrom: now.Add(settings.StartDelay),
		requestDue: now,
		lastStep:   now,
	}
}

// Step takes one input and returns the actions to carry out, in order. Lapsed
// leases and reservations take effect before the input does, so that an agent
// that was paused does not act on what it held before.
func (m *Member) Step(now time.Time, in Input) []Action {
	m.out = nil
	m.lastStep = now
	m.expire(now)
	switch in := in.(type) {
	case Receive:
		m.receive(now, in.Message)
	case PermitUpdate:
		m.updatePermit(in)
	case WorkerTaskEvent:
		m.workerEvent(now, in)
	case OwnerLinkUp:
		m.send(m.Report())
	case Stop:
		m.stopAll(now, in.Grace)
	case OwnerLinkLost, Tick:
	}
	m.requestLeases(now)
	return m.out
}

// HighestEpoch returns the highest scheduler epoch that the member has seen.
func (m *Member) HighestEpoch() model.Epoch { return m.highestEpoch }

// Report returns the member's worker and all tasks that it holds or that ended lately.
func (m *Member) Report() *wire.WorkerReport {
	report := &wire.WorkerReport{
		Worker: m.worker, HighestEpoch: m.highestEpoch,
		AcceptInMS: max(0, m.acceptFrom.Sub(m.lastStep)).Milliseconds(),
	}
	for _, id := range m.order {
		report.Tasks = append(report.Tasks, m.tasks[id].report())
	}
	return report
}

// Allocated returns the capacity that reservations and tasks occupy.
func (m *Member) Allocated() model.Resources {
	var held model.Resources
	for _, t := range m.tasks {
		if t.holdsCapacity() {
			held = held.Add(t.needs)
		}
	}
	return held
}

// Idle reports whether the member holds no reservation and no task.
func (m *Member) Idle() bool {
	for _, t := range m.tasks {
		if t.holdsCapacity() {
			return false
		}
	}
	return true
}

func (m *Member) updatePermit(in PermitUpdate) {
	m.permit = in
	m.highestEpoch = max(m.highestEpoch, in.OwnerEpoch)
}

// mayStart returns an empty string, or the reason why no task may start now.
func (m *Member) mayStart(now time.Time) string {
	switch {
	case m.stopping:
		return "agent is stopping"
	case m.permit.ZoneOut:
		return "availability zone is out"
	case !now.Before(m.permit.ValidUntil):
		return "no valid start permit"
	default:
		return ""
	}
}

func (m *Member) requestLeases(now time.Time) {
	if now.Before(m.requestDue) {
		return
	}
	m.requestDue = now.Add(m.settings.LeaseRequestInterval)
	held := false
	for _, id := range m.order {
		t := m.tasks[id]
		if t.state == wire.TaskSuspended || t.state == wire.TaskStopping {
			m.do(ExtendLease{Task: id, LeaseUntil: m.workerLease(now)})
		}
		held = held || t.leased()
	}
	if held {
		m.send(&wire.LeaseRequest{Worker: m.worker.ID, SentMS: now.UnixMilli()})
	}
}

// workerLease is the worker's lease of a task that the agent itself controls.
func (m *Member) workerLease(now time.Time) time.Time {
	return now.Add(2*m.settings.LeaseRequestInterval + m.settings.WorkerLeaseMargin)
}

func (m *Member) stopAll(now time.Time, grace time.Duration) {
	m.stopping = true
	for _, id := range slices.Clone(m.order) {
		m.beginStop(now, m.tasks[id], eventStopOrdered, grace, wire.StopReason("agent_stopping"))
	}
}

func (m *Member) do(a Action) { m.out = append(m.out, a) }

func (m *Member) send(msg wire.Message) { m.do(Send{Message: msg}) }

func (m *Member) record(code event.Code, job model.JobID, subject string, detail string) {
	m.do(Record{Event: event.Event{Code: code, Job: job, Zone: m.worker.Zone, Subject: subject, Detail: detail}})
}
