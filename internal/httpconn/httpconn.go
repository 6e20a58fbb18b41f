// Package httpconn makes the connections of HTTP clients that must take neither
// a cut answer for a whole one nor the answer of another call for their own.
package httpconn

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotSent marks an error of a call of which nothing was sent.
var ErrNotSent = errors.New("httpconn: nothing was sent")

// ErrStale means that an idle connection can carry no further call. Nothing was
// sent, so that the call may go over another connection.
var ErrStale = errors.Mark(errors.New("httpconn: idle connection was closed or holds bytes that no call asked for"), ErrNotSent)

// ErrIncompleteAnswer means that a connection was closed before its answer was whole,
// or under an answer whose length was not told. Such an answer cannot be told
// from one that was cut.
var ErrIncompleteAnswer = errors.New("httpconn: connection closed before the end of the answer")

// Dial opens a connection to address (IP:port) within timeout. Its error is
// marked with ErrNotSent.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, max(timeout, time.Millisecond))
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	return &Conn{Conn: conn}, nil
}

// Conn is a connection that is used for one call after the other. Before
// each call it makes sure that the peer has not closed it and has sent nothing:
// bytes that are there already would be taken for the answer of the next call.
type Conn struct {
	net.Conn
	// calling is set from the first byte of a call to the first of its answer.
	calling bool
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.calling {
		if err := c.Check(); err != nil {
			return 0, err
		}
		c.calling = true
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn. The end of the stream is an error, since no whole
// answer ends with it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.calling = false
	}
	if err == io.EOF {
		return n, ErrIncompleteAnswer
	}
	return n, err
}

// Check returns ErrStale unless the peer has neither closed nor sent anything.
func (c *Conn) Check() error {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.Mark(errors.Mark(err, ErrStale), ErrNotSent)
	}
	var peeked error
	err = raw.Control(func(fd uintptr) {
		var first [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return errors.Mark(errors.Mark(err, ErrStale), ErrNotSent)
	}
	if !errors.IsAny(peeked, syscall.EAGAIN, syscall.EWOULDBLOCK) {
		return ErrStale
	}
	return nil
}
