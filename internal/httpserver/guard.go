package httpserver

import (
	"net"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"dragonflyyard/internal/intake"
)

// Face is what one server takes from its clients. Its functions are called for each
// request, so that they follow a configuration.
type Face struct {
	// Name is that of the counters and log lines.
	Name string
	// Share is the share of the process's connections that the face may have.
	Share float64
	// MaxHeaderBytes and MaxBodyBytes are the largest header and body.
	MaxHeaderBytes, MaxBodyBytes func() int
	// HeaderTime and IdleTime limit the arrival of a header, and the wait for one.
	HeaderTime, IdleTime func() time.Duration
	// BodyTime limits the arrival of the body behind a header.
	BodyTime func(*fasthttp.RequestHeader) time.Duration
	// Refuse writes the answer to a request that is refused before it is handled. If it
	// is nil, the answer has only the status.
	Refuse func(ctx *fasthttp.RequestCtx, status int, reason string)
}

// Guard keeps the clients of all servers of a process within its machine. It is safe
// for concurrent use.
type Guard struct {
	machine  intake.Machine
	log      *zap.Logger
	registry metrics.Registry

	mu      sync.Mutex
	ledger  *intake.Ledger
	refused map[refusal]*refusals
}

// refusal is a kind of refusal.
type refusal struct{ face, reason string }

// refusals are those of one kind.
type refusals struct {
	loggedAt time.Time
	since    int
}

// Reasons of refusals, as the counters "clients.FACE.REASON" and the log name them.
const (
	reasonConnections = "connections"
	reasonDescriptors = "descriptors"
	reasonMemory      = "memory"
	reasonSlow        = "slow"
	reasonBody        = "body_too_large"
	reasonHeader      = "header_too_large"
	reasonMalformed   = "malformed"
)

const (
	// acceptRetry is the pause before an accept that lacked a descriptor is repeated.
	acceptRetry = 20 * time.Millisecond
	// refusalsEvery is the time between two log lines on refusals of one kind.
	refusalsEvery = time.Second
)

// NewGuard returns the guard of a process, and lets the garbage collector work harder
// once the process comes close to the memory of the machine.
func NewGuard(machine intake.Machine, log *zap.Logger, registry metrics.Registry) *Guard {
	debug.SetMemoryLimit(machine.CollectAbove())
	return &Guard{machine: machine, log: log, registry: registry, ledger: intake.NewLedger(machine.BodyBytes()), refused: map[refusal]*refusals{}}
}

// count counts a refusal, and logs it unless one of its kind was logged in this second.
func (g *Guard) count(face, reason string) {
	metrics.GetOrRegisterCounter("clients."+face+"."+reason, g.registry).Inc(1)
	kind, now := refusal{face, reason}, time.Now()
	g.mu.Lock()
	r := g.refused[kind]
	if r == nil {
		r = &refusals{}
		g.refused[kind] = r
	}
	r.since++
	number := r.since
	due := now.Sub(r.loggedAt) >= refusalsEvery
	if due {
		r.loggedAt, r.since = now, 0
	}
	g.mu.Unlock()
	if due {
		g.log.Warn("clients_refused", zap.String("face", face), zap.String("reason", reason), zap.Int("count", number))
	}
}

// hangUp closes connections that the ledger has removed.
func (g *Guard) hangUp(reason string, removed ...*intake.Client) {
	for _, c := range removed {
		c.Hangup()
		g.count(c.Face, reason)
	}
}

// listener hands out the connections that the guard keeps.
type listener struct {
	net.Listener
	guard *Guard
	face  *Face
	most  int
}

// conn is a connection that is entered in the ledger until it is closed.
type conn struct {
	net.Conn
	guard  *Guard
	face   *Face
	client *intake.Client
}

// Accept returns the next connection. A lack of descriptors is no error: it closes the
// connection that the process can best do without.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		switch {
		case err == nil:
			if c := l.guard.open(accepted, l); c != nil {
				return c, nil
			}
			// Nothing was read from it.
			_ = accepted.Close()
			l.guard.count(l.face.Name, reasonConnections)
		case isShortage(err):
			l.guard.shed(l.face)
			time.Sleep(acceptRetry)
		default:
			return nil, err
		}
	}
}

// isShortage reports whether an accept failed for a reason that passes.
func isShortage(err error) bool {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EINTR} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

func (g *Guard) open(accepted net.Conn, l *listener) *conn {
	c := &conn{Conn: accepted, guard: g, face: l.face, client: &intake.Client{Face: l.face.Name}}
	// An error of the close says that the connection is closed.
	c.client.Hangup = func() { _ = accepted.Close() }
	g.mu.Lock()
	removed, ok := g.ledger.Open(c.client, l.most, time.Now())
	g.mu.Unlock()
	if removed != nil {
		g.hangUp(reasonConnections, removed)
	}
	if !ok {
		return nil
	}
	return c
}

func (g *Guard) shed(face *Face) {
	g.mu.Lock()
	removed := g.ledger.Shed(time.Now())
	g.mu.Unlock()
	if removed == nil {
		g.count(face.Name, reasonDescriptors)
		return
	}
	g.hangUp(reasonDescriptors, removed)
}

// Close closes the connection and gives back what it holds.
func (c *conn) Close() error {
	c.guard.mu.Lock()
	c.guard.ledger.Close(c.client)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

func (c *conn) turn(phase intake.Phase) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.ledger.Turn(c.client, phase, time.Now())
}

// take charges bytes to the connection. It returns false if there is no room.
func (c *conn) take(bytes int) bool {
	c.guard.mu.Lock()
	removed, ok := c.guard.ledger.Take(c.client, int64(bytes), time.Now())
	c.guard.mu.Unlock()
	c.guard.hangUp(reasonSlow, removed...)
	return ok
}

// follow notes what fasthttp does with the connection, and sets the time that it has.
func (c *conn) follow(state fasthttp.ConnState) {
	var within time.Duration
	switch state {
	case fasthttp.StateNew:
		within = c.face.IdleTime()
	case fasthttp.StateIdle:
		c.turn(intake.Idle)
		within = c.face.IdleTime()
	case fasthttp.StateActive:
		c.turn(intake.Reading)
		within = c.face.HeaderTime()
	default:
		return
	}
	// A connection that is closed fails at its next read.
	_ = c.SetReadDeadline(time.Now().Add(within))
}
