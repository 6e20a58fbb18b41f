// Package httpserver runs a fasthttp server on one listener until it is shut
// down, even if the shutdown comes before the server accepts connections.
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

// silentLogger discards the lines that fasthttp logs, one for each malformed
// request. Those that matter are reported by an answer, an event or a counter.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}

// New returns a server that does not accept connections yet. It discards fasthttp's
// own log lines unless http has a logger.
func New(http *fasthttp.Server, listener net.Listener) *Server {
	if http.Logger == nil {
		http.Logger = silentLogger{}
	}
	return &Server{http: http, listener: listener}
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
