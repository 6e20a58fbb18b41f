package scheduler

import (
	"testing"
	"time"

	"dragonflyyard/internal/wire"
)

func TestStartingAgentGetsNoReservations(t *testing.T) {
	f := newTestFleet(t, testAccounts(), testWorker("w1"))
	f.step(WorkerLost{Worker: "w1"})
	f.step(WorkerUp{Report: wire.WorkerReport{Worker: testWorker("w1"), AcceptInMS: 3000}})
	f.submit(testJob("j", 1, 8))
	f.advance(2900 * time.Millisecond)
	if got := f.job("j"); got.Phase != PhaseQueued || got.Attempt != 0 {
		t.Errorf("job is %s in attempt %d, want no attempt while the agent starts", got.Phase, got.Attempt)
	}
	f.advance(100 * time.Millisecond)
	f.wantPhase("j", PhaseRunning)
}
