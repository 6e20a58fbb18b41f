package storeclock

import (
	"testing"
	"time"

	"dragonflyyard/internal/hostclock"
	"dragonflyyard/internal/storeapi"
)

// exactly is the answer of a store whose time is known.
func exactly(ms int64) storeapi.TimeBounds { return storeapi.TimeBounds{EarliestMS: ms, LatestMS: ms} }

func TestStoreClock(t *testing.T) {
	var c Clock
	begin := hostclock.Now()
	at := func(ms int) hostclock.Instant { return begin.Add(time.Duration(ms) * time.Millisecond) }
	if _, known := c.Time(begin); known {
		t.Fatal("Time returned bounds before the first answer")
	}
	cases := []struct {
		name             string
		storeMS          int64
		sentMS, answerMS int
		// low and high are the limits of the expected upper bound when the answer arrives.
		low, high int64
	}{
		{"a transaction of 10 ms", 5005, 0, 10, 5005, 5015},
		{"a feed call that waited for one second", 6009, 11, 1011, 6009, 6016},
		{"a shorter transaction", 6018, 1018, 1020, 6018, 6020},
		{"the store is ahead of the bounds", 20_000, 1100, 1104, 20_000, 20_004},
		{"the store is behind the bounds", 15_000, 1200, 1204, 15_000, 15_004},
	}
	for _, tc := range cases {
		c.Observe(exactly(tc.storeMS), at(tc.sentMS), at(tc.answerMS))
		got, _ := c.Time(at(tc.answerMS))
		if got.LatestMS < tc.low || got.LatestMS > tc.high {
			t.Errorf("%s: the upper bound is %d ms, want %d to %d", tc.name, got.LatestMS, tc.low, tc.high)
		}
		if got.EarliestMS < tc.storeMS || got.EarliestMS > got.LatestMS {
			t.Errorf("%s: the lower bound is %d ms, want %d to %d", tc.name, got.EarliestMS, tc.storeMS, got.LatestMS)
		}
	}
}

// TestBoundsHoldAcrossASuspension: the host is suspended for 3 s, between two calls or during
// one. An upper bound that stands still meanwhile dates announcements too early, and a lower
// bound that advances declares workers lost on a guess.
func TestBoundsHoldAcrossASuspension(t *testing.T) {
	begin := hostclock.Now()
	const suspended = 3 * time.Second
	resumed := hostclock.Instant{Steady: begin.Steady.Add(10 * time.Millisecond), SinceBoot: begin.SinceBoot + 10*time.Millisecond + suspended}
	for name, answered := range map[string]hostclock.Instant{"between calls": begin.Add(4 * time.Millisecond), "during a call": resumed} {
		var c Clock
		c.Observe(exactly(5000), begin, answered)
		got, _ := c.Time(resumed)
		if want := int64(5000) + 10 + suspended.Milliseconds(); got.LatestMS != want {
			t.Errorf("%s: the upper bound is %d ms, want %d", name, got.LatestMS, want)
		}
		if got.EarliestMS < 5000 || got.EarliestMS > 5010 {
			t.Errorf("%s: the lower bound is %d ms, want 5000 to 5010", name, got.EarliestMS)
		}
	}
}

// TestBoundsOfARelayAreKept: an entry host that passes on the store's answers knows its time
// only within bounds. A caller that took them for exact would date events too early or late.
func TestBoundsOfARelayAreKept(t *testing.T) {
	var c Clock
	begin := hostclock.Now()
	c.Observe(storeapi.TimeBounds{EarliestMS: 5000, LatestMS: 5800}, begin, begin.Add(10*time.Millisecond))
	got, _ := c.Time(begin.Add(110 * time.Millisecond))
	if want := (storeapi.TimeBounds{EarliestMS: 5100, LatestMS: 5910}); got != want {
		t.Errorf("the bounds are %+v, want %+v", got, want)
	}
}
