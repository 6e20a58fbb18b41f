package link

import (
	"sync"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/statechart"
)

// The connection chart of internal/statechart/charts/connection.yaml.
var (
	connectionChart = statechart.MustLoad("connection")

	stateGreeting = connectionChart.MustState("greeting")

	eventConnected        = connectionChart.MustEvent("connected")
	eventDialFailed       = connectionChart.MustEvent("dial_failed")
	eventWelcomed         = connectionChart.MustEvent("welcomed")
	eventGreetingRefused  = connectionChart.MustEvent("greeting_refused")
	eventGreetingTimedOut = connectionChart.MustEvent("greeting_timed_out")
	eventHeartbeatOverdue = connectionChart.MustEvent("heartbeat_overdue")
	eventMessageReceived  = connectionChart.MustEvent("message_received")
	eventSilenceDeclared  = connectionChart.MustEvent("silence_declared")
	eventCut              = connectionChart.MustEvent("cut")
	eventReaderSlow       = connectionChart.MustEvent("reader_slow")
	eventStopOrdered      = connectionChart.MustEvent("stop_ordered")
)

// Step is one transition of a connection.
type Step struct {
	// Peer is the peer's process name, empty while it is not known.
	Peer  string
	From  string
	Event string
}

// lifecycle is a connection's place in its chart.
type lifecycle struct {
	mu      sync.Mutex
	machine statechart.Machine
	peer    string
	trace   func(Step)
}

// newLifecycle returns the lifecycle of a connection that is being made.
func newLifecycle(trace func(Step)) *lifecycle {
	return &lifecycle{machine: connectionChart.NewMachine(), trace: trace}
}

// newAcceptedLifecycle returns that of a connection that another process made.
func newAcceptedLifecycle(trace func(Step)) *lifecycle {
	return &lifecycle{machine: connectionChart.MachineAt(stateGreeting), trace: trace}
}

// fire takes a transition. It returns false when the present state does not
// know the event, which then has no effect.
func (l *lifecycle) fire(event statechart.Event) bool {
	l.mu.Lock()
	from := l.machine.StateName()
	_, outcome := l.machine.Fire(event)
	peer := l.peer
	l.mu.Unlock()
	if outcome != statechart.Moved {
		return false
	}
	if l.trace != nil {
		l.trace(Step{Peer: peer, From: from, Event: connectionChart.EventName(event)})
	}
	return true
}

func (l *lifecycle) setPeer(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peer = name
}

// end fires the event that belongs to the cause of a connection's end.
func (l *lifecycle) end(cause error) {
	switch {
	case errors.Is(cause, ErrSilent), errors.Is(cause, ErrUnacknowledged):
		l.fire(eventHeartbeatOverdue)
		l.fire(eventSilenceDeclared)
	case errors.Is(cause, ErrSlowReader):
		l.fire(eventReaderSlow)
	case errors.Is(cause, ErrClosed):
		l.fire(eventStopOrdered)
	default:
		l.fire(eventCut)
	}
}

// greetingFailed fires the event that belongs to a failed greeting.
func (l *lifecycle) greetingFailed(cause error) {
	switch {
	case isTimeout(cause):
		l.fire(eventGreetingTimedOut)
	case errors.Is(cause, ErrHandshake), isMalformed(cause):
		l.fire(eventGreetingRefused)
	default:
		l.fire(eventCut)
	}
}
