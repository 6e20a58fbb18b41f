package link

import (
	"net"
	"sync"
)

// maxBatchBytes is how much a batchConn holds before it writes by itself.
const maxBatchBytes = 64 << 10

// batchConn is a network connection whose writes can be gathered into one.
// Gathering is off until hold is called.
type batchConn struct {
	net.Conn

	mu      sync.Mutex
	holding bool
	held    []byte
}

// Write writes p, or keeps a copy of it while writes are gathered.
func (c *batchConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.holding {
		return c.Conn.Write(p)
	}
	if len(c.held)+len(p) > maxBatchBytes {
		if err := c.writeHeld(); err != nil {
			return 0, err
		}
	}
	if len(p) > maxBatchBytes {
		return c.Conn.Write(p)
	}
	c.held = append(c.held, p...)
	return len(p), nil
}

// hold begins to gather writes.
func (c *batchConn) hold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holding = true
}

// flush writes what was gathered and ends the gathering.
func (c *batchConn) flush() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holding = false
	return c.writeHeld()
}

func (c *batchConn) writeHeld() error {
	if len(c.held) == 0 {
		return nil
	}
	_, err := c.Conn.Write(c.held)
	c.held = c.held[:0]
	return err
}

// batchListener wraps each accepted connection into a batchConn.
type batchListener struct{ net.Listener }

// Accept implements net.Listener.
func (l batchListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &batchConn{Conn: c}, nil
}

// batchOf returns the batchConn under a WebSocket connection, or nil.
func batchOf(c net.Conn) *batchConn {
	// A connection that the HTTP server gave up to its handler wraps its own.
	if wrapped, ok := c.(interface{ UnsafeConn() net.Conn }); ok {
		c = wrapped.UnsafeConn()
	}
	batch, _ := c.(*batchConn)
	return batch
}
