package requesttest

import (
	"bytes"
	"fmt"
	"time"

	"dragonflyyard/internal/executor"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/requestflow"
	"dragonflyyard/internal/wire"
)

// outcomeGrace is how long after its deadline a request may get its outcome: it
// covers the seal timeout and a tick.
const outcomeGrace = 500 * time.Millisecond

// zoneOutLimit is the time after a zone was taken out from which no request may
// start there.
const zoneOutLimit = 3 * time.Second

// Submission is one caller's request and its outcome.
type Submission struct {
	Request model.Request
	Entry   int
	Caller  requestflow.Caller
	At      time.Time
	// EntryLost is set if the entry host was down or was killed, so that no outcome
	// can arrive.
	EntryLost bool
	Finished  bool
	EndedAt   time.Time
	Outcome   model.Outcome
}

// ledger records which requests backend servers started and which outcomes the
// callers got.
type ledger struct {
	submissions []*Submission
	byCaller    map[requestflow.Caller]*Submission
	// starts counts the starts of each request on backend servers.
	starts map[model.RequestID]int
	// notRun holds the requests of which a submission got the outcome not_run.
	notRun map[model.RequestID]bool
	// sideEffects holds the requests that are not idempotent.
	sideEffects map[model.RequestID]bool
	// leavingStarts are the starts on agents that were stopping gracefully.
	leavingStarts []leavingStart
}

type leavingStart struct {
	id        model.RequestID
	sinceStop time.Duration
}

func newLedger() ledger {
	return ledger{
		byCaller: map[requestflow.Caller]*Submission{}, starts: map[model.RequestID]int{},
		notRun: map[model.RequestID]bool{}, sideEffects: map[model.RequestID]bool{},
	}
}

func (l *ledger) markEntryLost(entry int) {
	for _, s := range l.submissions {
		if s.Entry == entry && !s.Finished {
			s.EntryLost = true
		}
	}
}

// hasOpenSubmission reports whether a submission of the request has no outcome, for
// example because its entry host was lost, or has the outcome unknown. Once the
// home that sealed an idempotent request is lost, the request may run for such a
// submission although another submission got not_run.
func (l *ledger) hasOpenSubmission(id model.RequestID) bool {
	for _, s := range l.submissions {
		if s.Request.ID == id && (!s.Finished || s.Outcome.Kind == model.OutcomeUnknown) {
			return true
		}
	}
	return false
}

// Mint returns a new request ID, whose mint time is the current simulated time.
func (b *Testbed) Mint() model.RequestID {
	b.minted++
	ms := b.Now().UnixMilli()
	return model.RequestID(fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x",
		ms>>16, ms&0xffff, b.Random.IntN(1<<12), b.Random.IntN(1<<12), b.minted))
}

// NewRequest returns a request of one slot with a new ID, whose deadline is the
// given time from now.
func (b *Testbed) NewRequest(idempotent bool, deadline time.Duration) model.Request {
	id := b.Mint()
	return model.Request{
		ID: id, Account: "account", Idempotent: idempotent, Deadline: b.Now().Add(deadline),
		BodyHash: 7, Slots: 1, Body: []byte("body of " + id),
	}
}

// Submit passes a request from a new caller to an entry host.
func (b *Testbed) Submit(entry int, request model.Request) *Submission {
	s := &Submission{Request: request, Entry: entry, Caller: requestflow.Caller(len(b.ledger.submissions) + 1), At: b.Now()}
	b.ledger.submissions = append(b.ledger.submissions, s)
	b.ledger.byCaller[s.Caller] = s
	if !request.Idempotent {
		b.ledger.sideEffects[request.ID] = true
	}
	e := b.entries[entry]
	if e.core == nil {
		s.EntryLost = true
		return s
	}
	b.logf("submit %s idempotent=%v entry %d", request.ID, request.Idempotent, entry)
	b.stepEntry(entry, e.core, requestflow.Submit{Request: request, Caller: s.Caller})
	return s
}

// Starts returns how many times backend servers started a request.
func (b *Testbed) Starts(id model.RequestID) int { return b.ledger.starts[id] }

// LateStarts returns the requests that an agent started later than the given
// time after it was told to stop.
func (b *Testbed) LateStarts(after time.Duration) []model.RequestID {
	var late []model.RequestID
	for _, s := range b.ledger.leavingStarts {
		if s.sinceStop > after {
			late = append(late, s.id)
		}
	}
	return late
}

// Submissions returns all submissions so far.
func (b *Testbed) Submissions() []*Submission { return b.ledger.submissions }

// AnswerOf returns the body with which every backend server answers a request.
func AnswerOf(r model.Request) []byte { return append([]byte("answer to "), r.Body...) }

func (b *Testbed) backendStarted(agent int, core *executor.Core, r model.Request) {
	a := b.agents[agent]
	b.logf("start %s agent %d", r.ID, agent)
	b.ledger.starts[r.ID]++
	if a.leaving {
		b.ledger.leavingStarts = append(b.ledger.leavingStarts, leavingStart{r.ID, b.Now().Sub(a.leftAt)})
	}
	a.running[r.ID] = r.Slots
	b.checkStart(a, r)
	service := 20 * time.Millisecond
	if b.options.Service != nil {
		service = b.options.Service(b.Random)
	}
	b.At(service, func() {
		if a.core == core {
			delete(a.running, r.ID)
		}
		result := executor.BackendAnswered
		if b.Result != nil {
			result = b.Result(agent, r)
		}
		b.stepAgent(agent, core, executor.BackendDone{Request: r.ID, Result: result, Status: 200, Body: AnswerOf(r)})
	})
}

func (b *Testbed) checkStart(a *agentHost, r model.Request) {
	if b.ledger.notRun[r.ID] && (!r.Idempotent || !b.ledger.hasOpenSubmission(r.ID)) {
		b.violate("%s was started after not_run was given", r.ID)
	}
	if b.ledger.sideEffects[r.ID] && b.ledger.starts[r.ID] > 1 {
		b.violate("%s is not idempotent and was started %d times", r.ID, b.ledger.starts[r.ID])
	}
	if a.stopped {
		b.violate("%s was started on agent %d after it was ready to stop", r.ID, a.index)
	}
	if since := b.Now().Sub(a.zoneOutSince); a.zoneOut && since > zoneOutLimit {
		b.violate("%s was started on agent %d %s after its zone was taken out", r.ID, a.index, since)
	}
	slots := 0
	for _, n := range a.running {
		slots += n
	}
	if slots > Slots || len(a.running) > Connections {
		b.violate("agent %d runs %d requests on %d slots", a.index, len(a.running), slots)
	}
}

func (b *Testbed) checkCredit(agent, entry int, credit wire.Credit) {
	a := b.agents[agent]
	a.credits[entry] = credit
	slots, connections := 0, 0
	for e, c := range a.credits {
		if link := b.conns[[2]int{e, agent}]; link != nil && link.agentUp {
			slots += c.Slots
			connections += c.Connections
		}
	}
	if slots > Slots || connections > Connections {
		b.violate("agent %d gave credits for %d slots and %d connections", agent, slots, connections)
	}
}

func (b *Testbed) finished(entry int, f requestflow.Finish) {
	for _, caller := range f.Callers {
		s := b.ledger.byCaller[caller]
		b.logf("finish %s entry %d: %s %s", f.Request, entry, f.Outcome.Kind, f.Outcome.Reason)
		if s == nil || s.Request.ID != f.Request {
			b.violate("%s was finished for a caller that did not submit it", f.Request)
			continue
		}
		if s.Finished {
			b.violate("%s got a second outcome", f.Request)
		}
		s.Finished, s.Outcome, s.EndedAt = true, f.Outcome, b.Now()
		b.checkOutcome(s)
	}
}

func (b *Testbed) checkOutcome(s *Submission) {
	id := s.Request.ID
	switch s.Outcome.Kind {
	case model.OutcomeNotRun:
		b.ledger.notRun[id] = true
		if b.ledger.starts[id] > 0 {
			b.violate("%s got not_run but was started", id)
		}
	case model.OutcomeAnswered:
		if !bytes.Equal(s.Outcome.Body, AnswerOf(s.Request)) {
			b.violate("%s got an answer that is not its own: %q", id, s.Outcome.Body)
		}
		if b.ledger.starts[id] == 0 {
			b.violate("%s was answered but never started", id)
		}
	case model.OutcomeUnknown:
		if s.Outcome.RetryAfter <= 0 {
			b.violate("%s got unknown without a retry time", id)
		}
	}
	if late := b.Now().Sub(s.Request.Deadline); late > outcomeGrace+SkewBound && !b.wasPaused(s.Entry) {
		b.violate("%s got its outcome %s after its deadline", id, late)
	}
}

// wasPaused reports whether an entry host was paused in its current incarnation.
func (b *Testbed) wasPaused(entry int) bool {
	return !b.entries[entry].pausedUntil.IsZero()
}

// Settle runs for d, in which all submissions must get their outcome. It reports
// submissions without an outcome, and requests or slots that a core still holds.
func (b *Testbed) Settle(d time.Duration) {
	b.Run(d)
	for _, s := range b.ledger.submissions {
		if !s.Finished && !s.EntryLost {
			b.violate("%s on entry %d has no outcome", s.Request.ID, s.Entry)
		}
	}
	for _, e := range b.entries {
		if e.core == nil {
			continue
		}
		stats := e.core.Stats()
		if stats.Requests != 0 || stats.Queued != 0 || stats.Unfinished != 0 {
			b.violate("entry %d still holds %+v", e.index, stats)
		}
	}
	for _, a := range b.agents {
		if a.core != nil && a.core.Stats().SlotsInUse != 0 {
			b.violate("agent %d still holds %+v", a.index, a.core.Stats())
		}
	}
}
