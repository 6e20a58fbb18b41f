package dispatch

import (
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// TestSlowWorkers replays two workers that run tasks of one step; one of them is
// slow, from the start or from some point on.
func TestSlowWorkers(t *testing.T) {
	// progress holds the percentages that are reported, a second apart.
	type progress []int
	sound := progress{0, 20, 40, 60}
	cases := []struct {
		name        string
		step        func(*workload.Step)
		first       progress
		second      progress
		moved       bool
		avoided     bool
		roomForMove bool
	}{
		{"as fast as the other", nil, sound, progress{0, 16, 33, 50}, false, false, true},
		{"slow from the start", nil, sound, progress{0, 3, 6, 9}, true, true, true},
		{"slow from some point on, little left", nil, progress{0, 20, 40, 60}, progress{0, 45, 90, 94}, false, true, true},
		{"slow, and no room elsewhere", nil, sound, progress{0, 3, 6, 9}, false, true, false},
		{"slow, saves its work", func(s *workload.Step) { s.Checkpoints = true }, sound, progress{0, 40, 43, 46}, true, true, true},
		{"long-running", func(s *workload.Step) { s.LongRunning = true }, sound, progress{0, 3, 6, 9}, false, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			hosts := []string{"h1", "h2"}
			announce := func(at int, started []workload.Order) {
				for i, host := range hosts {
					r.worker(host, "r1", func(a *workload.Announcement) {
						a.Capacity.Accelerators = 1
						for _, o := range started {
							if o.Host == host {
								a.Running = append(a.Running, workload.RunningTask{Task: o.Task, Run: o.Run, Percent: []progress{c.first, c.second}[i][at]})
							}
						}
					})
				}
				if c.roomForMove {
					r.worker("h3", "r1", func(a *workload.Announcement) { a.Capacity.Accelerators = 1 })
				}
			}
			announce(0, nil)
			if c.roomForMove {
				r.worker("h3", "r1", func(a *workload.Announcement) { a.State = workload.WorkerDraining })
			}
			r.job(jobID(1), func(j *workload.Job) {
				j.Steps[0].Tasks, j.Steps[0].Estimate = 2, 5*time.Second
				if c.step != nil {
					c.step(&j.Steps[0])
				}
			})
			started := r.plan()
			for at := range c.first {
				announce(at, started)
				r.plan()
				r.pass(time.Second)
			}
			var stopped []string
			for _, o := range r.stopping() {
				stopped = append(stopped, o.Host)
			}
			if moved := len(stopped) == 1 && stopped[0] == "h2"; moved != c.moved || len(stopped) > 1 {
				t.Errorf("stopped on %v, want a move: %v", stopped, c.moved)
			}
			if avoided := r.core.workers["h2"].avoidUntilMS > r.now.StoreMS-1000; avoided != c.avoided {
				t.Errorf("the worker is avoided: %v, want %v", avoided, c.avoided)
			}
		})
	}
}
