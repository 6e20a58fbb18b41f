package standin

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"dragonflyyard/internal/httpserver"
	"dragonflyyard/internal/settings"
)

// usageLag is how far a worker's reported usage lags behind.
const usageLag = 500 * time.Millisecond

// Run serves all stand-ins of the settings until ctx is done.
func Run(ctx context.Context, s settings.StandIn) error {
	group, ctx := errgroup.WithContext(ctx)
	store := NewStore(time.Now)
	for _, address := range []string{s.TableAddress, s.ObjectStoreAddress} {
		if address != "" {
			group.Go(func() error { return serveAt(ctx, address, store.Serve) })
		}
	}
	for _, b := range s.BackendServers {
		server := NewBackendServer(b.ServiceTime)
		group.Go(func() error { return serveAt(ctx, b.Address, server.Serve) })
	}
	for _, w := range s.Workers {
		worker := NewWorker(w.Capacity, usageLag, time.Now)
		group.Go(func() error { return serveAt(ctx, w.Address, worker.Serve) })
	}
	return group.Wait()
}

// serveAt serves HTTP at an address until ctx is done.
func serveAt(ctx context.Context, address string, handler fasthttp.RequestHandler) error {
	const stopLimit = time.Second
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %q", address)
	}
	server := httpserver.New(&fasthttp.Server{Handler: handler, NoDefaultServerHeader: true}, listener)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	select {
	case err := <-served:
		return errors.Wrapf(err, "serve %q", address)
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	// A held call may outlast the limit; the process ends with it.
	_ = server.Shutdown(stopCtx)
	return nil
}
