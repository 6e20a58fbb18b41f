package taskrunner

import (
	"testing"
	"time"

	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// TestSharedReportWaitsWhileStoreIsSlow: announcements go without an answer for some seconds,
// as while the store is slow. Hundreds of agents leave the scheduler's part alone
// then; a part that refuses, or stays silent for longer, is gone round.
func TestSharedReportWaitsWhileStoreIsSlow(t *testing.T) {
	cases := []struct {
		name     string
		result   storeapi.Result
		earliest time.Duration
		latest   time.Duration
	}{
		{"refused", storeapi.ResultUnavailable, apartAfterRefusal, 2 * time.Second},
		{"without an answer", storeapi.ResultInDoubt, apartAfterDoubt, 7 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.ready()
			r.runs(taskA)
			r.running, r.ended = nil, []EndedRun{{Number: 1, Task: taskA, Run: 1, Kind: workload.EndDone}}
			if after := r.firstReport(c.result, 10*time.Second); after < c.earliest || after > c.latest {
				t.Errorf("reported apart after %s, want %s to %s", after, c.earliest, c.latest)
			}
		})
	}
}

// firstReport steps the core while announcements end with a result, and returns
// how long after the first one ends are reported apart, or limit.
func (r *rig) firstReport(result storeapi.Result, limit time.Duration) time.Duration {
	r.t.Helper()
	var failing time.Time
	for failing.IsZero() || r.now.Sub(failing) < limit {
		for _, action := range r.core.Step(r.now, r.storeMS, true) {
			switch action := action.(type) {
			case Poll:
				r.held(action)
			case Announce:
				r.core.Announced(r.now, action, result, 0, AnnouncementConflict{})
				if failing.IsZero() {
					failing = r.now
				}
			case ReportEnds:
				return r.now.Sub(failing)
			}
		}
		r.pass(50 * time.Millisecond)
	}
	return limit
}
