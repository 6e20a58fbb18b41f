package rowpush

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
)

const (
	// sendTimeout bounds one push, dialling included. After that time the feed has
	// delivered the rows, unless it is just as slow.
	sendTimeout = 400 * time.Millisecond
	// maxQueued bounds the queued pushes. Load pattern: orders for all of hundreds
	// of workers within a few plans.
	maxQueued = 1024
)

// Sender pushes rows in the background. It is safe for concurrent use.
type Sender struct {
	ownAddress    string
	maxConcurrent int
	log           *zap.Logger
	queue         *ring.Ring[push]
	client        *fasthttp.Client
	// connections holds the *fasthttp.HostClient of each address.
	connections sync.Map
	sent        metrics.Counter
	failed      metrics.Counter
}

type push struct {
	to   string
	rows []storeapi.Row
}

// NewSender returns a sender. ownAddress is the address (IP:port) on which this
// process receives pushes, empty if it receives none. maxConcurrent bounds the
// pushes in progress. The counters "push.sent" and "push.failed" count pushes.
func NewSender(ownAddress string, maxConcurrent int, log *zap.Logger, registry metrics.Registry) *Sender {
	s := &Sender{
		ownAddress: ownAddress, maxConcurrent: maxConcurrent, log: log, queue: ring.New[push]("push", maxQueued, registry),
		client: &fasthttp.Client{
			NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1, MaxConnsPerHost: maxConcurrent,
			Dial: func(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, sendTimeout) },
		},
		sent:   metrics.GetOrRegisterCounter("push.sent", registry),
		failed: metrics.GetOrRegisterCounter("push.failed", registry),
	}
	s.client.ConfigureClient = func(client *fasthttp.HostClient) error {
		s.connections.Store(client.Addr, client)
		return nil
	}
	return s
}

// Push queues rows to be sent to the process at the address to (IP:port). It does
// not block, and does nothing if the address or rows are empty. If the queue is
// full, the push is dropped and counted as rejected by the ring.
func (s *Sender) Push(to string, rows []storeapi.Row) {
	if to != "" && len(rows) > 0 {
		s.queue.TryPush(push{to, rows})
	}
}

// Run sends queued pushes until ctx is done, then waits for those in progress.
func (s *Sender) Run(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(s.maxConcurrent)
	for {
		select {
		case <-ctx.Done():
			_ = group.Wait() // The group's functions never return an error.
			return
		case p := <-s.queue.Out():
			group.Go(func() error { s.send(p); return nil })
		}
	}
}

func (s *Sender) send(p push) {
	if err := s.post(p); err != nil {
		s.failed.Inc(1)
		s.log.Warn("rows_not_pushed", zap.String("to", p.to), zap.Int("rows", len(p.rows)), logging.Err(err))
		return
	}
	s.sent.Inc(1)
}

func (s *Sender) post(p push) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + p.to + path)
	req.SetBodyRaw(rowcodec.Encode(&message{From: s.ownAddress, Rows: p.rows}))
	if err := s.client.DoTimeout(req, resp, sendTimeout); err != nil {
		// The other connections to this address may have gone silent, too.
		if client, known := s.connections.Load(p.to); known {
			client.(*fasthttp.HostClient).CloseIdleConnections()
		}
		return err
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return errors.Newf("status %d", status)
	}
	return nil
}
