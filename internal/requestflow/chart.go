package requestflow

import (
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
)

// States and events of the request chart, internal/statechart/charts/request.yaml.
var (
	requestChart = statechart.MustLoad("request")

	stateQueued     = requestChart.MustState("queued")
	stateClaiming   = requestChart.MustState("claiming")
	stateDispatched = requestChart.MustState("dispatched")
	stateResolving  = requestChart.MustState("resolving")

	eventAdmitted         = requestChart.MustEvent("admitted")
	eventRefused          = requestChart.MustEvent("refused")
	eventGivenUp          = requestChart.MustEvent("given_up")
	eventExecutorChosen   = requestChart.MustEvent("executor_chosen")
	eventHomeIsExecutor   = requestChart.MustEvent("home_is_executor")
	eventClaimGranted     = requestChart.MustEvent("claim_granted")
	eventClaimRefused     = requestChart.MustEvent("claim_refused")
	eventClaimUnanswered  = requestChart.MustEvent("claim_unanswered")
	eventAnswerWhole      = requestChart.MustEvent("answer_whole")
	eventBackendFailed    = requestChart.MustEvent("backend_failed")
	eventExecutorRejected = requestChart.MustEvent("executor_rejected")
	eventConnectionLost   = requestChart.MustEvent("connection_lost")
	eventStillRunning     = requestChart.MustEvent("still_running")
	eventRetryAllowed     = requestChart.MustEvent("retry_allowed")
	eventSealed           = requestChart.MustEvent("sealed")
	eventUnresolved       = requestChart.MustEvent("unresolved")
)

// TraceStep is one transition of a request or of a backend server.
type TraceStep struct {
	// Chart is "request" or "backend".
	Chart   string
	Request model.RequestID
	// Backend is the executor in a transition of a request, or the backend server
	// that changed state.
	Backend model.BackendServerID
	Home    model.BackendServerID
	From    string
	Event   string
}

// traceBackend reports a transition of a backend server to Config.Trace.
func (c *Core) traceBackend(id model.BackendServerID, from, event string) {
	if c.config.Trace != nil {
		c.config.Trace(TraceStep{Chart: "backend", Backend: id, From: from, Event: event})
	}
}

// recordedStates maps the states whose entry is recorded on the timeline to the
// event code.
var recordedStates = map[statechart.State]event.Code{
	stateQueued:     event.RequestQueued,
	stateClaiming:   event.RequestClaiming,
	stateDispatched: event.RequestDispatched,
	stateResolving:  event.RequestResolving,
}

// fire applies an event to a flight's state chart and records the state entered.
// An event without a transition from the current state has no effect.
func (c *Core) fire(f *flight, e statechart.Event) {
	step, outcome := f.machine.Fire(e)
	if outcome != statechart.Moved {
		return
	}
	if c.config.Trace != nil {
		c.config.Trace(TraceStep{
			Chart: requestChart.Name(), Request: f.request.ID, Backend: f.executor, Home: f.home,
			From: requestChart.StateName(step.From), Event: requestChart.EventName(step.Event),
		})
	}
	if code, ok := recordedStates[step.To]; ok {
		c.record(code, f, string(f.executor))
	}
}
