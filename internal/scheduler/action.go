package scheduler

import (
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Action is an operation that the caller of Core.Step must carry out.
type Action interface{ isAction() }

// Send sends a message to a worker's agent. The caller may drop a message that
// it cannot send: the core resends unconfirmed messages.
type Send struct {
	To      model.WorkerID
	Message wire.Message
}

// JobRow is the durable state of a job, one row of the table service.
type JobRow struct {
	Job model.Job
	// Attempt numbers the job's placements, starting at 1; zero before the
	// first one.
	Attempt uint64
	// Allocation is the worker of each task, by task index; empty while the
	// job waits.
	Allocation []model.WorkerID
	// Class is the capacity class under which the attempt was placed.
	Class model.CapacityClass
	// Cell is the key of the guaranteed cell that the attempt occupies, if any.
	Cell string
	// CellWorkers is the worker of each slot of that cell, if the cell has
	// more slots than the job has tasks. A cell is not relocated while a job
	// occupies it.
	CellWorkers []model.WorkerID `json:",omitempty"`
	// Epoch is the epoch of the owner that wrote the row.
	Epoch model.Epoch
	// DoneMS is the checkpointed work, in milliseconds at full speed.
	DoneMS int64
	// Parked marks a job that is not retried.
	Parked bool
}

// WriteDecision writes a job's row in a transaction that checks the owner's
// lease row. The caller reports the result with Decided. Rows may be batched.
type WriteDecision struct{ Row JobRow }

// ReadDecision reads a job's row after a write whose result is unknown. The
// caller reports the result with Decided.
type ReadDecision struct {
	Job     model.JobID
	Attempt uint64
}

// SaveJob writes a job's row as WriteDecision does, but its result is not
// reported back. It persists the checkpointed work of a job that returns to the
// queue.
type SaveJob struct{ Row JobRow }

// DeleteRows deletes the rows of ended jobs.
type DeleteRows struct{ Jobs []model.JobID }

// Refuse reports that a submitted job was rejected.
type Refuse struct {
	Job    model.JobID
	Reason string
}

// Record appends an event to the timeline.
type Record struct{ Event event.Event }

// Alarm identifies a condition that operators must be told about.
type Alarm string

// Alarm values.
const (
	AlarmGuaranteeUncovered Alarm = "guarantee_uncovered"
	AlarmGuaranteeCovered   Alarm = "guarantee_covered"
	AlarmWorkerQuarantined  Alarm = "worker_quarantined"
	AlarmJobParked          Alarm = "job_parked"
	AlarmOwnershipRefused   Alarm = "ownership_refused"
)

// Notify raises an alarm to operators.
type Notify struct {
	Alarm   Alarm
	Subject string
	Text    string
}

func (Send) isAction()          {}
func (WriteDecision) isAction() {}
func (ReadDecision) isAction()  {}
func (SaveJob) isAction()       {}
func (DeleteRows) isAction()    {}
func (Refuse) isAction()        {}
func (Record) isAction()        {}
func (Notify) isAction()        {}
