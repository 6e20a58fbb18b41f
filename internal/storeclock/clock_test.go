package storeclock

import (
	"testing"
	"time"
)

func TestStoreClock(t *testing.T) {
	var c Clock
	begin := time.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	if _, known := c.Time(begin); known {
		t.Fatal("Time returned a bound before the first answer")
	}
	cases := []struct {
		name             string
		storeMS          int64
		sentMS, answerMS int
		// low and high are the limits of the expected bound when the answer arrives.
		low, high int64
	}{
		{"a transaction of 10 ms", 5005, 0, 10, 5005, 5015},
		{"a feed call that waited for one second", 6009, 11, 1011, 6009, 6016},
		{"a shorter transaction", 6018, 1018, 1020, 6018, 6020},
		{"the store is ahead of the bound", 20_000, 1100, 1104, 20_000, 20_004},
	}
	for _, tc := range cases {
		c.Observe(tc.storeMS, at(tc.sentMS), at(tc.answerMS))
		got, _ := c.Time(at(tc.answerMS))
		if got < tc.low || got > tc.high {
			t.Errorf("%s: the bound is %d ms, want %d to %d", tc.name, got, tc.low, tc.high)
		}
	}
}
