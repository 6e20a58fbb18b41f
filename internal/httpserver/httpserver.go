// Package httpserver runs a fasthttp server on one listener until it is shut
// down, also when the shutdown comes before the server accepts.
package httpserver

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Server is an HTTP server with its listener. Serve and Shutdown are called
// once each, in either order, from any goroutine.
type Server struct {
	http     *fasthttp.Server
	listener net.Listener
}

// New returns a server that has not begun to accept.
func New(http *fasthttp.Server, listener net.Listener) *Server {
	return &Server{http: http, listener: listener}
}

// Serve accepts connections until Shutdown, then returns nil. It returns the
// error of the listener when accepting fails.
func (s *Server) Serve() error {
	return s.http.Serve(s.listener)
}

// Shutdown ends Serve and waits until the calls under way are answered, or
// returns the error of ctx. fasthttp's own shutdown does nothing before the
// listener is registered, which Serve does; so the listener is closed here too,
// and what was accepted between the two is waited for.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.shutdownRegistered(ctx); err != nil {
		return err
	}
	// It is closed already where Serve was running.
	_ = s.listener.Close()
	return s.shutdownRegistered(ctx)
}

// shutdownRegistered shuts fasthttp's server down. A listener that was closed
// before is no error.
func (s *Server) shutdownRegistered(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
