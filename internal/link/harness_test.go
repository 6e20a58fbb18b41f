package link

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/wire"
)

func testOptions() Options {
	return Options{
		Heartbeat: 20 * time.Millisecond, Silence: 300 * time.Millisecond,
		WriteTimeout: 300 * time.Millisecond, OwnerPatience: 50 * time.Millisecond,
		MinReconnectDelay: time.Millisecond, MaxReconnectDelay: 20 * time.Millisecond,
	}
}

func newNode(name string, role, peer wire.Role, options Options, capacity int) *node {
	n := &node{overdue: make(chan *Conn, 64), events: ring.New[observed](name, capacity, nil), log: event.NewLog(name, 64, time.Now)}
	identity := Identity{
		Process: name, Incarnation: 1,
		Hello: func() wire.Hello {
			return wire.Hello{Role: role, Process: name, Incarnation: 1, Backend: &model.BackendServer{ID: "b", Slots: 8}}
		},
		Roster:      func() []string { return []string{"127.0.0.1:1"} },
		NeedsStatus: n.needsStatus.Load,
	}
	n.hub = NewHub(identity, options, n.log, nil, time.Now)
	n.hub.OnState(peer, func(c *Conn, cause error) bool {
		return n.events.TryPush(observed{conn: c, cause: cause})
	})
	n.hub.OnOverdue(peer, func(c *Conn) {
		select {
		case n.overdue <- c:
		default:
		}
	})
	n.hub.Handle(peer, wire.TypeHeartbeat, func(c *Conn, m wire.Message) bool {
		n.unasked.Store(m.(*wire.Heartbeat).NoStatus)
		return !n.permits.Load() || c.Send(&wire.Permit{AnsweredHeartbeat: m.(*wire.Heartbeat).Seq})
	})
	for _, kind := range []wire.Type{wire.TypeForget, wire.TypeDispatch} {
		n.hub.Handle(peer, kind, func(c *Conn, m wire.Message) bool {
			return n.events.TryPush(observed{conn: c, message: m})
		})
	}
	return n
}

// next returns the next observation.
func (n *node) next(t *testing.T) observed {
	t.Helper()
	select {
	case o := <-n.events.Out():
		return o
	case <-time.After(limit):
		t.Fatal("no event within the limit")
		return observed{}
	}
}

// nextUp skips to the next connection that came up.
func (n *node) nextUp(t *testing.T) *Conn {
	t.Helper()
	for {
		if o := n.next(t); o.message == nil && o.cause == nil {
			return o.conn
		}
	}
}

// nextLoss skips to the next loss.
func (n *node) nextLoss(t *testing.T) observed {
	t.Helper()
	for {
		if o := n.next(t); o.cause != nil {
			return o
		}
	}
}

func newMiddlebox(t *testing.T, target string) *standin.Middlebox {
	t.Helper()
	box, err := standin.NewMiddlebox()
	if err != nil {
		t.Fatal(err)
	}
	box.SetTarget(target)
	t.Cleanup(box.Close)
	return box
}

// pair is an answering and a dialling node with a middlebox between them.
type pair struct {
	server, client *node
	box            *standin.Middlebox
}

func newPair(t *testing.T, options Options, capacity int) *pair {
	t.Helper()
	server := newNode("entry", wire.RoleEntry, wire.RoleAgent, options, capacity)
	client := newNode("agent", wire.RoleAgent, wire.RoleEntry, options, capacity)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	box := newMiddlebox(t, listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		if err := server.hub.Accept(ctx, listener); err != nil {
			t.Error(err)
		}
	})
	running.Go(func() { client.hub.Dial(ctx, box.Address()) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return &pair{server, client, box}
}
