// Package deployed puts together the processes that run on a deployment of the
// platform: the adapter of package platform, and the duties that use it.
package deployed

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"dragonflyyard/internal/httpserver"
	"dragonflyyard/internal/logging"
)

// listen opens a listener, again while the address is still held by the former
// process of this host.
func listen(ctx context.Context, address string) (net.Listener, error) {
	for {
		listener, err := net.Listen("tcp4", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) {
			return listener, errors.Wrapf(err, "listen on %s", address)
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrapf(err, "listen on %s", address)
		case <-time.After(listenRetry):
		}
	}
}

// listenRetry is the pause between two tries to open a listener.
const listenRetry = 100 * time.Millisecond

// shutdownWithin bounds the wait for calls under way at the end of a process.
const shutdownWithin = 1500 * time.Millisecond

// serve runs an HTTP server until ctx is done.
func serve(ctx context.Context, group *errgroup.Group, server *fasthttp.Server, address string) error {
	listener, err := listen(ctx, address)
	if err != nil {
		return err
	}
	s := httpserver.New(server, listener)
	group.Go(s.Serve)
	group.Go(func() error {
		<-ctx.Done()
		within, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownWithin)
		defer cancel()
		// Connections that are still open then end with the process.
		_ = s.Shutdown(within)
		return nil
	})
	return nil
}

// metricsServer serves the counters and histograms of a registry as text.
func metricsServer(registry metrics.Registry) *fasthttp.Server {
	return &fasthttp.Server{
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Handler: func(ctx *fasthttp.RequestCtx) {
			ctx.SetContentType("text/plain; charset=utf-8")
			metrics.WriteOnce(registry, ctx)
		},
	}
}

// reload calls check on each SIGHUP until ctx is done. Addresses and names of a
// process do not change while it runs; other changes hold from its next start.
func reload(ctx context.Context, log *zap.Logger, check func() error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			if err := check(); err != nil {
				log.Error("settings_refused", logging.Err(err))
				continue
			}
			log.Info("settings_reloaded")
		}
	}
}
