package gang

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Input is an input of Member.Step.
type Input interface{ isInput() }

// Receive passes a message from the scheduler's owner. The message is a
// *wire.Reserve, *wire.Launch, *wire.LeaseGrant, *wire.Release, *wire.StopTask or
// *wire.Throttle.
type Receive struct{ Message wire.Message }

// PermitUpdate replaces the start permit. No task starts at or after ValidUntil,
// or while ZoneOut is set.
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

// OwnerLinkUp reports a new connection to the scheduler's owner. The member sends
// a full report on it.
type OwnerLinkUp struct{}

// OwnerLinkLost reports that the connection to the owner is lost. Running tasks
// continue until their lease expires.
type OwnerLinkLost struct{}

// Tick makes the member apply expired deadlines and request leases. The caller
// sends one at least every TickInterval.
type Tick struct{}

// Stop stops the member gracefully: it starts no further task, and checkpoints and
// stops the running ones within Grace.
type Stop struct{ Grace time.Duration }

func (Receive) isInput()         {}
func (PermitUpdate) isInput()    {}
func (WorkerTaskEvent) isInput() {}
func (OwnerLinkUp) isInput()     {}
func (OwnerLinkLost) isInput()   {}
func (Tick) isInput()            {}
func (Stop) isInput()            {}

// TickInterval is the maximum time between two Tick inputs.
const TickInterval = 100 * time.Millisecond
