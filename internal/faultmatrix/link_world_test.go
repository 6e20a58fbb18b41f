package faultmatrix

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"dragonflyyard/internal/link"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/wire"
)

// linkWorld is an agent's and an entry host's hub with a middlebox between.
type linkWorld struct {
	t   *testing.T
	box *standin.Middlebox
	// target is the entry host's own address.
	target string

	mu    sync.Mutex
	agent *linkProcess
	entry *linkProcess
	hooks map[link.Step]func()
	// leads run at each occurrence of their step until the wanted step is reached.
	leads   map[link.Step]func()
	wanted  link.Step
	reached map[link.Step]bool
	got     int
	bad     []string
	// open and last are the connections that each life of the entry host has.
	open map[string]uint64
	last map[entryConn]int
}

// entryConn is a connection of one life of the entry host.
type entryConn struct {
	life model.Incarnation
	id   uint64
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
		t: t, box: box, hooks: map[link.Step]func(){}, leads: map[link.Step]func(){}, reached: map[link.Step]bool{},
		open: map[string]uint64{}, last: map[entryConn]int{},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.target = listener.Addr().String()
	w.startEntry(listener, 1)
	t.Cleanup(func() {
		w.agentNow().stop()
		w.entryNow().stop()
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

// traced notes a step of the agent's end and runs its hook, once, and what
// leads to the wanted step.
func (w *linkWorld) traced(s link.Step) {
	s.Peer = ""
	w.mu.Lock()
	hook := w.hooks[s]
	delete(w.hooks, s)
	w.reached[s] = true
	lead := w.leads[s]
	if w.reached[w.wanted] {
		lead = nil
	}
	w.mu.Unlock()
	if lead != nil {
		go lead()
	}
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
	p.hub.OnState(wire.RoleAgent, func(c *link.Conn, cause error) bool { return w.noteState(incarnation, c, cause) })
	p.hub.Handle(wire.RoleAgent, wire.TypeForget, func(c *link.Conn, m wire.Message) bool {
		return w.noteMessage(entryConn{incarnation, c.ID()}, m)
	})
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
	// The agent's first steps may set off what reads and stops it.
	w.mu.Lock()
	defer w.mu.Unlock()
	w.agent = p
	p.done.Go(func() { p.hub.Dial(ctx, w.box.Address()) })
	p.done.Go(func() { w.sendAll(ctx, p.hub) })
}

// agentNow returns the agent's present life.
func (w *linkWorld) agentNow() *linkProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agent
}

// entryNow returns the entry host's present life.
func (w *linkWorld) entryNow() *linkProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entry
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

// noteState checks in each life of the entry host that connections of a peer
// come up and are lost one after the other.
func (w *linkWorld) noteState(life model.Incarnation, c *link.Conn, cause error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	peer := fmt.Sprintf("%s@%d of life %d", c.Peer().Process, c.Peer().Incarnation, life)
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
	w.last[entryConn{life, c.ID()}] = -1
	return true
}

// noteMessage checks that a connection's messages arrive in order, without gaps.
func (w *linkWorld) noteMessage(c entryConn, m wire.Message) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	number, err := strconv.Atoi(string(m.(*wire.Forget).Request))
	if err != nil || number != w.last[c]+1 {
		w.bad = append(w.bad, fmt.Sprintf("connection %d: message %v after %d", c.id, number, w.last[c]))
	}
	w.last[c] = number
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
