// Package executor is the deterministic core of an agent's request path: it
// splits its backend server's slots and connections as credits, keeps the
// claims of its home ranges, starts each request at most once and keeps
// finished answers for a bounded time. A shell passes the current time and one
// input to Core.Step and carries out the returned actions in order.
package executor

import (
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Input is one thing that happened to the agent.
type Input interface{ isInput() }

// LinkUp says that a connection to an entry host is open. A second LinkUp of
// the same entry host replaces the first connection.
type LinkUp struct {
	Entry       model.EntryID
	Incarnation model.Incarnation
	Connection  uint64
}

// LinkDown says that a connection was closed or declared silent.
type LinkDown struct {
	Entry      model.EntryID
	Connection uint64
}

// Receive is a message of an entry host: Claim, Dispatch, Lookup, Forget or Demand.
type Receive struct {
	From       model.EntryID
	Connection uint64
	Message    wire.Message
}

// BackendResult says how a started request ended.
type BackendResult uint8

// Results of a started request.
const (
	// BackendAnswered means that the whole answer was received.
	BackendAnswered BackendResult = iota + 1
	// BackendFailed means that the backend server reported a failure.
	BackendFailed
	// BackendNotStarted means that no byte of the request was sent to the backend server.
	BackendNotStarted
	// BackendLost means that the request was sent and its answer was lost.
	BackendLost
)

// BackendDone says that a StartBackend ended.
type BackendDone struct {
	Request model.RequestID
	Result  BackendResult
	Status  int
	Body    []byte
}

// PermitGranted is a permit of an entry host, already converted to the agent's
// own clock. A permit of a lower assignment version than seen before is ignored.
type PermitGranted struct {
	Assignment uint64
	ValidUntil time.Time
	ZoneOut    bool
}

// PermitRevoked ends all permits at once.
type PermitRevoked struct{}

// AssignmentUpdate replaces the home ranges, unless its version is not higher.
type AssignmentUpdate struct{ Assignment wire.Assignment }

// Tick lets time pass. The shell sends one every 50 ms or sooner.
type Tick struct{}

// Stop begins the graceful stop: new work is rejected, started work is finished.
type Stop struct{}

func (LinkUp) isInput()           {}
func (LinkDown) isInput()         {}
func (Receive) isInput()          {}
func (BackendDone) isInput()      {}
func (PermitGranted) isInput()    {}
func (PermitRevoked) isInput()    {}
func (AssignmentUpdate) isInput() {}
func (Tick) isInput()             {}
func (Stop) isInput()             {}

// Action is one thing that the shell has to do.
type Action interface{ isAction() }

// Send transmits a message to an entry host, on this connection only. If the
// connection is gone the shell drops the message.
type Send struct {
	To         model.EntryID
	Connection uint64
	Message    wire.Message
}

// StartBackend sends a request to the backend server. The shell answers each
// with exactly one BackendDone.
type StartBackend struct{ Request model.Request }

// Record adds an event to the time line.
type Record struct{ Event event.Event }

// ReadyToStop says, once after Stop, that no work runs and that the agent waits no
// longer for answers to be delivered or for its home ranges to be taken over.
type ReadyToStop struct{}

func (Send) isAction()         {}
func (StartBackend) isAction() {}
func (Record) isAction()       {}
func (ReadyToStop) isAction()  {}
