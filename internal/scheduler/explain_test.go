package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/model"
)

func TestExplainNamesTheLimitOfStarts(t *testing.T) {
	f := newTestFleet(t, testAccounts(), testWorker("w1"), testWorker("w2"))
	limit := f.core.settings.MaxStartsPerTick
	for i := range limit + 1 {
		f.submit(testJob(fmt.Sprintf("j%d", i), 1, 1))
	}
	last := model.JobID(fmt.Sprintf("j%d", limit))
	f.wantPhase(last, PhaseQueued)
	why, _ := f.core.Explain(f.now, last)
	if text := why[len(why)-1]; !strings.Contains(text, "a place for 1 tasks of 1 accelerators is free") {
		t.Errorf("got %q, want the limit on attempts per tick", text)
	}
	f.advance(100 * time.Millisecond)
	f.wantPhase(last, PhaseRunning)
}

func TestExplainSaysThatNoPlaceIsFree(t *testing.T) {
	f := newTestFleet(t, testAccounts(), testWorker("w1"))
	f.submit(testJob("first", 1, 8), testJob("j", 1, 1))
	why, _ := f.core.Explain(f.now, "j")
	if text := why[len(why)-1]; !strings.Contains(text, "no place for 1 tasks of 1 accelerators is free") {
		t.Errorf("got %q, want that no place is free", text)
	}
}
