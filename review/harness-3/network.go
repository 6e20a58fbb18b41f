//go:build review

package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// network forwards TCP connections to a target. Open ones can be made silent, for good and
// without a reset, while new ones work.
type network struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs []*pair
}

// pair is an open connection, with its two ends.
type pair struct{ silent atomic.Bool }

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
		far, err := net.Dial("tcp4", n.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pair{}
		n.mu.Lock()
		n.pairs = append(n.pairs, p)
		n.mu.Unlock()
		go p.forward(near, far)
		go p.forward(far, near)
	}
}

// forward copies until an end closes. What arrives while the pair is silent is dropped.
func (p *pair) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
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
