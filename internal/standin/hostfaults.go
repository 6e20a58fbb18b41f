package standin

import (
	"sync"

	"github.com/valyala/fasthttp"
)

// HostFaults are the fault switches of a backend server or a worker.
type HostFaults struct {
	Faults
	// FailAll makes each request or task fail after it started.
	FailAll bool `json:"fail_all"`
}

// hostSwitches holds the fault switches of a backend server or a worker.
type hostSwitches struct {
	gate *gate

	mu      sync.Mutex
	failAll bool
}

func newHostSwitches() *hostSwitches { return &hostSwitches{gate: newGate()} }

func (s *hostSwitches) set(faults HostFaults) {
	s.mu.Lock()
	s.failAll = faults.FailAll
	s.mu.Unlock()
	s.gate.set(faults.Faults)
}

func (s *hostSwitches) failsAll() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failAll
}

// admit waits as the switches say. It returns false after it has answered, or
// decided never to answer, a call that must not take effect.
func (s *hostSwitches) admit(ctx *fasthttp.RequestCtx) bool {
	held, cancel := holdContext()
	defer cancel()
	if err := s.gate.enter(held); err != nil {
		answerError(ctx, err)
		return false
	}
	return true
}

// loseAnswer closes the connection in place of an answer where the switches
// say so. It returns whether it did.
func (s *hostSwitches) loseAnswer(ctx *fasthttp.RequestCtx) bool {
	if !s.gate.takeLostAnswer() {
		return false
	}
	answerError(ctx, errLost)
	return true
}

func (s *hostSwitches) serve(ctx *fasthttp.RequestCtx) {
	var faults HostFaults
	if !readJSON(ctx, &faults) {
		return
	}
	s.set(faults)
}
