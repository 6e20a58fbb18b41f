package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/websocket"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Peer describes the process at the other end of a connection.
type Peer struct {
	Role        wire.Role
	Process     string
	Incarnation model.Incarnation
	// Address is the peer's address as this process sees it, IP:port.
	Address string
	// HTTPAddress is where the peer serves its time line and metrics, IP:port.
	HTTPAddress string
	Zone        model.AvailabilityZoneName
	// Hello is the peer's own announcement; nil when this process dialled.
	Hello *wire.Hello
	// Connection is the number that the answering process gave the connection.
	Connection uint64
	// Roster holds the link addresses of the entry hosts, as the answering
	// process knows them; nil when the peer dialled.
	Roster []string
}

// Clock is the process's clock of events, which links carry to their peers.
type Clock interface {
	// Now returns a fresh reading.
	Now() event.Timestamp
	// Observe moves the clock past a peer's reading.
	Observe(remote event.Timestamp)
}

// outgoing is one queued message with its charge against the byte bound.
type outgoing struct {
	message wire.Message
	bytes   int64
}

// Conn is one open connection. Its methods are safe for concurrent use.
type Conn struct {
	// id is unique in this process's life and grows with each connection.
	id      uint64
	peer    Peer
	ws      *websocket.Conn
	options Options
	now     func() time.Time
	clock   Clock
	traffic traffic
	life    *lifecycle
	// needsStatus is that of the hub's Identity.
	needsStatus func() bool

	heartbeats *heartbeatTracker
	// overdue is called with each heartbeat interval in which the peer's own
	// heartbeats are overdue.
	overdue    func(*Conn)
	out        *outbox
	queued     atomic.Int64
	queuedSize atomic.Int64

	closeOnce sync.Once
	closed    chan struct{}
	cause     error
	// finished is closed when the handlers for the loss have returned.
	finished chan struct{}
}

// newConn returns a connection of the hub whose greeting is done.
func (h *Hub) newConn(id uint64, ws *websocket.Conn, peer Peer, life *lifecycle) *Conn {
	options, now := h.options, h.now
	return &Conn{
		id: id, peer: peer, ws: ws, options: options, now: now, clock: h.clock(), traffic: h.traffic, life: life,
		needsStatus: h.identity.NeedsStatus,
		heartbeats:  newHeartbeatTracker(options.Silence, now()),
		out:         newOutbox(options.OutgoingMessages),
		overdue:     h.notifyOverdue,
		closed:      make(chan struct{}),
		finished:    make(chan struct{}),
	}
}

// ID returns the connection's number, unique in this process's life.
func (c *Conn) ID() uint64 { return c.id }

// Peer describes the other end.
func (c *Conn) Peer() Peer { return c.peer }

// Send queues a message. It returns false when the connection is closed, when
// the message has a body that fits in no frame, or when the peer did not drain
// earlier ones, in which case it is closed: a connection never skips a message
// that it took.
func (c *Conn) Send(m wire.Message) bool {
	item := outgoing{m, messageBytes(m)}
	if c.isClosed() || item.bytes > wire.MaxBodyBytes {
		return false
	}
	if c.queuedSize.Add(item.bytes) > c.options.OutgoingBytes {
		c.queuedSize.Add(-item.bytes)
		c.close(ErrSlowReader)
		return false
	}
	c.queued.Add(1)
	if !c.out.push(item) {
		c.queued.Add(-1)
		c.close(ErrSlowReader)
		return false
	}
	return true
}

// messageBytes estimates a message's size from its body.
func messageBytes(m wire.Message) int64 {
	const fixed = 256
	switch m := m.(type) {
	case *wire.Dispatch:
		return fixed + int64(len(m.Body))
	case *wire.AnswerPart:
		return fixed + int64(len(m.Body))
	case *wire.OperatorCall:
		return fixed + int64(len(m.Body))
	case *wire.OperatorReply:
		return fixed + int64(len(m.Body))
	default:
		return fixed
	}
}

// HeartbeatSentAt returns the instant at which this process sent its heartbeat
// with number seq, and false when it is not among the last ones. Validity of a
// wire.Permit counts from the instant of its AnsweredHeartbeat.
func (c *Conn) HeartbeatSentAt(seq uint64) (time.Time, bool) { return c.heartbeats.sentAt(seq) }

// Flush waits until all queued messages are written, the connection is closed
// or ctx is done. It reports whether all were written.
func (c *Conn) Flush(ctx context.Context) bool {
	const poll = 2 * time.Millisecond
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	for c.queued.Load() > 0 {
		select {
		case <-ticker.C:
		case <-c.closed:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Close ends the connection with ErrClosed as its cause.
func (c *Conn) Close() { c.close(ErrClosed) }

// Cause returns why the connection ended, or nil while it is open.
func (c *Conn) Cause() error {
	if !c.isClosed() {
		return nil
	}
	return c.cause
}

func (c *Conn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

func (c *Conn) close(cause error) {
	c.closeOnce.Do(func() {
		c.cause = cause
		close(c.closed)
		_ = c.ws.Close()
		c.life.end(cause)
	})
}

// run reads and writes until the connection ends. deliver takes each received
// message; an error from it ends the connection.
func (c *Conn) run(deliver func(wire.Message) error) {
	writer := make(chan struct{})
	go func() {
		defer close(writer)
		// After a bad frame the WebSocket library sends a close frame and then
		// fails the read; the read's error is the cause.
		if err := c.write(); !errors.Is(err, websocket.ErrCloseSent) {
			c.close(err)
		}
	}()
	c.close(c.read(deliver))
	<-writer
}
