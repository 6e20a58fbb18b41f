package requestflow

import (
	"dragonflyyard/internal/admission"
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
)

func (c *Core) finishUnknown(f *flight, reason model.Reason) {
	c.finish(f, model.Outcome{
		Kind: model.OutcomeUnknown, Reason: reason, RetryAfter: admission.RetryAfter(f.retryAfter),
	})
}

// finish gives the one final outcome to all callers and forgets the flight.
func (c *Core) finish(f *flight, outcome model.Outcome) {
	c.fire(f, eventUnresolved)
	c.record(event.RequestFinished, f, outcome.Kind.String()+" "+string(outcome.Reason))
	if len(f.callers) > 0 {
		c.actions = append(c.actions, Finish{Request: f.request.ID, Callers: f.callers, Outcome: outcome})
	}
	c.forget(f)
}

// forget removes all traces of a flight.
func (c *Core) forget(f *flight) {
	c.release(f)
	f.ended = true
	if !f.machine.Done() {
		c.unfinished++
	}
	c.table.Unreserve(f.request.ID)
	delete(c.flights, f.request.ID)
	for _, caller := range f.callers {
		delete(c.callers, caller)
	}
	c.schedule(f)
}
