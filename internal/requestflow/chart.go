package requestflow

import (
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/statechart"
)

// The request chart of internal/statechart/charts/request.yaml.
var (
	requestChart = statechart.MustLoad("request")

	stateQueued     = mustState("queued")
	stateClaiming   = mustState("claiming")
	stateDispatched = mustState("dispatched")
	stateResolving  = mustState("resolving")

	eventAdmitted         = mustEvent("admitted")
	eventRefused          = mustEvent("refused")
	eventGivenUp          = mustEvent("given_up")
	eventExecutorChosen   = mustEvent("executor_chosen")
	eventHomeIsExecutor   = mustEvent("home_is_executor")
	eventClaimGranted     = mustEvent("claim_granted")
	eventClaimRefused     = mustEvent("claim_refused")
	eventClaimUnanswered  = mustEvent("claim_unanswered")
	eventAnswerWhole      = mustEvent("answer_whole")
	eventBackendFailed    = mustEvent("backend_failed")
	eventExecutorRejected = mustEvent("executor_rejected")
	eventConnectionLost   = mustEvent("connection_lost")
	eventStillRunning     = mustEvent("still_running")
	eventRetryAllowed     = mustEvent("retry_allowed")
	eventSealed           = mustEvent("sealed")
	eventUnresolved       = mustEvent("unresolved")
)

func mustState(name string) statechart.State {
	s, ok := requestChart.State(name)
	if !ok {
		panic("requestflow: the request chart has no state " + name)
	}
	return s
}

func mustEvent(name string) statechart.Event {
	e, ok := requestChart.Event(name)
	if !ok {
		panic("requestflow: the request chart has no event " + name)
	}
	return e
}

// recordedStates are the states whose entry is put on the time line.
var recordedStates = map[statechart.State]event.Code{
	stateQueued:     event.RequestQueued,
	stateClaiming:   event.RequestClaiming,
	stateDispatched: event.RequestDispatched,
	stateResolving:  event.RequestResolving,
}

// fire applies an event to a flight's chart and records the state it enters.
// An event that the state does not know changes nothing.
func (c *Core) fire(f *flight, e statechart.Event) {
	step, outcome := f.machine.Fire(e)
	if outcome != statechart.Moved {
		return
	}
	if code, ok := recordedStates[step.To]; ok {
		c.record(code, f, string(f.executor))
	}
}
