package dispatch

import (
	"math"
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// TestWideJobsLeaveRacks: more gangs and wide jobs arrive than there is room for, on 64
// workers in racks of 8. Wide jobs spread over all racks would leave none to gangs.
func TestWideJobsLeaveRacks(t *testing.T) {
	gangs, inRack := 0, 0
	for seed := range uint64(4) {
		p := newLoadReplay(t, seed, nil)
		racks := p.random.Perm(64)
		for n := range racks {
			racks[n] /= 8
		}
		for range 400 {
			if p.random.Float64() < 0.2 {
				tasks := min(40, max(1, int(math.Exp(p.random.NormFloat64()*0.8+1.7))))
				step := small(5*tasks, time.Duration(30+p.random.IntN(80))*100*time.Millisecond)
				if p.random.IntN(4) > 0 {
					step.Tasks, step.Gang, step.SameRack = tasks, true, tasks <= 8 && p.random.IntN(2) == 0
					step.PerTask = workload.Resources{MilliCores: 26_000, MemoryMB: 70_000, Accelerators: 1 << p.random.IntN(4)}
				}
				p.submit("silver", step)
			}
			p.step(racks)
		}
		gangs, inRack = gangs+p.gangs, inRack+p.inRack
	}
	t.Logf("%d of %d gangs ran in one rack", inRack, gangs)
	if 10*inRack < 9*gangs {
		t.Errorf("%d of %d gangs ran in one rack, want nine of ten", inRack, gangs)
	}
}
