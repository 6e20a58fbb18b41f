package ownership

import (
	"fmt"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/standin"
)

// TestManyCandidatesReadSeldom: thirty followers that each read once a second
// take over from a holder that died as soon as two that read often, and a stop of
// the holder is seen by the first of them.
func TestManyCandidatesReadSeldom(t *testing.T) {
	limits := DefaultLimits()
	bound := limits.Duration + limits.ClockDriftMargin + limits.PollInterval + 2*tickEvery
	for phase := range 20 {
		now := start
		store := standin.NewStore(func() time.Time { return now })
		holder := newHost(t, store, "a")
		run(t, &now, time.Second, holder)
		var followers []*host
		for i := range 30 {
			h := newHost(t, store, model.EntryID(fmt.Sprintf("f%02d", i)))
			h.candidate.SetPollInterval(time.Second)
			followers = append(followers, h)
			run(t, &now, tickEvery, append(followers, holder)...)
		}
		run(t, &now, 4*time.Second+time.Duration(phase)*tickEvery, append(followers, holder)...)
		reads := 0
		for _, h := range followers {
			h.log = nil
		}
		run(t, &now, 10*time.Second, append(followers, holder)...)
		for _, h := range followers {
			for _, action := range h.log {
				if _, read := action.(ReadRow); read {
					reads++
				}
			}
		}
		if reads > 10*len(followers)+len(followers) {
			t.Errorf("phase %d: %d followers read %d times in 10 s", phase, len(followers), reads)
		}
		died := now
		for free := true; free; {
			run(t, &now, tickEvery, followers...)
			for _, h := range followers {
				if _, holds := h.candidate.Holds(now); holds {
					free = false
				}
			}
			if free && now.Sub(died) > bound {
				t.Fatalf("phase %d: no take-over within %v", phase, bound)
			}
		}
	}
}

// TestRenewalsAreNotObserved: followers are told of another owner or epoch, not of
// each renewal.
func TestRenewalsAreNotObserved(t *testing.T) {
	now, _, a, b := newPair(t)
	run(t, now, 20*time.Second, a, b)
	observed := 0
	for _, action := range b.log {
		if _, ok := action.(Observed); ok {
			observed++
		}
	}
	if observed != 1 {
		t.Errorf("the follower was told %d times of one owner", observed)
	}
}
