// Package executor is the deterministic core of an agent's request path. It
// divides its backend server's slots and connections among the entry hosts as
// credits, keeps the claims of its home ranges, starts each request at most once
// and keeps answers for a bounded time. A shell passes the current time and one
// input to Core.Step and executes the returned actions in order.
package executor

import (
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Input is an event that Core.Step processes.
type Input interface{ isInput() }

// LinkUp reports an open connection to an entry host. A second LinkUp of the
// same entry host replaces the first connection.
type LinkUp struct {
	Entry       model.EntryID
	Incarnation model.Incarnation
	Connection  uint64
}

// LinkDown reports that a connection was closed or declared silent.
type LinkDown struct {
	Entry      model.EntryID
	Connection uint64
}

// Receive delivers a message from an entry host: Claim, Dispatch, Lookup, Forget
// or Demand.
type Receive struct {
	From       model.EntryID
	Connection uint64
	Message    wire.Message
}

// BackendResult is the outcome of a StartBackend action.
type BackendResult uint8

// Outcomes of a StartBackend action.
const (
	// BackendAnswered means that the complete answer was received.
	BackendAnswered BackendResult = iota + 1
	// BackendFailed means that the backend server reported a failure.
	BackendFailed
	// BackendNotStarted means that no byte of the request was sent to the backend server.
	BackendNotStarted
	// BackendLost means that the request was sent and its answer was lost.
	BackendLost
)

// BackendDone reports the end of a StartBackend action.
type BackendDone struct {
	Request model.RequestID
	Result  BackendResult
	Status  int
	Body    []byte
}

// PermitGranted is a permit from an entry host, already converted to the agent's
// own clock. A permit with a lower assignment version than the current permit's
// is ignored.
type PermitGranted struct {
	Assignment uint64
	ValidUntil time.Time
	ZoneOut    bool
}

// PermitRevoked revokes the current permit immediately.
type PermitRevoked struct{}

// AssignmentUpdate replaces the home ranges if its version is higher than the
// current one.
type AssignmentUpdate struct{ Assignment wire.Assignment }

// Tick processes timeouts. The shell sends one at least every 50 ms.
type Tick struct{}

// Stop begins the graceful stop: new requests are rejected, started ones finish.
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

// Action is an operation that the shell executes for the core.
type Action interface{ isAction() }

// Send transmits a message to an entry host on this connection only. If the
// connection is closed, the shell drops the message.
type Send struct {
	To         model.EntryID
	Connection uint64
	Message    wire.Message
}

// StartBackend sends a request to the backend server. The shell answers each one
// with exactly one BackendDone.
type StartBackend struct{ Request model.Request }

// Record adds an event to the timeline.
type Record struct{ Event event.Event }

// ReadyToStop is returned once after Stop. It reports that no request runs and
// that the agent no longer waits for answers to be delivered or for its home
// ranges to be taken over.
type ReadyToStop struct{}

func (Send) isAction()         {}
func (StartBackend) isAction() {}
func (Record) isAction()       {}
func (ReadyToStop) isAction()  {}
