package faultmatrix

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/executor"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/requestflow"
	"dragonflyyard/internal/requestflow/requesttest"
	"dragonflyyard/internal/wire"
)

// Sizes and times of a run on the bag of request path cores.
const (
	bagEntries = 2
	bagAgents  = 3
	// bagWarmUp is longer than it takes home ranges to come into force.
	bagWarmUp = 4 * time.Second
	// bagSettle is longer than any deadline, pause and restart of a run.
	bagSettle = 16 * time.Second
	// longPause outlasts heartbeats and permits, shortPause neither.
	longPause  = 3 * time.Second
	shortPause = 400 * time.Millisecond
	// stormSeeds bounds the seeds that are tried until a run takes its step.
	stormSeeds = 12
)

func init() {
	requestFaults := []Fault{
		HostKilled, ProcessFrozen, ConnectionSilent, ConnectionCut, ConnectionSlow, MessageDuplicated, MessageReordered,
		MessageLost, TableAnswerLost, LeaseLapsed, EntryKilled, AgentKilled, OwnerKilled, OwnerDeposed, SecondFault,
	}
	promises := []Promise{PromiseRequestOutcome, PromiseRetryBudget}
	registerEach("request", promises, allSteps("request"), requestFaults, runRequestCell)
	registerEach("request", append(promises, PromiseStore), allSteps("request"), []Fault{TableDown, TableSlow}, runRequestCell)
	backendFaults := []Fault{
		HostKilled, ProcessFrozen, ConnectionSilent, ConnectionCut, ConnectionSlow, MessageDuplicated, MessageReordered,
		MessageLost, EntryKilled, AgentKilled, SecondFault,
	}
	registerEach("backend", []Promise{PromiseGracefulStop, PromiseRetryBudget}, allSteps("backend"), backendFaults, runBackendCell)
}

// newBag returns a bag with uneven service times and clocks that differ.
func newBag(seed uint64) *requesttest.Bag {
	return requesttest.New(requesttest.Options{
		Seed: seed, Entries: bagEntries, Agents: bagAgents, Skew: true,
		Service: func(r *rand.Rand) time.Duration {
			if r.IntN(6) == 0 {
				return time.Duration(300+r.IntN(500)) * time.Millisecond
			}
			return time.Duration(5+r.IntN(100)) * time.Millisecond
		},
	})
}

// armFault puts a fault at the first transition s of the named chart. The
// returned function reports whether the transition was taken.
func armFault(b *requesttest.Bag, chart string, s step, f Fault) func() bool {
	hit := false
	inner := b.OnTransition
	b.OnTransition = func(entry int, taken requestflow.TraceStep) {
		if inner != nil {
			inner(entry, taken)
		}
		if hit || taken.Chart != chart || taken.From != s.from || taken.Event != s.event {
			return
		}
		hit = true
		b.At(0, func() { putFault(b, f, entry, taken) })
	}
	return func() bool { return hit }
}

// putFault applies a fault to the processes and connections of a step.
func putFault(b *requesttest.Bag, f Fault, entry int, taken requestflow.TraceStep) {
	agent := indexOf(taken.Backend)
	home := agent
	if taken.Home != "" {
		home = indexOf(taken.Home)
	}
	switch f {
	case HostKilled:
		killAgent(b, agent)
	case ProcessFrozen:
		b.PauseEntry(entry, longPause)
	case ConnectionSilent:
		b.Silence(entry, agent)
	case ConnectionCut:
		b.Cut(entry, agent)
	case ConnectionSlow, MessageDuplicated, MessageReordered, MessageLost:
		disturbMessages(b, f, taken)
	case LeaseLapsed:
		b.PauseAgent(agent, longPause)
	case EntryKilled:
		b.KillEntry(entry)
		b.At(longPause, func() { b.RestartEntry(entry) })
	case AgentKilled:
		replaceAgent(b, agent)
		b.At(2*shortPause, func() { replaceAgent(b, home) })
	case SecondFault:
		b.Silence(entry, agent)
		b.At(shortPause, func() { killAgent(b, home) })
		b.At(2*shortPause, func() { b.PauseEntry(entry, longPause) })
	default:
		killAgent(b, home)
		disturbAssignment(b, f)
	}
}

// disturbAssignment hinders the move of a dead home's ranges.
func disturbAssignment(b *requesttest.Bag, f Fault) {
	switch f {
	case TableDown:
		b.StopStore(longPause)
	case TableSlow:
		b.DelayNextAssignment(longPause)
	case TableAnswerLost:
		b.StopReads(longPause)
	case OwnerKilled:
		b.StopOwner(longPause)
	case OwnerDeposed:
		b.At(longPause/2, b.ResendFormerAssignment)
		b.At(longPause, b.ResendFormerAssignment)
	}
}

func killAgent(b *requesttest.Bag, agent int) {
	b.KillAgent(agent)
	b.At(longPause, func() { b.RestartAgent(agent) })
}

// replaceAgent kills an agent whose new life is up before the deadlines of its
// former requests.
func replaceAgent(b *requesttest.Bag, agent int) {
	b.KillAgent(agent)
	b.At(shortPause, func() { b.RestartAgent(agent) })
}

// disturbMessages disturbs the messages of a request, or all messages of a
// backend server's connections, for a while after the step.
func disturbMessages(b *requesttest.Bag, f Fault, taken requestflow.TraceStep) {
	until := b.Now().Add(shortPause)
	inner := b.Filter
	count := 0
	b.Filter = func(m requesttest.Message) requesttest.Verdict {
		v := requesttest.Verdict{}
		if inner != nil {
			v = inner(m)
		}
		mine := requesttest.RequestOf(m.Body) == taken.Request && taken.Request != ""
		if taken.Request == "" {
			mine = m.Agent == indexOf(taken.Backend)
		}
		if !mine || b.Now().After(until) {
			return v
		}
		count++
		switch f {
		case MessageDuplicated:
			v.Duplicate = true
		case MessageLost:
			v.Drop = true
		case MessageReordered:
			v.Delay += time.Duration(count%2) * 15 * time.Millisecond
		default:
			v.Delay += 150 * time.Millisecond
		}
		return v
	}
}

func indexOf(id model.BackendServerID) int {
	for i := range bagAgents {
		if requesttest.AgentID(i) == id {
			return i
		}
	}
	return 0
}

func checkBag(t *testing.T, b *requesttest.Bag) {
	t.Helper()
	if len(b.Violations) == 0 {
		return
	}
	t.Errorf("%s\n%s", strings.Join(b.Violations, "\n"), strings.Join(b.Log, "\n"))
}

// runRequestCell lets a storm of requests take the step, with the fault at its
// first occurrence, and checks every request's outcome against what ran.
func runRequestCell(t *testing.T, s step, f Fault) {
	for seed := uint64(1); seed <= stormSeeds; seed++ {
		b := newBag(seed)
		b.Run(bagWarmUp)
		taken := armFault(b, "request", s, f)
		storm(b, seed)
		b.Settle(bagSettle)
		checkBag(t, b)
		if !taken() {
			continue
		}
		if f == TableDown || f == TableSlow {
			checkServesInOutage(t, b)
		}
		return
	}
	t.Fatalf("no seed up to %d takes the step %s on %s", stormSeeds, s.from, s.event)
}

// checkServesInOutage takes the table service down after all else has healed
// and wants each request to be answered.
func checkServesInOutage(t *testing.T, b *requesttest.Bag) {
	t.Helper()
	b.Result = nil
	b.StopStore(longPause)
	var sent []*requesttest.Submission
	for i := range 60 {
		b.At(time.Duration(i)*longPause/60, func() {
			sent = append(sent, b.Submit(0, b.NewRequest(i%2 == 0, 2*time.Second)))
		})
	}
	b.Run(longPause)
	b.Settle(longPause)
	checkBag(t, b)
	for _, s := range sent {
		if s.Outcome.Kind != model.OutcomeAnswered {
			t.Errorf("%s while the table service is down: %s %s", s.Request.ID, s.Outcome.Kind, s.Outcome.Reason)
		}
	}
}

// storm submits requests of all kinds for three seconds, among conditions that
// make the rarer steps happen: failing backend servers, lost claims, a cut
// connection, an agent and an entry host that stop.
func storm(b *requesttest.Bag, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 4))
	b.Result = func(int, model.Request) executor.BackendResult {
		if r.IntN(5) == 0 {
			return executor.BackendFailed
		}
		return executor.BackendAnswered
	}
	claimsLost := [2]time.Time{b.Now().Add(900 * time.Millisecond), b.Now().Add(1300 * time.Millisecond)}
	b.Filter = func(m requesttest.Message) requesttest.Verdict {
		_, isClaim := m.Body.(*wire.Claim)
		lost := isClaim && m.Entry == 0 && b.Now().After(claimsLost[0]) && b.Now().Before(claimsLost[1])
		return requesttest.Verdict{Drop: lost}
	}
	for range 120 {
		b.At(time.Duration(r.IntN(3000))*time.Millisecond, func() { submitAny(b, r) })
	}
	b.At(200*time.Millisecond, func() {
		b.Submit(0, model.Request{ID: "not a UUID", Idempotent: true, Deadline: b.Now().Add(time.Second)})
		for range 40 {
			b.Submit(0, b.NewRequest(r.IntN(2) == 0, time.Duration(100+r.IntN(200))*time.Millisecond))
		}
	})
	b.At(1100*time.Millisecond, func() { b.Cut(0, r.IntN(bagAgents)) })
	b.At(1600*time.Millisecond, func() { b.Cut(1, r.IntN(bagAgents)) })
	b.At(2000*time.Millisecond, func() { b.StopAgent(2) })
	b.At(2500*time.Millisecond, func() { b.StopEntry(1) })
	b.Run(3 * time.Second)
}

func submitAny(b *requesttest.Bag, r *rand.Rand) {
	request := b.NewRequest(r.IntN(2) == 0, time.Duration(150+r.IntN(2500))*time.Millisecond)
	request.Slots = 1 + r.IntN(4)/3*r.IntN(6)
	b.Submit(r.IntN(bagEntries), request)
	if r.IntN(3) > 0 {
		return
	}
	b.At(time.Duration(r.IntN(400))*time.Millisecond, func() {
		request.Deadline = b.Now().Add(time.Second)
		b.Submit(r.IntN(bagEntries), request)
	})
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
	taken := armFault(b, "backend", s, f)
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
	bag       *requesttest.Bag
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
func checkLeaving(t *testing.T, b *requesttest.Bag) {
	t.Helper()
	if late := b.LateStarts(3 * time.Second); len(late) > 0 {
		t.Errorf("started 3 s after leaving was announced: %s", fmt.Sprint(late))
	}
}
