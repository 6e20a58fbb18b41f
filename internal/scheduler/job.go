package scheduler

import (
	"fmt"
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Phase is where a job stands.
type Phase string

// Phases of a job.
const (
	PhaseQueued     Phase = "queued"
	PhaseClearing   Phase = "clearing"
	PhaseReserving  Phase = "reserving"
	PhaseDeciding   Phase = "deciding"
	PhaseInDoubt    Phase = "in_doubt"
	PhaseLaunching  Phase = "launching"
	PhaseRunning    Phase = "running"
	PhaseStopping   Phase = "stopping"
	PhaseRecovering Phase = "recovering"
	PhaseParked     Phase = "parked"
	PhaseFinished   Phase = "finished"
	PhaseCancelled  Phase = "cancelled"
)

// historyLimit bounds the explanations kept of one job.
const historyLimit = 24

// Explanation is one decision about a job, in words.
type Explanation struct {
	Time time.Time
	Text string
}

// TaskState is what the owner knows of one task of the current attempt.
type TaskState struct {
	Worker model.WorkerID
	// State is zero before the reservation is confirmed.
	State wire.TaskState
	// Booked is set while the task's capacity counts as used.
	Booked bool
	// GoneAt is when a task on a lost worker has ended for certain.
	GoneAt time.Time
	// ReplyMS is the agent's clock at its last confirmed reservation, and
	// ReplyAt when that confirmation arrived.
	ReplyMS int64
	ReplyAt time.Time
	// StartedAt is when the owner first heard that the task was started.
	StartedAt time.Time
	DoneMS    int64
	// Checkpointed is set when the task's work so far is kept.
	Checkpointed bool
}

// JobState is all that the owner knows of one job.
type JobState struct {
	Job     model.Job
	Phase   Phase
	Attempt uint64
	Class   model.CapacityClass
	// Cell is the key of the guaranteed cell that the attempt occupies. The cell
	// stays where it is until then; CellWorkers is its place if it has more slots
	// than the job has tasks.
	Cell        string
	CellWorkers []model.WorkerID
	Tasks       []TaskState
	// PhaseSince is when the current phase began, ResendAt when unconfirmed
	// messages are sent again.
	PhaseSince time.Time
	ResendAt   time.Time
	// NotBefore delays the next attempt; Refusals counts attempts in a row
	// that agents or the table service refused.
	NotBefore time.Time
	Refusals  int
	// Next is the phase after PhaseStopping.
	Next       Phase
	StopReason wire.StopReason
	StopGrace  time.Duration
	// CancelRequested ends the job as soon as its decision is no longer in doubt.
	CancelRequested bool
	// Committed is set once the attempt's decision row is written.
	Committed bool
	// DoneMS is the checkpointed work of earlier attempts.
	DoneMS    int64
	StartedAt time.Time
	// Moved is set while the job waits after it was moved out of a zone or preempted.
	Moved bool
	// Preemptions counts how often the job was stopped for another one.
	Preemptions int
	// StopAfterDecision ends the attempt as soon as its decision row is known.
	StopAfterDecision bool
	History           []Explanation
	// aged is set while the job waits beyond its limit, see aging.go.
	aged bool
	// rank is the job's place in its account's queue.
	rank rank
	// preemptAt is when work that may yield to the job is looked for again.
	preemptAt time.Time
}

// row returns the job's durable state.
func (j *JobState) row(epoch model.Epoch) JobRow {
	row := JobRow{Job: j.Job, Attempt: j.Attempt, Class: j.Class, Cell: j.Cell, CellWorkers: j.CellWorkers, Epoch: epoch, DoneMS: j.DoneMS, Parked: j.Phase == PhaseParked}
	row.Allocation = j.workers()
	return row
}

// workers returns the worker of each task of the current attempt.
func (j *JobState) workers() []model.WorkerID {
	var out []model.WorkerID
	for _, t := range j.Tasks {
		out = append(out, t.Worker)
	}
	return out
}

// needsOn returns what the job's tasks need on each worker if each task lies on
// the worker of its index.
func (j *JobState) needsOn(workers []model.WorkerID) map[model.WorkerID]model.Resources {
	needs := make(map[model.WorkerID]model.Resources, len(workers))
	for _, w := range workers {
		needs[w] = needs[w].Add(j.Job.Shape.PerTask)
	}
	return needs
}

func (j *JobState) explain(now time.Time, format string, args ...any) {
	j.History = append(j.History, Explanation{Time: now, Text: fmt.Sprintf(format, args...)})
	if len(j.History) > historyLimit {
		j.History = append(j.History[:1], j.History[len(j.History)-historyLimit+1:]...)
	}
}

// placed reports whether the job has an attempt under way.
func (j *JobState) placed() bool { return len(j.Tasks) > 0 }

// active reports whether the job's tasks may hold leases.
func (j *JobState) active() bool { return j.Phase == PhaseLaunching || j.Phase == PhaseRunning }

// allTasks reports whether every task is in one of the states.
func (j *JobState) allTasks(states ...wire.TaskState) bool {
	for _, t := range j.Tasks {
		if !slices.Contains(states, t.State) {
			return false
		}
	}
	return true
}

func isEnded(s wire.TaskState) bool {
	return s == wire.TaskFinished || s == wire.TaskFailed || s == wire.TaskStopped
}

// taskIndex returns the index within its job that a task ID carries.
func (j *JobState) taskIndex(id model.TaskID) (int, bool) {
	prefix := len(j.Job.ID) + 1
	if len(id) <= prefix || string(id[:prefix-1]) != string(j.Job.ID) {
		return 0, false
	}
	n := 0
	for _, c := range id[prefix:] {
		if c < '0' || c > '9' || n > model.MaxGangSize {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, n < len(j.Tasks)
}
