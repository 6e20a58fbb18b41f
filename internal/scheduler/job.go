package scheduler

import (
	"fmt"
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Phase is the state of a job in the gang state chart.
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

// historyLimit is the maximum number of explanations kept for a job.
const historyLimit = 24

// Explanation describes one decision about a job.
type Explanation struct {
	Time time.Time
	Text string
}

// TaskState is the owner's view of one task of the current attempt.
type TaskState struct {
	Worker model.WorkerID
	// State is zero until the reservation is confirmed.
	State wire.TaskState
	// Booked is set while the task's capacity counts as used on its worker.
	Booked bool
	// GoneAt is the time by which a task on a lost worker, or one that its
	// agent no longer holds, has certainly ended; zero otherwise.
	GoneAt time.Time
	// ReplyMS is the agent's clock at its last confirmed reservation, and
	// ReplyAt the owner's time when that confirmation arrived.
	ReplyMS int64
	ReplyAt time.Time
	// StartedAt is when a report first showed that the task had started.
	StartedAt time.Time
	DoneMS    int64
	// Checkpointed is set when the task's work so far is saved in a
	// checkpoint.
	Checkpointed bool
}

// JobState is the owner's state of one job.
type JobState struct {
	Job     model.Job
	Phase   Phase
	Attempt uint64
	Class   model.CapacityClass
	// Cell is the key of the guaranteed cell that the attempt occupies. The
	// cell is not relocated during the attempt. CellWorkers is the worker of
	// each of its slots if it has more slots than the job has tasks.
	Cell        string
	CellWorkers []model.WorkerID
	Tasks       []TaskState
	// PhaseSince is when the current phase began, ResendAt when unconfirmed
	// messages are resent.
	PhaseSince time.Time
	ResendAt   time.Time
	// NotBefore is the earliest time of the next attempt. Refusals counts
	// consecutive attempts that agents or the table service refused.
	NotBefore time.Time
	Refusals  int
	// Next is the phase that follows PhaseStopping.
	Next       Phase
	StopReason wire.StopReason
	StopGrace  time.Duration
	// CancelRequested ends the job as soon as the result of its decision row
	// is known.
	CancelRequested bool
	// Committed is set once the attempt's decision row is written.
	Committed bool
	// DoneMS is the checkpointed work of earlier attempts, in milliseconds at
	// full speed.
	DoneMS    int64
	StartedAt time.Time
	// Moved marks a job that was moved out of a zone or preempted. It ranks
	// before normal jobs.
	Moved bool
	// Preemptions counts how often the job was stopped in favor of another.
	Preemptions int
	// StopAfterDecision ends the attempt as soon as the result of its decision
	// row is known.
	StopAfterDecision bool
	History           []Explanation
	// aged is set while the waiting job's slowdown exceeds its limit, see
	// aging.go.
	aged bool
	// rank is the job's position in its account's queue.
	rank rank
	// preemptRetryAt is the earliest time of the next search for work that the
	// job may preempt.
	preemptRetryAt time.Time
}

// row returns the job's durable state.
func (j *JobState) row(epoch model.Epoch) JobRow {
	row := JobRow{Job: j.Job, Attempt: j.Attempt, Class: j.Class, Cell: j.Cell, CellWorkers: j.CellWorkers, Epoch: epoch, DoneMS: j.DoneMS, Parked: j.Phase == PhaseParked}
	row.Allocation = j.workers()
	return row
}

// workers returns the worker of each task of the current attempt, by task
// index.
func (j *JobState) workers() []model.WorkerID {
	var out []model.WorkerID
	for _, t := range j.Tasks {
		out = append(out, t.Worker)
	}
	return out
}

// needsByWorker returns the resources that the job needs on each worker if each
// task is placed on the worker at its index.
func (j *JobState) needsByWorker(workers []model.WorkerID) map[model.WorkerID]model.Resources {
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

// hasAttempt reports whether the job has an attempt in progress.
func (j *JobState) hasAttempt() bool { return len(j.Tasks) > 0 }

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

// taskIndex parses a task ID and returns the task's index within the job; false
// if the ID does not belong to the current attempt's tasks.
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
