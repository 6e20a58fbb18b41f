package process

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// limit is the generous bound on every wait of these tests.
const limit = 30 * time.Second

// slowAnswer takes longer than a caller may take to send its request.
const slowAnswer = 1500 * time.Millisecond

// TestCallersThatGoSilent opens connections that stop in the middle: each is
// closed, while a call that the process itself takes long for is answered.
func TestCallersThatGoSilent(t *testing.T) {
	b, err := New(Options{
		Name: "entry-1", HTTPAddress: "127.0.0.1:0", EventCapacity: 8,
		ReadTimeout: slowAnswer / 3, WriteTimeout: slowAnswer / 3, IdleTimeout: slowAnswer / 3,
	})
	if err != nil {
		t.Fatal(err)
	}
	const large = 64 << 20
	b.HandleHTTP(fasthttp.MethodGet, "/slow", func(ctx *fasthttp.RequestCtx) {
		time.Sleep(slowAnswer)
		ctx.SetBodyString("slow")
	})
	b.HandleHTTP(fasthttp.MethodGet, "/large", func(ctx *fasthttp.RequestCtx) { ctx.Response.SetBodyRaw(make([]byte, large)) })
	b.HandleHTTP(fasthttp.MethodPost, "/take", func(*fasthttp.RequestCtx) {})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- b.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	cases := []struct {
		name, sent string
		// wait is how long the caller reads nothing.
		wait     time.Duration
		answered string
		cut      bool
	}{
		{"sends nothing", "", 0, "", true},
		{"stops in the header", "GET /slow HTTP/1.1\r\nHost: x\r\n", 0, "", true},
		{"stops in the body", "POST /take HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc", 0, "", true},
		{"sends no second call", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", 0, `"ok"`, false},
		{"waits for its answer", "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n", 0, "slow", false},
		{"does not take its answer", "GET /large HTTP/1.1\r\nHost: x\r\n\r\n", 2 * slowAnswer, "", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", b.HTTPAddress())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, c.sent)
			time.Sleep(c.wait)
			_ = conn.SetReadDeadline(time.Now().Add(limit))
			text, err := io.ReadAll(conn)
			if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
				t.Error("the connection was not closed")
			}
			if !bytes.Contains(text, []byte(c.answered)) || c.cut && len(text) >= large {
				t.Errorf("read %d bytes, %.80q", len(text), text)
			}
		})
	}
}
