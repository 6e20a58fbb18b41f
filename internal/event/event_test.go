package event

import (
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
