package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// unreachableAddress is an address on which nothing listens.
const unreachableAddress = "127.0.0.1:1"

// rawServer answers each HTTP request with bytes that are not bound to the
// protocol. It stands for a server that is broken in any way.
type rawServer struct {
	address string
	// calls counts the requests that arrived whole.
	calls atomic.Int64
}

// rawCall is one request that arrived, with the connection to answer on.
type rawCall struct {
	net.Conn
	// number counts the calls of the server from 1.
	number int64
	path   string
	id     string
	body   []byte
}

// startRaw serves with answer, which returns false to have the connection closed.
func startRaw(t *testing.T, answer func(rawCall) bool) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{address: listener.Addr().String()}
	ended := make(chan struct{})
	t.Cleanup(func() {
		close(ended)
		_ = listener.Close()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, ended, answer)
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn, ended <-chan struct{}, answer func(rawCall) bool) {
	served := make(chan struct{})
	defer close(served)
	go func() {
		select {
		case <-ended:
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
		id := request.Header.Get(headerRequestID)
		if !answer(rawCall{conn, s.calls.Add(1), request.URL.Path, id, body}) {
			return
		}
	}
}

// write sends bytes and keeps the connection open.
func (c rawCall) write(text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// cut sends bytes and closes the connection.
func (c rawCall) cut(text string) bool {
	c.write(text)
	return false
}

// reset closes the connection so that the peer sees a reset.
func (c rawCall) reset() bool {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	return false
}

// whole is a whole answer with a status, headers that end in a line break each
// and a body.
func whole(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

// always answers each call with the same bytes.
func always(text string) func(rawCall) bool {
	return func(c rawCall) bool { return c.write(text) }
}

// thenCut answers each call with the same bytes and closes the connection.
func thenCut(text string) func(rawCall) bool {
	return func(c rawCall) bool { return c.cut(text) }
}

// chunked is an answer in one chunk, without the chunk that ends it.
func chunked(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
}

// tooManyHeaders is an answer whose header is larger than any client takes.
func tooManyHeaders() string {
	return whole(200, strings.Repeat("X-Filler: "+strings.Repeat("x", 100)+"\r\n", 200), "hello")
}
