package scheduler

import (
	"fmt"
	"testing"
	"time"

	"dragonflyyard/internal/model"
)

// urgentJob returns an urgent job of account b, which may preempt work of
// account a.
func urgentJob(id string, tasks, accelerators int) model.Job {
	j := testJob(id, tasks, accelerators)
	j.Account = "b"
	j.Urgent = true
	return j
}

func TestUrgentWorkStopsTheYoungestAtOnce(t *testing.T) {
	f := newTestFleet(t, testAccounts(), testWorker("w1"), testWorker("w2"))
	f.submit(checkpointingJob("old", 1, 8))
	f.advance(10 * time.Minute)
	f.submit(checkpointingJob("young", 1, 8))
	f.advance(time.Second)
	f.submit(urgentJob("u", 1, 4))
	f.wantPhase("u", PhaseRunning)
	f.wantPhase("old", PhaseRunning)
	f.wantPhase("young", PhaseQueued)
	if len(f.stops) != 1 || f.stops[0].GraceMS != 0 {
		t.Errorf("stops %+v, want one without time for a checkpoint", f.stops)
	}
}

func TestUrgentWorkLeavesOthersWorkThatCannotCheckpoint(t *testing.T) {
	f := newTestFleet(t, testAccounts(), testWorker("w1"))
	f.submit(testJob("pinned", 1, 8), urgentJob("u", 1, 4))
	f.advance(time.Second)
	f.wantPhase("u", PhaseQueued)
	f.wantPhase("pinned", PhaseRunning)
}

func TestUrgentWorkDoesNotWaitForCheckpointsUnderWay(t *testing.T) {
	f := newTestFleet(t, testAccounts(), testWorker("w1"), testWorker("w2"))
	f.submit(checkpointingJob("moving", 1, 8), checkpointingJob("young", 1, 8))
	f.advance(2 * time.Minute)
	// The stop message is not delivered, so the checkpoint stays in progress.
	f.core.evict(f.now, &JobState{Job: testJob("other", 1, 8)}, []model.JobID{"moving"}, "")
	f.wantPhase("moving", PhaseStopping)
	f.submit(urgentJob("u", 1, 8))
	f.wantPhase("u", PhaseRunning)
	f.wantPhase("young", PhaseQueued)
}

func TestUrgentWorkGoesBeforeABurst(t *testing.T) {
	f := newTestFleet(t, testAccounts(), testWorker("w1"), testWorker("w2"), testWorker("w3"), testWorker("w4"))
	f.submit(checkpointingJob("share", 1, 8))
	for i := range 20 {
		j := testJob(fmt.Sprintf("burst%02d", i), 1, 1)
		j.Account = "b"
		f.submit(j)
	}
	u := testJob("u", 1, 1)
	u.Urgent = true
	f.submit(u)
	f.wantPhase("burst19", PhaseQueued)
	f.wantPhase("u", PhaseRunning)
}
