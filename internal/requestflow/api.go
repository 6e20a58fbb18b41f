// Package requestflow is the deterministic core of an entry host's request
// path. An I/O shell passes the current time and one input to Core.Step and
// carries out the returned actions in order. The core starts no goroutine, opens
// no connection and reads no clock.
package requestflow

import (
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Caller is the shell's handle for one waiting caller. Handles are not reused.
type Caller uint64

// Input is one event for the core to handle: a call, a message, a change of
// connections or configuration, or the passing of time.
type Input interface{ isInput() }

// Submit passes on a caller's request. The core answers each caller with exactly
// one Finish.
type Submit struct {
	Request model.Request
	Caller  Caller
}

// Query reads the state of a client account's request. It neither runs nor seals
// the request. It is answered with one QueryResult; a request of another account
// is reported like one that was never seen.
type Query struct {
	Request model.RequestID
	Account model.ClientAccountID
	Caller  Caller
}

// CallerGone reports that a caller has stopped waiting. It gets no Finish.
type CallerGone struct{ Caller Caller }

// LinkUp reports an open connection to a backend server's agent. A second LinkUp
// for the same backend server replaces the first connection.
type LinkUp struct {
	Backend     model.BackendServer
	Incarnation model.Incarnation
	Connection  uint64
	Leaving     bool
}

// LinkDown reports that a connection was closed, or declared lost because no
// message arrived.
type LinkDown struct {
	Backend    model.BackendServerID
	Connection uint64
}

// LinkOverdue reports that an agent's heartbeat is overdue on an open connection.
// The agent gets no new requests until its next message.
type LinkOverdue struct {
	Backend    model.BackendServerID
	Connection uint64
}

// Receive passes on a message from an agent.
type Receive struct {
	From       model.BackendServerID
	Connection uint64
	Message    wire.Message
}

// AssignmentUpdate replaces the home ranges. Lower versions are ignored.
type AssignmentUpdate struct{ Assignment wire.Assignment }

// ConfigUpdate replaces the client accounts and zone states. Lower versions are ignored.
type ConfigUpdate struct{ Document *model.ConfigDocument }

// Tick runs the timers that are due. The shell sends one every
// Config.TickInterval or sooner.
type Tick struct{}

// Stop begins the graceful stop: no new request is admitted, and those in flight
// still get their outcome.
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

// Action is one effect for the shell to carry out.
type Action interface{ isAction() }

// Send transmits a message to an agent on the given connection only. If that
// connection is closed, the shell drops the message.
type Send struct {
	To         model.BackendServerID
	Connection uint64
	Message    wire.Message
}

// Finish delivers the single final outcome of a request to its callers.
type Finish struct {
	Request model.RequestID
	Callers []Caller
	Outcome model.Outcome
}

// QueryResult answers a Query.
type QueryResult struct {
	Request model.RequestID
	Caller  Caller
	// State is the known state of the request. With StateFinished, Outcome holds
	// the answer.
	State   wire.RequestState
	Outcome model.Outcome
}

// Record adds an event to the timeline.
type Record struct{ Event event.Event }

// ReadyToStop reports, once after Stop, that no request is in flight.
type ReadyToStop struct{}

func (Send) isAction()        {}
func (Finish) isAction()      {}
func (QueryResult) isAction() {}
func (Record) isAction()      {}
func (ReadyToStop) isAction() {}
