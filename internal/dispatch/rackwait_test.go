package dispatch

import (
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// rackWaitRig returns a rig with a worker of 8 accelerators in rack r0, one in r1, and a
// function that announces both.
func rackWaitRig(t *testing.T) (*rig, func()) {
	r := newRig(t)
	announce := func() {
		r.worker("near", "r0", nil)
		r.worker("far", "r1", nil)
	}
	announce()
	return r, announce
}

// lastingStep submits a job with tasks that last and whose data is in rack r0.
func (r *rig) lastingStep(tasks int, change func(*workload.Step)) {
	r.job(jobID(1), func(j *workload.Job) {
		step := &j.Steps[0]
		step.Tasks, step.LongRunning, step.PreferredRack, step.Estimate = tasks, true, "r0", 6*time.Second
		if change != nil {
			change(step)
		}
	})
}

// TestFailuresOfOtherTasksDontProlongAWait guards against a task that waits for its rack for
// good, beside idle workers: other tasks of its step fail now and then and are started again.
func TestFailuresOfOtherTasksDontProlongAWait(t *testing.T) {
	for name, kind := range map[string]workload.EndKind{"failed": workload.EndFailed, "lost": workload.EndLost, "done, though it lasts": workload.EndDone} {
		t.Run(name, func(t *testing.T) {
			r, announce := rackWaitRig(t)
			r.lastingStep(9, nil)
			running := map[string]workload.Order{}
			var waited time.Duration
			for ; waited < 20*time.Second && len(running) < 9; waited += 100 * time.Millisecond {
				announce()
				for _, o := range r.plan() {
					running[o.Task] = o
				}
				if first, ok := running[jobID(1)+".0.0.0"]; ok && waited > 0 && waited%(4*time.Second) == 0 {
					delete(running, first.Task)
					r.end(first, kind, "")
				}
				r.advance(100 * time.Millisecond)
			}
			// The preference holds for 6 s, and the last failure may be 0.1 s ago.
			if waited < 6*time.Second || waited > 6500*time.Millisecond {
				t.Errorf("all tasks run after %v, want 6s: %d of 9 run", waited, len(running))
			}
		})
	}
}

// TestTasksThatFailKeepTheirRack guards against a task that leaves its rack at once after a
// failure, since another task of its step has waited for long, or it had itself before its run.
func TestTasksThatFailKeepTheirRack(t *testing.T) {
	r, announce := rackWaitRig(t)
	r.lastingStep(10, nil)
	orders := r.plan()
	if len(orders) != 8 {
		t.Fatalf("%d tasks are started in the rack, want 8", len(orders))
	}
	r.advance(5 * time.Second)
	announce()
	r.plan()
	// Another job takes the places of the tasks that fail.
	r.end(orders[3], workload.EndFailed, "")
	r.end(orders[4], workload.EndFailed, "")
	r.core.workers["near"].used = r.core.workers["near"].Capacity
	far := map[string]time.Duration{}
	for waited := time.Duration(0); waited < 8*time.Second; waited += 100 * time.Millisecond {
		announce()
		for _, o := range r.plan() {
			if o.Host == "far" {
				far[o.Task] = waited
			}
		}
		r.advance(100 * time.Millisecond)
	}
	for task, want := range map[string]time.Duration{".0.0.8": time.Second, ".0.0.9": time.Second, ".0.0.3": 6 * time.Second, ".0.0.4": 6 * time.Second} {
		if got, left := far[jobID(1)+task]; !left || got < want || got > want+300*time.Millisecond {
			t.Errorf("task %s leaves its rack after %v (%v), want %v", task, got, left, want)
		}
	}
}

// TestPlacesOfDoneTasksAreAwaited guards against tasks that leave the rack of their data while
// it frees up: the tasks before them end one after the other.
func TestPlacesOfDoneTasksAreAwaited(t *testing.T) {
	r, announce := rackWaitRig(t)
	r.job(jobID(1), func(j *workload.Job) {
		step := &j.Steps[0]
		step.Tasks, step.PreferredRack, step.Estimate = 10, "r0", 6*time.Second
	})
	orders := r.plan()
	for i := range 2 {
		r.advance(5 * time.Second)
		announce()
		r.plan()
		r.end(orders[i], workload.EndDone, "")
		for _, o := range r.plan() {
			if o.Host != "near" {
				t.Errorf("%s leaves the rack in which a place has become free", o.Task)
			}
		}
	}
}

// TestReservationOfALongWait guards against a wide unit that never gets a reservation, as each
// failure of one of its tasks begins the wait of the others anew.
func TestReservationOfALongWait(t *testing.T) {
	r, announce := rackWaitRig(t)
	r.lastingStep(3, func(s *workload.Step) { s.PreferredRack, s.PerTask.Accelerators = "", 8 })
	orders := r.plan()
	if len(orders) != 2 {
		t.Fatalf("%d tasks are started, want 2", len(orders))
	}
	var first int64
	for range 4 {
		r.advance(2 * time.Second)
		announce()
		r.end(orders[0], workload.EndFailed, "")
		for _, u := range r.core.units(r.now) {
			if first == 0 {
				first = u.readyMS
			}
			if u.readyMS != first {
				t.Errorf("the unit counts as ready since %d ms, want %d", u.readyMS, first)
			}
		}
		if again := r.plan(); len(again) > 0 && strings.HasSuffix(again[0].Task, ".0.0.0") {
			orders[0] = again[0]
		}
	}
}

// TestTaskIsPlacedOnceIntoRoomThatIsMade guards against ordering a task twice in one plan, and
// leaving another one out: of the tasks of an urgent unit only the later one may leave its rack
// for the room that was made there.
func TestTaskIsPlacedOnceIntoRoomThatIsMade(t *testing.T) {
	r, announce := rackWaitRig(t)
	r.job(jobID(1), func(j *workload.Job) {
		step := &j.Steps[0]
		j.Account, j.Priority = "bronze", 0
		step.Tasks, step.LongRunning, step.PreferredRack, step.Estimate = 9, true, "r0", 6*time.Second
	})
	orders := r.plan()
	if len(orders) != 8 {
		t.Fatalf("%d tasks are started in the rack, want 8", len(orders))
	}
	r.advance(6100 * time.Millisecond)
	announce()
	r.end(orders[3], workload.EndFailed, "")
	r.core.workers["near"].used = r.core.workers["near"].Capacity
	key := stepKey{0, 0}
	j := r.core.jobs[model.JobID(jobID(1))]
	j.room[key], j.lastPreemptionMS[key] = []*worker{r.core.workers["far"]}, r.now.StoreMS
	placed := map[string]int{}
	for _, o := range r.plan() {
		placed[o.Task]++
	}
	if len(placed) != 1 || placed[jobID(1)+".0.0.8"] != 1 {
		t.Errorf("ordered %v, want task 8 once", placed)
	}
}
