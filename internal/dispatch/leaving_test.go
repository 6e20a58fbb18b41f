package dispatch

import (
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// TestRunsLeaveBeforeTheirWorker: a worker says that it leaves in 1.9 s while a run on it
// has some time to go. Failure: work that can't end there goes on until it is lost and
// starts again only seconds later; or work that can end, or be saved later, is stopped.
func TestRunsLeaveBeforeTheirWorker(t *testing.T) {
	gang := func(s *workload.Step) { s.Gang, s.Tasks, s.MaxPerWorker = true, 2, 1 }
	saves := func(s *workload.Step) { s.Checkpoints = true }
	cases := []struct {
		name    string
		step    func(*workload.Step)
		percent int
		// stopsAfter is when the run is stopped after the notice, -1 if it is not.
		stopsAfter time.Duration
	}{
		{"can't end in time", nil, 40, 0},
		{"ends in time", nil, 85, -1},
		{"ends soon after the time", nil, 58, -1},
		{"saves at a stop", saves, 40, 1200 * time.Millisecond},
		{"saves, and ends in time", saves, 85, -1},
		{"gang", gang, 40, 0},
		{"gang that saves", func(s *workload.Step) { gang(s); saves(s) }, 40, 1200 * time.Millisecond},
		{"lasts", func(s *workload.Step) { s.LongRunning = true }, 100, 1200 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.worker("h1", "r1", nil)
			r.worker("h2", "r1", nil)
			r.job(jobID(1), func(j *workload.Job) {
				j.Steps[0].Estimate = 8 * time.Second
				if c.step != nil {
					c.step(&j.Steps[0])
				}
			})
			started := r.plan()
			leaves, at := started[0].Host, r.now.StoreMS
			announce := func() {
				for _, host := range []string{"h1", "h2"} {
					r.worker(host, "r1", func(a *workload.Announcement) {
						for _, o := range started {
							if o.Host == host {
								done := c.percent * int(r.now.StoreMS-at) / 4000
								a.Running = append(a.Running, workload.RunningTask{Task: o.Task, Run: o.Run, Percent: min(done, 100)})
							}
						}
						if host == leaves && r.now.StoreMS-at >= 4000 {
							a.State, a.MinRemainingMS = workload.WorkerDraining, 1900
						}
					})
				}
			}
			announce()
			r.advance(4 * time.Second)
			announce()
			stopped := time.Duration(-1)
			for after := time.Duration(0); after < 1800*time.Millisecond && stopped < 0; after += 100 * time.Millisecond {
				r.plan()
				if n := len(r.stopping()); n > 0 {
					if stopped = after; n != len(started) {
						t.Errorf("%d of %d members are stopped", n, len(started))
					}
				}
				r.advance(100 * time.Millisecond)
				if after == time.Second {
					announce()
				}
			}
			if stopped != c.stopsAfter {
				t.Errorf("stopped after %v, want %v", stopped, c.stopsAfter)
			}
		})
	}
}
