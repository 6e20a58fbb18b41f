package gang

import (
	"dragonflyyard/internal/statechart"
	"dragonflyyard/internal/wire"
)

// taskChart is the state chart that each task follows.
var taskChart = statechart.MustLoad("task")

// Events of the chart.
var (
	eventLaunched          = taskChart.MustEvent("launched")
	eventLaunchRefused     = taskChart.MustEvent("launch_refused")
	eventReleased          = taskChart.MustEvent("released")
	eventHoldExpired       = taskChart.MustEvent("hold_expired")
	eventWorkerStarted     = taskChart.MustEvent("worker_started")
	eventLeaseRenewed      = taskChart.MustEvent("lease_renewed")
	eventLeaseLapsed       = taskChart.MustEvent("lease_lapsed")
	eventSuspensionExpired = taskChart.MustEvent("suspension_expired")
	eventStopOrdered       = taskChart.MustEvent("stop_ordered")
	eventWorkerFinished    = taskChart.MustEvent("worker_finished")
	eventWorkerFailed      = taskChart.MustEvent("worker_failed")
	eventWorkerStopped     = taskChart.MustEvent("worker_stopped")
)

// chartState maps each task state of the protocol to its state in the chart.
var chartState = map[wire.TaskState]statechart.State{
	wire.TaskReserved:  taskChart.MustState("reserved"),
	wire.TaskStarting:  taskChart.MustState("starting"),
	wire.TaskRunning:   taskChart.MustState("running"),
	wire.TaskSuspended: taskChart.MustState("suspended"),
	wire.TaskStopping:  taskChart.MustState("stopping"),
	wire.TaskFinished:  taskChart.MustState("finished"),
	wire.TaskFailed:    taskChart.MustState("failed"),
	wire.TaskStopped:   taskChart.MustState("stopped"),
}

// wireState is the inverse of chartState.
var wireState = invert(chartState)

func invert(m map[wire.TaskState]statechart.State) map[statechart.State]wire.TaskState {
	out := map[statechart.State]wire.TaskState{}
	for w, s := range m {
		out[s] = w
	}
	return out
}

// fire applies an event to a task's state. If the state has no transition for the
// event, fire changes nothing and returns false.
func (t *task) fire(e statechart.Event) bool {
	machine := taskChart.MachineAt(chartState[t.state])
	step, outcome := machine.Fire(e)
	if outcome != statechart.Moved {
		return false
	}
	t.state = wireState[step.To]
	return true
}

// workerEvents maps each task state that a worker reports to its chart event.
var workerEvents = map[wire.TaskState]statechart.Event{
	wire.TaskRunning:  eventWorkerStarted,
	wire.TaskFinished: eventWorkerFinished,
	wire.TaskFailed:   eventWorkerFailed,
	wire.TaskStopped:  eventWorkerStopped,
}
