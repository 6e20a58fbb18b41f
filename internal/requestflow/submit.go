package requestflow

import (
	"time"

	"dragonflyyard/internal/admission"
	"dragonflyyard/internal/dedup"
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/routing"
)

// noServerRetryAfter is told to callers while no backend server can take a request.
const noServerRetryAfter = time.Second

// defaultDeadline applies to requests without a deadline.
const defaultDeadline = time.Minute

func (c *Core) submit(now time.Time, in Submit) {
	request := in.Request
	request.Slots = max(1, request.Slots)
	if request.Deadline.IsZero() {
		request.Deadline = now.Add(defaultDeadline)
	}
	if f := c.flights[request.ID]; f != nil && !f.query {
		c.attach(f, request, in.Caller)
		return
	}
	mintMS, reason := c.check(now, request)
	if reason != model.ReasonNone {
		c.refuse(request.ID, in.Caller, reason)
		return
	}
	if f := c.flights[request.ID]; f != nil {
		c.endQuery(f, request.Account)
	}
	if len(c.flights) >= 2*c.config.MaxRequests {
		c.answerCaller(request.ID, in.Caller, model.Outcome{
			Kind: model.OutcomeUnknown, Reason: model.ReasonQueueFull, RetryAfter: noServerRetryAfter,
		})
		return
	}
	f := c.newFlight(request, in.Caller, mintMS)
	c.record(event.RequestReceived, f, "")
	c.admit(now, f)
	c.schedule(f)
}

// check returns the ID's mint time, or why the request is not valid.
func (c *Core) check(now time.Time, request model.Request) (int64, model.Reason) {
	mintMS, err := dedup.MintTime(request.ID)
	if err != nil {
		return 0, model.ReasonInvalidID
	}
	if mintMS > now.Add(c.config.ClockSkewBound).UnixMilli() {
		return 0, model.ReasonOutsideHorizon
	}
	if c.document != nil {
		if _, ok := c.document.Accounts[request.Account]; !ok {
			return 0, model.ReasonUnknownAccount
		}
	}
	return mintMS, model.ReasonNone
}

// attach adds a caller to a request that is already on this entry host.
func (c *Core) attach(f *flight, request model.Request, caller Caller) {
	switch {
	case f.request.BodyHash != request.BodyHash:
		c.refuse(request.ID, caller, model.ReasonBodyMismatch)
	case len(f.callers) >= c.config.MaxCallers:
		c.answerCaller(request.ID, caller, tooManyCallers())
	default:
		f.callers = append(f.callers, waitingCaller{caller, request.Deadline})
		c.callers[caller] = f
		if request.Deadline.After(f.request.Deadline) {
			f.request.Deadline = request.Deadline
		}
		c.schedule(f)
	}
}

func (c *Core) refuse(id model.RequestID, caller Caller, reason model.Reason) {
	refused := &flight{request: model.Request{ID: id}, machine: requestChart.NewMachine()}
	c.fire(refused, eventRefused)
	c.answerCaller(id, caller, model.Outcome{Kind: model.OutcomeRefused, Reason: reason})
}

func (c *Core) answerCaller(id model.RequestID, caller Caller, outcome model.Outcome) {
	c.actions = append(c.actions, Finish{Request: id, Callers: []Caller{caller}, Outcome: outcome})
}

// admit queues a new request or gives it up at once.
func (c *Core) admit(now time.Time, f *flight) {
	if c.stopping {
		c.giveUp(now, f, model.ReasonEntryStopping, noServerRetryAfter)
		return
	}
	if len(c.links) == 0 {
		c.fire(f, eventAdmitted)
		c.newItem(f)
		f.homeDeadline = now.Add(c.config.ReconnectGrace)
		c.park(now, f)
		return
	}
	if !c.table.HasCandidate(c.choice(f)) {
		c.giveUp(now, f, model.ReasonNoBackendServer, noServerRetryAfter)
		return
	}
	c.newItem(f)
	total, free := c.table.Slots()
	decision := c.controller.Admit(now, f.item, admission.Load{
		Queue: c.queue, TotalSlots: total, FreeSlots: free, MaxQueued: c.maxQueued(f.request.Account),
	})
	switch {
	case !decision.Admitted:
		c.giveUp(now, f, decision.Reason, decision.RetryAfter)
	case c.queue.Len() >= c.config.MaxRequests:
		c.giveUp(now, f, model.ReasonQueueFull, noServerRetryAfter)
	default:
		c.fire(f, eventAdmitted)
		c.enqueue(f, false)
	}
}

// newItem prices a request for the queue.
func (c *Core) newItem(f *flight) {
	mean, _ := c.controller.ServiceTime(f.request.Account, f.request.Slots)
	f.item = &admission.Item{
		ID: f.request.ID, Account: f.request.Account, Slots: f.request.Slots,
		Deadline: f.request.Deadline, Cost: slotTime(mean, f.request.Slots),
	}
}

func (c *Core) maxQueued(account model.ClientAccountID) int {
	if c.document != nil && c.document.Accounts[account].MaxQueued > 0 {
		return c.document.Accounts[account].MaxQueued
	}
	return c.config.MaxQueuedPerAccount
}

// enqueue puts a request in its account's queue, at the front if it waited before.
func (c *Core) enqueue(f *flight, front bool) {
	f.phase = phaseNone
	f.waitUntil = time.Time{}
	mean, _ := c.controller.ServiceTime(f.request.Account, f.request.Slots)
	f.nextProbe = f.request.Deadline.Add(time.Millisecond - mean)
	c.queuedSlots += f.request.Slots
	if front {
		c.queue.PushFront(f.item)
		return
	}
	c.queue.Push(f.item)
}

// dequeue takes a request out of its account's queue if it waits there.
func (c *Core) dequeue(f *flight) {
	if f.item == nil || !c.queue.Remove(f.request.Account, f.request.ID) {
		return
	}
	c.dequeued(f)
}

func (c *Core) dequeued(f *flight) {
	c.queuedSlots -= f.request.Slots
	c.table.Unreserve(f.request.ID)
}

func (c *Core) choice(f *flight) routing.PickInfo {
	return routing.PickInfo{
		Request: f.request.ID, Slots: f.request.Slots, Idempotent: f.request.Idempotent,
		Home: f.home, Excluded: f.tried,
	}
}

func (c *Core) callerGone(in CallerGone) {
	f := c.callers[in.Caller]
	if f == nil {
		return
	}
	delete(c.callers, in.Caller)
	for i, caller := range f.callers {
		if caller.caller == in.Caller {
			f.callers = append(f.callers[:i], f.callers[i+1:]...)
			break
		}
	}
	if len(f.callers) > 0 {
		return
	}
	if f.query || f.machine.State() == stateQueued {
		c.dequeue(f)
		c.fire(f, eventGivenUp)
		c.fire(f, eventUnresolved)
		c.forget(f)
	}
}
