package link

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// middlebox forwards TCP connections to a target and can cut, delay or
// swallow what passes.
type middlebox struct {
	listener net.Listener
	target   string
	// dropUp and dropDown swallow what the dialling and the answering side send.
	dropUp, dropDown atomic.Bool
	delay            atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

func newMiddlebox(t *testing.T, target string) *middlebox {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &middlebox{listener: listener, target: target}
	go m.serve()
	t.Cleanup(func() {
		_ = listener.Close()
		m.cut()
	})
	return m
}

func (m *middlebox) address() string { return m.listener.Addr().String() }

func (m *middlebox) serve() {
	for {
		near, err := m.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", m.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		m.mu.Lock()
		m.conns = append(m.conns, near, far)
		m.mu.Unlock()
		// The drop switches are read when a connection opens, so that a later
		// connection works while an earlier one stays silent.
		up, down := newSwitch(&m.dropUp), newSwitch(&m.dropDown)
		go m.forward(near, far, up)
		go m.forward(far, near, down)
	}
}

// dropSwitch remembers that its connection was silenced, for good.
type dropSwitch struct {
	source *atomic.Bool
	lost   bool
}

func newSwitch(source *atomic.Bool) *dropSwitch { return &dropSwitch{source: source} }

func (s *dropSwitch) drops() bool {
	s.lost = s.lost || s.source.Load()
	return s.lost
}

func (m *middlebox) forward(from, to net.Conn, drop *dropSwitch) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !drop.drops() {
				_ = to.Close()
			}
			return
		}
		time.Sleep(time.Duration(m.delay.Load()))
		if drop.drops() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// cut closes all connections that passed so far.
func (m *middlebox) cut() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		_ = c.Close()
	}
	m.conns = nil
}
