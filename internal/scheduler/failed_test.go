package scheduler

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

func TestFailedJobWaitsForAnotherWorker(t *testing.T) {
	f := newTestFleet(t, testAccounts(), testWorker("w1"), testWorker("w2"))
	f.submit(testJob("other", 1, 8), testJob("j", 1, 8))
	first := f.job("j").Tasks[0].Worker
	for range 20 {
		f.endTasks("j", wire.TaskFailed)
		f.advance(2 * time.Second)
	}
	f.wantPhase("j", PhaseQueued)
	f.endTasks("other", wire.TaskFinished)
	f.advance(2 * time.Second)
	f.wantPhase("j", PhaseRunning)
	if got := f.job("j").Tasks[0].Worker; got == first {
		t.Errorf("started again on %s, which it failed on", got)
	}
}

func TestFailedJobUsesTheOnlyWorkerAgain(t *testing.T) {
	f := newTestFleet(t, testAccounts(), testWorker("w1"))
	f.submit(testJob("j", 1, 8))
	f.endTasks("j", wire.TaskFailed)
	f.advance(2 * time.Second)
	f.wantPhase("j", PhaseRunning)
}

func TestFailedClaimMovesItsCell(t *testing.T) {
	shape := testJob("", 1, 8).Shape
	f := newTestFleet(t, testAccounts(model.GuaranteedShape{Name: "g", Account: "a", Shape: shape, Count: 1}), testWorker("w1"), testWorker("w2"))
	other := testJob("other", 1, 8)
	other.Account = "b"
	claim := testJob("claim", 1, 8)
	claim.Capacity = model.CapacityGuaranteed
	f.submit(claim, other)
	first := f.job("claim").Tasks[0].Worker
	f.endTasks("claim", wire.TaskFailed)
	f.advance(2 * time.Second)
	f.wantPhase("claim", PhaseRunning)
	if got := f.job("claim").Tasks[0].Worker; got == first {
		t.Errorf("claimed on %s again, which it failed on", got)
	}
}
