// Package httpserver runs a fasthttp server on one listener until it is shut
// down, even if the shutdown comes before the server accepts connections.
package httpserver

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Server is an HTTP server with its listener. Serve and Shutdown are called
// once each, in either order, from any goroutine.
type Server struct {
	http     *fasthttp.Server
	listener net.Listener

	mu sync.Mutex
	// unused holds the connections on which no request has arrived yet.
	unused map[net.Conn]bool
}

// unusedWait is how long Shutdown waits for a first request on connections that were
// opened before. fasthttp counts a connection as idle only after its first request, or
// after 5 s.
const unusedWait = 300 * time.Millisecond

// silentLogger discards the lines that fasthttp logs, one for each malformed
// request. Those that matter are reported by an answer, an event or a counter.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}

// New returns a server that does not accept connections yet. It discards fasthttp's
// own log lines unless http has a logger. It replaces http's ConnState.
func New(http *fasthttp.Server, listener net.Listener) *Server {
	if http.Logger == nil {
		http.Logger = silentLogger{}
	}
	s := &Server{http: http, listener: listener, unused: map[net.Conn]bool{}}
	http.ConnState = s.trackUnused
	return s
}

// trackUnused keeps the set of unused connections.
func (s *Server) trackUnused(c net.Conn, state fasthttp.ConnState) {
	if guarded, ok := c.(*conn); ok {
		guarded.follow(state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == fasthttp.StateNew {
		s.unused[c] = true
	} else {
		delete(s.unused, c)
	}
}

// closeUnused closes the unused connections.
func (s *Server) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.unused {
		// fasthttp closes it again.
		_ = conn.Close()
	}
}

// Serve accepts connections until Shutdown, then returns nil. It returns the
// error of the listener when accepting fails.
func (s *Server) Serve() error {
	return s.http.Serve(s.listener)
}

// Shutdown ends Serve and waits until the calls in progress are answered; it returns
// the error of ctx if that is done first. fasthttp's own shutdown does nothing until
// Serve has registered the listener. Shutdown therefore closes the listener too, and
// shuts fasthttp down again to wait for connections accepted in between.
func (s *Server) Shutdown(ctx context.Context) error {
	defer time.AfterFunc(unusedWait, s.closeUnused).Stop()
	if err := s.shutdownRegistered(ctx); err != nil {
		return err
	}
	// The listener is already closed if Serve was running.
	_ = s.listener.Close()
	return s.shutdownRegistered(ctx)
}

// shutdownRegistered shuts down fasthttp's server with the listener that Serve has
// registered, if any. A listener that is already closed is not an error.
func (s *Server) shutdownRegistered(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
