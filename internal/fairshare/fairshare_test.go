package fairshare

import (
	"testing"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// TestStanding: an account alone, or without anybody who waits, must not be put back, and
// what ran lately must count after it has ended. Silver's weight is a quarter of the sum.
func TestStanding(t *testing.T) {
	capacity := map[string]workload.Resources{"s": {MilliCores: 100_000, MemoryMB: 1000, Accelerators: 32}}
	guaranteed := map[model.ClientAccountID]int{"gold": 24, "silver": 8}
	silver, gold := Group{"s", "silver"}, Group{"s", "gold"}
	use := func(accelerators, memory int, waiting bool) Use {
		return Use{workload.Resources{Accelerators: accelerators, MemoryMB: memory}, waiting}
	}
	for name, c := range map[string]struct {
		// lately is what was held for a minute, and now what is held after it.
		lately, now map[Group]Use
		guaranteed  map[model.ClientAccountID]int
		over        bool
	}{
		"alone":             {nil, map[Group]Use{silver: use(32, 0, true)}, guaranteed, false},
		"nobody waits":      {nil, map[Group]Use{silver: use(30, 0, false), gold: use(2, 0, false)}, guaranteed, false},
		"above its weight":  {nil, map[Group]Use{silver: use(9, 0, true), gold: use(20, 0, true)}, guaranteed, true},
		"within its weight": {nil, map[Group]Use{silver: use(8, 0, true), gold: use(24, 0, true)}, guaranteed, false},
		"without guarantee": {nil, map[Group]Use{silver: use(17, 0, true), gold: use(15, 0, true)}, map[model.ClientAccountID]int{"gold": 8}, true},
		"ran lately":        {map[Group]Use{silver: use(32, 0, true)}, map[Group]Use{silver: use(0, 0, true), gold: use(0, 0, true)}, guaranteed, true},
		"no guarantees":     {nil, map[Group]Use{silver: use(30, 0, true), gold: use(2, 0, true)}, nil, false},
		"memory dominates":  {nil, map[Group]Use{silver: use(1, 400, true), gold: use(1, 0, true)}, guaranteed, true},
	} {
		var l Ledger
		l.Weigh(1, capacity, c.lately, c.guaranteed)
		l.Weigh(60_000, capacity, c.lately, c.guaranteed)
		if got := l.Weigh(60_100, capacity, c.now, c.guaranteed)[silver]; got.Over() != c.over {
			t.Errorf("%s: %+v, over its share: %t, want %t", name, got, got.Over(), c.over)
		}
	}
}
