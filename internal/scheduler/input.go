package scheduler

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Input is an event that Core.Step processes.
type Input interface{ isInput() }

// Submit submits a job whose row is already written. Callers check it with
// Core.Admit first; a job that Admit rejects is answered with Refuse.
type Submit struct{ Job model.Job }

// Cancel cancels any number of jobs in one pass.
type Cancel struct{ IDs []model.JobID }

// WorkerUp reports that a worker's agent connected, with all tasks that it
// holds.
type WorkerUp struct{ Report wire.WorkerReport }

// WorkerLost reports that a worker's agent is unreachable.
type WorkerLost struct{ Worker model.WorkerID }

// Receive delivers a message from an agent: *wire.ReserveReply,
// *wire.TaskReport, *wire.WorkerReport or *wire.LeaseRequest.
type Receive struct {
	From    model.WorkerID
	Message wire.Message
}

// ConfigUpdate delivers a configuration. A version that is not newer is
// ignored.
type ConfigUpdate struct{ Document *model.ConfigDocument }

// DecisionResult is the result of writing a decision row.
type DecisionResult uint8

// Results of a decision row's write.
const (
	// DecisionCommitted means that the row was written.
	DecisionCommitted DecisionResult = iota + 1
	// DecisionRefused means that nothing was written: the table service
	// rejected the write, for instance because the owner's lease row has
	// changed.
	DecisionRefused
	// DecisionUnavailable means that nothing was written because the service
	// was unavailable.
	DecisionUnavailable
	// DecisionInDoubt means that it is unknown whether the row was written.
	DecisionInDoubt
)

// Decided reports the result of a WriteDecision or ReadDecision of the current
// ownership: it carries no epoch, so the caller drops results that belong to an
// earlier one. For ReadDecision, DecisionCommitted means that the row with this
// attempt was found, DecisionRefused that it was not, and the other two that
// the result is still unknown.
type Decided struct {
	Job     model.JobID
	Attempt uint64
	Result  DecisionResult
}

// Tick drives timeouts and resends. The caller sends one at least every
// TickInterval.
type Tick struct{}

// BecomeOwner makes the core the owner under a new epoch.
type BecomeOwner struct {
	Epoch model.Epoch
	// Rows are all job rows of the table service.
	Rows []JobRow
	// Snapshot is the last snapshot in the object store, or nil. Rows take
	// precedence over it; it adds the history, the run-time estimates and the
	// quarantine state.
	Snapshot *Snapshot
	// Ended are the jobs that ended recently under earlier owners.
	Ended []EndedJob
	// Config is the configuration in force.
	Config *model.ConfigDocument
}

// LoseOwnership ends the core's ownership: it emits no actions until
// BecomeOwner.
type LoseOwnership struct{}

func (Submit) isInput()        {}
func (Cancel) isInput()        {}
func (WorkerUp) isInput()      {}
func (WorkerLost) isInput()    {}
func (Receive) isInput()       {}
func (ConfigUpdate) isInput()  {}
func (Decided) isInput()       {}
func (Tick) isInput()          {}
func (BecomeOwner) isInput()   {}
func (LoseOwnership) isInput() {}

// TickInterval is the maximum time between two Tick inputs.
const TickInterval = 100 * time.Millisecond
