package ownership

import (
	"fmt"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/standin"
)

// TestManyFollowersWithLongPollInterval checks that a long poll interval does not
// delay takeover: one of thirty followers that each read once a second acquires a
// dead holder's lease within the bound for two hosts with the default interval.
// It also bounds the followers' reads.
func TestManyFollowersWithLongPollInterval(t *testing.T) {
	limits := DefaultLimits()
	bound := limits.Duration + limits.ClockDriftMargin + limits.PollInterval + 2*tickInterval
	for phase := range 20 {
		now := start
		store := standin.NewStore(func() time.Time { return now })
		holder := newHost(t, store, "a")
		runHosts(t, &now, time.Second, holder)
		var followers []*host
		for i := range 30 {
			h := newHost(t, store, model.EntryID(fmt.Sprintf("f%02d", i)))
			h.candidate.SetPollInterval(time.Second)
			followers = append(followers, h)
			runHosts(t, &now, tickInterval, append(followers, holder)...)
		}
		runHosts(t, &now, 4*time.Second+time.Duration(phase)*tickInterval, append(followers, holder)...)
		reads := 0
		for _, h := range followers {
			h.actions = nil
		}
		runHosts(t, &now, 10*time.Second, append(followers, holder)...)
		for _, h := range followers {
			for _, action := range h.actions {
				if _, read := action.(ReadRow); read {
					reads++
				}
			}
		}
		if reads > 10*len(followers)+len(followers) {
			t.Errorf("phase %d: %d followers read %d times in 10 s", phase, len(followers), reads)
		}
		diedAt := now
		for free := true; free; {
			runHosts(t, &now, tickInterval, followers...)
			for _, h := range followers {
				if _, holds := h.candidate.Holds(now); holds {
					free = false
				}
			}
			if free && now.Sub(diedAt) > bound {
				t.Fatalf("phase %d: no takeover within %v", phase, bound)
			}
		}
	}
}

// TestRenewalsAreNotObserved checks that followers report a change of owner or
// epoch, but not each renewal.
func TestRenewalsAreNotObserved(t *testing.T) {
	now, _, a, b := newPair(t)
	runHosts(t, now, 20*time.Second, a, b)
	observed := 0
	for _, action := range b.actions {
		if _, ok := action.(Observed); ok {
			observed++
		}
	}
	if observed != 1 {
		t.Errorf("the follower reported one owner %d times, want once", observed)
	}
}
