// Package routing chooses the backend server of each request by free credit and
// measured latency. It prefers the entry host's own availability zone and skips
// backend servers that fail, are slow, are leaving, or are in an availability
// zone that is out. It does no I/O and reads no clock: callers pass the time in.
package routing

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
)

// ServerState is the name of a state of the state chart "backend".
type ServerState string

// States of a backend server.
const (
	StateAnnounced ServerState = "announced"
	StateAvailable ServerState = "available"
	StateEjected   ServerState = "ejected"
	StateProbing   ServerState = "probing"
	StateLeaving   ServerState = "leaving"
	StateLost      ServerState = "lost"
)

// server holds the credit, load and health of one backend server.
type server struct {
	backend     model.BackendServer
	machine     statechart.Machine
	slotCredit  int
	connCredit  int
	creditSeq   uint64
	slotsInUse  int
	connsInUse  int
	reservedFor model.RequestID

	// slowdown is the moving average of measured divided by expected service time.
	slowdown            float64
	slowdownSamples     int
	consecutiveFailures int
	window              outcomeWindow

	ejectedUntil   time.Time
	ejections      int
	probeInFlight  bool
	suspect        bool
	probeSuccesses int
}

// outcomeWindow holds the last windowSize outcomes of a server as bits. A set bit
// is a failure; the lowest bit is the newest outcome.
type outcomeWindow struct {
	bits  uint32
	count int
}

const windowSize = 20

func (w *outcomeWindow) add(failed bool) {
	w.bits <<= 1
	if failed {
		w.bits |= 1
	}
	w.bits &= 1<<windowSize - 1
	w.count = min(w.count+1, windowSize)
}

func (w *outcomeWindow) failures() int {
	n := 0
	for b := w.bits; b != 0; b &= b - 1 {
		n++
	}
	return n
}

func (s *server) is(state ServerState) bool { return s.machine.StateName() == string(state) }

func (s *server) freeSlots() int { return s.slotCredit - s.slotsInUse }

// drainsBefore reports whether s is expected to have room for a large request
// sooner than o: it has more free slots or, if both have as many, fewer slots in
// use beyond one per connection, hence fewer large requests that may run long.
func (s *server) drainsBefore(o *server) bool {
	if s.freeSlots() != o.freeSlots() {
		return s.freeSlots() > o.freeSlots()
	}
	return s.slotsInUse-s.connsInUse < o.slotsInUse-o.connsInUse
}

// fits reports whether the free credit covers a request of that many slots and
// one more connection.
func (s *server) fits(slots int) bool {
	return s.freeSlots() >= slots && s.connsInUse < s.connCredit
}

// isUsable reports whether the server's state allows new requests, be it only
// probes.
func (s *server) isUsable() bool {
	return s.is(StateAvailable) || s.is(StateProbing)
}
