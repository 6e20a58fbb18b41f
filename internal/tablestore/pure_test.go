package tablestore

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// at returns the time that is ms milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func half() float64 { return 0.5 }

func TestBreaker(t *testing.T) {
	b := NewBreaker(BreakerLimits{FailureThreshold: 3, OpenDuration: 400 * time.Millisecond}, half)
	steps := []struct {
		ms    int
		do    string
		allow bool
		state BreakerState
	}{
		{0, "failure", true, BreakerClosed}, {1, "failure", true, BreakerClosed}, {2, "success", true, BreakerClosed},
		{3, "failure", true, BreakerClosed}, {4, "failure", true, BreakerClosed}, {5, "failure", true, BreakerOpen},
		{100, "", false, BreakerOpen}, {304, "", false, BreakerOpen},
		{305, "none", true, BreakerProbing}, {306, "", false, BreakerProbing}, {704, "", false, BreakerProbing},
		{705, "failure", true, BreakerOpen}, {800, "", false, BreakerOpen},
		{1005, "success", true, BreakerClosed}, {1006, "failure", true, BreakerClosed},
	}
	for i, s := range steps {
		if got := b.Allow(at(s.ms)); got != s.allow {
			t.Fatalf("step %d: allowed %v, want %v", i, got, s.allow)
		}
		switch s.do {
		case "failure":
			b.Failure(at(s.ms))
		case "success":
			b.Success()
		}
		if b.State() != s.state {
			t.Fatalf("step %d: state %s, want %s", i, b.State(), s.state)
		}
	}
}

func TestRetryBudget(t *testing.T) {
	limits := RetryLimits{InitialBackoff: 50 * time.Millisecond, MaxBackoff: 150 * time.Millisecond, MaxAttempts: 4, BudgetRatio: 0.1, BudgetMax: 3}
	r := NewRetryBudget(limits, half)
	var waits []time.Duration
	for failedAttempts := 1; ; failedAttempts++ {
		wait, again := r.NextBackoff(failedAttempts)
		if !again {
			break
		}
		waits = append(waits, wait)
	}
	want := []time.Duration{37500 * time.Microsecond, 75 * time.Millisecond, 112500 * time.Microsecond}
	if !reflect.DeepEqual(waits, want) {
		t.Errorf("waits %v, want %v", waits, want)
	}
	retries := 0
	for range 1000 {
		r.RecordOperation()
		if _, again := r.NextBackoff(1); again {
			retries++
		}
	}
	if retries > 100 {
		t.Errorf("%d retries for 1000 failing calls, want at most 100", retries)
	}
}

func TestCoalescerSharesOnlyCallsThatBeganLater(t *testing.T) {
	c := NewCoalescer[int]()
	if !c.Join("k", 1) || c.Join("k", 2) || c.Join("k", 3) || !c.Join("other", 9) {
		t.Fatal("want only the first reader of a key to start a call")
	}
	first, again := c.Done("k")
	if !reflect.DeepEqual(first, []int{1}) || !again {
		t.Errorf("first call returned readers %v, another call: %v", first, again)
	}
	c.Join("k", 4)
	second, again := c.Done("k")
	if !reflect.DeepEqual(second, []int{2, 3}) || !again {
		t.Errorf("second call returned readers %v, another call: %v", second, again)
	}
	if third, again := c.Done("k"); !reflect.DeepEqual(third, []int{4}) || again {
		t.Errorf("third call returned readers %v, another call: %v", third, again)
	}
	if none, again := c.Done("k"); none != nil || again {
		t.Errorf("Done without a call in flight returned readers %v", none)
	}
}

// slidingWindow tracks the highest number of calls within any one second.
type slidingWindow struct {
	times []time.Time
	peak  int
}

func (w *slidingWindow) add(now time.Time) {
	w.times = append(w.times, now)
	for now.Sub(w.times[0]) >= time.Second {
		w.times = w.times[1:]
	}
	w.peak = max(w.peak, len(w.times))
}

// TestAllProcessesStayWithinTheLimits checks the sum of the calls of all processes
// against the rate limits. Every process always has more calls to make than it is
// allowed. Idle periods fill all buckets, which are then emptied at once, as when
// the store recovers. Unconfirmed processes take part as well.
func TestAllProcessesStayWithinTheLimits(t *testing.T) {
	cases := []struct {
		limit, unconfirmedShare float64
		members, unconfirmed    int
	}{
		{MaxWritesPerSecond, unconfirmedWritesPerSecond, 2, 1}, {MaxWritesPerSecond, unconfirmedWritesPerSecond, 3, 6}, {MaxWritesPerSecond, unconfirmedWritesPerSecond, 36, 6},
		{MaxReadsPerSecond, unconfirmedReadsPerSecond, 3, 6}, {MaxReadsPerSecond, unconfirmedReadsPerSecond, 36, 6}, {MaxReadsPerSecond, unconfirmedReadsPerSecond, 120, 0},
	}
	for _, c := range cases {
		random := rand.New(rand.NewPCG(3, uint64(c.members)))
		var buckets []*TokenBucket
		for i := range c.members + c.unconfirmed {
			buckets = append(buckets, NewTokenBucket(RateShare(c.limit, c.members, i < c.members, c.unconfirmedShare)))
		}
		var all slidingWindow
		taken := 0
		now := start
		for range 8000 {
			now = now.Add(time.Millisecond)
			if random.IntN(2000) == 0 {
				now = now.Add(5 * time.Second)
			}
			for _, i := range random.Perm(len(buckets)) {
				for {
					if _, ok := buckets[i].Take(now); !ok {
						break
					}
					taken++
					all.add(now)
				}
			}
		}
		t.Logf("limit %.0f, %d members, %d unconfirmed: peak %d in a second", c.limit, c.members, c.unconfirmed, all.peak)
		if float64(all.peak) > c.limit {
			t.Errorf("limit %.0f, %d members, %d unconfirmed: peak %d", c.limit, c.members, c.unconfirmed, all.peak)
		}
		if taken == 0 {
			t.Error("no call was made")
		}
	}
}

func TestChangeOfShareKeepsTheBound(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	b := NewTokenBucket(100)
	var w slidingWindow
	now := start
	for range 20000 {
		now = now.Add(time.Millisecond)
		if random.IntN(300) == 0 {
			b.SetShare(RateShare(300, 3+random.IntN(5), true, 5))
		}
		if _, ok := b.Take(now); ok {
			w.add(now)
		}
	}
	if w.peak > 100 {
		t.Errorf("peak %d in a second, want at most 100", w.peak)
	}
}

func TestTakeSucceedsAfterWait(t *testing.T) {
	b := NewTokenBucket(20)
	now := start
	for range 100 {
		wait, ok := b.Take(now)
		for !ok {
			now = now.Add(wait)
			wait, ok = b.Take(now)
			if wait > time.Second {
				t.Fatalf("a wait of %v at 15 calls a second", wait)
			}
		}
	}
	if took := now.Sub(start); took < 6*time.Second || took > 7*time.Second {
		t.Errorf("100 calls took %v, want 95 calls at 15 a second", took)
	}
}
