package dispatch

import (
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// TestJobAboutToBeTooLateComesFirst: of two urgent jobs that need the only free
// worker, the one that is about to exceed three times its objective gets it
// before a fresh one, and a job that is merely late does not.
func TestJobAboutToBeTooLateComesFirst(t *testing.T) {
	const objective = 5 * time.Second // SlackFactor 2, Estimate 2 s, TargetDuration 1 s
	for _, c := range []struct {
		name   string
		waited time.Duration
		first  string
	}{
		{"late", 2 * objective, jobID(2)},
		{"about to be too late", lateFactor*objective - 3*time.Second, jobID(1)},
		{"too late", lateFactor*objective + time.Second, jobID(2)},
	} {
		r := newRig(t)
		whole := func(j *workload.Job) { j.Priority, j.Steps[0].PerTask.Accelerators = 0, 8 }
		r.job(jobID(1), whole)
		r.pass(c.waited)
		r.worker("h1", "r1", nil)
		r.job(jobID(2), whole)
		placed := r.plan()
		if len(placed) != 1 || placed[0].Task[:16] != c.first {
			t.Errorf("%s: placed %+v, want job %s", c.name, placed, c.first)
		}
	}
}

// TestJobAboutToBeTooLateMayStopMore: a wide urgent gang beyond its guarantee
// waits while making room for it would throw more away than it is worth. It is
// not left to miss its last moment for that.
func TestJobAboutToBeTooLateMayStopMore(t *testing.T) {
	const objective = 5 * time.Second
	r := newRig(t)
	for i := range 16 {
		r.job(jobID(i+1), func(j *workload.Job) { j.Steps[0].Checkpoints = true })
	}
	r.worker("h1", "r1", nil)
	r.worker("h2", "r1", nil)
	r.plan()
	urgentGang(r, "00000000000000f1", 4)
	r.core.Configure(nil, nil)
	r.pass(time.Second)
	for waited := time.Second; waited < lateFactor*objective; waited += 500 * time.Millisecond {
		announceRunning(r, "h1", "h2")
		r.plan()
		stopped := len(r.stopping())
		due := waited > lateFactor*objective-4*time.Second
		switch {
		case stopped > 0 && !due:
			t.Fatalf("%d runs are stopped after %v", stopped, waited)
		case stopped > 0:
			return
		}
		r.pass(500 * time.Millisecond)
	}
	t.Error("nothing was stopped for the gang")
}

// announceRunning lets workers report all that was ordered of them.
func announceRunning(r *rig, hosts ...string) {
	for _, host := range hosts {
		r.worker(host, "r1", func(a *workload.Announcement) {
			for _, o := range r.orders {
				if o.Host == host {
					a.Running = append(a.Running, workload.RunningTask{Task: o.Task, Run: o.Run})
				}
			}
		})
	}
}
