package executor

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

const (
	// bodyOverhead is the size in bytes charged for an incomplete body in addition
	// to its parts.
	bodyOverhead = 256
	// bodyTimeout is how long an incomplete body is kept without a further part.
	bodyTimeout = 10 * time.Second
)

// bodyState is the result of adding a part to a request body.
type bodyState uint8

const (
	bodyComplete bodyState = iota + 1
	bodyIncomplete
	bodyRefused
)

// assembler joins the parts of request bodies. The parts of one request arrive
// in order on one connection; a part out of order discards the body, which then
// has to be sent again from its first part.
type assembler struct {
	maxBody  int
	maxBytes int
	bytes    int
	bodies   map[model.RequestID]*partialBody
}

type partialBody struct {
	entry      model.EntryID
	connection uint64
	parts      int
	next       int
	body       []byte
	lastPartAt time.Time
}

func newAssembler(maxBody, maxBytes int) *assembler {
	return &assembler{maxBody: maxBody, maxBytes: maxBytes, bodies: map[model.RequestID]*partialBody{}}
}

// add adds one part and returns the body once it is complete. It refuses bodies
// that exceed maxBody, and parts that exceed maxBytes over all incomplete bodies.
func (a *assembler) add(now time.Time, l *link, m *wire.Dispatch) ([]byte, bodyState) {
	if m.Parts <= 1 {
		a.forget(m.Request)
		if len(m.Body) > a.maxBody {
			return nil, bodyRefused
		}
		return m.Body, bodyComplete
	}
	p := a.bodies[m.Request]
	isNext := p != nil && p.entry == l.entry && p.connection == l.connection && p.parts == m.Parts && p.next == m.Part
	if !isNext {
		a.forget(m.Request)
		if m.Part != 0 {
			return nil, bodyIncomplete
		}
		p = &partialBody{entry: l.entry, connection: l.connection, parts: m.Parts}
		a.bodies[m.Request] = p
		a.bytes += bodyOverhead
	}
	p.lastPartAt = now
	if len(p.body)+len(m.Body) > a.maxBody || a.bytes+len(m.Body) > a.maxBytes {
		a.forget(m.Request)
		return nil, bodyRefused
	}
	p.body = append(p.body, m.Body...)
	p.next++
	a.bytes += len(m.Body)
	if p.next < p.parts {
		return nil, bodyIncomplete
	}
	a.forget(m.Request)
	return p.body, bodyComplete
}

func (a *assembler) forget(id model.RequestID) {
	if p := a.bodies[id]; p != nil {
		a.bytes -= len(p.body) + bodyOverhead
		delete(a.bodies, id)
	}
}

// forgetConnection discards all incomplete bodies of a closed connection.
func (a *assembler) forgetConnection(entry model.EntryID, connection uint64) {
	for id, p := range a.bodies {
		if p.entry == entry && p.connection == connection {
			a.forget(id)
		}
	}
}

// expire discards the bodies whose last part arrived at least bodyTimeout ago.
func (a *assembler) expire(now time.Time) {
	for id, p := range a.bodies {
		if !now.Before(p.lastPartAt.Add(bodyTimeout)) {
			a.forget(id)
		}
	}
}
