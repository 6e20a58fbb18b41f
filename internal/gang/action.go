package gang

import (
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Action is an action that the caller of Member.Step must execute.
type Action interface{ isAction() }

// Send sends a message to the scheduler's owner. The message is a
// *wire.ReserveReply, *wire.TaskReport, *wire.WorkerReport or *wire.LeaseRequest.
type Send struct{ Message wire.Message }

// StartTask starts a task at the worker. The worker ends the task when its worker
// lease expires at LeaseUntil, unless ExtendLease extends the lease.
type StartTask struct {
	Job        model.JobID
	Attempt    uint64
	Task       model.TaskID
	Needs      model.Resources
	RunMS      int64
	LeaseUntil time.Time
}

// ExtendLease sets the time at which a task's worker lease expires.
type ExtendLease struct {
	Task       model.TaskID
	LeaseUntil time.Time
}

// CheckpointTask asks the worker to write a checkpoint of a task and then to stop
// it, no later than Until.
type CheckpointTask struct {
	Task  model.TaskID
	Until time.Time
}

// StopTask stops a task at once, without a checkpoint.
type StopTask struct{ Task model.TaskID }

// ThrottleTask limits a task to Percent of its speed; zero suspends it.
type ThrottleTask struct {
	Task    model.TaskID
	Percent int
}

// Record adds an event to the timeline.
type Record struct{ Event event.Event }

func (Send) isAction()           {}
func (StartTask) isAction()      {}
func (ExtendLease) isAction()    {}
func (CheckpointTask) isAction() {}
func (StopTask) isAction()       {}
func (ThrottleTask) isAction()   {}
func (Record) isAction()         {}
