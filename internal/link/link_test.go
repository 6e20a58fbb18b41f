package link

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/websocket"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/wire"
)

// limit is the generous bound on every wait of these tests.
const limit = 20 * time.Second

type observed struct {
	conn    *Conn
	message wire.Message
	cause   error
}

// node is one process's end of the links under test.
type node struct {
	hub    *Hub
	log    *event.Log
	events *ring.Ring[observed]
	// overdue holds connections whose heartbeats were overdue, as far as it has room.
	overdue chan *Conn
	// permits is set while each heartbeat is answered with a permit.
	permits atomic.Bool
	// needsStatus is what the node's heartbeats ask for, unasked whether the
	// last received heartbeat asked for none.
	needsStatus, unasked atomic.Bool
}

func TestMessagesArriveInOrderBothWays(t *testing.T) {
	p := newPair(t, testOptions(), 4096)
	fromServer, fromClient := p.server.nextUp(t), p.client.nextUp(t)
	if got := fromServer.Peer(); got.Process != "agent" || got.Hello.Backend.Slots != 8 {
		t.Errorf("server sees peer %+v", got)
	}
	if got := fromClient.Peer(); got.Process != "entry" || len(got.Roster) != 1 || got.Connection != fromServer.ID() {
		t.Errorf("client sees peer %+v", got)
	}
	const count = 500
	for i := range count {
		m := &wire.Forget{Request: model.RequestID(fmt.Sprint(i))}
		if !p.client.hub.Send("entry", m) || !p.server.hub.Send("agent", m) {
			t.Fatal("send refused")
		}
	}
	for _, n := range []*node{p.server, p.client} {
		for i := range count {
			o := n.next(t)
			if m, ok := o.message.(*wire.Forget); !ok || string(m.Request) != fmt.Sprint(i) {
				t.Fatalf("message %d: got %+v", i, o)
			}
		}
	}
}

func TestCutIsReportedAndReconnected(t *testing.T) {
	p := newPair(t, testOptions(), 4096)
	first := p.server.nextUp(t)
	p.client.nextUp(t)
	p.box.Cut()
	if o := p.server.nextLoss(t); o.conn != first {
		t.Errorf("lost connection %d, want %d", o.conn.ID(), first.ID())
	}
	p.client.nextLoss(t)
	if second := p.server.nextUp(t); second.ID() <= first.ID() {
		t.Errorf("connection numbers %d, %d do not grow", first.ID(), second.ID())
	}
	p.client.nextUp(t)
	if first.Send(&wire.Forget{}) {
		t.Error("a lost connection took a message")
	}
}

func TestSilentConnectionIsReplacedWhileTheSocketStaysOpen(t *testing.T) {
	cases := []struct {
		name     string
		up, down bool
	}{
		{"both ways", true, true},
		{"dialling side unheard", true, false},
		{"answering side unheard", false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPair(t, testOptions(), 4096)
			first := p.client.nextUp(t)
			p.box.Silence(c.up, c.down)
			o := p.client.nextLoss(t)
			if o.conn != first {
				t.Errorf("lost connection %d, want %d", o.conn.ID(), first.ID())
			}
			second := p.client.nextUp(t)
			if !second.Send(&wire.Forget{Request: "r"}) {
				t.Fatal("send refused")
			}
			for {
				if o := p.server.next(t); o.message != nil {
					return
				}
			}
		})
	}
}

func TestDelayBelowTheSilenceLimitKeepsTheConnection(t *testing.T) {
	options := testOptions()
	options.Silence = 10 * time.Second
	p := newPair(t, options, 4096)
	p.client.nextUp(t)
	p.server.nextUp(t)
	p.box.SetDelay(30 * time.Millisecond)
	for range 5 {
		if !p.client.hub.Send("entry", &wire.Forget{Request: "r"}) {
			t.Fatal("send refused")
		}
		if o := p.server.next(t); o.message == nil {
			t.Fatalf("got %+v, want a message", o)
		}
	}
}

func TestPeerThatDoesNotDrainIsCut(t *testing.T) {
	options := testOptions()
	options.Silence = limit
	options.OutgoingBytes = 64 << 20
	p := newPair(t, options, 4096)
	conn := p.client.nextUp(t)
	p.box.SetDelay(time.Hour)
	body := make([]byte, wire.MaxPartBytes)
	sent := 0
	for conn.Send(&wire.Dispatch{Request: "r", Body: body}) && sent < 1<<20 {
		sent++
		if sent%64 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	if o := p.client.nextLoss(t); !errors.Is(o.cause, ErrSlowReader) {
		t.Errorf("cause %v, want ErrSlowReader", o.cause)
	}
}

func TestOwnerThatDoesNotDrainLosesTheConnectionNotAMessage(t *testing.T) {
	const capacity = 4
	p := newPair(t, testOptions(), capacity)
	conn := p.client.nextUp(t)
	for i := range 100 {
		if !conn.Send(&wire.Forget{Request: model.RequestID(fmt.Sprint(i))}) {
			break
		}
	}
	<-conn.closed
	p.server.nextUp(t)
	for i := 0; ; i++ {
		o := p.server.next(t)
		if o.cause != nil {
			if !errors.Is(o.cause, ErrOwnerBusy) {
				t.Errorf("cause %v, want ErrOwnerBusy", o.cause)
			}
			return
		}
		if m := o.message.(*wire.Forget); string(m.Request) != fmt.Sprint(i) {
			t.Fatalf("message %s in place of %d", m.Request, i)
		}
	}
}

func TestTwoAddressesOfOneProcessSettleOnOneConnection(t *testing.T) {
	options := testOptions()
	options.Silence = time.Second
	p := newPair(t, options, 4096)
	p.client.nextUp(t)
	second := newMiddlebox(t, p.box.Target())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { p.client.hub.Dial(ctx, second.Address()) })
	defer running.Wait()
	defer cancel()
	// The second address takes the first one's place at most once before it is
	// known to lead to the same process.
	p.client.nextLoss(t)
	conn := p.client.nextUp(t)
	deadline := time.Now().Add(2 * options.Silence)
	for time.Now().Before(deadline) {
		if conn.Cause() != nil {
			t.Fatalf("connection %d ended: %v", conn.ID(), conn.Cause())
		}
		time.Sleep(time.Millisecond)
	}
}

func TestBadFirstMessagesAreRefused(t *testing.T) {
	server := newNode("entry", wire.RoleEntry, wire.RoleAgent, testOptions(), 16)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.hub.Accept(ctx, listener) }()
	encode := func(m wire.Message) []byte {
		frame, err := wire.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		return frame
	}
	cases := []struct {
		name  string
		frame []byte
	}{
		{"empty", nil},
		{"other version", []byte{9, 1, 0x80}},
		{"not Hello", encode(&wire.Heartbeat{Seq: 1})},
		{"no process name", encode(&wire.Hello{Role: wire.RoleAgent})},
		{"unknown role", encode(&wire.Hello{Role: 9, Process: "p"})},
		{"oversized", make([]byte, wire.MaxFrameBytes+1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ws, _, err := websocket.DefaultDialer.Dial("ws://"+listener.Addr().String()+Path, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ws.Close() }()
			_ = ws.WriteMessage(websocket.BinaryMessage, c.frame)
			_ = ws.SetReadDeadline(time.Now().Add(limit))
			if _, _, err := ws.ReadMessage(); err == nil || isTimeout(err) {
				t.Errorf("connection not closed: %v", err)
			}
		})
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if server.events.Len() != 0 {
		t.Error("a refused connection was reported")
	}
}

func TestMessagesCarryTheSendersClock(t *testing.T) {
	p := newPair(t, testOptions(), 4096)
	p.server.nextUp(t)
	p.client.nextUp(t)
	ahead := event.Timestamp{WallMS: time.Now().Add(time.Hour).UnixMilli()}
	p.server.log.Observe(ahead)
	if !p.server.hub.Send("agent", &wire.Forget{Request: "r"}) {
		t.Fatal("send refused")
	}
	for p.client.next(t).message == nil {
		continue
	}
	sent, received := p.server.hub.traffic, p.client.hub.traffic
	if received.framesIn.Count() < 2 || received.bytesIn.Count() > sent.bytesOut.Count() {
		t.Errorf("%d bytes of %d in %d frames counted", received.bytesIn.Count(), sent.bytesOut.Count(), received.framesIn.Count())
	}
	if got := p.client.log.Now(); !ahead.Less(got) {
		t.Errorf("receiver's clock %+v is not after the sender's %+v", got, ahead)
	}
}

func TestHeartbeatTracker(t *testing.T) {
	start := time.UnixMilli(0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tracker := newHeartbeatTracker(2*time.Second, start)
	for i := range 4 {
		tracker.next(at(500 * i))
	}
	tracker.received(&wire.Heartbeat{Seq: 7, AckSeq: 2})
	tracker.heard(at(1600))
	if sent, ok := tracker.sentAt(2); !ok || !sent.Equal(at(500)) {
		t.Errorf("heartbeat 2 sent at %v, %v", sent, ok)
	}
	for _, seq := range []uint64{0, 5, sentHeartbeats + 1} {
		if _, ok := tracker.sentAt(seq); ok {
			t.Errorf("heartbeat %d is remembered", seq)
		}
	}
	cases := []struct {
		ms   int
		want error
	}{{3000, nil}, {3001, ErrUnacknowledged}, {3601, ErrSilent}}
	for _, c := range cases {
		if got := tracker.check(at(c.ms)); !errors.Is(got, c.want) {
			t.Errorf("at %d ms: got %v, want %v", c.ms, got, c.want)
		}
	}
	if got := tracker.next(at(3600)); got.AckSeq != 7 || got.Seq != 5 {
		t.Errorf("next heartbeat %+v", got)
	}
	tracker.received(&wire.Heartbeat{Seq: 3, AckSeq: 99})
	if got := tracker.check(at(3600)); !errors.Is(got, ErrUnacknowledged) {
		t.Errorf("an acknowledgement from the future counted: %v", got)
	}
}

func TestPermitsStandForHeartbeatsOfAnEntryHost(t *testing.T) {
	p := newPair(t, testOptions(), 4096)
	p.server.permits.Store(true)
	conn := p.server.nextUp(t)
	dialled := p.client.nextUp(t)
	// Wait until a permit answered, then over several silence limits.
	time.Sleep(testOptions().Silence)
	before := conn.heartbeats.sentCount()
	time.Sleep(3 * testOptions().Silence)
	if conn.Cause() != nil || dialled.Cause() != nil {
		t.Fatalf("ended: %v, %v", conn.Cause(), dialled.Cause())
	}
	most := 3 * uint64(testOptions().Silence/testOptions().Heartbeat) / 2
	if sent := conn.heartbeats.sentCount() - before; sent > most {
		t.Errorf("%d heartbeats beside permits, want at most %d", sent, most)
	}
	p.box.Silence(false, true)
	if o := p.client.nextLoss(t); o.conn != dialled {
		t.Errorf("lost %d", o.conn.ID())
	}
	if o := p.server.nextLoss(t); o.conn != conn {
		t.Errorf("lost %d", o.conn.ID())
	}
}

func TestOnlyMessagesThatAreRecordedCarryTheClock(t *testing.T) {
	p := newPair(t, testOptions(), 4096)
	p.server.nextUp(t)
	p.client.nextUp(t)
	ahead := event.Timestamp{WallMS: time.Now().Add(time.Hour).UnixMilli()}
	p.server.log.Observe(ahead)
	if !p.server.hub.Send("agent", &wire.Credit{Seq: 1}) {
		t.Fatal("send refused")
	}
	frames := p.client.hub.traffic.framesIn.Count()
	for p.client.hub.traffic.framesIn.Count() < frames+5 {
		time.Sleep(time.Millisecond)
	}
	if got := p.client.log.Now(); ahead.Less(got) {
		t.Error("control messages carried the clock")
	}
}

func TestHeartbeatsToEntryHostsAskForAStatusWhileOneIsNeeded(t *testing.T) {
	p := newPair(t, testOptions(), 4096)
	p.server.nextUp(t)
	p.client.nextUp(t)
	for _, needed := range []bool{false, true, false} {
		p.client.needsStatus.Store(needed)
		deadline := time.Now().Add(limit)
		for p.server.unasked.Load() == needed {
			if time.Now().After(deadline) {
				t.Fatalf("heartbeats do not follow a need of %v", needed)
			}
			time.Sleep(time.Millisecond)
		}
	}
	if p.client.unasked.Load() {
		t.Error("a heartbeat to an agent names a status")
	}
}

func TestReconnectDelayGrowsToItsBound(t *testing.T) {
	o := Options{}.WithDefaults()
	for attempt := range 40 {
		low, high := reconnectDelay(o, attempt, 0), reconnectDelay(o, attempt, 0.999)
		if low < o.MinReconnectDelay/2 || high > o.MaxReconnectDelay || low > high {
			t.Errorf("attempt %d: %v to %v", attempt, low, high)
		}
	}
}
