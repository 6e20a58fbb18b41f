package coretest

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// stopWait bounds the wait for calls in progress: some are long polls of processes that
// have ended.
const stopWait = 100 * time.Millisecond

// Serve serves handler on a loopback address until the end of the test.
func Serve(t testing.TB, handler fasthttp.RequestHandler) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopWait)
		defer cancel()
		_ = server.ShutdownWithContext(ctx)
	})
	return listener.Addr().String()
}
