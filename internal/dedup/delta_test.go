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

// fixSeed makes rapid generate the same sequences in every run.
func fixSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// assignmentModel holds an entry host, one agent, and the updates in flight
// between them.
type assignmentModel struct {
	versions []wire.Assignment
	history  History
	agent    wire.Assignment
	// acked is the agent's version as last acknowledged to the entry host.
	acked    uint64
	inFlight []wire.ConfigUpdate
}

// publish adds a version in which a few ranges move or all ranges are split anew.
func (w *assignmentModel) publish(t *rapid.T) {
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

func (w *assignmentModel) send(version uint64) {
	update := wire.ConfigUpdate{}
	w.history.FillUpdate(&update, version)
	if update.Assignment != nil {
		// The agent shares no memory with the entry host.
		full := *update.Assignment
		full.Ranges = slices.Clone(full.Ranges)
		update.Assignment = &full
	}
	w.inFlight = append(w.inFlight, update)
}

// deliver applies an update at the agent and checks that its version does not
// decrease.
func (w *assignmentModel) deliver(t *rapid.T, update wire.ConfigUpdate) {
	before := w.agent.Version
	next, newer := ApplyUpdate(w.agent, &update)
	if next.Version < before || newer != (next.Version > before) {
		t.Fatalf("version %d after %d, reported as newer: %v", next.Version, before, newer)
	}
	w.agent = next
	w.checkAgent(t)
}

func (w *assignmentModel) checkAgent(t *rapid.T) {
	if v := w.agent.Version; v > 0 && !reflect.DeepEqual(w.agent, w.versions[v-1]) {
		t.Fatalf("the agent's version %d is\n%+v, but the published one is\n%+v", v, w.agent, w.versions[v-1])
	}
}

// TestDeltasConvergeToFullAssignment checks that the agent always has a published
// assignment, and in the end the last one, although updates are lost, repeated
// and reordered and acknowledgements are late.
func TestDeltasConvergeToFullAssignment(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		w := &assignmentModel{}
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
				if len(w.inFlight) == 0 {
					t.Skip("no update in flight")
				}
				i := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "update")
				w.deliver(t, w.inFlight[i])
				if rapid.Bool().Draw(t, "once") {
					w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
				}
			},
			"lose": func(*rapid.T) { w.inFlight = nil },
		})
		w.inFlight = nil
		w.send(w.agent.Version)
		w.deliver(t, w.inFlight[0])
		if w.agent.Version != w.history.Version() {
			t.Fatalf("final version %d, want %d", w.agent.Version, w.history.Version())
		}
	})
}

func TestDeltaRequiresCurrentVersionAsBase(t *testing.T) {
	ranges := []wire.HomeRange{{FirstHash: 0, Home: "a"}, {FirstHash: 9, Home: "b"}}
	current := wire.Assignment{Version: 4, Ranges: ranges}
	moved := []wire.HomeRange{{FirstHash: 9, Home: "c"}}
	cases := []struct {
		name  string
		delta wire.AssignmentDelta
		want  bool
	}{
		{"from the current version", wire.AssignmentDelta{From: 4, To: 6, Count: 2, Ranges: moved}, true},
		{"from an earlier version", wire.AssignmentDelta{From: 3, To: 6, Count: 2, Ranges: moved}, false},
		{"from a later version", wire.AssignmentDelta{From: 5, To: 6, Count: 2, Ranges: moved}, false},
		{"to a lower version", wire.AssignmentDelta{From: 4, To: 3, Count: 2, Ranges: moved}, false},
		{"another number of ranges", wire.AssignmentDelta{From: 4, To: 6, Count: 3, Ranges: moved}, false},
		{"an unknown range", wire.AssignmentDelta{From: 4, To: 6, Count: 2, Ranges: []wire.HomeRange{{FirstHash: 8}}}, false},
	}
	for _, c := range cases {
		if _, got := ApplyUpdate(current, &wire.ConfigUpdate{Delta: &c.delta}); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if ranges[1].Home != "b" {
		t.Error("applying a delta changed its base assignment")
	}
}

func TestHistoryKeepsLastVersions(t *testing.T) {
	var h History
	for v := range uint64(maxHistoryVersions + 3) {
		h.Add(wire.Assignment{Version: v + 1, Ranges: []wire.HomeRange{{Home: "a", SinceUnixMS: int64(v)}}})
	}
	for _, version := range []uint64{0, 1, 3, 4, 10, 11, 12} {
		var update wire.ConfigUpdate
		h.FillUpdate(&update, version)
		wantDelta, wantFull := version >= 4 && version < 11, version < 4
		if (update.Delta != nil) != wantDelta || (update.Assignment != nil) != wantFull {
			t.Errorf("from version %d: %+v", version, update)
		}
	}
}
