package intake

import (
	"testing"
	"time"
)

// TestWhoGoesFirst guards against a crowd that takes the place of ordinary clients: each
// new connection of a full face costs the one that is needed least, never a call.
func TestWhoGoesFirst(t *testing.T) {
	start := time.Unix(1000, 0)
	l := NewLedger(1 << 20)
	names := map[*Client]string{}
	open := func(name string, phase Phase, at time.Duration) {
		c := &Client{Face: "f"}
		names[c] = name
		if _, ok := l.Open(c, 6, start.Add(at)); !ok {
			t.Fatalf("%s is refused", name)
		}
		l.Turn(c, phase, start.Add(at))
	}
	open("call", Serving, 0)
	open("idle", Idle, 0)
	open("unused", Waiting, time.Second)
	open("slow body", Reading, 2*time.Second)
	open("unread answer", Answering, 3*time.Second)
	open("body", Reading, 4900*time.Millisecond)
	for _, want := range []string{"slow body", "unread answer", "unused", "idle", "body", ""} {
		c := &Client{Face: "f"}
		removed, ok := l.Open(c, 6, start.Add(5*time.Second))
		if names[removed] != want || ok != (want != "") {
			t.Errorf("removed %q, %v; want %q", names[removed], ok, want)
		}
		l.Turn(c, Serving, start.Add(5*time.Second))
	}
}

// TestBytesOfBodies guards against a budget that slow bodies use up for good, or that
// leaks: a body takes room from slow ones only, and gives it back.
func TestBytesOfBodies(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLedger(800 << 10)
	slow, next, small := &Client{}, &Client{}, &Client{}
	for _, c := range []*Client{slow, next, small} {
		l.Open(c, 3, now)
		l.Turn(c, Reading, now)
	}
	if _, ok := l.Take(slow, 500<<10, now); !ok {
		t.Fatal("an empty budget has no room")
	}
	if _, ok := l.Take(next, 500<<10, now.Add(slowAfter/2)); ok {
		t.Error("a body that is not slow lost its room")
	}
	if _, ok := l.Take(small, 64<<10, now); !ok {
		t.Error("a small body finds no room beside a large one")
	}
	l.Turn(next, Reading, now.Add(slowAfter))
	if removed, ok := l.Take(next, 500<<10, now.Add(slowAfter)); !ok || len(removed) != 1 || removed[0] != slow {
		t.Errorf("removed %v, %v; want the slow body", removed, ok)
	}
	if _, ok := l.Take(slow, 1, now.Add(slowAfter)); ok {
		t.Error("a connection that is removed takes memory")
	}
	for _, c := range []*Client{slow, next, small} {
		l.Close(c)
	}
	if l.used != 0 || len(l.clients) != 0 || l.perFace[""] != 0 {
		t.Errorf("%d bytes, %d connections are left", l.used, len(l.clients))
	}
}
