package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/websocket"
	"github.com/rcrowley/go-metrics"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// Handler takes a received message. It must not wait: it usually pushes onto
// the ring of its duty and returns false when the ring is full. The message is
// then offered again for Options.OwnerPatience, after which the connection is
// closed with ErrOwnerBusy.
type Handler func(c *Conn, m wire.Message) bool

// StateHandler learns that a connection came up (cause nil) or was lost (cause
// not nil). Like Handler it must not wait and returns false when its ring is
// full. A loss is offered until it is taken.
type StateHandler func(c *Conn, cause error) bool

// OverdueHandler learns that a heartbeat of a peer is overdue, so that new work
// should go elsewhere until a message of the peer comes. Like Handler it must
// not wait. It is called again with each interval in which none came, so that
// it may drop a call for which its ring has no room.
type OverdueHandler func(c *Conn)

// Identity is how a process announces itself to its peers.
type Identity struct {
	Process     string
	Incarnation model.Incarnation
	// Hello returns the announcement for a connection that this process opens.
	Hello func() wire.Hello
	// Roster returns the link addresses of all entry hosts known; nil for none.
	Roster func() []string
	// NeedsStatus reports whether heartbeats to entry hosts ask for their
	// status. It must not wait. Nil stands for always.
	NeedsStatus func() bool
	// HTTPAddress and Zone are told to processes that dial this one.
	HTTPAddress string
	Zone        model.AvailabilityZoneName
}

type handlerKey struct {
	role wire.Role
	kind wire.Type
}

// Hub holds all connections of one process. Handlers are registered before the
// first connection; all other methods are safe for concurrent use.
type Hub struct {
	identity Identity
	options  Options
	log      *event.Log
	now      func() time.Time

	handlers map[handlerKey][]Handler
	states   map[wire.Role][]StateHandler
	overdue  map[wire.Role][]OverdueHandler

	opened  metrics.Counter
	lost    metrics.Counter
	traffic traffic
	lastID  atomic.Uint64
	seats   seats
	// refusedMS is when a refused greeting was last recorded, in milliseconds.
	refusedMS atomic.Int64

	mu    sync.RWMutex
	conns map[string]*Conn
}

// NewHub returns a hub without connections. Counters are registered in
// registry unless it is nil.
func NewHub(identity Identity, options Options, log *event.Log, registry metrics.Registry, now func() time.Time) *Hub {
	h := &Hub{
		identity: identity, options: options.WithDefaults(), log: log, now: now,
		handlers: map[handlerKey][]Handler{},
		states:   map[wire.Role][]StateHandler{},
		overdue:  map[wire.Role][]OverdueHandler{},
		opened:   metrics.NewCounter(),
		lost:     metrics.NewCounter(),
		traffic:  newTraffic(),
		seats:    seats{holders: map[string]string{}},
		conns:    map[string]*Conn{},
	}
	if registry != nil {
		_ = registry.Register("link.opened", h.opened)
		_ = registry.Register("link.lost", h.lost)
		h.traffic.register(registry)
	}
	return h
}

// Handle registers a handler for a message type from peers of a role. Several
// handlers of one type are called in the order of registration.
func (h *Hub) Handle(role wire.Role, kind wire.Type, handler Handler) {
	key := handlerKey{role, kind}
	h.handlers[key] = append(h.handlers[key], handler)
}

// OnState registers a handler for connections of a role that come up or are lost.
func (h *Hub) OnState(role wire.Role, handler StateHandler) {
	h.states[role] = append(h.states[role], handler)
}

// OnOverdue registers a handler for peers of a role whose heartbeats are overdue.
func (h *Hub) OnOverdue(role wire.Role, handler OverdueHandler) {
	h.overdue[role] = append(h.overdue[role], handler)
}

func (h *Hub) notifyOverdue(c *Conn) {
	for _, handler := range h.overdue[c.peer.Role] {
		handler(c)
	}
}

// Send queues a message for a peer process. It returns false when no connection
// to it is up or when the connection's queue is full, which closes it.
func (h *Hub) Send(process string, m wire.Message) bool {
	c := h.Conn(process)
	return c != nil && c.Send(m)
}

// Conn returns the connection to a peer process, or nil.
func (h *Hub) Conn(process string) *Conn {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.conns[process]
}

// Conns returns the connections to all peers of a role.
func (h *Hub) Conns(role wire.Role) []*Conn {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var out []*Conn
	for _, c := range h.conns {
		if c.peer.Role == role {
			out = append(out, c)
		}
	}
	return out
}

// Flush waits until all queued messages are written or ctx is done.
func (h *Hub) Flush(ctx context.Context) {
	for _, role := range []wire.Role{wire.RoleAgent, wire.RoleEntry} {
		for _, c := range h.Conns(role) {
			c.Flush(ctx)
		}
	}
}

// CloseAll closes every connection and waits until the losses are handled.
func (h *Hub) CloseAll() {
	for _, role := range []wire.Role{wire.RoleAgent, wire.RoleEntry} {
		for _, c := range h.Conns(role) {
			c.Close()
			<-c.finished
		}
	}
}

// serve runs a connection whose handshake is done, until it ends. It returns
// the cause of the end.
func (h *Hub) serve(ctx context.Context, ws *websocket.Conn, peer Peer, id uint64, life *lifecycle) error {
	life.setPeer(peer.Process)
	life.fire(eventWelcomed)
	c := h.newConn(id, ws, peer, life)
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	if !h.enter(c) {
		c.close(ErrReplaced)
		return c.cause
	}
	defer h.leave(c)
	h.opened.Inc(1)
	h.log.Record(event.Event{Code: event.LinkOpened, Subject: peer.Process, Detail: peer.Address})
	if !h.notifyUp(c) {
		c.close(ErrOwnerBusy)
	}
	c.run(func(m wire.Message) error { return h.deliver(c, m) })
	h.lost.Inc(1)
	h.log.Record(event.Event{Code: event.LinkLost, Subject: peer.Process, Detail: c.cause.Error()})
	h.notifyLoss(ctx, c)
	return c.cause
}

// refusedInterval is the shortest time between two records of refused greetings:
// a peer of another version dials again every few seconds.
const refusedInterval = time.Minute

// noteRefused records a greeting that is not one of this protocol and version.
func (h *Hub) noteRefused(address string, cause error) {
	if !isMalformed(cause) && !errors.Is(cause, ErrHandshake) {
		return
	}
	now, last := h.now().UnixMilli(), h.refusedMS.Load()
	if last != 0 && now-last < refusedInterval.Milliseconds() || !h.refusedMS.CompareAndSwap(last, now) {
		return
	}
	h.log.Record(event.Event{Code: event.LinkRefused, Subject: address, Detail: cause.Error()})
}

// clock returns the clock of the time line, or nil when there is none.
func (h *Hub) clock() Clock {
	if h.log == nil {
		return nil
	}
	return h.log
}

// enter makes c the connection of its peer process, after an earlier one has
// ended and its loss was handled. It returns false when the peer process has a
// connection from a later incarnation.
func (h *Hub) enter(c *Conn) bool {
	for {
		h.mu.Lock()
		old := h.conns[c.peer.Process]
		if old == nil {
			h.conns[c.peer.Process] = c
			h.mu.Unlock()
			return true
		}
		h.mu.Unlock()
		if old.peer.Incarnation > c.peer.Incarnation {
			return false
		}
		old.close(ErrReplaced)
		<-old.finished
	}
}

func (h *Hub) leave(c *Conn) {
	h.mu.Lock()
	if h.conns[c.peer.Process] == c {
		delete(h.conns, c.peer.Process)
	}
	h.mu.Unlock()
	close(c.finished)
}

func (h *Hub) notifyUp(c *Conn) bool {
	for _, handler := range h.states[c.peer.Role] {
		if !h.offer(c, func() bool { return handler(c, nil) }) {
			return false
		}
	}
	return true
}

func (h *Hub) notifyLoss(ctx context.Context, c *Conn) {
	const retry = time.Millisecond
	for _, handler := range h.states[c.peer.Role] {
		for !handler(c, c.cause) {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(retry)
		}
	}
}

func (h *Hub) deliver(c *Conn, m wire.Message) error {
	for _, handler := range h.handlers[handlerKey{c.peer.Role, m.WireType()}] {
		if !h.offer(c, func() bool { return handler(c, m) }) {
			return errors.Wrapf(ErrOwnerBusy, "message type %d", m.WireType())
		}
	}
	return nil
}

// offer calls take until it succeeds, the connection ends or the patience of
// the options is over.
func (h *Hub) offer(c *Conn, take func() bool) bool {
	const retry = time.Millisecond
	if take() {
		return true
	}
	limit := h.now().Add(h.options.OwnerPatience)
	for !c.isClosed() && h.now().Before(limit) {
		time.Sleep(retry)
		if take() {
			return true
		}
	}
	return false
}
