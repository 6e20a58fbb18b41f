//go:build review

package main

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// network forwards TCP connections to a target. Open ones can be made silent, for good and
// without a reset, while new ones work. A partition holds up bytes, and connections that are
// opened, until TCP sends them again after its end.
type network struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs []*pair
	// partitionedUntil is when the last partition ends; zero if there was none.
	partitionedUntil time.Time
}

// Times after which TCP sends bytes or the opening packet of a connection again, doubled
// after each try: the least retransmission time-out, and its first value.
const (
	firstRetransmission = 200 * time.Millisecond
	firstReopening      = time.Second
)

// pair is an open connection, with its two ends.
type pair struct {
	network *network
	silent  atomic.Bool
}

func newNetwork(target string) (*network, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &network{listener: listener, target: target}
	go n.serve()
	return n, nil
}

func (n *network) address() string { return n.listener.Addr().String() }

func (n *network) serve() {
	for {
		near, err := n.listener.Accept()
		if err != nil {
			return
		}
		go n.connect(near)
	}
}

// connect passes a new connection on. One that is opened during a partition comes about
// after it, unless the opening side has given up by then.
func (n *network) connect(near net.Conn) {
	var sent []byte
	if n.heldUp() {
		n.waitForRetransmission(firstReopening)
		var open bool
		if sent, open = unread(near); !open {
			_ = near.Close()
			return
		}
	}
	n.forwardPair(near, sent)
}

// unread returns what has arrived on a connection, and whether its other side is open.
func unread(conn net.Conn) (arrived []byte, open bool) {
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	for {
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		buffer := make([]byte, 32<<10)
		count, err := conn.Read(buffer)
		arrived = append(arrived, buffer[:count]...)
		if err != nil {
			return arrived, errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
}

func (n *network) forwardPair(near net.Conn, sent []byte) {
	far, err := net.Dial("tcp4", n.target)
	if err == nil {
		_, err = far.Write(sent)
	}
	if err != nil {
		_ = near.Close()
		return
	}
	p := &pair{network: n}
	n.mu.Lock()
	n.pairs = append(n.pairs, p)
	n.mu.Unlock()
	go p.forward(near, far)
	go p.forward(far, near)
}

// partition partitions both sides for a time.
func (n *network) partition(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitionedUntil = until
}

func (n *network) heldUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.partitionedUntil)
}

// waitForRetransmission waits until what was sent now is sent again after the partition.
func (n *network) waitForRetransmission(first time.Duration) {
	sent := time.Now()
	for after := first; n.heldUp(); after = 2*after + first {
		time.Sleep(time.Until(sent.Add(after)))
	}
}

// forward copies until an end closes. What arrives while the pair is silent is dropped.
func (p *pair) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		p.network.waitForRetransmission(firstRetransmission)
		if err != nil {
			if !p.silent.Load() {
				_ = to.Close()
			}
			return
		}
		if !p.silent.Load() {
			if _, err := to.Write(buffer[:count]); err != nil {
				_ = from.Close()
				return
			}
		}
	}
}

// silence makes the open connections silent.
func (n *network) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.pairs {
		p.silent.Store(true)
	}
}
