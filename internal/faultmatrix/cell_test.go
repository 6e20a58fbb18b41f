package faultmatrix

import (
	"testing"

	"dragonflyyard/internal/statechart"
)

// Cell is one registered place of the matrix. Exactly one of Impossible and
// Run is set.
type Cell struct {
	Chart string
	From  string
	Event string
	Fault Fault
	// Promises are those that the cell's checks guard, the chart's own first.
	Promises []Promise
	// Impossible says in one line why the fault cannot meet the transition.
	Impossible string
	// Run drives the cores through the transition under the fault.
	Run func(t *testing.T)
}

// step names one transition of a chart.
type step struct {
	from, event string
}

// registered holds the cells of all files of this package.
var registered []Cell

// emptyRow makes each place of a chart's row that has no cell impossible.
type emptyRow struct {
	chart   string
	fault   Fault
	promise Promise
	reason  string
}

var emptyRows []emptyRow

// register adds cells. It is called from init functions.
func register(cells ...Cell) { registered = append(registered, cells...) }

// registerImpossible marks places as impossible, for one reason.
func registerImpossible(chart string, promise Promise, reason string, steps []step, faults ...Fault) {
	for _, s := range steps {
		for _, f := range faults {
			register(Cell{Chart: chart, From: s.from, Event: s.event, Fault: f, Promises: []Promise{promise}, Impossible: reason})
		}
	}
}

// registerImpossibleRows marks, in whole rows of a chart, the places that have
// no cell of their own as impossible.
func registerImpossibleRows(chart string, promise Promise, reason string, faults ...Fault) {
	for _, f := range faults {
		emptyRows = append(emptyRows, emptyRow{chart, f, promise, reason})
	}
}

// registerEach adds a cell for each pair of a step and a fault. The run is told
// which pair it is to drive.
func registerEach(chart string, promises []Promise, steps []step, faults []Fault, run func(t *testing.T, s step, f Fault)) {
	for _, s := range steps {
		for _, f := range faults {
			register(Cell{Chart: chart, From: s.from, Event: s.event, Fault: f, Promises: promises,
				Run: func(t *testing.T) { run(t, s, f) }})
		}
	}
}

// allSteps returns all transitions of a chart.
func allSteps(chart string) []step {
	var steps []step
	for _, t := range statechart.MustLoad(chart).Definition().Transitions {
		steps = append(steps, step{t.From, t.Event})
	}
	return steps
}

// stepsWithout returns all transitions of a chart but the given ones.
func stepsWithout(chart string, without ...step) []step {
	var steps []step
	for _, s := range allSteps(chart) {
		skip := false
		for _, w := range without {
			skip = skip || s == w
		}
		if !skip {
			steps = append(steps, s)
		}
	}
	return steps
}
