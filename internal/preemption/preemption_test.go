package preemption

import (
	"slices"
	"testing"

	"dragonflyyard/internal/model"
)

func accelerators(n int) model.Resources { return model.Resources{Accelerators: n} }

func TestChoose(t *testing.T) {
	one := func(job model.JobID, cost float64, worker model.WorkerID, n int) Victim {
		return Victim{Job: job, Cost: cost, Uses: []Use{{worker, accelerators(n)}}}
	}
	wide := Victim{Job: "wide", Cost: 5, Uses: []Use{{"w1", accelerators(4)}, {"w2", accelerators(4)}}}
	cases := []struct {
		name     string
		deficits map[model.WorkerID]model.Resources
		victims  []Victim
		order    Order
		want     []model.JobID
		ok       bool
	}{
		{"nothing missing", map[model.WorkerID]model.Resources{"w1": accelerators(0)}, []Victim{wide}, LeastLostWork, nil, true},
		{"cheapest", map[model.WorkerID]model.Resources{"w1": accelerators(4)}, []Victim{one("dear", 9, "w1", 4), one("cheap", 1, "w1", 4)}, LeastLostWork, []model.JobID{"cheap"}, true},
		{"as given", map[model.WorkerID]model.Resources{"w1": accelerators(4)}, []Victim{one("dear", 9, "w1", 4), one("cheap", 1, "w1", 4)}, InputOrder, []model.JobID{"dear"}, true},
		{"one gang for both workers", map[model.WorkerID]model.Resources{"w1": accelerators(4), "w2": accelerators(4)}, []Victim{wide, one("a", 4, "w1", 4), one("b", 4, "w2", 4)}, LeastLostWork, []model.JobID{"wide"}, true},
		{"unnecessary ones dropped", map[model.WorkerID]model.Resources{"w1": accelerators(4)}, []Victim{one("small", 1, "w1", 2), one("whole", 3, "w1", 4)}, LeastLostWork, []model.JobID{"whole"}, true},
		{"not enough", map[model.WorkerID]model.Resources{"w1": accelerators(8)}, []Victim{wide}, LeastLostWork, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, ok := Choose(c.deficits, c.victims, c.order)
			if ok != c.ok || !slices.Equal(got, c.want) {
				t.Errorf("got %v %v, want %v %v", got, ok, c.want, c.ok)
			}
		})
	}
}
