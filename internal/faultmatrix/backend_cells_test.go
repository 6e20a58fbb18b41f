package faultmatrix

import (
	"fmt"
	"testing"
	"time"

	"dragonflyyard/internal/executor"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/requestflow"
	"dragonflyyard/internal/requestflow/requesttest"
	"dragonflyyard/internal/wire"
)

func init() {
	for _, f := range append(requestFaults(), outageFaults()...) {
		promises := []Promise{PromiseGracefulStop, PromiseRetryBudget}
		if f == OperatorsRacing {
			promises = append(promises, PromiseZoneOut)
		}
		registerEach("backend", promises, allSteps("backend"), []Fault{f}, runBackendCell)
	}
}

// runBackendCell brings the backend server with index 1 into the step's state
// as entry host 0 sees it, takes the step with the fault and checks that a
// leaving backend server gets no new work and that no request is cut off.
func runBackendCell(t *testing.T, s step, f Fault) {
	b := newBag(1)
	b.Run(bagWarmUp)
	for i := range 900 {
		b.At(time.Duration(i*10)*time.Millisecond, func() { b.Submit(i%bagEntries, b.NewRequest(i%3 > 0, 2*time.Second)) })
	}
	drive := &backendDriver{bag: b, step: s}
	b.OnTransition = drive.onTransition
	b.Result = drive.result
	b.Filter = drive.filter
	taken := armFault(b, "backend", s, func(at stepTaken) { putFault(b, f, at) })
	b.At(100*time.Millisecond, drive.begin)
	b.Run(9 * time.Second)
	b.Settle(bagSettle)
	checkBag(t, b)
	if !taken() {
		t.Fatalf("the run does not take the step %s on %s", s.from, s.event)
	}
	checkLeaving(t, b)
}

// driven is the backend server that backend cells lead through the chart.
const driven = 1

// backendDriver makes the driven backend server enter a state and then meet an event.
type backendDriver struct {
	bag       *requesttest.Testbed
	step      step
	failing   bool
	noCredit  bool
	triggered bool
}

func (d *backendDriver) begin() {
	switch d.step.from {
	case "announced":
		d.noCredit = d.step.event != "credit_received"
		if d.step.event == "leaving_announced" {
			d.bag.StopAgent(driven)
		}
		d.bag.Cut(0, driven)
		if d.step.event == "connection_lost" {
			d.bag.At(200*time.Millisecond, func() { d.bag.Cut(0, driven); d.noCredit = false })
		}
	case "available":
		d.trigger()
	case "leaving":
		// The connection is lost while requests are under way, so that it does not
		// count as drained.
		for range 40 {
			d.bag.Submit(0, d.bag.NewRequest(true, 2*time.Second))
		}
		d.bag.At(10*time.Millisecond, func() { d.bag.StopAgent(driven) })
	default:
		d.failing = true
	}
}

// onTransition reacts to the driven backend server's entering the step's state.
func (d *backendDriver) onTransition(entry int, taken requestflow.TraceStep) {
	if taken.Chart != "backend" || taken.Backend != requesttest.AgentID(driven) || entry != 0 {
		return
	}
	entered := d.step.from == "ejected" && taken.Event == "failure_streak" ||
		d.step.from == "probing" && taken.Event == "probe_due" ||
		d.step.from == "leaving" && taken.Event == "leaving_announced"
	if entered {
		d.bag.At(0, d.trigger)
	}
}

// trigger makes the step's event happen.
func (d *backendDriver) trigger() {
	if d.triggered {
		return
	}
	d.triggered = true
	switch d.step.event {
	case "leaving_announced":
		d.bag.StopAgent(driven)
	case "connection_lost":
		d.bag.Cut(0, driven)
	case "drained":
		d.bag.At(3*time.Second, func() { d.bag.KillAgent(driven) })
	case "failure_streak", "probe_failed":
		d.failing = true
	case "probe_succeeded":
		d.failing = false
	}
}

func (d *backendDriver) result(agent int, _ model.Request) executor.BackendResult {
	if agent == driven && d.failing {
		return executor.BackendFailed
	}
	return executor.BackendAnswered
}

func (d *backendDriver) filter(m requesttest.Message) requesttest.Verdict {
	_, isCredit := m.Body.(*wire.Credit)
	return requesttest.Verdict{Drop: isCredit && d.noCredit && m.Entry == 0 && m.Agent == driven}
}

// checkLeaving wants no dispatch to reach a backend server 3 s after it
// announced that it leaves, and no rejection to end a request as unknown.
func checkLeaving(t *testing.T, b *requesttest.Testbed) {
	t.Helper()
	if late := b.LateStarts(3 * time.Second); len(late) > 0 {
		t.Errorf("started 3 s after leaving was announced: %s", fmt.Sprint(late))
	}
}
