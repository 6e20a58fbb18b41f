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

	"dragonflyyard/internal/interference"
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

// metricsWriteTimeout is how long a reader of the metrics may take.
const metricsWriteTimeout = 10 * time.Second

// metricsServer serves the counters and histograms of a registry as text, and what answer
// gives at interference.ReportPath; nil for none.
func metricsServer(registry metrics.Registry, answer fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		NoDefaultServerHeader: true,
		WriteTimeout:          metricsWriteTimeout,
		CloseOnShutdown:       true,
		Handler: func(ctx *fasthttp.RequestCtx) {
			if answer != nil && string(ctx.Path()) == interference.ReportPath {
				answer(ctx)
				return
			}
			ctx.SetContentType("text/plain; charset=utf-8")
			metrics.WriteOnce(registry, ctx)
		},
	}
}

// watchReloads returns a channel of SIGHUPs. It is called before a process does anything
// else and never undone: a SIGHUP that is not watched for ends the process at once.
func watchReloads() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// reload calls check on each signal until ctx is done. Addresses and names of a
// process do not change while it runs; other changes hold from its next start.
func reload(ctx context.Context, signals <-chan os.Signal, log *zap.Logger, check func() error) {
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
