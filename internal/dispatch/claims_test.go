package dispatch

import (
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// TestVictimGangCostCountsOnce: a gang of two workers is stopped for an urgent one.
// What the gang loses counts once, although room on both of its workers is used.
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
	r.pass(3 * time.Second)
	r.worker("h1", "r1", nil)
	r.worker("h2", "r1", nil)
	// The gang loses 40 core seconds; the urgent one may throw away 60.
	r.job("00000000000000ff", func(j *workload.Job) {
		j.Account, j.Priority = "bronze", 0
		gang(j)
		j.Steps[0].Estimate = 6 * time.Second
	})
	r.plan()
	if n := len(r.stopping()); n != 2 {
		t.Errorf("%d members of the gang are stopped, both workers are needed", n)
	}
}

// TestVacatedCapacityIsKeptForItsGang: two workers are being vacated for an urgent
// gang. A shorter urgent task that comes meanwhile does not take the first of
// them, so that nothing more is stopped and the gang starts as soon as it can.
func TestVacatedCapacityIsKeptForItsGang(t *testing.T) {
	r := newRig(t)
	hosts := []string{"h1", "h2", "h3"}
	wideRuns(r, hosts)
	r.job("00000000000000fe", func(j *workload.Job) {
		j.Account, j.Priority = "gold", 0
		j.Steps[0].Tasks, j.Steps[0].Gang, j.Steps[0].PerTask.Accelerators = 2, true, 8
	})
	r.plan()
	victims := r.stopping()
	if len(victims) != 2 {
		t.Fatalf("%d runs are stopped for two whole workers", len(victims))
	}
	r.end(victims[0], workload.EndStopped, "")
	r.pass(200 * time.Millisecond)
	r.job("00000000000000ff", func(j *workload.Job) {
		j.Account, j.Priority = "bronze", 0
		j.Steps[0].Estimate = 200 * time.Millisecond
	})
	if started := r.plan(); len(started) != 0 {
		t.Errorf("%s takes room that is being made for the gang", started[0].Task)
	}
	r.end(victims[1], workload.EndStopped, "")
	started := r.plan()
	if len(started) != 2 || started[0].Task[:16] != "00000000000000fe" {
		t.Errorf("started once the room is there: %+v", started)
	}
	if n := len(r.stopping()); n != 0 {
		t.Errorf("%d more runs are stopped", n)
	}
}
