package standin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Middlebox forwards TCP connections to a target and can cut, delay or silence
// them, as a firewall that loses track of its connections does.
type Middlebox struct {
	listener net.Listener
	delay    atomic.Int64
	// rate is the bandwidth of the link in bytes per second; 0 for no limit.
	rate atomic.Int64

	mu     sync.Mutex
	target string
	pairs  []*forwarded
	// linkFree is when the link has transmitted all that it took so far.
	linkFree time.Time
}

// forwarded is one connection that passes a Middlebox.
type forwarded struct {
	near, far            net.Conn
	silentUp, silentDown atomic.Bool
}

// NewMiddlebox listens on a free local port. It refuses connections until it
// has a target.
func NewMiddlebox() (*Middlebox, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "middlebox")
	}
	m := &Middlebox{listener: listener}
	go m.serve()
	return m, nil
}

// Address returns where the middlebox takes connections, IP:port.
func (m *Middlebox) Address() string { return m.listener.Addr().String() }

// SetTarget sets where later connections lead, IP:port.
func (m *Middlebox) SetTarget(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.target = address
}

// Target returns where connections lead.
func (m *Middlebox) Target() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.target
}

// Close ends the middlebox with all its connections.
func (m *Middlebox) Close() {
	_ = m.listener.Close()
	m.Cut()
}

// Cut closes all connections that passed so far.
func (m *Middlebox) Cut() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.pairs {
		p.close()
	}
	m.pairs = nil
}

// Silence swallows from now on, for good, what the dialling side (up) and the
// answering side (down) send over the connections that passed so far. Later
// connections are not affected.
func (m *Middlebox) Silence(up, down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.pairs {
		p.silentUp.Store(p.silentUp.Load() || up)
		p.silentDown.Store(p.silentDown.Load() || down)
	}
}

// SetDelay delays what passes, in each direction, by d.
func (m *Middlebox) SetDelay(d time.Duration) { m.delay.Store(int64(d)) }

// SetRate limits what passes, in both directions and over all connections together, to
// a number of bytes per second; 0 lifts the limit.
func (m *Middlebox) SetRate(bytesPerSecond int64) { m.rate.Store(bytesPerSecond) }

// transmit takes the time that n bytes take on the link.
func (m *Middlebox) transmit(n int) {
	rate := m.rate.Load()
	if rate == 0 {
		return
	}
	m.mu.Lock()
	if now := time.Now(); m.linkFree.Before(now) {
		m.linkFree = now
	}
	m.linkFree = m.linkFree.Add(time.Duration(n) * time.Second / time.Duration(rate))
	free := m.linkFree
	m.mu.Unlock()
	time.Sleep(time.Until(free))
}

func (m *Middlebox) serve() {
	for {
		near, err := m.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", m.Target())
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &forwarded{near: near, far: far}
		m.mu.Lock()
		m.pairs = append(m.pairs, p)
		m.mu.Unlock()
		go m.forward(near, far, &p.silentUp)
		go m.forward(far, near, &p.silentDown)
	}
}

// forward copies until an end closes. A silent direction drops what arrives and
// does not pass the close on.
func (m *Middlebox) forward(from, to net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !silent.Load() {
				_ = to.Close()
			}
			return
		}
		time.Sleep(time.Duration(m.delay.Load()))
		m.transmit(n)
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

func (p *forwarded) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}
