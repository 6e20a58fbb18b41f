// Package requestflow is the deterministic core of an entry host's request
// path. A shell passes the current time and one input to Core.Step and carries
// out the returned actions in order. The core starts no goroutine, opens no
// connection and reads no clock.
package requestflow

import (
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Caller is the shell's handle of one waiting caller. Handles are not reused.
type Caller uint64

// Input is one thing that happened to the entry host.
type Input interface{ isInput() }

// Submit is a caller's request. The core answers each caller with exactly one Finish.
type Submit struct {
	Request model.Request
	Caller  Caller
}

// Query asks what became of a request of a client account. It runs nothing and
// seals nothing. It is answered with one QueryResult, which for a request of
// another account is that of a request that was never seen.
type Query struct {
	Request model.RequestID
	Account model.ClientAccountID
	Caller  Caller
}

// CallerGone says that a caller no longer waits. It gets no Finish.
type CallerGone struct{ Caller Caller }

// LinkUp says that a connection to a backend server's agent is open. A second
// LinkUp of the same backend server replaces the first connection.
type LinkUp struct {
	Backend     model.BackendServer
	Incarnation model.Incarnation
	Connection  uint64
	Leaving     bool
}

// LinkDown says that a connection was closed or declared silent.
type LinkDown struct {
	Backend    model.BackendServerID
	Connection uint64
}

// LinkOverdue says that a heartbeat of an agent is overdue on an open
// connection. The agent gets no new requests until a message of it comes.
type LinkOverdue struct {
	Backend    model.BackendServerID
	Connection uint64
}

// Receive is a message of an agent.
type Receive struct {
	From       model.BackendServerID
	Connection uint64
	Message    wire.Message
}

// AssignmentUpdate replaces the home ranges. Lower versions are ignored.
type AssignmentUpdate struct{ Assignment wire.Assignment }

// ConfigUpdate replaces the client accounts and zone states. Lower versions are ignored.
type ConfigUpdate struct{ Document *model.ConfigDocument }

// Tick lets time pass. The shell sends one every Config.TickInterval or sooner.
type Tick struct{}

// Stop begins the graceful stop: no new request is admitted.
type Stop struct{}

func (Submit) isInput()           {}
func (Query) isInput()            {}
func (CallerGone) isInput()       {}
func (LinkUp) isInput()           {}
func (LinkDown) isInput()         {}
func (LinkOverdue) isInput()      {}
func (Receive) isInput()          {}
func (AssignmentUpdate) isInput() {}
func (ConfigUpdate) isInput()     {}
func (Tick) isInput()             {}
func (Stop) isInput()             {}

// Action is one thing that the shell has to do.
type Action interface{ isAction() }

// Send transmits a message to an agent, on this connection only. If the
// connection is gone the shell drops the message.
type Send struct {
	To         model.BackendServerID
	Connection uint64
	Message    wire.Message
}

// Finish gives the one final outcome of a request to its callers.
type Finish struct {
	Request model.RequestID
	Callers []Caller
	Outcome model.Outcome
}

// QueryResult answers a Query.
type QueryResult struct {
	Request model.RequestID
	Caller  Caller
	// State is what is known of the request; StateFinished comes with Outcome.
	State   wire.RequestState
	Outcome model.Outcome
}

// Record adds an event to the time line.
type Record struct{ Event event.Event }

// ReadyToStop says, once after Stop, that no request is left.
type ReadyToStop struct{}

func (Send) isAction()        {}
func (Finish) isAction()      {}
func (QueryResult) isAction() {}
func (Record) isAction()      {}
func (ReadyToStop) isAction() {}
