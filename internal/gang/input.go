package gang

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Input is one event for Member.Step.
type Input interface{ isInput() }

// Receive hands in a message of the scheduler's owner: *wire.Reserve,
// *wire.Launch, *wire.LeaseGrant, *wire.Release, *wire.StopTask or *wire.Throttle.
type Receive struct{ Message wire.Message }

// PermitUpdate replaces the start permit.
type PermitUpdate struct {
	ValidUntil time.Time
	ZoneOut    bool
	// OwnerEpoch is the highest scheduler epoch that the permit's sender knows.
	OwnerEpoch model.Epoch
}

// WorkerTaskEvent reports a change of a task's state at the worker: running,
// finished, failed or stopped.
type WorkerTaskEvent struct {
	Task         model.TaskID
	State        wire.TaskState
	Checkpointed bool
	// DoneMS is the work done so far, in milliseconds at full speed.
	DoneMS int64
	Detail string
}

// OwnerLinkUp asks for a whole report on a new connection to the owner.
type OwnerLinkUp struct{}

// OwnerLinkLost reports that the connection to the owner is gone. Running
// tasks go on until their lease lapses.
type OwnerLinkLost struct{}

// Tick lets time pass. The caller sends one at least every TickInterval.
type Tick struct{}

// Stop asks for a graceful end: all tasks are checkpointed and stopped.
type Stop struct{ Grace time.Duration }

func (Receive) isInput()         {}
func (PermitUpdate) isInput()    {}
func (WorkerTaskEvent) isInput() {}
func (OwnerLinkUp) isInput()     {}
func (OwnerLinkLost) isInput()   {}
func (Tick) isInput()            {}
func (Stop) isInput()            {}

// TickInterval is the longest time between two Tick inputs.
const TickInterval = 100 * time.Millisecond
