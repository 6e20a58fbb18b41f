// Package httpconn provides connections for HTTP clients that must neither accept a
// truncated answer as complete nor match an answer to the wrong call.
package httpconn

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotSent marks the error of a call that failed before any byte was sent.
var ErrNotSent = errors.New("httpconn: nothing was sent")

// ErrStale means that an idle connection cannot be used for another call. Nothing was
// sent, so the call may be made over another connection.
var ErrStale = errors.Mark(errors.New("httpconn: idle connection was closed or holds unsolicited bytes"), ErrNotSent)

// ErrIncompleteAnswer means that a connection was closed before the answer was
// complete, or that the answer declares no length and ends with the connection. The
// latter cannot be distinguished from a truncated answer.
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

// Conn is a connection that is reused for successive calls. Before each call it
// checks that the peer has neither closed it nor sent anything: bytes that are already
// there would be read as the answer to the next call.
type Conn struct {
	net.Conn
	// awaitingAnswer is set from the first byte sent of a call to the first byte
	// received of its answer.
	awaitingAnswer bool
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.awaitingAnswer {
		if err := c.Check(); err != nil {
			return 0, err
		}
		c.awaitingAnswer = true
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn. It returns ErrIncompleteAnswer at the end of the stream,
// since a complete answer never ends with the stream.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.awaitingAnswer = false
	}
	if err == io.EOF {
		return n, ErrIncompleteAnswer
	}
	return n, err
}

// Check returns an error that matches ErrStale if the peer has closed the connection or
// sent anything. It consumes no bytes.
func (c *Conn) Check() error {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.Mark(errors.Mark(err, ErrStale), ErrNotSent)
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var first [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return errors.Mark(errors.Mark(err, ErrStale), ErrNotSent)
	}
	if !errors.IsAny(peekErr, syscall.EAGAIN, syscall.EWOULDBLOCK) {
		return ErrStale
	}
	return nil
}
