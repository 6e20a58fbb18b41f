package dispatch

import (
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// TestVictimGangCostCountsOnce: an urgent gang preempts a gang on two workers.
// The loss of the preempted gang must count once, although capacity on both of
// its workers is used; counted twice it would exceed the budget.
func TestVictimGangCostCountsOnce(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	r.worker("h2", "r1", nil)
	gang := func(j *workload.Job) {
		j.Steps[0].Tasks, j.Steps[0].Gang, j.Steps[0].PerTask.Accelerators = 2, true, 8
	}
	r.job(jobID(1), func(j *workload.Job) {
		gang(j)
		j.Steps[0].Estimate = 30 * time.Second
	})
	r.plan()
	r.advance(3 * time.Second)
	r.worker("h1", "r1", nil)
	r.worker("h2", "r1", nil)
	// The preempted gang loses 40 core seconds; the urgent one may discard 60.
	r.job("00000000000000ff", func(j *workload.Job) {
		j.Account, j.Priority = "bronze", 0
		gang(j)
		j.Steps[0].Estimate = 6 * time.Second
	})
	r.plan()
	if n := len(r.stopping()); n != 2 {
		t.Errorf("%d members of the gang are preempted, want both", n)
	}
}

// TestVacatedCapacityIsKeptForItsGang: two workers are being vacated for an
// urgent gang. A shorter urgent task that is submitted meanwhile must not take
// the first of them: more runs would be preempted, and the gang would start
// later.
func TestVacatedCapacityIsKeptForItsGang(t *testing.T) {
	r := newRig(t)
	hosts := []string{"h1", "h2", "h3"}
	occupyWorkers(r, hosts)
	r.job("00000000000000fe", func(j *workload.Job) {
		j.Account, j.Priority = "gold", 0
		j.Steps[0].Tasks, j.Steps[0].Gang, j.Steps[0].PerTask.Accelerators = 2, true, 8
	})
	r.plan()
	victims := r.stopping()
	if len(victims) != 2 {
		t.Fatalf("%d runs are preempted for two whole workers", len(victims))
	}
	r.end(victims[0], workload.EndStopped, "")
	r.advance(200 * time.Millisecond)
	r.job("00000000000000ff", func(j *workload.Job) {
		j.Account, j.Priority = "bronze", 0
		j.Steps[0].Estimate = 200 * time.Millisecond
	})
	if started := r.plan(); len(started) != 0 {
		t.Errorf("%s takes capacity that is being released for the gang", started[0].Task)
	}
	r.end(victims[1], workload.EndStopped, "")
	started := r.plan()
	if len(started) != 2 || started[0].Task[:16] != "00000000000000fe" {
		t.Errorf("started after the capacity was released: %+v, want the gang", started)
	}
	if n := len(r.stopping()); n != 0 {
		t.Errorf("%d more runs are preempted", n)
	}
}
