// Package deployed puts together the processes that run on a deployment of the
// platform: the adapter of package platform, and the duties that use it.
package deployed

import (
	"context"
	"net"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"dragonflyyard/internal/httpserver"
	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/shutdown"
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

// stopTimes holds the schedule of the process's stop once it has begun. It is safe for
// concurrent use.
type stopTimes struct {
	schedule atomic.Pointer[shutdown.Schedule]
}

// begin fixes the schedule of a stop that begins now.
func (s *stopTimes) begin(grace time.Duration) shutdown.Schedule {
	schedule := shutdown.NewSchedule(time.Now(), grace)
	s.schedule.Store(&schedule)
	return schedule
}

// answerBy returns the time by which calls have to be answered, and false while the
// process is not stopping.
func (s *stopTimes) answerBy() (time.Time, bool) {
	if schedule := s.schedule.Load(); schedule != nil {
		return schedule.AnswerBy, true
	}
	return time.Time{}, false
}

// exitBy returns the time by which the process has ended, which is now if it ends
// because of a failure.
func (s *stopTimes) exitBy() time.Time {
	if schedule := s.schedule.Load(); schedule != nil {
		return schedule.ExitBy
	}
	return time.Now()
}

// servers runs the HTTP servers of a process.
type servers struct {
	// starting is done when the process is told to stop; a server that has no listener
	// yet is then not started any more.
	starting context.Context
	group    *errgroup.Group
	stop     *stopTimes
}

// serve runs an HTTP server that takes calls until ctx is done. It then waits for the
// calls in progress until the process has to end. The returned channel is closed when
// no call is in progress any more.
func (r servers) serve(ctx context.Context, server *fasthttp.Server, address string) (drained <-chan struct{}, err error) {
	listener, err := listen(r.starting, address)
	if err != nil {
		return nil, err
	}
	s := httpserver.New(server, listener)
	done := make(chan struct{})
	r.group.Go(s.Serve)
	r.group.Go(func() error {
		defer close(done)
		<-ctx.Done()
		within, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.stop.exitBy())
		defer cancel()
		// Connections that are still open then end with the process.
		_ = s.Shutdown(within)
		return nil
	})
	return done, nil
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
