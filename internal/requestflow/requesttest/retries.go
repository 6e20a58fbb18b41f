package requesttest

import (
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/requestflow"
	"dragonflyyard/internal/wire"
)

// maxLoadPercent is the guaranteed bound on the load of backend servers, in percent
// of the load without any retries.
const maxLoadPercent = 110

// dispatches counts the dispatches of one incarnation of an entry host. It is derived
// from the messages alone, independently of the core's retry budget.
type dispatches struct {
	// firsts is the number of requests that were dispatched, retries the number of
	// further dispatches of requests that a backend server may have run.
	firsts, retries int
	// last holds the latest dispatch of each request without an outcome. A request
	// that is submitted again after its outcome counts as a new one.
	last map[model.RequestID]lastDispatch
}

// lastDispatch is the latest dispatch of a request.
type lastDispatch struct {
	agent int
	// lookedUp is set once a look-up of the request was sent to the executor, so that
	// a reply may come from a later incarnation of the agent.
	lookedUp bool
	// notRun is set once the executor replied that it does not run the request.
	notRun bool
}

func newDispatches() *dispatches { return &dispatches{last: map[model.RequestID]lastDispatch{}} }

// trackSend records a message from an entry host. It reports a retry that is unsafe
// or exceeds the guaranteed load.
func (b *Testbed) trackSend(entry int, action requestflow.Send) {
	d := b.entries[entry].dispatches
	agent := agentIndex(action.To)
	switch m := action.Message.(type) {
	case *wire.Lookup:
		if last, ok := d.last[m.Request]; ok && last.agent == agent {
			last.lookedUp = true
			d.last[m.Request] = last
		}
	case *wire.Dispatch:
		if m.Part > 0 {
			return
		}
		last, again := d.last[m.Request]
		d.last[m.Request] = lastDispatch{agent: agent}
		if !again {
			d.firsts++
			return
		}
		if !last.notRun {
			b.trackRetry(entry, m)
		}
	}
}

func (b *Testbed) trackRetry(entry int, m *wire.Dispatch) {
	d := b.entries[entry].dispatches
	d.retries++
	b.Retries++
	b.logf("retry %s entry %d: %d of %d", m.Request, entry, d.retries, d.firsts)
	if !m.Idempotent {
		b.violate("%s is not idempotent and was dispatched again", m.Request)
	}
	if (d.firsts+d.retries)*100 > d.firsts*maxLoadPercent {
		b.violate("%s: entry %d made %d retries after %d requests", m.Request, entry, d.retries, d.firsts)
	}
}

// trackReply records a reply that confirms that a dispatch was not run.
func (b *Testbed) trackReply(entry int, in requestflow.Input) {
	received, ok := in.(requestflow.Receive)
	if !ok {
		return
	}
	reply, ok := received.Message.(*wire.LookupReply)
	if !ok {
		return
	}
	d := b.entries[entry].dispatches
	last, known := d.last[reply.Request]
	if !known || last.agent != agentIndex(received.From) {
		return
	}
	switch reply.State {
	case wire.StateRejected, wire.StateSealed, wire.StateAbsent, wire.StateClaimed:
		last.notRun = true
	case wire.StateOutsideHorizon:
		last.notRun = !last.lookedUp
	default:
		return
	}
	d.last[reply.Request] = last
}
