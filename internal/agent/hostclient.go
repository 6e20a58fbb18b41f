package agent

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// dialTimeout bounds the opening of a connection to a server on the same host.
const dialTimeout = time.Second

// errNotSent marks an error before the first byte of a call was sent.
var errNotSent = errors.New("agent: server not reached")

// errStale means that an idle connection can carry no further call.
var errStale = errors.New("agent: idle connection was closed or holds bytes that no call asked for")

// errOpenEnded means that a connection was closed before its answer was whole,
// or under an answer whose length was not told. Such an answer cannot be told
// from one that was cut.
var errOpenEnded = errors.New("agent: connection closed before the end of the answer")

// hostClient calls the one server beside the agent: its backend server or its
// worker. It never repeats a call of which a byte may have been sent.
type hostClient struct {
	http    *fasthttp.HostClient
	timeout time.Duration
}

// newHostClient returns a client of the server at address (IP:port) that keeps
// up to connections connections, and takes answers of up to maxAnswerBytes
// within timeout.
func newHostClient(address string, connections, maxAnswerBytes int, timeout time.Duration) *hostClient {
	return &hostClient{timeout: timeout, http: &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  connections,
		MaxResponseBodySize:       maxAnswerBytes,
		ReadTimeout:               timeout,
		WriteTimeout:              timeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
		DialTimeout:               dialChecked,
	}}
}

// do makes one call. Its error is marked with errNotSent where nothing was
// sent. A stale connection carries nothing, so that the call goes on to the next.
func (c *hostClient) do(request *fasthttp.Request, response *fasthttp.Response) error {
	var err error
	for range c.http.MaxConns + 1 {
		err = c.http.DoTimeout(request, response, c.timeout)
		if !errors.Is(err, errStale) {
			break
		}
	}
	if errors.IsAny(err, errStale, fasthttp.ErrNoFreeConns) {
		return errors.Mark(err, errNotSent)
	}
	return err
}

func dialChecked(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, min(max(timeout, time.Millisecond), dialTimeout))
	if err != nil {
		return nil, errors.Mark(err, errNotSent)
	}
	return &checkedConn{Conn: conn}, nil
}

// checkedConn is a connection that is used for one call after the other. Before
// each call it makes sure that the peer has not closed it and has sent nothing:
// bytes that are there already would be taken for the answer of the next call.
type checkedConn struct {
	net.Conn
	// calling is set from the first byte of a call to the first of its answer.
	calling bool
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	if !c.calling {
		if err := c.check(); err != nil {
			return 0, err
		}
		c.calling = true
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn. The end of the stream is an error, since no whole
// answer ends with it.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.calling = false
	}
	if err == io.EOF {
		return n, errOpenEnded
	}
	return n, err
}

// check returns errStale unless the peer has neither closed nor sent anything.
func (c *checkedConn) check() error {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return errors.Mark(err, errStale)
	}
	var peeked error
	err = raw.Control(func(fd uintptr) {
		var first [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return errors.Mark(err, errStale)
	}
	if !errors.IsAny(peeked, syscall.EAGAIN, syscall.EWOULDBLOCK) {
		return errStale
	}
	return nil
}
