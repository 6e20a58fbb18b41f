package faultmatrix

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/link"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/standin"
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

// linkWorld is an agent's and an entry host's hub with a middlebox between.
type linkWorld struct {
	t   *testing.T
	box *standin.Middlebox
	// target is the entry host's own address.
	target string

	mu      sync.Mutex
	agent   *linkProcess
	entry   *linkProcess
	hooks   map[link.Step]func()
	reached map[link.Step]bool
	got     int
	bad     []string
	open    map[string]uint64
	last    map[uint64]int
}

// linkProcess is one life of a hub.
type linkProcess struct {
	hub    *link.Hub
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newLinkWorld(t *testing.T) *linkWorld {
	t.Helper()
	box, err := standin.NewMiddlebox()
	if err != nil {
		t.Fatal(err)
	}
	w := &linkWorld{
		t: t, box: box, hooks: map[link.Step]func(){}, reached: map[link.Step]bool{},
		open: map[string]uint64{}, last: map[uint64]int{},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.target = listener.Addr().String()
	w.startEntry(listener, 1)
	t.Cleanup(func() {
		w.agent.stop()
		w.entry.stop()
		box.Close()
	})
	return w
}

func (w *linkWorld) options(trace bool) link.Options {
	o := link.Options{
		Heartbeat: linkHeartbeat, Silence: linkSilence, WriteTimeout: linkSilence, DialTimeout: linkSilence,
		OutgoingBytes: linkQueueBytes, MinReconnectDelay: time.Millisecond, MaxReconnectDelay: 10 * time.Millisecond,
	}
	if trace {
		o.Trace = w.traced
	}
	return o
}

// traced notes a step of the agent's end and runs its hook, once.
func (w *linkWorld) traced(s link.Step) {
	s.Peer = ""
	w.mu.Lock()
	hook := w.hooks[s]
	delete(w.hooks, s)
	w.reached[s] = true
	w.mu.Unlock()
	if hook != nil {
		go hook()
	}
}

// on sets what happens at the first occurrence of a step.
func (w *linkWorld) on(s step, hook func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hooks[link.Step{From: s.from, Event: s.event}] = hook
}

func (w *linkWorld) startEntry(listener net.Listener, incarnation model.Incarnation) {
	identity := link.Identity{Process: "entry", Incarnation: incarnation}
	p := &linkProcess{hub: link.NewHub(identity, w.options(false), nil, nil, time.Now)}
	p.hub.OnState(wire.RoleAgent, w.noteState)
	p.hub.Handle(wire.RoleAgent, wire.TypeForget, w.noteMessage)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.done.Go(func() { _ = p.hub.Accept(ctx, listener) })
	w.mu.Lock()
	w.entry = p
	w.mu.Unlock()
}

func (w *linkWorld) startAgent(incarnation model.Incarnation) {
	identity := link.Identity{
		Process: "agent", Incarnation: incarnation,
		Hello: func() wire.Hello { return wire.Hello{Role: wire.RoleAgent, Process: "agent", Incarnation: incarnation} },
	}
	p := &linkProcess{hub: link.NewHub(identity, w.options(true), nil, nil, time.Now)}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.done.Go(func() { p.hub.Dial(ctx, w.box.Address()) })
	p.done.Go(func() { w.sendAll(ctx, p.hub) })
	w.mu.Lock()
	w.agent = p
	w.mu.Unlock()
}

func (p *linkProcess) stop() {
	if p != nil {
		p.cancel()
		p.done.Wait()
	}
}

// sendAll sends numbered messages; each carries its connection's own count.
func (w *linkWorld) sendAll(ctx context.Context, hub *link.Hub) {
	counts := map[uint64]int{}
	for ctx.Err() == nil {
		if c := hub.Conn("entry"); c != nil {
			id := fmt.Sprintf("%d", counts[c.ID()])
			if c.Send(&wire.Forget{Request: model.RequestID(id)}) {
				counts[c.ID()]++
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// noteState checks at the entry host's end that connections of a peer come up
// and are lost one after the other.
func (w *linkWorld) noteState(c *link.Conn, cause error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	peer := c.Peer().Process + "@" + strconv.FormatUint(uint64(c.Peer().Incarnation), 10)
	switch id, isOpen := w.open[peer]; {
	case cause == nil && isOpen:
		w.bad = append(w.bad, fmt.Sprintf("connection %d came up before %d was lost", c.ID(), id))
	case cause != nil && (!isOpen || id != c.ID()):
		w.bad = append(w.bad, fmt.Sprintf("connection %d was lost and was not up", c.ID()))
	}
	if cause != nil {
		delete(w.open, peer)
		return true
	}
	w.open[peer] = c.ID()
	w.last[c.ID()] = -1
	return true
}

// noteMessage checks that a connection's messages arrive in order, without gaps.
func (w *linkWorld) noteMessage(c *link.Conn, m wire.Message) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	number, err := strconv.Atoi(string(m.(*wire.Forget).Request))
	if err != nil || number != w.last[c.ID()]+1 {
		w.bad = append(w.bad, fmt.Sprintf("connection %d: message %v after %d", c.ID(), number, w.last[c.ID()]))
	}
	w.last[c.ID()] = number
	w.got++
	return true
}

func (w *linkWorld) await(what string, condition func() bool) {
	w.t.Helper()
	deadline := time.Now().Add(linkLimit)
	for {
		w.mu.Lock()
		ok := condition()
		w.mu.Unlock()
		if ok {
			return
		}
		if time.Now().After(deadline) {
			w.t.Fatalf("waited in vain for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
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
	w.agent.stop()
	w.startAgent(2)
}

func (w *linkWorld) restartEntry() {
	w.entry.stop()
	listener, err := net.Listen("tcp", w.target)
	if err != nil {
		w.t.Error(err)
		return
	}
	w.startEntry(listener, 2)
}

// lead arranges that the connection takes a step.
func (w *linkWorld) lead(s step) {
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
		w.alsoOn(opened, func() { w.stall() })
	case "silence_declared":
		w.alsoOn(opened, func() { w.box.Silence(true, true) })
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
		w.alsoOn(opened, act)
	default:
		w.alsoOn(opened, func() { w.stall() })
		w.alsoOn(overdue, act)
	}
}

// alsoOn adds a hook without replacing the one that a step already has.
func (w *linkWorld) alsoOn(s step, hook func()) {
	key := link.Step{From: s.from, Event: s.event}
	w.mu.Lock()
	defer w.mu.Unlock()
	first := w.hooks[key]
	w.hooks[key] = func() {
		hook()
		if first != nil {
			first()
		}
	}
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
		w.mu.Lock()
		agent := w.agent
		w.mu.Unlock()
		if c := agent.hub.Conn("entry"); c != nil {
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
