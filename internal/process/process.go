// Package process holds what every long-running process of the system shares:
// duties (one goroutine each), the HTTP server with its routes, the time line,
// the metrics registry, and the graceful stop in stages.
package process

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/httpserver"
	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/model"
)

// Stage is a step of the graceful stop. Stages run in ascending order; the
// functions of one stage run at the same time.
type Stage int

// Stages of the graceful stop.
const (
	// StageAnnounce tells the others that this process goes: its health check
	// already fails, and it still serves.
	StageAnnounce Stage = iota
	// StageDrain waits until the accepted work is done; no new work is taken.
	StageDrain
	// StageHandOver gives leases back and flushes connections.
	StageHandOver

	stageCount
)

// Options configures a Base.
type Options struct {
	// Name is the process's name, unique in the system.
	Name string
	// HTTPAddress is the address to listen on, IP:port. Port 0 picks a free one.
	HTTPAddress string
	// EventCapacity is how many events the time line keeps.
	EventCapacity int
	// StopTimeout bounds the graceful stop as a whole.
	StopTimeout time.Duration
	// MaxBodyBytes is the largest body of an HTTP request.
	MaxBodyBytes int
	// MaxConnections bounds the open HTTP connections.
	MaxConnections int
	// ReadTimeout bounds the time in which a caller sends one request, and
	// WriteTimeout that in which it takes the answer. What the process itself
	// takes for an answer counts for neither.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	// IdleTimeout is how long a connection is kept between two requests. It is
	// longer than balancers keep theirs, so that they close them.
	IdleTimeout time.Duration
	Logger      *zap.Logger
	Now         func() time.Time
}

// Defaults of Options.
const (
	DefaultEventCapacity = 8192
	DefaultStopTimeout   = 30 * time.Second
	DefaultMaxBodyBytes  = 4 << 20
	DefaultReadTimeout   = time.Minute
	DefaultWriteTimeout  = time.Minute
	DefaultIdleTimeout   = 10 * time.Minute
)

type duty struct {
	name string
	run  func(ctx context.Context) error
}

type stopStep struct {
	name string
	run  func(ctx context.Context)
}

// Base is the shared part of a process. Routes, duties and stop steps are
// registered before Run; the exported fields are read-only afterwards.
type Base struct {
	Name        string
	Incarnation model.Incarnation
	Log         *event.Log
	Metrics     metrics.Registry
	Logger      *zap.Logger
	Now         func() time.Time

	options  Options
	listener net.Listener
	routes   routeTable
	duties   []duty
	steps    [stageCount][]stopStep
	usage    usage
	stopping atomic.Bool
	stopOnce sync.Once
	stop     chan struct{}
}

// New returns a process that listens on its HTTP address and serves the routes
// that all processes have: GET /healthz, GET /metrics, GET /v1/timeline and
// POST /v1/stop.
func New(o Options) (*Base, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.EventCapacity == 0 {
		o.EventCapacity = DefaultEventCapacity
	}
	if o.StopTimeout == 0 {
		o.StopTimeout = DefaultStopTimeout
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	o.ReadTimeout = cmp.Or(o.ReadTimeout, DefaultReadTimeout)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, DefaultWriteTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	listener, err := net.Listen("tcp", o.HTTPAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on HTTP address %q", o.HTTPAddress)
	}
	b := &Base{
		Name:        o.Name,
		Incarnation: model.Incarnation(o.Now().UnixMilli()),
		Log:         event.NewLog(o.Name, o.EventCapacity, o.Now),
		Metrics:     metrics.NewRegistry(),
		Logger:      o.Logger,
		Now:         o.Now,
		options:     o,
		listener:    listener,
		stop:        make(chan struct{}),
	}
	b.usage = newUsage(b.Metrics)
	b.Log.AddSink(logging.Sink(b.Logger))
	b.registerCommonRoutes()
	return b, nil
}

// HTTPAddress returns the address that the process listens on, IP:port.
func (b *Base) HTTPAddress() string { return b.listener.Addr().String() }

// AddDuty registers a goroutine that runs from Run until its context is done.
// An error from it stops the process.
func (b *Base) AddDuty(name string, run func(ctx context.Context) error) {
	b.duties = append(b.duties, duty{name, run})
}

// OnStop registers a step of the graceful stop. Its context ends with the
// timeout of the stop as a whole.
func (b *Base) OnStop(stage Stage, name string, run func(ctx context.Context)) {
	b.steps[stage] = append(b.steps[stage], stopStep{name, run})
}

// IsStopping reports whether the graceful stop has begun.
func (b *Base) IsStopping() bool { return b.stopping.Load() }

// RequestStop begins the graceful stop. Further calls have no effect.
func (b *Base) RequestStop() {
	b.stopOnce.Do(func() {
		b.stopping.Store(true)
		close(b.stop)
	})
}

// Run starts the duties and the HTTP server. When ctx is done or RequestStop
// was called it goes through the stop's stages, ends the duties and returns
// nil. It returns an error when a duty failed.
func (b *Base) Run(ctx context.Context) error {
	dutyCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, dutyCtx := errgroup.WithContext(dutyCtx)
	for _, d := range b.duties {
		group.Go(func() error { return errors.Wrapf(d.run(dutyCtx), "duty %q", d.name) })
	}
	server := httpserver.New(b.newServer(), b.listener)
	group.Go(func() error { return errors.Wrap(server.Serve(), "HTTP server") })
	b.Log.Record(event.Event{Code: event.ProcessStarted, Subject: b.HTTPAddress()})

	select {
	case <-ctx.Done():
	case <-b.stop:
	case <-dutyCtx.Done():
		b.shutDown(server)
		return group.Wait()
	}
	b.RequestStop()
	b.Log.Record(event.Event{Code: event.ProcessStopping})
	b.runStages()
	b.shutDown(server)
	cancel()
	err := group.Wait()
	b.Log.Record(event.Event{Code: event.ProcessStopped})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (b *Base) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Name:                  "dragonflyyard",
		Handler:               b.serve,
		MaxRequestBodySize:    b.options.MaxBodyBytes,
		Concurrency:           b.options.MaxConnections,
		ReadTimeout:           b.options.ReadTimeout,
		WriteTimeout:          b.options.WriteTimeout,
		IdleTimeout:           b.options.IdleTimeout,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		ErrorHandler:          refuseMalformed,
	}
}

func (b *Base) runStages() {
	ctx, cancel := context.WithTimeout(context.Background(), b.options.StopTimeout)
	defer cancel()
	for _, steps := range b.steps {
		var running sync.WaitGroup
		for _, step := range steps {
			running.Go(func() { step.run(ctx) })
		}
		running.Wait()
	}
}

// shutDown stops the HTTP server after the responses under way are written.
func (b *Base) shutDown(server *httpserver.Server) {
	const limit = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		b.Logger.Warn("HTTP connections were open at the stop", zap.Error(err))
	}
}
