package dispatch

import (
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// fill runs jobs of one task with one accelerator until two workers are full.
func fill(r *rig) []workload.Order {
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

// TestPreemptionStopsNoMoreThanNeeded: capacity that is being freed counts, also
// when the agents' clocks run ahead and runs look younger than nothing.
func TestPreemptionStopsNoMoreThanNeeded(t *testing.T) {
	r := newRig(t)
	started := fill(r)
	if len(started) != 16 {
		t.Fatalf("%d of 16 tasks started", len(started))
	}
	r.pass(3 * time.Second)
	urgentGang(r, "00000000000000ff", 2)
	r.plan()
	victims := r.stopping()
	if len(victims) != 8 {
		t.Fatalf("%d runs are stopped for 8 accelerators", len(victims))
	}
	// One victim is gone; the others' worker reports runs from the future.
	r.end(victims[0], workload.EndStopped, "")
	r.pass(100 * time.Millisecond)
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
		t.Errorf("%d runs are being stopped after one of 8 has ended", n)
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
	fill(r)
	r.pass(time.Second)
	urgentGang(r, "00000000000000f1", 5) // 20 accelerators of 16 guaranteed
	r.plan()
	if n := len(r.stopping()); n != 0 {
		t.Errorf("%d runs are stopped for work beyond the guarantee", n)
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
	r.pass(4 * time.Second)
	r.worker("h1", "r1", nil)
	r.job("00000000000000f1", func(j *workload.Job) {
		j.Account, j.Priority = "gold", 0
		j.Steps[0].PerTask.Accelerators = 2
	})
	r.plan()
	stopped := r.stopping()
	if len(stopped) != 1 || stopped[0].Task != jobID(2)+".0.0.0" {
		t.Errorf("stopped %v, want the one task that saves its work", stopped)
	}
}

// TestUrgentWorkBeyondTheGuaranteeStopsOnce: a wide urgent gang may throw a
// bounded amount of work away; then it holds capacity and waits. It must not
// stop again and again what took the place of the stopped runs.
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
	began := map[string]bool{}
	stops := map[string]bool{}
	for at := time.Duration(0); at < 12*time.Second; at += 100 * time.Millisecond {
		for _, o := range r.plan() {
			if o.Task[:16] == "00000000000000ff" {
				began[o.Task] = true
			}
		}
		endStopped(r, stops)
		// Running tasks end after 8 s, one after the other.
		if at > 8*time.Second {
			endOne(r, "00000000000000ff")
		}
		r.pass(100 * time.Millisecond)
		for i := range 4 {
			r.worker(jobID(i)[12:], "r1", nil)
		}
	}
	if len(began) != 4 {
		t.Errorf("%d of 4 members of the gang began", len(began))
	}
	if len(stops) > 32 {
		t.Errorf("%d runs were stopped for a gang of 32 accelerators", len(stops))
	}
}

// endStopped ends the runs whose stop was seen before, and notes the others.
func endStopped(r *rig, seen map[string]bool) {
	for _, o := range r.stopping() {
		if key := o.Task + jobID(o.Run); !seen[key] {
			seen[key] = true
			continue
		}
		r.end(o, workload.EndStopped, "")
	}
}

// endOne lets one running task end that is not of the given job.
func endOne(r *rig, but string) {
	for _, o := range r.orders {
		if !o.Stop && o.Task[:16] != but {
			r.end(o, workload.EndDone, "")
			return
		}
	}
}

// TestVacatedWorkersAreKept: single urgent tasks of a whole worker each. While
// the stopped runs end one by one, no run on another worker is stopped instead,
// though it is as young.
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
		r.pass(50 * time.Millisecond)
	}
	if len(stopped) != 16 {
		t.Errorf("%d runs were stopped for two workers of 8 accelerators", len(stopped))
	}
}

// TestUrgentGangPreemptsInOneRack: two racks are full. A gang that takes three times
// as long across racks gets room inside one of them.
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
		t.Fatalf("runs are stopped in racks %v", racks)
	}
	for _, o := range r.stopping() {
		r.end(o, workload.EndStopped, "")
	}
	placed := r.plan()
	for _, o := range placed {
		if o.Task[:16] == "00000000000000ff" && racks[o.Host[0]] == 0 {
			t.Errorf("%s is placed on %s", o.Task, o.Host)
		}
	}
}

// TestHopelessWorkStopsNothing: urgent work that comes too late to be of use is
// placed after all others. What it stopped would start again in its place.
func TestHopelessWorkStopsNothing(t *testing.T) {
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
			t.Fatalf("%d runs are stopped for work that is too late", n)
		}
		r.pass(200 * time.Millisecond)
		r.worker("h1", "r1", nil)
		r.worker("h2", "r1", nil)
	}
}

// TestUrgentTasksTakeTheRoomTheyMay: the tasks of a wide urgent job need no
// company. Those for which room costs little get it, although room for all
// would cost more than the job may throw away.
func TestUrgentTasksTakeTheRoomTheyMay(t *testing.T) {
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
	r.pass(2 * time.Second)
	for _, o := range running {
		r.worker(o.Host, "r1", func(a *workload.Announcement) {
			a.SentMS = r.now.StoreMS
			a.Running = []workload.RunningTask{{Task: o.Task, Run: o.Run}}
		})
	}
	r.pass(20 * time.Second)
	for _, o := range running {
		r.worker(o.Host, "r1", func(a *workload.Announcement) { a.Running = []workload.RunningTask{{Task: o.Task, Run: o.Run}} })
	}
	r.job("00000000000000f1", func(j *workload.Job) {
		j.Priority, j.Steps[0].Tasks, j.Steps[0].PerTask.Accelerators = 0, 3, 8
	})
	r.plan()
	stopped := r.stopping()
	if len(stopped) != 1 || stopped[0].Task != jobID(2)+".0.0.0" {
		t.Errorf("stopped %+v, want the one task that saves its work", stopped)
	}
}

// TestStartedTasksKeepTheirShare: an urgent job may throw away as much as its
// step does, however much of the step began before.
func TestStartedTasksKeepTheirShare(t *testing.T) {
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
			t.Errorf("%d runs are stopped for 8 accelerators on %s", len(stopping), host)
		}
		for _, o := range stopping {
			r.end(o, workload.EndStopped, "")
		}
		if started := r.plan(); len(started) == 0 || started[0].Task[:16] != "00000000000000ff" {
			t.Errorf("started on %s: %+v", host, started)
		}
	}
	stopAll("h1")
	r.worker("h2", "r1", nil)
	stopAll("h2")
}

// TestPromisedTasksGetTheirRoom: of three urgent tasks two are inside what is
// guaranteed to their account. They get room at any cost; the third does not.
func TestPromisedTasksGetTheirRoom(t *testing.T) {
	r := newRig(t)
	hosts := []string{"h1", "h2", "h3"}
	for i, host := range hosts {
		r.worker(host, "r1", nil)
		r.job(jobID(i+1), func(j *workload.Job) {
			j.Steps[0].PerTask.Accelerators, j.Steps[0].Estimate = 8, 30*time.Second
		})
	}
	r.plan()
	r.pass(20 * time.Second)
	for _, host := range hosts {
		r.worker(host, "r1", nil)
	}
	r.job("00000000000000ff", func(j *workload.Job) {
		j.Account, j.Priority = "gold", 0
		j.Steps[0].Tasks, j.Steps[0].PerTask.Accelerators = 3, 8
	})
	r.plan()
	if n := len(r.stopping()); n != 2 {
		t.Errorf("%d runs are stopped for two promised tasks of three", n)
	}
}
