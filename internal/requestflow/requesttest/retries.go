package requesttest

import (
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/requestflow"
	"dragonflyyard/internal/wire"
)

// maxLoadPercent is the promised bound on the load that backend servers get, in
// percent of what it would be if nothing was ever dispatched again.
const maxLoadPercent = 110

// dispatches counts what one life of an entry host sent to backend servers. It
// is kept from the messages alone, beside the core's own budget.
type dispatches struct {
	// firsts is the number of requests that were dispatched, retries that of
	// further dispatches of requests which a backend server may have run.
	firsts, retries int
	// last holds the requests that have no outcome yet. A caller that sends a
	// request again after its outcome makes a new one.
	last map[model.RequestID]lastDispatch
}

// lastDispatch is the latest dispatch of a request.
type lastDispatch struct {
	agent int
	// asked is set once the executor was asked about the dispatch, so that its
	// reply may be about a later life of the agent.
	asked bool
	// notRun is set once the executor said that it does not run the request.
	notRun bool
}

func newDispatches() *dispatches { return &dispatches{last: map[model.RequestID]lastDispatch{}} }

// sent notes a message from an entry host, and reports a dispatch that is a
// retry where none is safe, or one beyond the promised load.
func (b *Testbed) sent(entry int, action requestflow.Send) {
	d := b.entries[entry].dispatches
	agent := agentIndex(action.To)
	switch m := action.Message.(type) {
	case *wire.Lookup:
		if last, ok := d.last[m.Request]; ok && last.agent == agent {
			last.asked = true
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
			b.retried(entry, m)
		}
	}
}

func (b *Testbed) retried(entry int, m *wire.Dispatch) {
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

// heard notes a reply that tells an entry host what became of a dispatch.
func (b *Testbed) heard(entry int, in requestflow.Input) {
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
		last.notRun = !last.asked
	default:
		return
	}
	d.last[reply.Request] = last
}
