// Package routing chooses the backend server of each request: by credit and
// measured latency, near availability zones first, and not those that fail,
// are slow, leave or lie in an availability zone that is out. It is pure:
// callers pass the time in.
package routing

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
)

// ServerState is the name of a state of the chart "backend".
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

// server is one backend server's credit, load and health.
type server struct {
	backend     model.BackendServer
	machine     statechart.Machine
	slotCredit  int
	connCredit  int
	creditSeq   uint64
	slotsInUse  int
	connsInUse  int
	reservedFor model.RequestID

	// slowness is the running mean of measured over expected service time.
	slowness    float64
	samples     int
	consecutive int
	window      outcomeWindow

	ejectedUntil time.Time
	ejections    int
	probeBusy    bool
	suspect      bool
	probeOK      int
}

// outcomeWindow remembers the last outcomes of a server as bits, newest lowest.
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
// sooner than o: it has more free slots, or no large request that runs long.
func (s *server) drainsBefore(o *server) bool {
	if s.freeSlots() != o.freeSlots() {
		return s.freeSlots() > o.freeSlots()
	}
	return s.slotsInUse-s.connsInUse < o.slotsInUse-o.connsInUse
}

func (s *server) fits(slots int) bool {
	return s.freeSlots() >= slots && s.connsInUse < s.connCredit
}

// isUsable reports whether the server takes new requests of any kind.
func (s *server) isUsable() bool {
	return s.is(StateAvailable) || s.is(StateProbing)
}
