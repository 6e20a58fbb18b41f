package rowpush

import (
	"context"
	"net"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"dragonflyyard/internal/storeapi"
)

type taken struct {
	from string
	rows []storeapi.Row
}

// receiver serves a handler and returns its address.
func receiver(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

func running(t *testing.T, self string) *Sender {
	t.Helper()
	s := NewSender(self, 2, zap.NewNop(), metrics.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

func TestPushArrivesWhole(t *testing.T) {
	got := make(chan taken, 1)
	to := receiver(t, Route(func(from string, rows []storeapi.Row) bool { got <- taken{from, rows}; return true }, nil))
	running(t, "10.0.0.1:7000").Push(to, []storeapi.Row{{Key: "inbox@3/job/a", Value: []byte("v"), Version: 9}})
	p := <-got
	if p.from != "10.0.0.1:7000" || len(p.rows) != 1 || p.rows[0].Key != "inbox@3/job/a" || string(p.rows[0].Value) != "v" || p.rows[0].Version != 9 {
		t.Errorf("got %+v", p)
	}
}

// TestWhatIsNotTaken: a process that follows nothing, one that takes no pushes and
// one that is not there cost their own push only.
func TestWhatIsNotTaken(t *testing.T) {
	got := make(chan taken, 1)
	refusing := receiver(t, Route(func(string, []storeapi.Row) bool { return false }, nil))
	elsewhere := receiver(t, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNotFound) })
	taking := receiver(t, Route(func(from string, rows []storeapi.Row) bool { got <- taken{from, rows}; return true }, nil))
	s := NewSender("", 1, zap.NewNop(), metrics.NewRegistry())
	rows := []storeapi.Row{{Key: "k"}}
	for _, to := range []string{"", refusing, elsewhere, "127.0.0.1:1", taking} {
		s.Push(to, rows)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	<-got
	cancel()
	<-done
	if s.sent.Count() != 1 || s.failed.Count() != 3 {
		t.Errorf("%d sent, %d failed", s.sent.Count(), s.failed.Count())
	}
}

// TestFullQueueDropsPushes: nothing waits for a sender that is not run.
func TestFullQueueDropsPushes(t *testing.T) {
	s := NewSender("", 1, zap.NewNop(), metrics.NewRegistry())
	for range maxWaiting + 5 {
		s.Push("127.0.0.1:1", []storeapi.Row{{Key: "k"}})
	}
	if n := s.queue.Len(); n != maxWaiting {
		t.Errorf("%d pushes wait", n)
	}
}

func TestOtherCallsGoOn(t *testing.T) {
	next := func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusTeapot) }
	handler := Route(func(string, []storeapi.Row) bool { t.Error("taken"); return true }, next)
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.SetRequestURI("/store/get")
	handler(ctx)
	if ctx.Response.StatusCode() != fasthttp.StatusTeapot {
		t.Errorf("status %d", ctx.Response.StatusCode())
	}
	ctx = &fasthttp.RequestCtx{}
	ctx.Request.SetRequestURI(path)
	ctx.Request.SetBodyString("no message")
	handler(ctx)
	if ctx.Response.StatusCode() != fasthttp.StatusBadRequest {
		t.Errorf("a body that is no message gives %d", ctx.Response.StatusCode())
	}
}
