package httpserver

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

func newServer(t *testing.T) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return New(&fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("served") }}, listener)
}

// awaitEnd fails the test if Serve returns an error or does not return in time.
func awaitEnd(t *testing.T, served <-chan error) {
	t.Helper()
	const limit = 30 * time.Second
	select {
	case err := <-served:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(limit):
		t.Fatal("Serve has not returned after the shutdown")
	}
}

func TestShutdownBeforeServe(t *testing.T) {
	s := newServer(t)
	if err := s.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	awaitEnd(t, served)
}

func TestShutdownWhileServeStarts(t *testing.T) {
	const rounds = 200
	for range rounds {
		s := newServer(t)
		served := make(chan error, 1)
		go func() { served <- s.Serve() }()
		if err := s.Shutdown(context.Background()); err != nil {
			t.Fatal(err)
		}
		awaitEnd(t, served)
	}
}

func TestShutdownAfterACall(t *testing.T) {
	s := newServer(t)
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	status, body, err := fasthttp.Get(nil, "http://"+s.listener.Addr().String())
	if err != nil || status != fasthttp.StatusOK || string(body) != "served" {
		t.Fatalf("got %d, %q, %v", status, body, err)
	}
	if err := s.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	awaitEnd(t, served)
}

// TestLibraryLogIsDiscarded checks that a server discards fasthttp's own log lines,
// which have no event code, and that a logger set by the caller is kept.
func TestLibraryLogIsDiscarded(t *testing.T) {
	server := newServer(t)
	defer func() { _ = server.listener.Close() }()
	if _, isSilent := server.http.Logger.(silentLogger); !isSilent {
		t.Errorf("the server logs with %T", server.http.Logger)
	}
	given := &countingLogger{}
	if got := New(&fasthttp.Server{Logger: given}, server.listener).http.Logger; got != given {
		t.Errorf("the logger set by the caller was replaced by %T", got)
	}
}

type countingLogger struct{ lines int }

func (l *countingLogger) Printf(string, ...any) { l.lines++ }

// TestShutdownWithAnUnusedConnection guards against a shutdown that waits for seconds for
// a connection on which nothing was ever sent, and against closing one on which a request
// arrives at the last moment.
func TestShutdownWithAnUnusedConnection(t *testing.T) {
	s := newServer(t)
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	silent, late := dial(), dial()
	for open := 0; open < 2; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		open = len(s.unused)
		s.mu.Unlock()
	}
	began := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	time.Sleep(unusedWait / 3)
	if _, err := late.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(late)
	if err != nil || !strings.HasSuffix(string(answer), "served") {
		t.Errorf("answer %q, %v", answer, err)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("the shutdown took %s", took)
	}
	if n, err := silent.Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes on a connection without a request", n)
	}
	awaitEnd(t, served)
}
