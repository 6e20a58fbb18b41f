package event

import (
	"math"
	"testing"
	"time"
)

func TestLogKeepsTheLastEventsInOrder(t *testing.T) {
	now := time.UnixMilli(1000)
	log := NewLog("p", 2, func() time.Time { return now })
	for _, c := range []Code{RequestReceived, RequestDispatched, RequestFinished} {
		log.Record(Event{Code: c})
	}
	got := log.Events()
	if len(got) != 2 || got[0].Code != RequestDispatched || got[1].Code != RequestFinished {
		t.Fatalf("got %+v", got)
	}
	if !got[0].Clock.Less(got[1].Clock) {
		t.Errorf("clocks do not grow: %+v, %+v", got[0].Clock, got[1].Clock)
	}
}

func TestLogClockMovesPastAnObservedOne(t *testing.T) {
	log := NewLog("p", 2, func() time.Time { return time.UnixMilli(1000) })
	remote := Timestamp{WallMS: 5000, Counter: 7}
	log.Observe(remote)
	if got := log.Now(); !remote.Less(got) {
		t.Errorf("got %+v, want later than %+v", got, remote)
	}
}

func TestCatalogueCodesAreUnique(t *testing.T) {
	seen := map[Code]bool{}
	names := map[string]bool{}
	for _, e := range Catalogue() {
		if seen[e.Code] || names[e.Name] {
			t.Errorf("event %d %q is listed twice", e.Code, e.Name)
		}
		seen[e.Code] = true
		names[e.Name] = true
	}
}

// TestTimestampsFromTheFarFutureAreIgnored wants the clock of a process to stay
// near its wall clock, whatever another process says.
func TestTimestampsFromTheFarFutureAreIgnored(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	cases := []struct {
		name   string
		remote Timestamp
		taken  bool
	}{
		{"slightly ahead", Timestamp{WallMS: now.UnixMilli() + 500}, true},
		{"an hour ahead", Timestamp{WallMS: now.Add(time.Hour).UnixMilli()}, true},
		{"more than an hour ahead", Timestamp{WallMS: now.Add(time.Hour).UnixMilli() + 1}, false},
		{"the end of time", Timestamp{WallMS: math.MaxInt64, Counter: math.MaxUint32}, false},
		{"long ago", Timestamp{WallMS: math.MinInt64}, false},
	}
	for _, c := range cases {
		log := NewLog("p", 16, func() time.Time { return now })
		before := log.Now()
		log.Observe(c.remote)
		after := log.Now()
		if !before.Less(after) || c.remote.Less(after) != (c.taken || c.remote.WallMS < now.UnixMilli()) {
			t.Errorf("%s: %+v, then %+v", c.name, before, after)
		}
		if !c.taken && after.WallMS != now.UnixMilli() {
			t.Errorf("%s: taken over: %+v", c.name, after)
		}
	}
}
