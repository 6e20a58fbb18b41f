package dispatch

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// rackGang submits an urgent gang that takes two whole workers in one rack.
func rackGang(r *rig, id, account string, estimate time.Duration) {
	r.job(id, func(j *workload.Job) {
		j.Account, j.Priority = model.ClientAccountID(account), 0
		j.Steps[0].Tasks, j.Steps[0].Gang, j.Steps[0].SameRack = 2, true, true
		j.Steps[0].PerTask.Accelerators, j.Steps[0].Estimate = 8, estimate
	})
}

// splitRacks returns a rig with two racks of two workers. One worker of each is
// free; the runs on the others have more unsaved work than an urgent job may
// discard.
func splitRacks(t *testing.T) (*rig, []workload.Order) {
	r := newRig(t)
	r.worker("a1", "rack-a", nil)
	r.worker("b1", "rack-b", nil)
	for i := range 2 {
		r.job(jobID(i+1), func(j *workload.Job) {
			j.Steps[0].PerTask.Accelerators, j.Steps[0].Estimate = 8, 40*time.Second
		})
	}
	running := r.plan()
	r.advance(30 * time.Second)
	return r, running
}

// announceSplit announces the four workers of splitRacks.
func announceSplit(r *rig) {
	for _, host := range []string{"a1", "a2", "b1", "b2"} {
		r.worker(host, "rack-"+host[:1], nil)
	}
}

// TestUrgentGangWaitsForItsRack: a gang across racks takes three times as long
// and misses its objective, however early it starts. It must wait for a rack
// while it would still end sooner that way; a guaranteed gang must preempt in its
// rack at once.
func TestUrgentGangWaitsForItsRack(t *testing.T) {
	cases := []struct {
		name     string
		estimate time.Duration
		// waits is how long the gang must not be placed across racks.
		waits time.Duration
	}{
		{"short estimate, which is often wrong", 200 * time.Millisecond, time.Second},
		{"the wait grows with the work", 4 * time.Second, 3 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, running := splitRacks(t)
			announceSplit(r)
			rackGang(r, "00000000000000ff", "bronze", c.estimate)
			for waited := time.Duration(0); waited < c.waits; waited += 100 * time.Millisecond {
				announceSplit(r)
				if placed := r.plan(); len(placed) != 0 {
					t.Fatalf("placed across racks on %s and %s after %v", placed[0].Host, placed[1].Host, waited)
				}
				r.advance(100 * time.Millisecond)
			}
			r.end(running[0], workload.EndDone, "")
			placed := r.plan()
			if len(placed) != 2 || placed[0].Host[0] != placed[1].Host[0] {
				t.Errorf("placed after a rack became free: %+v, want both members in it", placed)
			}
		})
	}
	r, _ := splitRacks(t)
	announceSplit(r)
	rackGang(r, "00000000000000ff", "gold", 4*time.Second)
	r.plan()
	if n := len(r.stopping()); n != 1 {
		t.Errorf("%d runs are preempted for a guaranteed gang, want 1", n)
	}
}
