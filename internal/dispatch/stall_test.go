package dispatch

import (
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// TestStalledRunsRestartElsewhere replays a worker on which tasks stand still: those that
// lose little move at once, the others after longer, and the worker gets none.
func TestStalledRunsRestartElsewhere(t *testing.T) {
	cases := []struct {
		name        string
		step        func(*workload.Step)
		ran, stall  time.Duration
		percent     int
		movesNow    bool
		avoidsAfter bool
	}{
		{"moves on", nil, 2 * time.Second, 300 * time.Millisecond, 40, false, false},
		{"stands still from the start", nil, 1500 * time.Millisecond, 1500 * time.Millisecond, 0, true, true},
		{"much work would be lost", nil, 8 * time.Second, 2 * time.Second, 70, false, true},
		{"much work, long stall", nil, 9 * time.Second, 4500 * time.Millisecond, 70, true, true},
		{"saves its work", func(s *workload.Step) { s.Checkpoints = true }, 8 * time.Second, 2 * time.Second, 70, true, true},
		{"a task of an hour", func(s *workload.Step) { s.Estimate = time.Hour }, time.Minute, time.Minute, 1, false, false},
		{"long-running", func(s *workload.Step) { s.LongRunning = true }, time.Minute, time.Minute, 100, false, false},
		{"a gang that waits for a member", func(s *workload.Step) { s.Gang, s.Tasks = true, 2 }, 2 * time.Second, 2 * time.Second, 0, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.worker("h1", "r1", nil)
			r.job(jobID(1), func(j *workload.Job) {
				if c.step != nil {
					c.step(&j.Steps[0])
				}
			})
			started := r.plan()
			report := func(stall time.Duration) {
				r.worker("h1", "r1", func(a *workload.Announcement) {
					a.Running = []workload.RunningTask{{Task: started[0].Task, Run: 1, Percent: c.percent, StalledMS: stall.Milliseconds()}}
				})
			}
			report(0)
			r.pass(c.ran)
			report(c.stall)
			r.plan()
			if moved := len(r.stopping()) > 0; moved != c.movesNow {
				t.Errorf("moved %v, want %v", moved, c.movesNow)
			}
			if avoided := !r.core.takesTasks(r.now, r.core.workers["h1"]); avoided != c.avoidsAfter {
				t.Errorf("worker avoided %v, want %v", avoided, c.avoidsAfter)
			}
		})
	}
}
