// Package intake decides which clients a process keeps when it has no room for all:
// how many connections and bytes of bodies its machine allows, and whose connection is
// closed for another's. It answers the load pattern of clients that open, announce or
// send far more than a machine holds, while ordinary clients go on calling. It does no
// I/O; times are passed in.
package intake

import "time"

// Machine is the memory and the file descriptors that a process may use.
type Machine struct {
	// MemoryMB is in units of 2^20 bytes.
	MemoryMB    int
	Descriptors int
}

// Defaults of a machine whose limits are not set.
const (
	DefaultMemoryMB    = 512
	DefaultDescriptors = 4096
)

const (
	mebibyte = 1 << 20
	// connectionBytes is what an open connection holds at most besides a body: the
	// buffers for headers, for the beginning of a body and for answers, and its goroutine.
	connectionBytes = 32 << 10
	// reservedDescriptors stay free for the store, relays, workers and files.
	reservedDescriptors = 500
	// Shares of the memory: a quarter for connections, an eighth for bodies.
	connectionsPart = 4
	bodiesPart      = 8
	// The garbage collector works harder above four fifths of the memory, less the pages of
	// the program itself, which it does not count.
	collectAbove, collectOf = 4, 5
	programBytes            = 16 << 20
)

func (m Machine) withDefaults() Machine {
	if m.MemoryMB == 0 {
		m.MemoryMB = DefaultMemoryMB
	}
	if m.Descriptors == 0 {
		m.Descriptors = DefaultDescriptors
	}
	return m
}

// Connections returns how many connections all clients of the process may hold.
func (m Machine) Connections() int {
	m = m.withDefaults()
	reserved := min(reservedDescriptors, m.Descriptors/2)
	return max(1, min(m.Descriptors-reserved, m.MemoryMB*mebibyte/connectionsPart/connectionBytes))
}

// BodyBytes returns how many bytes the bodies that are read and not yet decided may take.
func (m Machine) BodyBytes() int64 { return int64(m.withDefaults().MemoryMB) * mebibyte / bodiesPart }

// CollectAbove returns the bytes above which the garbage collector works harder.
func (m Machine) CollectAbove() int64 {
	return max(programBytes, int64(m.withDefaults().MemoryMB)*mebibyte*collectAbove/collectOf-programBytes)
}

// Phase is what a connection is doing.
type Phase int

// The phases of a connection. Waiting is before its first request.
const (
	Waiting Phase = iota
	Reading
	Serving
	Answering
	Idle
)

// Client is one open connection. Its fields belong to the Ledger, except Hangup.
type Client struct {
	// Face names the server, and Hangup closes the connection.
	Face   string
	Hangup func()

	phase Phase
	since time.Time
	held  int64
	gone  bool
}

// Ledger holds the open connections of a process and the bytes of their bodies. It is
// not safe for concurrent use.
type Ledger struct {
	bodyBytes, used int64
	clients         map[*Client]struct{}
	perFace         map[string]int
}

// NewLedger returns a ledger of a number of bytes for bodies.
func NewLedger(bodyBytes int64) *Ledger {
	return &Ledger{bodyBytes: bodyBytes, clients: map[*Client]struct{}{}, perFace: map[string]int{}}
}

const (
	// slowAfter is when a request that is still arriving, or an answer that is still not
	// read, counts as slow. A body within the limits takes a quarter of it at 10 Mbit/s.
	slowAfter = time.Second
	// smallTake is what may use the whole budget; larger bodies leave a quarter of it.
	smallTake = 128 << 10
)

// Open enters a connection. If its face has no room, another of its connections is
// removed, whose Hangup the caller has to call; ok is false if none can be.
func (l *Ledger) Open(c *Client, most int, now time.Time) (removed *Client, ok bool) {
	if l.perFace[c.Face] >= most {
		if removed = l.worst(c.Face, now); removed == nil {
			return nil, false
		}
		l.Close(removed)
	}
	c.phase, c.since = Waiting, now
	l.clients[c] = struct{}{}
	l.perFace[c.Face]++
	return removed, true
}

// Shed removes the connection that the process can best do without, of any face. It
// returns nil if there is none; the caller has to call its Hangup.
func (l *Ledger) Shed(now time.Time) *Client {
	c := l.worst("", now)
	if c != nil {
		l.Close(c)
	}
	return c
}

// Turn notes that a connection begins a phase.
func (l *Ledger) Turn(c *Client, phase Phase, now time.Time) {
	if phase != Serving && phase != Reading {
		l.give(c)
	}
	c.phase, c.since = phase, now
}

// Take charges bytes of a body to a connection until its call is answered, or of an
// answer until it is sent. If there is no room, connections that are slow are removed; the caller has to call their
// Hangup. ok is false if there is no room even so, or the connection itself is removed.
func (l *Ledger) Take(c *Client, bytes int64, now time.Time) (removed []*Client, ok bool) {
	bound := l.bodyBytes
	if bytes > smallTake {
		bound -= bound / 4
	}
	for l.used+bytes > bound {
		slow := l.slowest(c, now)
		if slow == nil || bytes > bound {
			return removed, false
		}
		l.Close(slow)
		removed = append(removed, slow)
	}
	if c.gone {
		return removed, false
	}
	l.used += bytes
	c.held += bytes
	return removed, true
}

// Close removes a connection. It may be removed already.
func (l *Ledger) Close(c *Client) {
	if _, known := l.clients[c]; !known {
		return
	}
	l.give(c)
	c.gone = true
	delete(l.clients, c)
	l.perFace[c.Face]--
}

func (l *Ledger) give(c *Client) { l.used, c.held = l.used-c.held, 0 }

// rank orders connections by how well the process can do without them; 0 is first. A
// call in progress is never closed.
func (c *Client) rank(now time.Time) (rank int, removable bool) {
	switch unfinished := c.phase == Reading || c.phase == Answering; {
	case unfinished && now.Sub(c.since) >= slowAfter:
		return 0, true
	case c.phase == Waiting:
		return 1, true
	case c.phase == Idle:
		return 2, true
	case unfinished:
		return 3, true
	default:
		return 0, false
	}
}

// worst returns the connection of a face, or of any if it is empty, to close first: the
// lowest rank, and the oldest in it.
func (l *Ledger) worst(face string, now time.Time) *Client {
	var out *Client
	lowest := 0
	for c := range l.clients {
		rank, removable := c.rank(now)
		if !removable || face != "" && c.Face != face {
			continue
		}
		if out == nil || rank < lowest || rank == lowest && c.since.Before(out.since) {
			out, lowest = c, rank
		}
	}
	return out
}

// slowest returns the connection whose body or answer has been on its way for the
// longest time, if it is slow.
func (l *Ledger) slowest(except *Client, now time.Time) *Client {
	var out *Client
	for c := range l.clients {
		slow := (c.phase == Reading || c.phase == Answering) && c.held > 0 && now.Sub(c.since) >= slowAfter
		if slow && c != except && (out == nil || c.since.Before(out.since)) {
			out = c
		}
	}
	return out
}
