package taskrunner

import (
	"testing"
	"time"

	"dragonflyyard/internal/storeapi"
)

// TestRunsOfAVanishedWorker: a worker is taken away after a short notice, and its
// machine some seconds later. Its runs end before that, once no lease can last.
func TestRunsOfAVanishedWorker(t *testing.T) {
	cases := []struct {
		name   string
		look   HoldResult
		within time.Duration
	}{
		// Nothing listens where the worker was.
		{"looks that are not sent", HoldNotSent, 6200 * time.Millisecond},
		// Each look may have extended the lease by DrainLeaseStep, and announcements go on.
		{"looks without an answer", HoldFailed, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.ready()
			r.runs(taskA)
			r.heartbeat(func(h *Heartbeat) { h.Sequence, h.Draining, h.LeavesIn = 2, true, time.Second })
			after := r.firstEnd(c.look, 10*time.Second)
			if c.within == 0 && after != 0 {
				t.Errorf("the run ended after %s although its lease may last", after)
			}
			if c.within > 0 && (after == 0 || after > c.within) {
				t.Errorf("the run ended after %s, want at most %s", after, c.within)
			}
		})
	}
}

// firstEnd steps the core while looks end with a result and announcements are
// taken, and returns after how long an end is reported, 0 for not before limit.
func (r *rig) firstEnd(look HoldResult, limit time.Duration) time.Duration {
	r.t.Helper()
	for passed := time.Duration(0); passed < limit; passed += 100 * time.Millisecond {
		for _, action := range r.core.Step(r.now, r.storeMS, true) {
			switch action := action.(type) {
			case Hold:
				r.core.Polled(r.now, r.now, action, look, RunLists{})
			case Announce:
				r.version++
				r.core.Announced(r.now, action, storeapi.ResultOK, r.version, Present{})
				if len(action.Ends) > 0 {
					return passed
				}
			}
		}
		r.pass(100 * time.Millisecond)
	}
	return 0
}

// TestLeaseOfAForgottenStart: a start extends the lease of all that runs on the
// worker, also when its own order is removed before its answer.
func TestLeaseOfAForgottenStart(t *testing.T) {
	for _, c := range []struct {
		result  OrderResult
		extends bool
	}{{OrderTaken, true}, {OrderInDoubt, true}, {OrderRefused, false}} {
		r := newRig(t)
		r.ready()
		r.runs(taskA)
		r.pass(700 * time.Millisecond)
		id := r.see(r.order(taskB, 1, nil), false)
		if n := len(starts(r.core.Step(r.now, r.storeMS, true))); n != 1 {
			t.Fatalf("%d starts", n)
		}
		r.core.OrderGone(id, r.version+1)
		before := r.core.lease.endsAt
		r.core.Started(r.now, id, c.result)
		if extended := r.core.lease.endsAt.After(before); extended != c.extends {
			t.Errorf("%s: extended %v, want %v", c.result, extended, c.extends)
		}
	}
}

// TestAnnouncedLeaseHolds: what a draining worker's agent grants ends before the
// announced time, also what it granted before the worker drained.
func TestAnnouncedLeaseHolds(t *testing.T) {
	r := newRig(t)
	r.ready()
	var sentMS, leaseMS, granted int64
	for i := range 60 {
		if i == 20 {
			r.heartbeat(func(h *Heartbeat) { h.Sequence, h.Draining = 2, true })
		}
		for _, action := range r.core.Step(r.now, r.storeMS, true) {
			switch action := action.(type) {
			case Hold:
				// The worker's clock counts from 7000 when the store's is at storeAt.
				granted = max(granted, action.LeaseEndMS-7000+storeAt)
				r.held(action)
			case Announce:
				// The store takes no announcement after the first one of the drain.
				result := storeapi.ResultOK
				if leaseMS > 0 {
					result = storeapi.ResultUnavailable
				} else if action.Row.LeaseForMS > 0 {
					sentMS, leaseMS = action.Row.SentMS, action.Row.LeaseForMS
				}
				r.version++
				r.core.Announced(r.now, action, result, r.version, Present{})
			}
		}
		r.pass(200 * time.Millisecond)
	}
	if leaseMS == 0 || granted == 0 || granted > sentMS+leaseMS {
		t.Errorf("granted until %d, announced at %d for %d ms", granted, sentMS, leaseMS)
	}
}
