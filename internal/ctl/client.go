// Package ctl is the operators' command line. It calls the entry hosts' HTTP
// interface and, where that is safe, tries the next entry host after a failure.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/callerapi"
	"dragonflyyard/internal/httpconn"
)

// repeatability says whether a call may reach more than one entry host.
type repeatability uint8

const (
	// once means that the call is never sent to a second process.
	once repeatability = iota
	// repeatable means that the call reads only, or carries an ID under which
	// sending it again has no further effect.
	repeatable
)

// call is one HTTP call.
type call struct {
	method string
	path   string
	body   []byte
	header map[string]string
	repeat repeatability
}

// reply is the answer of the last entry host that answered.
type reply struct {
	entry      string
	status     int
	body       []byte
	retryAfter string
	outcome    string
	// request is the request that an outcome is of.
	request string
	// ambiguous is set when an earlier attempt may have taken effect unheard.
	ambiguous bool
}

// client sends calls to the entry hosts in turn.
type client struct {
	entries []string
	timeout time.Duration
	http    *fasthttp.Client
}

// isFinal reports whether another entry host would have nothing to add. The
// outcome of a request is final, whichever entry host gave it.
func (r reply) isFinal() bool {
	return r.status != fasthttp.StatusServiceUnavailable || r.outcome != ""
}

func newClient(entries []string, timeout time.Duration) *client {
	return &client{
		entries: entries,
		timeout: timeout,
		http: &fasthttp.Client{
			Name: "dragonflyctl",
			// Attempts are made here, where it is known what may be repeated.
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxReplyBytes,
			DialTimeout: func(address string, dial time.Duration) (net.Conn, error) {
				if dial <= 0 {
					dial = timeout
				}
				return httpconn.Dial(address, min(dial, timeout))
			},
		},
	}
}

const maxReplyBytes = 256 << 20

// do sends a call to the first entry host. A repeatable call goes on to the
// next one after a lost connection and after a 503; any call does where the
// connection was never made. An error means that no entry host answered.
func (c *client) do(ctx context.Context, k call) (reply, error) {
	var last *reply
	var failures []string
	ambiguous := false
	for _, entry := range c.entries {
		if err := ctx.Err(); err != nil {
			failures = append(failures, err.Error())
			break
		}
		r, err := c.attempt(entry, k)
		if err != nil {
			failures = append(failures, fmt.Sprintf("%s: %v", entry, err))
			sent := !errors.IsAny(err, httpconn.ErrNotSent, fasthttp.ErrNoFreeConns)
			ambiguous = ambiguous || sent
			if sent && k.repeat == once {
				break
			}
			continue
		}
		last = &r
		if r.isFinal() || k.repeat == once {
			break
		}
	}
	if last != nil {
		last.ambiguous = ambiguous
		return *last, nil
	}
	return reply{ambiguous: ambiguous}, errors.Newf("no entry host answered: %s", strings.Join(failures, "; "))
}

func (c *client) attempt(entry string, k call) (reply, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + entry + k.path)
	request.Header.SetMethod(k.method)
	for key, value := range k.header {
		request.Header.Set(key, value)
	}
	if k.body != nil {
		request.SetBody(k.body)
		request.Header.SetContentType("application/json")
	}
	if err := c.http.DoTimeout(request, response, c.timeout); err != nil {
		return reply{}, err
	}
	return reply{
		entry:      entry,
		status:     response.StatusCode(),
		body:       append([]byte(nil), response.Body()...),
		retryAfter: string(response.Header.Peek(fasthttp.HeaderRetryAfter)),
		outcome:    string(response.Header.Peek(headerOutcome)),
		request:    string(response.Header.Peek(callerapi.HeaderRequestID)),
	}, nil
}

// get reads a JSON value.
func (c *client) get(ctx context.Context, path string, query url.Values, target any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.exchange(ctx, call{method: fasthttp.MethodGet, path: path, repeat: repeatable}, target)
}

// post sends a JSON value under an ID that makes it repeatable.
func (c *client) post(ctx context.Context, path string, value, target any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode the call")
	}
	return c.exchange(ctx, call{method: fasthttp.MethodPost, path: path, body: body, repeat: repeatable}, target)
}

func (c *client) exchange(ctx context.Context, k call, target any) error {
	r, err := c.do(ctx, k)
	if err != nil {
		return unreachable(k, r, err)
	}
	if r.status < fasthttp.StatusOK || r.status >= fasthttp.StatusMultipleChoices {
		return refusal(k, r)
	}
	if err := decodeAnswer(r.body, target); err != nil {
		return unreadable(k, r.entry, "the answer is unreadable: %v", err)
	}
	return nil
}
