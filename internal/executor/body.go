package executor

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

const (
	// bodyOverhead is the size in bytes that an incomplete body counts beside its parts.
	bodyOverhead = 256
	// bodyTimeout is how long an incomplete body waits for its next part.
	bodyTimeout = 10 * time.Second
)

// bodyState says whether a request body is whole.
type bodyState uint8

const (
	bodyWhole bodyState = iota + 1
	bodyIncomplete
	bodyRefused
)

// assembler joins the parts of request bodies. Parts of one request come in
// order on one connection; a part out of order starts the body anew.
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
	touched    time.Time
}

func newAssembler(maxBody, maxBytes int) *assembler {
	return &assembler{maxBody: maxBody, maxBytes: maxBytes, bodies: map[model.RequestID]*partialBody{}}
}

// add takes one part and returns the body once it is whole.
func (a *assembler) add(now time.Time, l *link, m *wire.Dispatch) ([]byte, bodyState) {
	if m.Parts <= 1 {
		a.forget(m.Request)
		if len(m.Body) > a.maxBody {
			return nil, bodyRefused
		}
		return m.Body, bodyWhole
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
	p.touched = now
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
	return p.body, bodyWhole
}

func (a *assembler) forget(id model.RequestID) {
	if p := a.bodies[id]; p != nil {
		a.bytes -= len(p.body) + bodyOverhead
		delete(a.bodies, id)
	}
}

// forgetConnection drops all bodies of a closed connection.
func (a *assembler) forgetConnection(entry model.EntryID, connection uint64) {
	for id, p := range a.bodies {
		if p.entry == entry && p.connection == connection {
			a.forget(id)
		}
	}
}

// expire drops the bodies that have waited too long for their next part.
func (a *assembler) expire(now time.Time) {
	for id, p := range a.bodies {
		if !now.Before(p.touched.Add(bodyTimeout)) {
			a.forget(id)
		}
	}
}
