package requestflow

import (
	"container/heap"
	"time"

	"dragonflyyard/internal/admission"
	"dragonflyyard/internal/dedup"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
	"dragonflyyard/internal/wire"
)

// phase says what a request in the state "resolving" or "queued" waits for.
type phase uint8

const (
	phaseNone phase = iota
	// phaseAsking waits for an executor's reply to Lookup.
	phaseAsking
	// phaseSealing waits for the home's reply to a seal.
	phaseSealing
	// phaseParked waits for the home to be reachable.
	phaseParked
)

// waitingCaller is a caller and the end of its own patience.
type waitingCaller struct {
	caller   Caller
	deadline time.Time
}

// flight is one request on this entry host, from Submit to Finish.
//
// Invariants: it holds slots of a backend server only between the choice of the
// executor and the end of the dispatch; not_run is given only on a home's seal
// of a claim that no executor can have started.
type flight struct {
	request model.Request
	mintMS  int64
	seq     uint64
	callers []waitingCaller
	query   bool
	machine statechart.Machine
	phase   phase
	item    *admission.Item

	// executor is the agent that has, or is about to get, the request.
	executor     model.BackendServerID
	executorLife model.Incarnation
	// holdConnection is the connection on which slots are held, zero if none are.
	holdConnection uint64
	// sentConnection is the connection of the last Dispatch or Lookup.
	sentConnection uint64
	dispatchedAt   time.Time
	// foreign: another entry host, or an earlier submission, made the dispatch.
	foreign  bool
	attempts int
	// budgeted is set once the request's first dispatch has filled the retry budget.
	budgeted bool
	tried    []model.BackendServerID

	// token is of the claim being made; claim is the last one known to be in force.
	token       uint64
	claim       wire.ClaimRef
	unconfirmed bool
	unclaimed   bool
	home        model.BackendServerID

	giveUpReason model.Reason
	retryAfter   time.Duration

	answer answerAssembly
	// askedAt is when the last claim or look-up was sent.
	askedAt   time.Time
	nextProbe time.Time
	waitUntil time.Time
	// homeDeadline ends the wait for a home that cannot be asked.
	homeDeadline time.Time
	// claimVersion is the assignment version of the claim being made.
	claimVersion uint64
	// explicit: the home has another claim, so a Dispatch alone makes none.
	explicit bool
	// makeClaim: the Dispatch itself makes the claim.
	makeClaim bool
	ended     bool
	timer     int
	wake      time.Time
}

// nextWake returns when the next timer of a flight is due.
func (f *flight) nextWake() time.Time {
	due := f.request.Deadline
	for _, w := range f.callers {
		if w.deadline.Before(due) {
			due = w.deadline
		}
	}
	if f.phase == phaseSealing {
		due = f.waitUntil
	}
	if !f.waitUntil.IsZero() && f.waitUntil.Before(due) {
		due = f.waitUntil
	}
	if !f.nextProbe.IsZero() && f.nextProbe.Before(due) {
		due = f.nextProbe
	}
	return due
}

func (f *flight) isTried(id model.BackendServerID) bool {
	for _, t := range f.tried {
		if t == id {
			return true
		}
	}
	return false
}

// slotTime returns the expected slot time of a request, the unit of fairness.
func slotTime(service time.Duration, slots int) time.Duration {
	return service * time.Duration(slots)
}

// newFlight returns a flight in the chart's initial state.
func (c *Core) newFlight(request model.Request, caller Caller, mintMS int64) *flight {
	c.nextSeq++
	f := &flight{request: request, mintMS: mintMS, seq: c.nextSeq, machine: requestChart.NewMachine(), timer: -1}
	f.callers = append(f.callers, waitingCaller{caller, request.Deadline})
	c.flights[request.ID] = f
	c.callers[caller] = f
	return f
}

// holder returns the home of a flight and how it can be reached.
func (c *Core) holder(f *flight) (dedup.Holder, homeReach) {
	h, ok := dedup.HolderOf(c.assignment, f.request.ID, f.mintMS, c.config.ClockSkewBound)
	if !ok {
		return h, homeDown
	}
	l := c.links[h.Home]
	switch {
	case l == nil || l.incarnation < h.Incarnation || l.suspect:
		return h, homeDown
	case l.incarnation > h.Incarnation && c.wasAliveAfter(h, f.mintMS):
		return h, homeReplaced
	case l.incarnation > h.Incarnation:
		return h, homeDown
	default:
		return h, homeUp
	}
}

// wasAliveAfter reports whether this entry host heard of a home's life after the
// given mint time.
func (c *Core) wasAliveAfter(h dedup.Holder, mintMS int64) bool {
	former, ok := c.formerLives[h.Home]
	return ok && former.incarnation == h.Incarnation && mintMS <= former.heard.UnixMilli()
}

// homeReach says whether the home of a request can be asked.
type homeReach uint8

const (
	homeUp homeReach = iota + 1
	// homeDown means that there is no connection to the home for now.
	homeDown
	// homeReplaced means that the life of the home that kept the claims is over, and
	// that it was alive after the ID was minted: nobody can claim or seal the request
	// any more, as each later assignment starts after that life.
	homeReplaced
)

func (c *Core) nextToken() uint64 {
	c.lastToken++
	return c.lastToken
}

// ownClaim names the claim that a flight is making or has made.
func (c *Core) ownClaim(f *flight) wire.ClaimRef {
	return wire.ClaimRef{Claimant: c.config.Entry, Token: f.token}
}

// schedule sets a flight's timer after each change of its state.
func (c *Core) schedule(f *flight) {
	if f.ended {
		if f.timer >= 0 {
			heap.Remove(&c.timers, f.timer)
		}
		return
	}
	f.wake = f.nextWake()
	if f.timer < 0 {
		heap.Push(&c.timers, f)
		return
	}
	heap.Fix(&c.timers, f.timer)
}

// timerHeap orders flights by their next wake time, then by arrival.
type timerHeap []*flight

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if !h[i].wake.Equal(h[j].wake) {
		return h[i].wake.Before(h[j].wake)
	}
	return h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timer, h[j].timer = i, j
}
func (h *timerHeap) Push(x any) {
	f := x.(*flight)
	f.timer = len(*h)
	*h = append(*h, f)
}
func (h *timerHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	f.timer = -1
	*h = old[:len(old)-1]
	return f
}
