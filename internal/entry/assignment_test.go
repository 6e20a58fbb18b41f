package entry_test

import (
	"context"
	"reflect"
	"sync"
	"testing"
	"time"

	"dragonflyyard/internal/dedup"
	"dragonflyyard/internal/event"
	"dragonflyyard/internal/link"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// listener is an agent that only follows the home assignment.
type listener struct {
	id model.BackendServerID
	// readsDeltas is unset for an agent from before there were deltas.
	readsDeltas bool

	mu         sync.Mutex
	assignment wire.Assignment
	config     model.ConfigVersion
	updates    int
	wholes     int
	deltas     int
}

// take follows an update and acknowledges it.
func (l *listener) take(c *link.Conn, m wire.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	update := *m.(*wire.ConfigUpdate)
	l.updates++
	l.config = update.To
	if update.Assignment != nil {
		l.wholes++
	}
	if update.Delta != nil {
		l.deltas++
	}
	ack := &wire.ConfigAck{Version: update.To}
	if !l.readsDeltas {
		update.Delta = nil
	}
	l.assignment, _ = dedup.ApplyUpdate(l.assignment, &update)
	if l.readsDeltas {
		ack.Assignment = l.assignment.Version
	}
	return c.Send(ack)
}

func (l *listener) seen() (assignment wire.Assignment, wholes, deltas int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.assignment, l.wholes, l.deltas
}

// counts are the updates that a listener received.
type counts struct{ updates, wholes int }

func (l *listener) counts() counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return counts{l.updates, l.wholes}
}

// startListener connects a listener to an entry host until the end of the test.
func (r *region) startListener(l *listener, address string) {
	identity := link.Identity{Process: string(l.id), Incarnation: 1, Hello: func() wire.Hello {
		l.mu.Lock()
		defer l.mu.Unlock()
		hello := wire.Hello{
			Role: wire.RoleAgent, Process: string(l.id), Incarnation: 1, Region: "nordeste", Zone: "caruaru",
			Backend: &model.BackendServer{ID: l.id}, Leaving: true,
		}
		if l.readsDeltas {
			hello.Config, hello.Assignment = l.config, l.assignment.Version
		}
		return hello
	}}
	hub := link.NewHub(identity, link.Options{}, event.NewLog(string(l.id), 16, time.Now), nil, time.Now)
	hub.Handle(wire.RoleEntry, wire.TypeConfigUpdate, l.take)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancels = append(r.cancels, cancel)
	r.running.Go(func() { hub.Dial(ctx, address) })
}

// TestMovedRangesAreSentAsDeltas lets an agent join, so that ranges move to it.
func TestMovedRangesAreSentAsDeltas(t *testing.T) {
	options := regionOptions{entries: 1, agents: 2, stopTimeout: time.Second}
	r := startRegion(t, options)
	address := r.entries[0].LinkAddress()
	listeners := []*listener{{id: "new-reader", readsDeltas: true}, {id: "old-reader"}}
	for _, l := range listeners {
		r.startListener(l, address)
		r.await(string(l.id)+" to hold an assignment", func() bool {
			assignment, _, _ := l.seen()
			return assignment.Version > 0
		})
	}
	before, wholes, _ := listeners[0].seen()
	r.startAgent(2, options, []string{address})
	for _, l := range listeners {
		r.await(string(l.id)+" to follow", func() bool {
			assignment, _, _ := l.seen()
			for _, held := range assignment.Ranges {
				if held.Home == "backend-3" {
					return true
				}
			}
			return false
		})
	}
	after, wholesAfter, deltas := listeners[0].seen()
	if deltas == 0 || wholesAfter != wholes {
		t.Errorf("from version %d to %d: %d deltas and %d wholes, want deltas alone", before.Version, after.Version, deltas, wholesAfter-wholes)
	}
	if _, _, deltas := listeners[1].seen(); deltas != 0 {
		t.Errorf("%d deltas to an agent that acknowledges none", deltas)
	}
	r.await("both to have the same", func() bool {
		one, _, _ := listeners[0].seen()
		other, _, _ := listeners[1].seen()
		return reflect.DeepEqual(one, other)
	})
}

// TestReconnectedAgentIsSentOnlyWhatItLacks cuts the links of an agent that tells
// what it has, and of one that does not.
func TestReconnectedAgentIsSentOnlyWhatItLacks(t *testing.T) {
	r := startRegion(t, regionOptions{entries: 1, agents: 1, stopTimeout: time.Second, boxed: true})
	for _, l := range []*listener{{id: "new-reader", readsDeltas: true}, {id: "old-reader"}} {
		r.startListener(l, r.entries[0].LinkAddress())
		r.await(string(l.id)+" to hold an assignment", func() bool {
			assignment, _, _ := l.seen()
			return assignment.Version > 0
		})
		before := l.counts()
		r.boxes[0].Cut()
		r.await(string(l.id)+" to be connected again", func() bool { return l.counts().updates > before.updates })
		after := l.counts()
		if sentWhole := after.wholes > before.wholes; sentWhole == l.readsDeltas {
			t.Errorf("%s: whole assignment sent again: %v", l.id, sentWhole)
		}
	}
}
