package requestflow

import (
	"time"

	"dragonflyyard/internal/admission"
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
)

func (c *Core) finishUnknown(f *flight, reason model.Reason) {
	c.finish(f, model.Outcome{
		Kind: model.OutcomeUnknown, Reason: reason, RetryAfter: admission.RetryAfter(f.retryAfter),
	})
}

// finish delivers the final outcome to all callers and removes the flight.
func (c *Core) finish(f *flight, outcome model.Outcome) {
	c.fire(f, eventUnresolved)
	c.record(event.RequestFinished, f, outcome.Kind.String()+" "+string(outcome.Reason))
	if len(f.callers) > 0 {
		c.actions = append(c.actions, Finish{Request: f.request.ID, Callers: callersOf(f), Outcome: outcome})
	}
	c.forget(f)
}

// forget removes a flight from all tables and frees its slots.
func (c *Core) forget(f *flight) {
	c.releaseSlots(f)
	f.ended = true
	if !f.machine.Done() && !f.query {
		c.unfinished++
	}
	c.table.Unreserve(f.request.ID)
	delete(c.flights, f.request.ID)
	for _, caller := range f.callers {
		delete(c.callers, caller.caller)
	}
	c.schedule(f)
}

func callersOf(f *flight) []Caller {
	callers := make([]Caller, len(f.callers))
	for i, w := range f.callers {
		callers[i] = w.caller
	}
	return callers
}

// expireCallers answers the callers whose deadline has passed while the request,
// whose deadline another caller extended, goes on.
func (c *Core) expireCallers(now time.Time, f *flight) {
	kept := f.callers[:0]
	for _, w := range f.callers {
		if now.Before(w.deadline) || !w.deadline.Before(f.request.Deadline) {
			kept = append(kept, w)
			continue
		}
		delete(c.callers, w.caller)
		c.answerCaller(f.request.ID, w.caller, model.Outcome{
			Kind: model.OutcomeUnknown, Reason: model.ReasonDeadline, RetryAfter: noServerRetryAfter,
		})
	}
	f.callers = kept
}
