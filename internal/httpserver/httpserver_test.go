package httpserver

import (
	"context"
	"net"
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
