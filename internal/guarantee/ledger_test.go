package guarantee

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
)

func testLedger(workers int) *Ledger {
	l := NewLedger()
	for i := range workers {
		l.SetWorker(testWorker(i), true)
	}
	return l
}

func testWorker(i int) model.Worker {
	return model.Worker{
		ID: model.WorkerID(fmt.Sprintf("w%d", i)), Rack: model.RackID(fmt.Sprintf("r%d", i/3)),
		Zone: model.AvailabilityZoneName(fmt.Sprintf("z%d", i/3)), Capacity: model.Resources{Accelerators: 8},
	}
}

func guaranteed(name string, tasks, accelerators, count int, topology model.Topology) model.GuaranteedShape {
	return model.GuaranteedShape{
		Name: name, Account: "a", Count: count,
		Shape: model.Shape{Tasks: tasks, PerTask: model.Resources{Accelerators: accelerators}, Topology: topology},
	}
}

func TestAdmit(t *testing.T) {
	cases := []struct {
		name string
		add  model.GuaranteedShape
		fits bool
	}{
		{"fits beside", guaranteed("b", 1, 8, 1, model.TopologyRack), true},
		{"rack too small", guaranteed("b", 4, 8, 1, model.TopologyRack), false},
		{"no capacity left", guaranteed("b", 1, 8, 5, model.TopologyAny), false},
		{"all the rest", guaranteed("b", 1, 8, 4, model.TopologyAny), true},
		{"worker too small", guaranteed("b", 1, 9, 1, model.TopologyAny), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := testLedger(6)
			l.SetGuarantees(map[string]model.GuaranteedShape{"a": guaranteed("a", 2, 8, 1, model.TopologyRack)})
			l.Cover()
			err := l.Admit(c.add)
			if (err == nil) != c.fits || err != nil && !errors.Is(err, ErrCannotFit) {
				t.Errorf("got %v, want fits %v", err, c.fits)
			}
		})
	}
}

func TestLostZoneUncoversAndReturnCovers(t *testing.T) {
	l := testLedger(6)
	l.SetGuarantees(map[string]model.GuaranteedShape{"a": guaranteed("a", 3, 8, 2, model.TopologyRack)})
	l.Cover()
	loss := l.CheckZoneLoss()
	if len(loss) != 2 || len(loss[0].Uncovered) != 1 || len(loss[1].Uncovered) != 1 {
		t.Fatalf("got %+v, want one cell uncovered for each zone", loss)
	}
	for i := range 3 {
		l.SetWorker(testWorker(i), false)
	}
	l.Cover()
	if got := l.Uncovered(); len(got) != 1 || l.UncoveredReason(got[0]) == "" {
		t.Errorf("uncovered %v, want one with a reason", got)
	}
	for i := range 3 {
		l.SetWorker(testWorker(i), true)
	}
	l.Cover()
	if got := l.Uncovered(); len(got) != 0 {
		t.Errorf("uncovered %v after the return", got)
	}
	if err := l.Check(); err != nil {
		t.Error(err)
	}
}
