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
	// WorkerLeaseMargin is how much later a task's worker lease expires than the
	// lease that the owner granted. The worker lease ends the task if the agent is
	// paused and cannot suspend it.
	WorkerLeaseMargin time.Duration
	// SuspensionTimeout is how long a suspended task keeps its capacity before it
	// is stopped.
	SuspensionTimeout time.Duration
	// LapseGrace is the time for the checkpoint of a task that is stopped after
	// SuspensionTimeout.
	LapseGrace time.Duration
	// TombstoneRetention is how long the final state of an ended task is kept.
	TombstoneRetention time.Duration
	// StartDelay is how long a new member refuses reservations. During this time
	// the worker leases of tasks from an earlier process of the agent expire, and
	// the worker ends these tasks.
	StartDelay time.Duration
}

// DefaultSettings returns the default limits. The product's time bounds are derived
// from them.
func DefaultSettings() Settings {
	return Settings{
		LeaseRequestInterval: 500 * time.Millisecond,
		WorkerLeaseMargin:    500 * time.Millisecond,
		SuspensionTimeout:    20 * time.Second,
		LapseGrace:           2 * time.Second,
		TombstoneRetention:   time.Minute,
		StartDelay:           3 * time.Second,
	}
}

// Member is the state of one agent in the job protocol.
type Member struct {
	worker   model.Worker
	settings Settings
	// tasks holds reservations, tasks and tombstones; sortedIDs holds its keys in
	// ascending order, so that the actions have a deterministic order.
	tasks        map[model.TaskID]*task
	sortedIDs    []model.TaskID
	permit       PermitUpdate
	highestEpoch model.Epoch
	// acceptFrom is when the member starts to accept reservations.
	acceptFrom time.Time
	// lastStep is the time of the last input.
	lastStep         time.Time
	nextLeaseRequest time.Time
	stopping         bool
	// actions collects the actions of the current step.
	actions []Action
}

// NewMember returns the member for a worker. It refuses reservations until
// settings.StartDelay after now.
func NewMember(worker model.Worker, settings Settings, now time.Time) *Member {
	return &Member{
		worker:           worker,
		settings:         settings,
		tasks:            map[model.TaskID]*task{},
		acceptFrom:       now.Add(settings.StartDelay),
		nextLeaseRequest: now,
		lastStep:         now,
	}
}

// Step processes one input and returns the actions to execute, in order. Expired
// leases and reservations take effect before the input, so that an agent that
// resumes after a pause does not act on a lease or reservation that expired
// meanwhile.
func (m *Member) Step(now time.Time, in Input) []Action {
	m.actions = nil
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
	return m.actions
}

// HighestEpoch returns the highest scheduler epoch that the member has seen.
func (m *Member) HighestEpoch() model.Epoch { return m.highestEpoch }

// Report returns a report of the worker with all reservations, tasks and
// tombstones.
func (m *Member) Report() *wire.WorkerReport {
	report := &wire.WorkerReport{
		Worker: m.worker, HighestEpoch: m.highestEpoch,
		AcceptInMS: max(0, m.acceptFrom.Sub(m.lastStep)).Milliseconds(),
	}
	for _, id := range m.sortedIDs {
		report.Tasks = append(report.Tasks, m.tasks[id].report())
	}
	return report
}

// Allocated returns the capacity allocated to reservations and tasks.
func (m *Member) Allocated() model.Resources {
	var allocated model.Resources
	for _, t := range m.tasks {
		if t.holdsCapacity() {
			allocated = allocated.Add(t.needs)
		}
	}
	return allocated
}

// Idle reports whether the member has no reservation and no task that has not
// ended.
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

// startRefusal returns the reason why no task may start now, or an empty string if
// tasks may start.
func (m *Member) startRefusal(now time.Time) string {
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
	if now.Before(m.nextLeaseRequest) {
		return
	}
	m.nextLeaseRequest = now.Add(m.settings.LeaseRequestInterval)
	leased := false
	for _, id := range m.sortedIDs {
		t := m.tasks[id]
		if t.state == wire.TaskSuspended || t.state == wire.TaskStopping {
			m.emit(ExtendLease{Task: id, LeaseUntil: m.workerLease(now)})
		}
		leased = leased || t.leased()
	}
	if leased {
		m.send(&wire.LeaseRequest{Worker: m.worker.ID, SentMS: now.UnixMilli()})
	}
}

// workerLease returns the expiry of the worker lease of a suspended or stopping
// task: two lease request intervals and WorkerLeaseMargin from now. The agent
// extends the worker lease of these tasks itself, with every lease request.
func (m *Member) workerLease(now time.Time) time.Time {
	return now.Add(2*m.settings.LeaseRequestInterval + m.settings.WorkerLeaseMargin)
}

func (m *Member) stopAll(now time.Time, grace time.Duration) {
	m.stopping = true
	for _, id := range slices.Clone(m.sortedIDs) {
		m.beginStop(now, m.tasks[id], eventStopOrdered, grace, wire.StopReason("agent_stopping"))
	}
}

func (m *Member) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Member) send(msg wire.Message) { m.emit(Send{Message: msg}) }

func (m *Member) record(code event.Code, job model.JobID, subject string, detail string) {
	m.emit(Record{Event: event.Event{Code: code, Job: job, Zone: m.worker.Zone, Subject: subject, Detail: detail}})
}
