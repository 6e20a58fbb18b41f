package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dragonflyyard/internal/model"
)

func fleet(n int) *Index {
	x := NewIndex()
	for i := range n {
		w := model.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%05d", i)), Rack: model.RackID(fmt.Sprintf("r%05d", i/3)),
			Zone: model.AvailabilityZoneName(fmt.Sprintf("z%d", i/3%3)), Capacity: model.Resources{Accelerators: 8, Cores: 64, MemoryMB: 131072},
		}
		x.SetWorker(w, w.Capacity, true)
	}
	return x
}

func need(accelerators int) model.Resources {
	return model.Resources{Accelerators: accelerators, Cores: 2 * accelerators, MemoryMB: 1024}
}

func TestPlacementsFitAndAreFoundWhereTheyExist(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	x := fleet(11)
	for range 3000 {
		topology := []model.Topology{model.TopologyAny, model.TopologyZone, model.TopologyRack}[rng.IntN(3)]
		s := model.Shape{Tasks: 1 + rng.IntN(6), PerTask: need(1 + rng.IntN(8)), Topology: topology}
		place := x.Place(Request{Shape: s})
		if (place != nil) != exists(x, s) {
			t.Fatalf("%+v placed on %v, exists: %v", s, place, exists(x, s))
		}
		for _, w := range place {
			x.Reserve(w, s.PerTask)
			if free, _ := x.Free(w); free.Accelerators < 0 {
				t.Fatalf("%+v does not fit on %s", s, w)
			}
		}
		if rng.IntN(4) == 0 {
			x = fleet(11)
		}
	}
}

// exists reports whether a shape fits at all, by counting.
func exists(x *Index, s model.Shape) bool {
	counts := map[string]int{}
	for _, w := range x.workers {
		key := ""
		switch s.Topology {
		case model.TopologyRack:
			key = string(w.rack.zone.name) + "/" + string(w.rack.id)
		case model.TopologyZone:
			key = string(w.rack.zone.name)
		}
		counts[key] += Slots(w.free, s.PerTask)
	}
	for _, n := range counts {
		if n >= s.Tasks {
			return true
		}
	}
	return false
}

func TestBestFitKeepsRacksWhole(t *testing.T) {
	x := fleet(9)
	first := x.Place(Request{Shape: model.Shape{Tasks: 1, PerTask: need(1), Topology: model.TopologyAny}})
	x.Reserve(first[0], need(1))
	for range 23 {
		place := x.Place(Request{Shape: model.Shape{Tasks: 1, PerTask: need(1), Topology: model.TopologyAny}})
		if x.workers[place[0]].rack != x.workers[first[0]].rack {
			t.Fatalf("placed on %s while rack of %s had room", place[0], first[0])
		}
		x.Reserve(place[0], need(1))
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{11, 200, 1600, 19000} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			x := fleet(n)
			rng := rand.New(rand.NewPCG(1, 1))
			for id := range x.workers {
				x.Reserve(id, need(rng.IntN(8)))
			}
			s := model.Shape{Tasks: 2, PerTask: need(2), Topology: model.TopologyRack}
			b.ReportMetric(float64(x.Signatures()), "signatures")
			b.ResetTimer()
			for range b.N {
				place := x.Place(Request{Shape: s})
				for _, w := range place {
					x.Reserve(w, s.PerTask)
				}
				for _, w := range place {
					x.Release(w, s.PerTask)
				}
			}
		})
	}
}
