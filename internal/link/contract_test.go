package link

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/websocket"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// contractOptions keep a silent connection open for longer than a test lasts,
// so that no other cause ends it first.
func contractOptions() Options {
	options := testOptions()
	options.Silence, options.WriteTimeout, options.DialTimeout = 4*limit, limit, limit
	return options
}

func frameOf(t *testing.T, m wire.Message) []byte {
	t.Helper()
	frame, err := wire.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

// startHub runs an answering hub and returns its address.
func startHub(t *testing.T, options Options) (*node, string, context.CancelFunc) {
	t.Helper()
	server := newNode("entry", wire.RoleEntry, wire.RoleAgent, options, 256)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.hub.Accept(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return server, listener.Addr().String(), cancel
}

// rawPeer is the dialling end of a connection, below the link.
type rawPeer struct {
	t  *testing.T
	ws *websocket.Conn
}

// greet opens a connection and announces an agent of a given life.
func greet(t *testing.T, address string, incarnation model.Incarnation) rawPeer {
	t.Helper()
	ws, _, err := websocket.DefaultDialer.Dial("ws://"+address+Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ws.Close() })
	p := rawPeer{t, ws}
	p.send(frameOf(t, &wire.Hello{Role: wire.RoleAgent, Process: "agent", Incarnation: incarnation}))
	_ = ws.SetReadDeadline(time.Now().Add(limit))
	if _, _, err := ws.ReadMessage(); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p rawPeer) send(frame []byte) {
	if err := p.ws.WriteMessage(websocket.BinaryMessage, frame); err != nil {
		p.t.Log(err)
	}
}

// TestBadFramesEndAConnectionWithTheirCause sends a good message, then what a
// broken or newer peer may send, then a good message again: the first one is
// delivered, and nothing behind the bad one.
func TestBadFramesEndAConnectionWithTheirCause(t *testing.T) {
	good := func(t *testing.T, request string) []byte {
		return frameOf(t, &wire.Forget{Request: model.RequestID(request)})
	}
	forget := frameOf(t, &wire.Forget{Request: "r"})
	binary := func(frame []byte) func(rawPeer) { return func(p rawPeer) { p.send(frame) } }
	cases := []struct {
		name string
		bad  func(rawPeer)
		// want is the cause; nil stands for any other one.
		want error
	}{
		{"empty frame", binary(nil), wire.ErrFrameSize},
		{"version of the future", binary(append([]byte{wire.ProtocolVersion + 1}, forget[1:]...)), wire.ErrVersion},
		{"unknown type", binary([]byte{wire.ProtocolVersion, 255, 0x80}), wire.ErrUnknownType},
		{"cut message", binary(forget[:len(forget)-1]), wire.ErrMalformed},
		{"bytes behind the message", binary(append(forget[:len(forget):len(forget)], 0)), wire.ErrMalformed},
		{"other CBOR", binary([]byte{wire.ProtocolVersion, byte(wire.TypeForget), 0x01}), wire.ErrMalformed},
		{"oversized frame", binary(make([]byte, wire.MaxFrameBytes+1)), wire.ErrFrameSize},
		{"text", func(p rawPeer) { _ = p.ws.WriteMessage(websocket.TextMessage, forget) }, wire.ErrMalformed},
		{"closed", func(p rawPeer) { _ = p.ws.Close() }, nil},
		{"reset", func(p rawPeer) {
			_ = p.ws.NetConn().(*net.TCPConn).SetLinger(0)
			_ = p.ws.Close()
		}, nil},
		{"cut in the middle of a frame", func(p rawPeer) {
			_, _ = p.ws.NetConn().Write([]byte{0x82, 0xfe, 0x10, 0x00, 1, 2, 3, 4, 5})
			_ = p.ws.Close()
		}, nil},
		{"not WebSocket", func(p rawPeer) { _, _ = p.ws.NetConn().Write([]byte("GET / HTTP/1.1\r\n\r\n")) }, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server, address, _ := startHub(t, contractOptions())
			peer := greet(t, address, 1)
			server.nextUp(t)
			peer.send(good(t, "first"))
			o := server.next(t)
			if m, ok := o.message.(*wire.Forget); !ok || m.Request != "first" {
				t.Fatalf("first: got %+v", o)
			}
			c.bad(peer)
			_ = peer.ws.WriteMessage(websocket.BinaryMessage, good(t, "behind"))
			o = server.next(t)
			if o.cause == nil || (c.want != nil && !errors.Is(o.cause, c.want)) || errors.IsAny(o.cause, ErrSilent, ErrClosed) {
				t.Errorf("got %+v, want cause %v", o, c.want)
			}
		})
	}
}

// TestCauseOfAConnectionThatTheReaderEnds lets heartbeats fall due after the
// close frame that the WebSocket library sends for a bad frame, and before the
// reader names the cause.
func TestCauseOfAConnectionThatTheReaderEnds(t *testing.T) {
	server, address, _ := startHub(t, contractOptions())
	peer := greet(t, address, 1)
	conn := server.nextUp(t)
	closing := make(chan struct{})
	peer.ws.SetCloseHandler(func(int, string) error { close(closing); return nil })
	go func() {
		for {
			if _, _, err := peer.ws.ReadMessage(); err != nil {
				return
			}
		}
	}()
	body := websocket.FormatCloseMessage(websocket.CloseMessageTooBig, "")
	if err := conn.ws.WriteControl(websocket.CloseMessage, body, time.Now().Add(limit)); err != nil {
		t.Fatal(err)
	}
	<-closing
	time.Sleep(5 * testOptions().Heartbeat)
	peer.send(make([]byte, wire.MaxFrameBytes+1))
	if o := server.nextLoss(t); !errors.Is(o.cause, wire.ErrFrameSize) {
		t.Errorf("got %v, want %v", o.cause, wire.ErrFrameSize)
	}
}

// TestMessagesThatChangeNothing sends what a connection has to bear.
func TestMessagesThatChangeNothing(t *testing.T) {
	cases := map[string]wire.Message{
		"second greeting":               &wire.Hello{Role: wire.RoleEntry, Process: "other"},
		"welcome from the dialling end": &wire.Welcome{Process: "other"},
		"acknowledgement of the future": &wire.Heartbeat{Seq: 1, AckSeq: math.MaxUint64},
		"heartbeat of the past":         &wire.Heartbeat{},
		"permit from an agent":          &wire.Permit{AnsweredHeartbeat: math.MaxUint64, ValidMS: math.MaxInt64},
		"clock of the far future":       &wire.Clock{WallMS: math.MaxInt64, Counter: math.MaxUint32},
		"type without a handler":        &wire.RosterNotice{Addresses: []string{"x"}},
	}
	for name, m := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, address, _ := startHub(t, contractOptions())
			peer := greet(t, address, 1)
			conn := server.nextUp(t)
			peer.send(frameOf(t, m))
			peer.send(frameOf(t, &wire.Forget{Request: "r"}))
			if o := server.next(t); o.message == nil {
				t.Fatalf("got %+v, want the message", o)
			}
			if got := conn.Peer(); got.Process != "agent" || got.Role != wire.RoleAgent {
				t.Errorf("peer %+v", got)
			}
			if ahead := time.Until(time.UnixMilli(server.log.Now().WallMS)); ahead > 2*time.Hour {
				t.Errorf("the clock is %v ahead", ahead)
			}
		})
	}
}

// TestDuplicatesAreDeliveredAsTheyCome leaves it to the receiving core to tell
// a repeated message, since only that knows what it is about.
func TestDuplicatesAreDeliveredAsTheyCome(t *testing.T) {
	server, address, _ := startHub(t, contractOptions())
	peer := greet(t, address, 1)
	server.nextUp(t)
	for _, request := range []model.RequestID{"a", "b", "a"} {
		peer.send(frameOf(t, &wire.Forget{Request: request}))
	}
	got := ""
	for range 3 {
		got += string(server.next(t).message.(*wire.Forget).Request)
	}
	if got != "aba" {
		t.Errorf("got %q", got)
	}
}

// TestLivesOfOneProcess lets a process connect while it is connected.
func TestLivesOfOneProcess(t *testing.T) {
	cases := []struct {
		name        string
		incarnation model.Incarnation
		// replaced tells whether the second connection takes the first one's place.
		replaced bool
	}{{"the same life again", 5, true}, {"a later life", 6, true}, {"a former life", 4, false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, address, _ := startHub(t, contractOptions())
			greet(t, address, 5)
			first := server.nextUp(t)
			second := greet(t, address, c.incarnation)
			if !c.replaced {
				_ = second.ws.SetReadDeadline(time.Now().Add(limit))
				for {
					if _, _, err := second.ws.ReadMessage(); err != nil {
						break
					}
				}
				if first.Cause() != nil || server.hub.Conn("agent") != first || server.events.Len() != 0 {
					t.Errorf("the first connection ended: %v", first.Cause())
				}
				return
			}
			if o := server.next(t); o.conn != first || !errors.Is(o.cause, ErrReplaced) {
				t.Errorf("got %+v, want the loss of the first connection", o)
			}
			if up := server.nextUp(t); up.Peer().Incarnation != c.incarnation {
				t.Errorf("incarnation %d is up", up.Peer().Incarnation)
			}
		})
	}
}

// TestStopWhileMessagesComeIn ends the accepting side in the middle of traffic.
func TestStopWhileMessagesComeIn(t *testing.T) {
	server, address, stop := startHub(t, contractOptions())
	peer := greet(t, address, 1)
	server.nextUp(t)
	peer.send(frameOf(t, &wire.Forget{Request: "r"}))
	if o := server.next(t); o.message == nil {
		t.Fatalf("got %+v", o)
	}
	stop()
	if o := server.nextLoss(t); !errors.Is(o.cause, ErrClosed) {
		t.Errorf("cause %v, want ErrClosed", o.cause)
	}
}

// TestGreetingsThatAreNot opens a connection and does not greet.
func TestGreetingsThatAreNot(t *testing.T) {
	options := contractOptions()
	options.DialTimeout = 100 * time.Millisecond
	cases := []struct {
		name, sent string
	}{
		{"nothing", ""},
		{"half an upgrade", "GET " + Path + " HTTP/1.1\r\nHost: x\r\nUpgr"},
		{"upgrade and silence", "GET " + Path + " HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
			"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"},
		{"no upgrade", "GET " + Path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"},
		{"another path", "GET /other HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"},
		{"no HTTP", "\x00\x01\x02\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server, address, _ := startHub(t, options)
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, c.sent)
			_ = conn.SetReadDeadline(time.Now().Add(limit))
			if _, err := io.Copy(io.Discard, conn); isTimeout(err) {
				t.Error("the connection was not closed")
			}
			if server.events.Len() != 0 {
				t.Error("a connection without a greeting was reported")
			}
		})
	}
}

// TestRefusedGreetingsAreRecordedOnceAMinute wants an operator to learn of a
// peer of another version that dials again and again.
func TestRefusedGreetingsAreRecordedOnceAMinute(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	log := event.NewLog("entry", 64, func() time.Time { return now })
	hub := NewHub(Identity{Process: "entry"}, Options{}, log, nil, func() time.Time { return now })
	for i := range 120 {
		hub.noteRefused(fmt.Sprint("peer-", i), errors.Wrap(wire.ErrVersion, "version 2"))
		now = now.Add(time.Second)
	}
	hub.noteRefused("cut", io.ErrUnexpectedEOF)
	var subjects []string
	for _, e := range log.Events() {
		if e.Code == event.LinkRefused {
			subjects = append(subjects, e.Subject)
		}
	}
	if fmt.Sprint(subjects) != "[peer-0 peer-60]" {
		t.Errorf("recorded %v", subjects)
	}
}

// TestBodiesThatFitInNoFrameAreNotSent wants a refusal in place of the loss of
// the connection, and room for the largest body that the limit allows.
func TestBodiesThatFitInNoFrameAreNotSent(t *testing.T) {
	p := newPair(t, contractOptions(), 256)
	conn := p.server.nextUp(t)
	p.client.nextUp(t)
	body := make([]byte, wire.MaxBodyBytes+1)
	for _, m := range []wire.Message{&wire.OperatorCall{Body: body}, &wire.OperatorReply{Body: body}} {
		if conn.Send(m) {
			t.Errorf("%T was taken", m)
		}
	}
	largest := wire.OperatorReply{Body: body[:wire.MaxBodyBytes-1024]}
	if !conn.Send(&largest) || !conn.Send(&wire.Forget{Request: "r"}) {
		t.Fatal("a message that fits was refused")
	}
	if o := p.client.next(t); o.message == nil || conn.Cause() != nil {
		t.Errorf("got %+v, cause %v", o, conn.Cause())
	}
}
