package fairshare

import (
	"testing"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// TestStanding: who counts as over the share. An account alone, or without anybody who
// waits, must not be put back, and what ran lately must count after it has ended.
func TestStanding(t *testing.T) {
	capacity := map[string]workload.Resources{"s": {MilliCores: 100_000, MemoryMB: 1000, Accelerators: 32}}
	guaranteed := map[model.ClientAccountID]int{"gold": 24, "silver": 8, "copper": 0}
	use := func(accelerators int, waiting bool) Use {
		return Use{Held: workload.Resources{Accelerators: accelerators}, Waiting: waiting}
	}
	for _, c := range []struct {
		name string
		// before is what was held for a minute, and uses what is held now.
		before, uses map[model.ClientAccountID]Use
		guaranteed   map[model.ClientAccountID]int
		over         string
	}{
		{"alone", nil, map[model.ClientAccountID]Use{"gold": use(32, true)}, guaranteed, ""},
		{"nobody waits", nil, map[model.ClientAccountID]Use{"silver": use(30, false), "gold": use(2, false)}, guaranteed, ""},
		{"above its weight", nil, map[model.ClientAccountID]Use{"silver": use(9, true), "gold": use(20, true)}, guaranteed, "silver"},
		{"within its weight", nil, map[model.ClientAccountID]Use{"silver": use(8, true), "gold": use(24, true)}, guaranteed, ""},
		{"no guarantee counts as the least one", nil, map[model.ClientAccountID]Use{"copper": use(17, true), "silver": use(15, true)}, guaranteed, "copper"},
		{"ran lately", map[model.ClientAccountID]Use{"silver": use(32, true)}, map[model.ClientAccountID]Use{"silver": use(0, true), "gold": use(0, true)}, guaranteed, "silver"},
		{"no guarantees", nil, map[model.ClientAccountID]Use{"silver": use(30, true), "gold": use(2, true)}, nil, ""},
		{"memory dominates", nil, map[model.ClientAccountID]Use{"silver": {Held: workload.Resources{MemoryMB: 400}}, "gold": use(1, true)}, guaranteed, "silver"},
	} {
		var l Ledger
		byGroup := func(uses map[model.ClientAccountID]Use) map[Group]Use {
			out := map[Group]Use{}
			for account, u := range uses {
				out[Group{"s", account}] = u
			}
			return out
		}
		l.Weigh(1, capacity, byGroup(c.before), c.guaranteed)
		l.Weigh(60_000, capacity, byGroup(c.before), c.guaranteed)
		over := ""
		for group, standing := range l.Weigh(60_100, capacity, byGroup(c.uses), c.guaranteed) {
			if standing.Over() {
				over += string(group.Account)
			}
		}
		if over != c.over {
			t.Errorf("%s: over their share: %q, want %q", c.name, over, c.over)
		}
	}
}
