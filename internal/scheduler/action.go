package scheduler

import (
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Action is one thing that the caller of Core.Step has to do.
type Action interface{ isAction() }

// Send sends a message to a worker's agent. A message that cannot be sent is
// dropped: the core sends again what is not confirmed.
type Send struct {
	To      model.WorkerID
	Message wire.Message
}

// JobRow is the durable state of a job, one row of the table service.
type JobRow struct {
	Job model.Job
	// Attempt numbers the job's placements; zero before the first one.
	Attempt uint64
	// Allocation gives the worker of each task; empty while the job waits.
	Allocation []model.WorkerID
	// Class is the capacity class under which the attempt was placed.
	Class model.CapacityClass
	// Cell is the key of the guaranteed cell that the attempt occupies, if any.
	Cell string
	// CellWorkers is the worker of each slot of that cell, if it has more slots
	// than the job has tasks. A cell stays where it is while a job occupies it.
	CellWorkers []model.WorkerID `json:",omitempty"`
	// Epoch is the epoch of the owner that wrote the row.
	Epoch model.Epoch
	// DoneMS is the checkpointed work, in milliseconds at full speed.
	DoneMS int64
	// Parked is set for a job that is not tried again.
	Parked bool
}

// WriteDecision writes a job's row, in a transaction that checks the owner's
// lease row. The caller answers with Decided. Rows may be batched.
type WriteDecision struct{ Row JobRow }

// ReadDecision reads a job's row back, after a write whose result is in doubt.
// The caller answers with Decided.
type ReadDecision struct {
	Job     model.JobID
	Attempt uint64
}

// SaveJob writes a job's row as WriteDecision does, but needs no answer. It
// keeps the checkpointed work of a job that waits again.
type SaveJob struct{ Row JobRow }

// DeleteRows deletes the rows of jobs that ended.
type DeleteRows struct{ Jobs []model.JobID }

// Refuse reports that a submitted job was not taken.
type Refuse struct {
	Job    model.JobID
	Reason string
}

// Record adds an event to the time line.
type Record struct{ Event event.Event }

// Alarm names a condition that operators have to know.
type Alarm string

// Alarms.
const (
	AlarmGuaranteeUncovered Alarm = "guarantee_uncovered"
	AlarmGuaranteeCovered   Alarm = "guarantee_covered"
	AlarmWorkerQuarantined  Alarm = "worker_quarantined"
	AlarmJobParked          Alarm = "job_parked"
	AlarmOwnershipRefused   Alarm = "ownership_refused"
)

// Notify tells operators of a condition.
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
