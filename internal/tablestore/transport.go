package tablestore

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/storeapi"
)

// HTTP methods of the calls.
const (
	methodGet  = fasthttp.MethodGet
	methodPost = fasthttp.MethodPost
	methodPut  = fasthttp.MethodPut
)

// transport makes single HTTP calls and maps their failures to the errors of
// package storeapi.
type transport struct {
	client  *fasthttp.Client
	timeout time.Duration
}

// dialError marks a call that failed to connect, so that nothing was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "connect: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

func newTransport(options Options) *transport {
	return &transport{
		timeout: options.CallTimeout,
		client: &fasthttp.Client{
			MaxConnsPerHost:           64,
			MaxIdleConnDuration:       30 * time.Second,
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       64 << 20,
			NoDefaultUserAgentHeader:  true,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
				conn, err := fasthttp.DialTimeout(address, min(max(timeout, time.Millisecond), options.CallTimeout))
				if err != nil {
					return nil, &dialError{err}
				}
				return conn, nil
			},
		},
	}
}

// do makes one call and returns the response body. ErrUnavailable means that
// nothing changed, ErrInDoubt that a write may have taken effect.
func (t *transport) do(method, address string, body []byte) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(address)
	if body != nil {
		request.SetBodyRaw(body)
		request.Header.SetContentType("application/json")
	}
	if err := t.client.DoTimeout(request, response, t.timeout); err != nil {
		return nil, callError(method, err)
	}
	if err := statusError(method, response.StatusCode(), response.Body()); err != nil {
		return nil, err
	}
	return append([]byte(nil), response.Body()...), nil
}

func callError(method string, err error) error {
	var dial *dialError
	notSent := errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns)
	if method == methodGet || notSent {
		return errors.Wrapf(storeapi.ErrUnavailable, "%v", err)
	}
	return errors.Wrapf(storeapi.ErrInDoubt, "%v", err)
}

func statusError(method string, status int, body []byte) error {
	switch {
	case status == fasthttp.StatusOK:
		return nil
	case status == fasthttp.StatusNotFound:
		return errors.Wrapf(storeapi.ErrNotFound, "%s", body)
	case status == fasthttp.StatusServiceUnavailable, status >= 400 && status < 500, method == methodGet:
		return errors.Wrapf(storeapi.ErrUnavailable, "status %d: %s", status, body)
	default:
		return errors.Wrapf(storeapi.ErrInDoubt, "status %d: %s", status, body)
	}
}
