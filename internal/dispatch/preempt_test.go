package dispatch

import (
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// fillWorkers fills two workers with jobs of one task with one accelerator.
func fillWorkers(r *rig) []workload.Order {
	r.worker("h1", "r1", nil)
	r.worker("h2", "r1", nil)
	for i := range 16 {
		r.job(jobID(i+1), nil)
	}
	return r.plan()
}

func urgentGang(r *rig, id string, tasks int) {
	r.job(id, func(j *workload.Job) {
		j.Account, j.Priority = "gold", 0
		j.Steps[0].Tasks, j.Steps[0].Gang, j.Steps[0].PerTask.Accelerators = tasks, true, 4
	})
}

// TestPreemptionStopsNoMoreThanNeeded: capacity that is being released must count
// as free, even if agents' clocks are ahead, so that runs seem to have a negative
// age and preempting them seems to cost less than nothing.
func TestPreemptionStopsNoMoreThanNeeded(t *testing.T) {
	r := newRig(t)
	started := fillWorkers(r)
	if len(started) != 16 {
		t.Fatalf("%d of 16 tasks started", len(started))
	}
	r.advance(3 * time.Second)
	urgentGang(r, "00000000000000ff", 2)
	r.plan()
	victims := r.stopping()
	if len(victims) != 8 {
		t.Fatalf("%d runs are preempted for 8 accelerators", len(victims))
	}
	// One victim has ended; the workers of the others send reports from the
	// future.
	r.end(victims[0], workload.EndStopped, "")
	r.advance(100 * time.Millisecond)
	for _, host := range []string{"h1", "h2"} {
		r.worker(host, "r1", func(a *workload.Announcement) {
			a.SentMS = r.now.StoreMS + 900
			for _, o := range r.orders {
				if o.Host == host {
					a.Running = append(a.Running, workload.RunningTask{Task: o.Task, Run: o.Run})
				}
			}
		})
	}
	r.plan()
	if n := len(r.stopping()); n != 7 {
		t.Errorf("%d runs are being stopped after one of 8 has ended, want 7", n)
	}
	for _, o := range victims[1:] {
		r.end(o, workload.EndStopped, "")
	}
	gang := 0
	for _, o := range r.plan() {
		if o.Task[:16] == "00000000000000ff" {
			gang++
		}
	}
	if gang != 2 {
		t.Errorf("%d of 2 members of the urgent gang started", gang)
	}
}

func TestPreemptionStaysInsideTheGuarantee(t *testing.T) {
	r := newRig(t)
	fillWorkers(r)
	r.advance(time.Second)
	urgentGang(r, "00000000000000f1", 5) // 20 accelerators of 16 guaranteed
	r.plan()
	if n := len(r.stopping()); n != 0 {
		t.Errorf("%d runs are preempted for work beyond the guarantee", n)
	}
}

func TestPreemptionTakesTheLeastUnsavedWork(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	for i, checkpoints := range []bool{false, true, false, false} {
		r.job(jobID(i+1), func(j *workload.Job) {
			j.Steps[0].PerTask.Accelerators = 2
			j.Steps[0].Checkpoints = checkpoints
		})
	}
	started := r.plan()
	r.worker("h1", "r1", func(a *workload.Announcement) {
		for _, o := range started {
			a.Running = append(a.Running, workload.RunningTask{Task: o.Task, Run: o.Run})
		}
	})
	r.advance(4 * time.Second)
	r.worker("h1", "r1", nil)
	r.job("00000000000000f1", func(j *workload.Job) {
		j.Account, j.Priority = "gold", 0
		j.Steps[0].PerTask.Accelerators = 2
	})
	r.plan()
	stopped := r.stopping()
	if len(stopped) != 1 || stopped[0].Task != jobID(2)+".0.0.0" {
		t.Errorf("stopped %v, want only the task with checkpoints", stopped)
	}
}

// TestUrgentWorkBeyondTheGuaranteeStopsOnce: a wide urgent gang may discard a
// bounded amount of work; after that it reserves capacity and waits. It must not
// repeatedly preempt the runs that replace the stopped ones.
func TestUrgentWorkBeyondTheGuaranteeStopsOnce(t *testing.T) {
	r := newRig(t)
	for i := range 4 {
		r.worker(jobID(i)[12:], "r1", nil)
	}
	for i := range 64 {
		r.job(jobID(i+1), func(j *workload.Job) { j.Steps[0].Estimate = 8 * time.Second })
	}
	r.plan()
	r.job("00000000000000ff", func(j *workload.Job) {
		j.Account, j.Priority = "bronze", 0
		j.Steps[0].Tasks, j.Steps[0].Gang, j.Steps[0].PerTask.Accelerators = 4, true, 8
	})
	started := map[string]bool{}
	stops := map[string]bool{}
	for at := time.Duration(0); at < 12*time.Second; at += 100 * time.Millisecond {
		for _, o := range r.plan() {
			if o.Task[:16] == "00000000000000ff" {
				started[o.Task] = true
			}
		}
		endStopped(r, stops)
		// After 8 s the running tasks end, one after the other.
		if at > 8*time.Second {
			endOne(r, "00000000000000ff")
		}
		r.advance(100 * time.Millisecond)
		for i := range 4 {
			r.worker(jobID(i)[12:], "r1", nil)
		}
	}
	if len(started) != 4 {
		t.Errorf("%d of 4 members of the gang started", len(started))
	}
	if len(stops) > 32 {
		t.Errorf("%d runs were preempted for a gang of 32 accelerators", len(stops))
	}
}

// endStopped ends the runs whose stop request is already in seen, and adds the
// others to it.
func endStopped(r *rig, seen map[string]bool) {
	for _, o := range r.stopping() {
		if key := o.Task + jobID(o.Run); !seen[key] {
			seen[key] = true
			continue
		}
		r.end(o, workload.EndStopped, "")
	}
}

// endOne completes one running task of a job other than except.
func endOne(r *rig, except string) {
	for _, o := range r.orders {
		if !o.Stop && o.Task[:16] != except {
			r.end(o, workload.EndDone, "")
			return
		}
	}
}

// TestVacatedWorkersAreKept: urgent tasks that are no gang each need a whole
// worker. While the preempted runs end one by one, no run on another worker may
// be preempted instead, although it is as young.
func TestVacatedWorkersAreKept(t *testing.T) {
	r := newRig(t)
	for i := range 4 {
		r.worker(jobID(i)[12:], "r1", nil)
	}
	for i := range 64 {
		r.job(jobID(i+1), nil)
	}
	r.plan()
	r.job("00000000000000ff", func(j *workload.Job) {
		j.Account, j.Priority = "gold", 0
		j.Steps[0].Tasks, j.Steps[0].PerTask.Accelerators = 2, 8
	})
	stopped := map[string]bool{}
	for range 20 {
		r.plan()
		stopping := r.stopping()
		for _, o := range stopping {
			stopped[o.Task+jobID(o.Run)] = true
		}
		if len(stopping) > 0 {
			r.end(stopping[0], workload.EndStopped, "")
		}
		r.advance(50 * time.Millisecond)
	}
	if len(stopped) != 16 {
		t.Errorf("%d runs were preempted for two workers of 8 accelerators", len(stopped))
	}
}

// TestUrgentGangPreemptsInOneRack: two racks are full. A gang that takes three
// times as long across racks must get capacity within one of them.
func TestUrgentGangPreemptsInOneRack(t *testing.T) {
	r := newRig(t)
	for _, host := range []string{"a1", "a2", "b1", "b2"} {
		r.worker(host, "rack-"+host[:1], nil)
	}
	for i := range 32 {
		r.job(jobID(i+1), nil)
	}
	r.plan()
	r.job("00000000000000ff", func(j *workload.Job) {
		j.Account, j.Priority = "gold", 0
		j.Steps[0].Tasks, j.Steps[0].Gang, j.Steps[0].SameRack, j.Steps[0].PerTask.Accelerators = 2, true, true, 8
	})
	r.plan()
	racks := map[byte]int{}
	for _, o := range r.stopping() {
		racks[o.Host[0]]++
	}
	if len(racks) != 1 {
		t.Fatalf("runs are preempted in racks %v, want one rack", racks)
	}
	for _, o := range r.stopping() {
		r.end(o, workload.EndStopped, "")
	}
	placed := r.plan()
	for _, o := range placed {
		if o.Task[:16] == "00000000000000ff" && racks[o.Host[0]] == 0 {
			t.Errorf("%s is placed on %s, outside the rack with the preempted runs", o.Task, o.Host)
		}
	}
}

// TestTooLateJobsPreemptNothing: urgent work that is too late to be of use is
// placed after all other work, so the runs that it preempted would restart in the
// capacity that they left.
func TestTooLateJobsPreemptNothing(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	r.worker("h2", "r1", nil)
	r.job("00000000000000ff", func(j *workload.Job) {
		j.Account, j.Priority, j.Steps[0].PerTask.Accelerators = "gold", 0, 8
		j.AcceptedMS -= 120_000
	})
	for i := range 16 {
		r.job(jobID(i+1), func(j *workload.Job) { j.Steps[0].Estimate = 20 * time.Second })
	}
	for range 20 {
		r.plan()
		if n := len(r.stopping()); n != 0 {
			t.Fatalf("%d runs are preempted for work that is too late", n)
		}
		r.advance(200 * time.Millisecond)
		r.worker("h1", "r1", nil)
		r.worker("h2", "r1", nil)
	}
}

// TestUrgentTasksPreemptWithinBudget: the tasks of a wide urgent job don't depend
// on each other. Those that are cheap to make room for must get it, although
// preempting for all of them would exceed the budget.
func TestUrgentTasksPreemptWithinBudget(t *testing.T) {
	r := newRig(t)
	for i, host := range []string{"h1", "h2", "h3"} {
		r.worker(host, "r1", nil)
		r.job(jobID(i+1), func(j *workload.Job) {
			j.Steps[0].PerTask.Accelerators, j.Steps[0].Estimate = 8, 30*time.Second
			j.Steps[0].Checkpoints = host == "h2"
		})
	}
	running := r.plan()
	if len(running) != 3 {
		t.Fatalf("%d of 3 tasks started", len(running))
	}
	r.advance(2 * time.Second)
	for _, o := range running {
		r.worker(o.Host, "r1", func(a *workload.Announcement) {
			a.SentMS = r.now.StoreMS
			a.Running = []workload.RunningTask{{Task: o.Task, Run: o.Run}}
		})
	}
	r.advance(20 * time.Second)
	for _, o := range running {
		r.worker(o.Host, "r1", func(a *workload.Announcement) { a.Running = []workload.RunningTask{{Task: o.Task, Run: o.Run}} })
	}
	r.job("00000000000000f1", func(j *workload.Job) {
		j.Priority, j.Steps[0].Tasks, j.Steps[0].PerTask.Accelerators = 0, 3, 8
	})
	r.plan()
	stopped := r.stopping()
	if len(stopped) != 1 || stopped[0].Task != jobID(2)+".0.0.0" {
		t.Errorf("stopped %+v, want only the task with checkpoints", stopped)
	}
}

// TestBudgetCoversTheWholeStep: the budget of an urgent job is the work of its
// whole step, regardless of how many of the step's tasks have started.
func TestBudgetCoversTheWholeStep(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	r.worker("h2", "r1", nil)
	for i := range 16 {
		r.job(jobID(i+1), nil)
	}
	r.plan()
	draining := func(a *workload.Announcement) { a.State = workload.WorkerDraining }
	r.worker("h2", "r1", draining)
	r.job("00000000000000ff", func(j *workload.Job) {
		j.Account, j.Priority = "bronze", 0
		j.Steps[0].Tasks, j.Steps[0].PerTask.Accelerators = 2, 8
	})
	stopAll := func(host string) {
		t.Helper()
		r.plan()
		stopping := r.stopping()
		if len(stopping) != 8 {
			t.Errorf("%d runs are preempted for 8 accelerators on %s", len(stopping), host)
		}
		for _, o := range stopping {
			r.end(o, workload.EndStopped, "")
		}
		if started := r.plan(); len(started) == 0 || started[0].Task[:16] != "00000000000000ff" {
			t.Errorf("started on %s: %+v, want the urgent job first", host, started)
		}
	}
	stopAll("h1")
	r.worker("h2", "r1", nil)
	stopAll("h2")
}

// TestGuaranteedTasksPreemptAtAnyCost: of three urgent tasks, two are within the
// guarantee of their account. These must preempt at any cost; the third one must
// not.
func TestGuaranteedTasksPreemptAtAnyCost(t *testing.T) {
	r := newRig(t)
	hosts := []string{"h1", "h2", "h3"}
	for i, host := range hosts {
		r.worker(host, "r1", nil)
		r.job(jobID(i+1), func(j *workload.Job) {
			j.Steps[0].PerTask.Accelerators, j.Steps[0].Estimate = 8, 30*time.Second
		})
	}
	r.plan()
	r.advance(20 * time.Second)
	for _, host := range hosts {
		r.worker(host, "r1", nil)
	}
	r.job("00000000000000ff", func(j *workload.Job) {
		j.Account, j.Priority = "gold", 0
		j.Steps[0].Tasks, j.Steps[0].PerTask.Accelerators = 3, 8
	})
	r.plan()
	if n := len(r.stopping()); n != 2 {
		t.Errorf("%d runs are preempted for two guaranteed tasks of three", n)
	}
}
