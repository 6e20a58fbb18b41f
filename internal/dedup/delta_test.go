package dedup

import (
	"flag"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// fixSeed makes rapid draw the same sequences in every run.
func fixSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// assignmentWorld is an entry host, one agent, and what is under way between them.
type assignmentWorld struct {
	versions []wire.Assignment
	history  History
	agent    wire.Assignment
	// acked is the version that the entry host last heard of.
	acked    uint64
	underWay []wire.ConfigUpdate
}

// publish moves a few ranges, or cuts all anew.
func (w *assignmentWorld) publish(t *rapid.T) {
	next := wire.Assignment{Version: uint64(len(w.versions) + 1)}
	if len(w.versions) == 0 || rapid.IntRange(0, 15).Draw(t, "cut") == 15 {
		count := 1 << rapid.IntRange(0, 2).Draw(t, "ranges")
		for i := range count {
			next.Ranges = append(next.Ranges, wire.HomeRange{FirstHash: uint64(i) << 56, Home: "a"})
		}
	} else {
		next.Ranges = append(next.Ranges, w.versions[len(w.versions)-1].Ranges...)
	}
	for range rapid.IntRange(0, 3).Draw(t, "moves") {
		i := rapid.IntRange(0, len(next.Ranges)-1).Draw(t, "range")
		next.Ranges[i].Home = rapid.SampledFrom([]model.BackendServerID{"a", "b"}).Draw(t, "home")
	}
	w.versions = append(w.versions, next)
	w.history.Add(next)
}

func (w *assignmentWorld) send(version uint64) {
	update := wire.ConfigUpdate{}
	w.history.FillUpdate(&update, version)
	if update.Assignment != nil {
		// The agent shares no memory with the entry host.
		whole := *update.Assignment
		whole.Ranges = slices.Clone(whole.Ranges)
		update.Assignment = &whole
	}
	w.underWay = append(w.underWay, update)
}

// deliver gives an update to the agent, which acknowledges what it then has.
func (w *assignmentWorld) deliver(t *rapid.T, update wire.ConfigUpdate) {
	before := w.agent.Version
	next, later := ApplyUpdate(w.agent, &update)
	if next.Version < before || later != (next.Version > before) {
		t.Fatalf("version %d after %d, later %v", next.Version, before, later)
	}
	w.agent = next
	w.checkAgent(t)
}

func (w *assignmentWorld) checkAgent(t *rapid.T) {
	if v := w.agent.Version; v > 0 && !reflect.DeepEqual(w.agent, w.versions[v-1]) {
		t.Fatalf("the agent's version %d is\n%+v, published was\n%+v", v, w.agent, w.versions[v-1])
	}
}

// TestDeltasEndEqualToTheWhole lets updates be lost, repeated and reordered, and
// acknowledgements be late.
func TestDeltasEndEqualToTheWhole(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		w := &assignmentWorld{}
		t.Repeat(map[string]func(*rapid.T){
			"publish":     w.publish,
			"send":        func(*rapid.T) { w.send(w.acked) },
			"acknowledge": func(*rapid.T) { w.acked = w.agent.Version },
			"agent restarts": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "chance") == 0 {
					w.agent, w.acked = wire.Assignment{}, 0
				}
			},
			"deliver": func(t *rapid.T) {
				if len(w.underWay) == 0 {
					t.Skip("nothing under way")
				}
				i := rapid.IntRange(0, len(w.underWay)-1).Draw(t, "update")
				w.deliver(t, w.underWay[i])
				if rapid.Bool().Draw(t, "once") {
					w.underWay = append(w.underWay[:i], w.underWay[i+1:]...)
				}
			},
			"lose": func(*rapid.T) { w.underWay = nil },
		})
		w.underWay = nil
		w.send(w.agent.Version)
		w.deliver(t, w.underWay[0])
		if w.agent.Version != w.history.Version() {
			t.Fatalf("version %d in the end, want %d", w.agent.Version, w.history.Version())
		}
	})
}

func TestDeltaNeedsTheVersionsToMeet(t *testing.T) {
	ranges := []wire.HomeRange{{FirstHash: 0, Home: "a"}, {FirstHash: 9, Home: "b"}}
	present := wire.Assignment{Version: 4, Ranges: ranges}
	moved := []wire.HomeRange{{FirstHash: 9, Home: "c"}}
	cases := []struct {
		name  string
		delta wire.AssignmentDelta
		want  bool
	}{
		{"from the present one", wire.AssignmentDelta{From: 4, To: 6, Count: 2, Ranges: moved}, true},
		{"from an earlier one", wire.AssignmentDelta{From: 3, To: 6, Count: 2, Ranges: moved}, false},
		{"from a later one", wire.AssignmentDelta{From: 5, To: 6, Count: 2, Ranges: moved}, false},
		{"to a lower one", wire.AssignmentDelta{From: 4, To: 3, Count: 2, Ranges: moved}, false},
		{"another cut", wire.AssignmentDelta{From: 4, To: 6, Count: 3, Ranges: moved}, false},
		{"a range that is not there", wire.AssignmentDelta{From: 4, To: 6, Count: 2, Ranges: []wire.HomeRange{{FirstHash: 8}}}, false},
	}
	for _, c := range cases {
		if _, got := ApplyUpdate(present, &wire.ConfigUpdate{Delta: &c.delta}); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if ranges[1].Home != "b" {
		t.Error("a delta changed the assignment that it started from")
	}
}

func TestHistoryKeepsAFewVersions(t *testing.T) {
	var h History
	for v := range uint64(keptAssignments + 3) {
		h.Add(wire.Assignment{Version: v + 1, Ranges: []wire.HomeRange{{Home: "a", SinceUnixMS: int64(v)}}})
	}
	for _, version := range []uint64{0, 1, 3, 4, 10, 11, 12} {
		var update wire.ConfigUpdate
		h.FillUpdate(&update, version)
		wantDelta, wantWhole := version >= 4 && version < 11, version < 4
		if (update.Delta != nil) != wantDelta || (update.Assignment != nil) != wantWhole {
			t.Errorf("from version %d: %+v", version, update)
		}
	}
}
