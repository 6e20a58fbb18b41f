package gang

import (
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Action is one thing that the caller of Member.Step has to do.
type Action interface{ isAction() }

// Send sends a message to the scheduler's owner: *wire.ReserveReply,
// *wire.TaskReport, *wire.WorkerReport or *wire.LeaseRequest.
type Send struct{ Message wire.Message }

// StartTask starts a task at the worker. The worker ends it by itself at
// LeaseUntil unless ExtendLease moves that time.
type StartTask struct {
	Job        model.JobID
	Attempt    uint64
	Task       model.TaskID
	Needs      model.Resources
	RunMS      int64
	LeaseUntil time.Time
}

// ExtendLease moves the time at which the worker ends a task by itself.
type ExtendLease struct {
	Task       model.TaskID
	LeaseUntil time.Time
}

// CheckpointTask asks the worker to keep a task's work and then to stop it,
// at the latest at Until.
type CheckpointTask struct {
	Task  model.TaskID
	Until time.Time
}

// StopTask stops a task at once.
type StopTask struct{ Task model.TaskID }

// ThrottleTask limits a task to Percent of its speed; zero suspends it.
type ThrottleTask struct {
	Task    model.TaskID
	Percent int
}

// Record adds an event to the time line.
type Record struct{ Event event.Event }

func (Send) isAction()           {}
func (StartTask) isAction()      {}
func (ExtendLease) isAction()    {}
func (CheckpointTask) isAction() {}
func (StopTask) isAction()       {}
func (ThrottleTask) isAction()   {}
func (Record) isAction()         {}
