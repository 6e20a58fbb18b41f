package rowpush

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"dragonflyyard/internal/coretest"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
)

type receivedPush struct {
	from string
	rows []storeapi.Row
}

// startSender returns a sender that runs until the end of the test.
func startSender(t *testing.T, self string) *Sender {
	t.Helper()
	s := NewSender(self, 2, zap.NewNop(), metrics.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

func TestPushArrivesWhole(t *testing.T) {
	got := make(chan receivedPush, 1)
	to := coretest.Serve(t, Route(func(from string, rows []storeapi.Row) bool { got <- receivedPush{from, rows}; return true }, nil))
	startSender(t, "10.0.0.1:7000").Push(to, []storeapi.Row{{Key: "inbox@3/job/a", Value: []byte("v"), Version: 9}})
	p := <-got
	if p.from != "10.0.0.1:7000" || len(p.rows) != 1 || p.rows[0].Key != "inbox@3/job/a" || string(p.rows[0].Value) != "v" || p.rows[0].Version != 9 {
		t.Errorf("got %+v", p)
	}
}

// TestFailedPushesDoNotAffectOthers sends pushes to a process that rejects the rows,
// to one that does not serve pushes and to an address that refuses connections. Only
// these pushes fail: a push without an address is ignored, and a later push is still
// delivered, although one push runs at a time.
func TestFailedPushesDoNotAffectOthers(t *testing.T) {
	got := make(chan receivedPush, 1)
	refusing := coretest.Serve(t, Route(func(string, []storeapi.Row) bool { return false }, nil))
	withoutPushes := coretest.Serve(t, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNotFound) })
	accepting := coretest.Serve(t, Route(func(from string, rows []storeapi.Row) bool { got <- receivedPush{from, rows}; return true }, nil))
	s := NewSender("", 1, zap.NewNop(), metrics.NewRegistry())
	rows := []storeapi.Row{{Key: "k"}}
	for _, to := range []string{"", refusing, withoutPushes, "127.0.0.1:1", accepting} {
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

// TestFullQueueDropsPushes checks that Push drops pushes instead of blocking when the
// queue is full because the sender does not run.
func TestFullQueueDropsPushes(t *testing.T) {
	s := NewSender("", 1, zap.NewNop(), metrics.NewRegistry())
	for range maxQueued + 5 {
		s.Push("127.0.0.1:1", []storeapi.Row{{Key: "k"}})
	}
	if n := s.queue.Len(); n != maxQueued {
		t.Errorf("%d pushes are queued", n)
	}
}

func TestOtherPathsReachNextHandler(t *testing.T) {
	next := func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusTeapot) }
	handler := Route(func(string, []storeapi.Row) bool { t.Error("handled as a push"); return true }, next)
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
		t.Errorf("a body that is not a message gives status %d", ctx.Response.StatusCode())
	}
}

// TestSilentConnectionsOfPushes guards against losing one push for each old connection when all
// connections to a process have gone silent: its orders would arrive with the feed only.
func TestSilentConnectionsOfPushes(t *testing.T) {
	got := make(chan receivedPush, 8)
	m, err := standin.NewMiddlebox()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	m.SetTarget(coretest.Serve(t, Route(func(from string, rows []storeapi.Row) bool {
		got <- receivedPush{from, rows}
		time.Sleep(30 * time.Millisecond)
		return true
	}, nil)))
	s := NewSender("", 4, zap.NewNop(), metrics.NewRegistry())
	next := push{m.Address(), []storeapi.Row{{Key: "k"}}}
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() { s.send(next) })
	}
	group.Wait()
	m.Silence(true, true)
	s.send(next)
	s.send(next)
	if s.sent.Count() != 5 || s.failed.Count() != 1 || len(got) != 5 {
		t.Errorf("%d sent, %d failed, %d arrived; want only the first push after the silence to fail", s.sent.Count(), s.failed.Count(), len(got))
	}
}
