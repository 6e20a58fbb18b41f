package agent

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/httpconn"
)

// dialTimeout bounds the opening of a connection to a server on the same host.
const dialTimeout = time.Second

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
		DialTimeout:               dialHost,
	}}
}

// do makes one call. Its error is marked with httpconn.ErrNotSent where nothing was
// sent. A stale connection carries nothing, so that the call goes on to the next.
func (c *hostClient) do(request *fasthttp.Request, response *fasthttp.Response) error {
	var err error
	for range c.http.MaxConns + 1 {
		err = c.http.DoTimeout(request, response, c.timeout)
		if !errors.Is(err, httpconn.ErrStale) {
			break
		}
	}
	if errors.Is(err, fasthttp.ErrNoFreeConns) {
		return errors.Mark(err, httpconn.ErrNotSent)
	}
	return err
}

func dialHost(address string, timeout time.Duration) (net.Conn, error) {
	return httpconn.Dial(address, min(timeout, dialTimeout))
}
