package scheduler

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Input is one event for Core.Step.
type Input interface{ isInput() }

// Submit hands in a job whose row is already written. Callers ask Core.Admit
// first; a job that Admit refuses is answered with Refuse.
type Submit struct{ Job model.Job }

// Cancel ends any number of jobs in one pass.
type Cancel struct{ IDs []model.JobID }

// WorkerUp reports a worker's agent on a new connection, with all that it holds.
type WorkerUp struct{ Report wire.WorkerReport }

// WorkerLost reports that a worker's agent is no longer reached.
type WorkerLost struct{ Worker model.WorkerID }

// Receive hands in a message from an agent: *wire.ReserveReply,
// *wire.TaskReport, *wire.WorkerReport or *wire.LeaseRequest.
type Receive struct {
	From    model.WorkerID
	Message wire.Message
}

// ConfigUpdate hands in a newer configuration. An older one is ignored.
type ConfigUpdate struct{ Document *model.ConfigDocument }

// DecisionResult says what became of the write of a decision row.
type DecisionResult uint8

// Results of a decision row's write.
const (
	// DecisionCommitted means that the row is written.
	DecisionCommitted DecisionResult = iota + 1
	// DecisionRefused means that nothing was written and the table service
	// rejected the write, for instance since the owner's lease row changed.
	DecisionRefused
	// DecisionUnavailable means that nothing was written as the service was down.
	DecisionUnavailable
	// DecisionInDoubt means that the row may or may not be written.
	DecisionInDoubt
)

// Decided answers WriteDecision and ReadDecision of the present ownership: it
// carries no epoch, so the caller drops answers to an earlier one. In answer to ReadDecision,
// DecisionCommitted means that the row with this attempt was found,
// DecisionRefused that it was not, and the other two that it is still not known.
type Decided struct {
	Job     model.JobID
	Attempt uint64
	Result  DecisionResult
}

// Tick lets time pass. The caller sends one at least every TickInterval.
type Tick struct{}

// BecomeOwner makes this core the owner under a new epoch.
type BecomeOwner struct {
	Epoch model.Epoch
	// Rows are all job rows of the table service.
	Rows []JobRow
	// Snapshot is the last snapshot in the object store, or nil. Rows go
	// before it; it adds the history, the estimates and the quarantine.
	Snapshot *Snapshot
	// Ended are the jobs that ended lately under earlier owners.
	Ended []EndedJob
	// Config is the configuration in force.
	Config *model.ConfigDocument
}

// LoseOwnership ends this core's ownership: it sends nothing until BecomeOwner.
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

// TickInterval is the longest time between two Tick inputs.
const TickInterval = 100 * time.Millisecond
