package routing

import (
	"fmt"
	"testing"
	"time"

	"dragonflyyard/internal/model"
)

var startTime = time.UnixMilli(1_800_000_000_000)

func id(i int) model.BackendServerID { return model.BackendServerID(fmt.Sprintf("b%03d", i)) }

func newTable(n int) *Table {
	t := NewTable("z0", 1, false)
	for i := range n {
		zone := model.AvailabilityZoneName(fmt.Sprint("z", i%3))
		t.LinkUp(model.BackendServer{ID: id(i), Zone: zone, Slots: 8, Connections: 64}, false)
		t.SetCredit(id(i), 1, 4, 32)
	}
	return t
}

func TestPick(t *testing.T) {
	cases := []struct {
		name  string
		setup func(t *Table)
		info  PickInfo
		want  model.BackendServerID
	}{
		{"own zone first", func(*Table) {}, PickInfo{Slots: 1}, id(0)},
		{"home in another zone", func(*Table) {}, PickInfo{Slots: 1, Home: id(1)}, id(1)},
		{"loaded home", func(t *Table) { t.Acquire(id(1), 2) }, PickInfo{Slots: 1, Home: id(1)}, id(0)},
		{"home in the own zone", func(*Table) {}, PickInfo{Slots: 1, Home: id(3)}, id(3)},
		{"loaded", func(t *Table) { t.Acquire(id(0), 2); t.Acquire(id(3), 2) }, PickInfo{Slots: 1}, id(1)},
		{"excluded", func(*Table) {}, PickInfo{Slots: 1, Excluded: []model.BackendServerID{id(0)}}, id(3)},
		{"slow", func(t *Table) { t.Observe(startTime, id(0), ResultOK, 2*time.Second, time.Second) }, PickInfo{Slots: 1}, id(3)},
		{"zone out", func(t *Table) { t.SetZonesOut(map[model.AvailabilityZoneName]bool{"z0": true}) }, PickInfo{Slots: 1}, id(1)},
		{"leaving", func(t *Table) { t.MarkLeaving(id(0)) }, PickInfo{Slots: 1}, id(3)},
		{"suspect", func(t *Table) { t.SetSuspect(id(0), true) }, PickInfo{Slots: 1}, id(3)},
		{"suspect home", func(t *Table) { t.SetSuspect(id(1), true) }, PickInfo{Slots: 1, Home: id(1)}, id(0)},
		{"no longer suspect", func(t *Table) { t.SetSuspect(id(0), true); t.SetSuspect(id(0), false) }, PickInfo{Slots: 1}, id(0)},
		{"suspect, and another loaded", func(t *Table) { t.SetSuspect(id(0), true); t.Acquire(id(3), 3) }, PickInfo{Slots: 1}, id(1)},
		{"all suspect", func(t *Table) {
			for i := range 6 {
				t.SetSuspect(id(i), true)
			}
		}, PickInfo{Slots: 1}, ""},
		{"reserved for a large request", func(t *Table) { t.Reserve(PickInfo{Request: "r", Slots: 8}) }, PickInfo{Slots: 1}, id(3)},
		{"larger than any credit", func(*Table) {}, PickInfo{Slots: 5}, ""},
		{"old credit ignored", func(t *Table) { t.SetCredit(id(0), 2, 0, 0); t.SetCredit(id(0), 1, 8, 64) }, PickInfo{Slots: 1}, id(3)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(6)
			c.setup(table)
			if got, _ := table.Pick(startTime, c.info); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestNoReservationAtSuspectServer(t *testing.T) {
	table := newTable(6)
	table.SetSuspect(id(0), true)
	if got, _ := table.Reserve(PickInfo{Request: "r", Slots: 8}); got != id(1) {
		t.Errorf("reserved %q, want %q", got, id(1))
	}
}

func TestEjectedShareIsCapped(t *testing.T) {
	table := newTable(9)
	for i := range 9 {
		for range windowSize {
			table.Observe(startTime, id(i), ResultFailed, 0, 0)
		}
	}
	ejected := 0
	for i := range 9 {
		if table.State(id(i)) == StateEjected {
			ejected++
		}
	}
	if ejected != 3 {
		t.Errorf("%d of 9 servers ejected, want 3", ejected)
	}
}

func TestEjectedServerReturnsAfterProbes(t *testing.T) {
	table := newTable(6)
	for range consecutiveFailureThreshold {
		table.Observe(startTime, id(0), ResultFailed, 0, 0)
	}
	if _, ok := table.Pick(startTime, PickInfo{Slots: 1, Home: id(0)}); !ok || table.State(id(0)) != StateEjected {
		t.Fatalf("state %q or no other server picked", table.State(id(0)))
	}
	due := startTime.Add(baseEjectionTime)
	if got, _ := table.Pick(due, PickInfo{Slots: 1}); got == id(0) {
		t.Error("a request that is not idempotent was chosen as the probe")
	}
	for i := range probeSuccessThreshold {
		got, _ := table.Pick(due, PickInfo{Slots: 1, Idempotent: true})
		if got != id(0) {
			t.Fatalf("probe %d went to %q", i, got)
		}
		table.Acquire(got, 1)
		if second, _ := table.Pick(due, PickInfo{Slots: 1, Idempotent: true}); second == id(0) {
			t.Error("a second probe was allowed while one is in flight")
		}
		table.Observe(due, got, ResultOK, time.Second, time.Second)
		table.Release(got, 1)
	}
	if got := table.State(id(0)); got != StateAvailable {
		t.Errorf("state %q after the probes", got)
	}
}

func TestFailedProbeLengthensEjection(t *testing.T) {
	table := newTable(6)
	for range consecutiveFailureThreshold {
		table.Observe(startTime, id(0), ResultFailed, 0, 0)
	}
	due := startTime.Add(baseEjectionTime)
	table.Pick(due, PickInfo{Slots: 1, Idempotent: true})
	table.Observe(due, id(0), ResultFailed, 0, 0)
	table.Pick(due.Add(baseEjectionTime), PickInfo{Slots: 1})
	if got := table.State(id(0)); got != StateEjected {
		t.Errorf("state %q", got)
	}
	table.Pick(due.Add(2*baseEjectionTime), PickInfo{Slots: 1})
	if got := table.State(id(0)); got != StateProbing {
		t.Errorf("state %q", got)
	}
}

func TestSlowServerIsEjected(t *testing.T) {
	table := newTable(6)
	for range 2 * minSlowdownSamples {
		for i := range 6 {
			service := time.Second
			if i == 2 {
				service = 5 * time.Second
			}
			table.Observe(startTime, id(i), ResultOK, service, time.Second)
		}
	}
	for i := range 6 {
		if got := table.State(id(i)); (got == StateEjected) != (i == 2) {
			t.Errorf("server %d: state %q", i, got)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{11, 200, 1600} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			table := newTable(n)
			b.ReportAllocs()
			for b.Loop() {
				table.Pick(startTime, PickInfo{Slots: 1, Idempotent: true})
			}
		})
	}
}
