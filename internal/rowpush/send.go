package rowpush

import (
	"context"
	"net"
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
	// sendWithin bounds one push, dialling included. Later the feed has shown the
	// rows, unless it is as slow.
	sendWithin = 400 * time.Millisecond
	// maxWaiting bounds the pushes that wait. Load pattern: orders for all of
	// hundreds of workers within a few plans.
	maxWaiting = 1024
)

// Sender pushes rows in the background. It is safe for concurrent use.
type Sender struct {
	self   string
	atOnce int
	log    *zap.Logger
	queue  *ring.Ring[push]
	client *fasthttp.Client
	sent   metrics.Counter
	failed metrics.Counter
}

type push struct {
	to   string
	rows []storeapi.Row
}

// NewSender returns a sender. self is where this process takes pushes, empty for
// nowhere; atOnce bounds the pushes under way. Counters are registered as
// "push.sent" and "push.failed", in pushes.
func NewSender(self string, atOnce int, log *zap.Logger, registry metrics.Registry) *Sender {
	return &Sender{
		self: self, atOnce: atOnce, log: log, queue: ring.New[push]("push", maxWaiting, registry),
		client: &fasthttp.Client{
			NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1, MaxConnsPerHost: atOnce,
			Dial: func(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, sendWithin) },
		},
		sent:   metrics.GetOrRegisterCounter("push.sent", registry),
		failed: metrics.GetOrRegisterCounter("push.failed", registry),
	}
}

// Push sends rows to the process at an address (IP:port) soon. It does not wait,
// and does nothing without an address or rows. A full queue drops the push, which
// the ring counts.
func (s *Sender) Push(to string, rows []storeapi.Row) {
	if to != "" && len(rows) > 0 {
		s.queue.TryPush(push{to, rows})
	}
}

// Run sends what is pushed until ctx is done.
func (s *Sender) Run(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(s.atOnce)
	for {
		select {
		case <-ctx.Done():
			_ = group.Wait() // No push returns an error.
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
	req.SetBodyRaw(rowcodec.Encode(&message{From: s.self, Rows: p.rows}))
	if err := s.client.DoTimeout(req, resp, sendWithin); err != nil {
		return err
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return errors.Newf("status %d", status)
	}
	return nil
}
