package faultmatrix

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/link"
	"dragonflyyard/internal/wire"
)

// Times of a run on real links, and the generous bound on its waits.
const (
	linkHeartbeat = 15 * time.Millisecond
	linkSilence   = 200 * time.Millisecond
	linkLimit     = 30 * time.Second
	linkSlow      = 5 * time.Millisecond
	// linkMessages is how many messages have to arrive after the fault.
	linkMessages = 50
	// linkQueueBytes bounds the queue of a connection; a body above it makes
	// the reader slow.
	linkQueueBytes = 512 << 10
)

func init() {
	faults := []Fault{
		HostKilled, ProcessFrozen, ConnectionSilent, ConnectionCut, ConnectionSlow, EntryKilled, AgentKilled, SecondFault,
	}
	registerEach("connection", []Promise{PromiseRequestOutcome}, allSteps("connection"), faults, runLinkCell)
	registerImpossibleRows("connection", PromiseRequestOutcome,
		"a TCP connection delivers its bytes once and in order; what it loses for good is the silent row",
		MessageDuplicated, MessageReordered, MessageLost)
}

// runLinkCell takes a step on a real connection with the fault at that very
// step, and checks that what arrived is whole and in order and that messages
// flow again afterwards.
func runLinkCell(t *testing.T, s step, f Fault) {
	w := newLinkWorld(t)
	var faultDone sync.WaitGroup
	faultDone.Add(1)
	w.on(s, func() {
		defer faultDone.Done()
		w.put(f)
	})
	w.lead(s)
	w.startAgent(1)
	w.await("the step", func() bool { return w.reached[link.Step{From: s.from, Event: s.event}] })
	faultDone.Wait()
	w.box.SetTarget(w.target)
	w.box.SetDelay(0)
	w.mu.Lock()
	before := w.got
	w.mu.Unlock()
	w.await("messages after the fault", func() bool { return w.got >= before+linkMessages })
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, bad := range w.bad {
		t.Error(bad)
	}
}

// put applies a fault.
func (w *linkWorld) put(f Fault) {
	switch f {
	case HostKilled, AgentKilled:
		w.restartAgent()
	case EntryKilled:
		w.restartEntry()
	case ProcessFrozen:
		w.box.SetDelay(2 * linkSilence)
		time.Sleep(2 * linkSilence)
	case ConnectionSilent:
		w.box.Silence(true, true)
	case ConnectionCut:
		w.box.Cut()
	case ConnectionSlow:
		w.box.SetDelay(linkSlow)
		time.Sleep(4 * linkSlow)
	case SecondFault:
		w.box.Silence(true, false)
		time.Sleep(linkSilence / 2)
		w.restartEntry()
	}
}

func (w *linkWorld) restartAgent() {
	w.agentNow().stop()
	w.startAgent(2)
}

// restartEntry starts the entry host's next life, on another port: the kernel may
// have given the former one away.
func (w *linkWorld) restartEntry() {
	w.entryNow().stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Error(err)
		return
	}
	w.target = listener.Addr().String()
	w.startEntry(listener, 2)
}

// lead arranges that the connection takes a step.
func (w *linkWorld) lead(s step) {
	w.wanted = link.Step{From: s.from, Event: s.event}
	overdue := step{"open", "heartbeat_overdue"}
	opened := step{"greeting", "welcomed"}
	w.box.SetTarget(w.target)
	switch s.event {
	case "dial_failed":
		w.box.SetTarget("")
	case "greeting_refused":
		w.box.SetTarget(w.impostor([]byte{9, 9, 9}, false))
	case "greeting_timed_out":
		w.box.SetTarget(w.impostor(nil, false))
	case "heartbeat_overdue", "message_received":
		w.leadOn(opened, w.stall)
	case "silence_declared":
		w.leadOn(opened, func() { w.box.Silence(true, true) })
	}
	if s.from == "greeting" && s.event == "cut" {
		w.box.SetTarget(w.impostor(nil, true))
	}
	act := map[string]func(){
		"cut": w.box.Cut, "reader_slow": w.flood,
		"stop_ordered": func() { w.withConn(func(c *link.Conn) { c.Close() }) },
	}[s.event]
	switch {
	case act == nil || s.from == "greeting":
	case s.from == "open":
		w.leadOn(opened, act)
	default:
		w.leadOn(opened, w.stall)
		w.leadOn(overdue, act)
		w.leadOn(step{"suspect", "message_received"}, w.stall)
	}
}

// leadOn sets what happens at each occurrence of a step until the wanted one is
// reached. A connection may leave a state before what should happen there does.
func (w *linkWorld) leadOn(s step, act func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leads[link.Step{From: s.from, Event: s.event}] = act
}

// stall holds up what passes for longer than a heartbeat may take, and for
// less than the silence limit.
func (w *linkWorld) stall() {
	w.box.SetDelay(linkSilence / 2)
	time.Sleep(linkSilence / 4)
	w.box.SetDelay(0)
}

// flood sends more at once than a connection may queue.
func (w *linkWorld) flood() {
	w.withConn(func(c *link.Conn) {
		for c.Send(&wire.Dispatch{Body: make([]byte, wire.MaxPartBytes)}) {
			continue
		}
	})
}

// withConn waits for the agent's connection.
func (w *linkWorld) withConn(use func(*link.Conn)) {
	deadline := time.Now().Add(linkLimit)
	for time.Now().Before(deadline) {
		if c := w.agentNow().hub.Conn("entry"); c != nil {
			use(c)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// impostor serves a WebSocket that answers Hello with a frame, with nothing,
// or by closing.
func (w *linkWorld) impostor(frame []byte, closes bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = listener.Close() })
	upgrader := websocket.FastHTTPUpgrader{}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		_ = upgrader.Upgrade(ctx, func(ws *websocket.Conn) {
			_, _, _ = ws.ReadMessage()
			if closes {
				return
			}
			if frame != nil {
				_ = ws.WriteMessage(websocket.BinaryMessage, frame)
			}
			_, _, _ = ws.ReadMessage()
		})
	}}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}
