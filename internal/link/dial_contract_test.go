package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fasthttp/websocket"

	"dragonflyyard/internal/wire"
)

// badWelcomes are what a dialled address may answer in place of a greeting. Each
// gets the connection after the upgrade.
func badWelcomes(t *testing.T) map[string]func(*websocket.Conn) {
	welcome := frameOf(t, &wire.Welcome{Process: "entry", Incarnation: 1})
	frame := func(b []byte) func(*websocket.Conn) {
		return func(ws *websocket.Conn) { _ = ws.WriteMessage(websocket.BinaryMessage, b) }
	}
	return map[string]func(*websocket.Conn){
		"version of the future": frame(append([]byte{wire.ProtocolVersion + 1}, welcome[1:]...)),
		"unknown type":          frame([]byte{wire.ProtocolVersion, 255, 0x80}),
		"cut welcome":           frame(welcome[:len(welcome)-1]),
		"no process name":       frame(frameOf(t, &wire.Welcome{Incarnation: 1})),
		"another message":       frame(frameOf(t, &wire.Heartbeat{Seq: 1})),
		"empty frame":           frame(nil),
		"oversized frame":       frame(make([]byte, wire.MaxFrameBytes+1)),
		"closed":                func(*websocket.Conn) {},
		"silent":                func(ws *websocket.Conn) { _, _, _ = ws.ReadMessage(); _, _, _ = ws.ReadMessage() },
	}
}

// TestDiallingGoesOnUntilAWelcome answers the first two attempts badly and the
// third one well: no bad attempt is reported as up, and the good one is.
func TestDiallingGoesOnUntilAWelcome(t *testing.T) {
	upgrader := websocket.Upgrader{}
	attempts := map[string]http.HandlerFunc{
		"status 503": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"not HTTP": func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = io.WriteString(conn, "hello\r\n\r\n")
			_ = conn.Close()
		},
		"closed before the upgrade": func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_ = conn.Close()
		},
		"silent before the upgrade": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	}
	for name, answer := range badWelcomes(t) {
		attempts[name] = func(w http.ResponseWriter, r *http.Request) {
			ws, err := upgrader.Upgrade(w, r, nil)
			if err != nil {
				return
			}
			defer func() { _ = ws.Close() }()
			answer(ws)
		}
	}
	for name, bad := range attempts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			options := contractOptions()
			options.DialTimeout = 300 * time.Millisecond
			client := newNode("agent", wire.RoleAgent, wire.RoleEntry, options, 256)
			ended := make(chan struct{})
			var mu sync.Mutex
			count := 0
			address := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				count++
				attempt := count
				mu.Unlock()
				if attempt <= 2 {
					bad(w, r)
					return
				}
				ws, err := upgrader.Upgrade(w, r, nil)
				if err != nil {
					return
				}
				defer func() { _ = ws.Close() }()
				_ = ws.WriteMessage(websocket.BinaryMessage, frameOf(t, &wire.Welcome{Process: "entry", Incarnation: 1}))
				<-ended
			})
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			running.Go(func() { client.hub.Dial(ctx, address) })
			defer running.Wait()
			defer cancel()
			defer close(ended)
			if o := client.next(t); o.cause != nil || o.message != nil || o.conn.Peer().Process != "entry" {
				t.Errorf("got %+v, want a connection that is up", o)
			}
			mu.Lock()
			defer mu.Unlock()
			if count < 3 {
				t.Errorf("up after %d attempts", count)
			}
		})
	}
}

func serveHTTP(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: limit}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}
