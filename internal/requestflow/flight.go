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

// phase is what a request in the chart state "resolving" or "queued" waits for.
type phase uint8

const (
	phaseNone phase = iota
	// phaseLookup waits for the executor's reply to a Lookup.
	phaseLookup
	// phaseSealing waits for the home's reply to a seal, or to the read of a claim
	// for a query.
	phaseSealing
	// phaseParked waits until the home is reachable.
	phaseParked
)

// waitingCaller is a caller of a request with its own deadline.
type waitingCaller struct {
	caller   Caller
	deadline time.Time
}

// flight is the state of one in-flight request on this entry host, from Submit to
// Finish, or of one query.
//
// Invariants: it holds slots of a backend server only between the choice of the
// executor and the end of the dispatch; its outcome is not_run only if the home
// sealed the request and no executor can have started it.
type flight struct {
	request model.Request
	mintMS  int64
	seq     uint64
	callers []waitingCaller
	query   bool
	machine statechart.Machine
	phase   phase
	item    *admission.Item

	// executor is the agent that was sent the request or is about to be.
	executor            model.BackendServerID
	executorIncarnation model.Incarnation
	// holdConnection is the executor's connection on which the flight holds slots,
	// zero if it holds none.
	holdConnection uint64
	// sentConnection is the connection of the last Dispatch or Lookup.
	sentConnection uint64
	dispatchedAt   time.Time
	// dispatchedElsewhere is set if another entry host, or an earlier submission,
	// dispatched the request.
	dispatchedElsewhere bool
	attempts            int
	// budgetCredited is set once the request's first dispatch has added to the retry
	// budget.
	budgetCredited bool
	tried          []model.BackendServerID

	// token identifies the claim being made; claim is the last one known to be in
	// force, and the one that the next claim moves.
	token uint64
	claim wire.ClaimRef
	// unconfirmed is set when an earlier executor may have run the request.
	unconfirmed bool
	// unclaimed is set when the request can no longer be claimed or sealed.
	unclaimed bool
	home      model.BackendServerID

	giveUpReason model.Reason
	retryAfter   time.Duration

	answer answerAssembly
	// askedAt is when the last claim or look-up was sent.
	askedAt   time.Time
	nextProbe time.Time
	waitUntil time.Time
	// homeDeadline ends the wait for an unreachable home.
	homeDeadline time.Time
	// claimVersion is the assignment version of the claim being made.
	claimVersion uint64
	// explicitClaim is set if the home, as executor, has another claim of the request,
	// so that a Dispatch cannot make the claim itself.
	explicitClaim bool
	// makeClaim is set if the Dispatch itself makes the claim, at a home that is the
	// executor.
	makeClaim  bool
	ended      bool
	timerIndex int
	wake       time.Time
}

// nextWake returns the earliest time at which a flight has to be handled: a
// deadline, the end of a wait or the next probe.
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

// slotTime returns the expected service time multiplied by the slots, which is the
// cost of a request in fair sharing.
func slotTime(service time.Duration, slots int) time.Duration {
	return service * time.Duration(slots)
}

// newFlight registers a request and its first caller, and returns its flight in the
// chart's initial state.
func (c *Core) newFlight(request model.Request, caller Caller, mintMS int64) *flight {
	c.nextSeq++
	f := &flight{request: request, mintMS: mintMS, seq: c.nextSeq, machine: requestChart.NewMachine(), timerIndex: -1}
	f.callers = append(f.callers, waitingCaller{caller, request.Deadline})
	c.flights[request.ID] = f
	c.callers[caller] = f
	return f
}

// holder returns the home of a flight, with the incarnation that keeps its claim,
// and whether it can be reached.
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

// wasAliveAfter reports whether this entry host received a message from the home's
// given incarnation at or after the mint time.
func (c *Core) wasAliveAfter(h dedup.Holder, mintMS int64) bool {
	previous, ok := c.previousIncarnations[h.Home]
	return ok && previous.incarnation == h.Incarnation && mintMS <= previous.lastHeard.UnixMilli()
}

// homeReach says whether the home of a request can be asked for its claim.
type homeReach uint8

const (
	homeUp homeReach = iota + 1
	// homeDown means that the home cannot be asked for now: it is not connected or
	// suspect, or another incarnation is connected and homeReplaced does not apply.
	homeDown
	// homeReplaced means that the home's incarnation that kept the claims has ended
	// and was alive after the ID was minted. No agent can claim or seal the request
	// any more, since each later assignment starts after that incarnation.
	homeReplaced
)

func (c *Core) nextToken() uint64 {
	c.lastToken++
	return c.lastToken
}

// ownClaim returns the reference to the claim that a flight is making or has made.
func (c *Core) ownClaim(f *flight) wire.ClaimRef {
	return wire.ClaimRef{Claimant: c.config.Entry, Token: f.token}
}

// schedule updates a flight's place in the timer heap, or removes an ended flight.
// It has to be called after each change of the flight's waits.
func (c *Core) schedule(f *flight) {
	if f.ended {
		if f.timerIndex >= 0 {
			heap.Remove(&c.timers, f.timerIndex)
		}
		return
	}
	f.wake = f.nextWake()
	if f.timerIndex < 0 {
		heap.Push(&c.timers, f)
		return
	}
	heap.Fix(&c.timers, f.timerIndex)
}

// timerHeap is a min-heap of flights by wake time, then by arrival.
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
	h[i].timerIndex, h[j].timerIndex = i, j
}
func (h *timerHeap) Push(x any) {
	f := x.(*flight)
	f.timerIndex = len(*h)
	*h = append(*h, f)
}
func (h *timerHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	f.timerIndex = -1
	*h = old[:len(old)-1]
	return f
}
