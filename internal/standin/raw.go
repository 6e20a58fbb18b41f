package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/callerapi"
)

// RawServer answers each HTTP request with bytes that are not bound to the
// protocol. It stands for a server that is broken in any way.
type RawServer struct {
	address  string
	listener net.Listener
	ended    chan struct{}
	calls    atomic.Int64
}

// RawCall is one request that arrived, with the connection to answer on.
type RawCall struct {
	net.Conn
	// Number counts the calls of the server from 1.
	Number int64
	Path   string
	// ID is the request's X-Request-Id.
	ID   string
	Body []byte
}

// NewRawServer serves on a free port of the loopback until Close. answer takes
// each request that arrived whole and returns false to have its connection closed.
func NewRawServer(answer func(RawCall) bool) (*RawServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &RawServer{address: listener.Addr().String(), listener: listener, ended: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, answer)
		}
	}()
	return s, nil
}

// Address returns the server's address, IP:port.
func (s *RawServer) Address() string { return s.address }

// Calls returns how many requests arrived whole.
func (s *RawServer) Calls() int { return int(s.calls.Load()) }

// Close ends the server and all its connections.
func (s *RawServer) Close() {
	close(s.ended)
	_ = s.listener.Close()
}

func (s *RawServer) serve(conn net.Conn, answer func(RawCall) bool) {
	served := make(chan struct{})
	defer close(served)
	go func() {
		select {
		case <-s.ended:
		case <-served:
		}
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get(callerapi.HeaderRequestID)
		if !answer(RawCall{conn, s.calls.Add(1), request.URL.Path, id, body}) {
			return
		}
	}
}

// Send writes bytes and keeps the connection open. It returns false when the
// write failed.
func (c RawCall) Send(text string) bool {
	_, err := io.WriteString(c.Conn, text)
	return err == nil
}

// Cut writes bytes and closes the connection.
func (c RawCall) Cut(text string) bool {
	c.Send(text)
	return false
}

// Reset closes the connection so that the peer sees a reset.
func (c RawCall) Reset() bool {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	return false
}

// Whole returns a whole answer with a status, headers that end in a line break each
// and a body.
func Whole(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

// Always returns a function that answers each call with the same bytes.
func Always(text string) func(RawCall) bool {
	return func(c RawCall) bool { return c.Send(text) }
}

// ThenCut returns a function that answers each call with the same bytes and
// closes the connection.
func ThenCut(text string) func(RawCall) bool {
	return func(c RawCall) bool { return c.Cut(text) }
}

// Chunked returns an answer in one chunk, without the chunk that ends it.
func Chunked(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
}

// TooManyHeaders returns an answer whose header is larger than any client takes.
func TooManyHeaders() string {
	return Whole(200, strings.Repeat("X-Filler: "+strings.Repeat("x", 100)+"\r\n", 200), "hello")
}
