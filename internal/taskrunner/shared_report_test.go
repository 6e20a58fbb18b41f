package taskrunner

import (
	"testing"
	"time"

	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// TestSharedReportWaitsWhileStoreIsSlow guards against hundreds of agents writing
// to the scheduler's own part of the store because it is slow and announcements
// get no answer for some seconds. Ends go there only once announcements are
// refused, or get no answer for longer.
func TestSharedReportWaitsWhileStoreIsSlow(t *testing.T) {
	cases := []struct {
		name     string
		result   storeapi.Result
		earliest time.Duration
		latest   time.Duration
	}{
		{"refused", storeapi.ResultUnavailable, sharedReportAfterRefusal, 2 * time.Second},
		{"without an answer", storeapi.ResultInDoubt, sharedReportAfterInDoubt, 7 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.ready()
			r.startRunning(taskA)
			r.running, r.ended = nil, []EndedRun{{Number: 1, Task: taskA, Run: 1, Kind: workload.EndDone}}
			if after := r.firstReport(c.result, 10*time.Second); after < c.earliest || after > c.latest {
				t.Errorf("ends reported in the scheduler's part after %s, want %s to %s", after, c.earliest, c.latest)
			}
		})
	}
}

// firstReport steps the core while all announcements end with the given result. It
// returns the time from the first of them to the first ReportEnds, or limit.
func (r *rig) firstReport(result storeapi.Result, limit time.Duration) time.Duration {
	r.t.Helper()
	var failing time.Time
	for failing.IsZero() || r.now.Sub(failing) < limit {
		for _, action := range r.core.Step(r.now, r.storeMS, true) {
			switch action := action.(type) {
			case Poll:
				r.answerPoll(action)
			case Announce:
				r.core.Announced(r.now, action, result, 0, AnnouncementConflict{})
				if failing.IsZero() {
					failing = r.now
				}
			case ReportEnds:
				return r.now.Sub(failing)
			}
		}
		r.advance(50 * time.Millisecond)
	}
	return limit
}
