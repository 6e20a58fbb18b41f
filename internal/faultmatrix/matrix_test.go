package faultmatrix

import (
	"flag"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"

	"dragonflyyard/internal/statechart"
)

var writePage = flag.Bool("faults.write", false, "write docs/FAULTS.md from this run")

const pagePath = "../../docs/FAULTS.md"

func loadCharts(t *testing.T) []*statechart.Chart {
	t.Helper()
	charts, err := statechart.All()
	if err != nil {
		t.Fatal(err)
	}
	return charts
}

// place returns the place of a cell, or fails the test when its transition
// does not exist.
func place(t *testing.T, columns []Column, c Cell) Place {
	t.Helper()
	for _, column := range columns {
		if column.Chart == c.Chart && column.From == c.From && column.Event == c.Event {
			return Place{column, c.Fault}
		}
	}
	t.Errorf("chart %q has no transition from %q on %q", c.Chart, c.From, c.Event)
	return Place{}
}

func TestCellsAreWellFormed(t *testing.T) {
	columns := Columns(loadCharts(t))
	faults := map[Fault]bool{}
	for _, f := range Faults() {
		faults[f.Fault] = true
	}
	seen := map[Place]bool{}
	for _, c := range registered {
		p := place(t, columns, c)
		if seen[p] {
			t.Errorf("%s under %s is registered twice", p.Column, p.Fault)
		}
		seen[p] = true
		if !faults[c.Fault] {
			t.Errorf("%s: fault %q is unknown", p.Column, c.Fault)
		}
		for i, promise := range c.Promises {
			if promise < PromiseRequestOutcome || promise > PromiseStore || slices.Contains(c.Promises[:i], promise) {
				t.Errorf("%s under %s: promise %d is unknown or stands twice", p.Column, p.Fault, promise)
			}
		}
		if len(c.Promises) == 0 {
			t.Errorf("%s under %s guards no promise", p.Column, p.Fault)
		}
		if (c.Run == nil) == (c.Impossible == "") || strings.Contains(c.Impossible, "\n") {
			t.Errorf("%s under %s: exactly one of Run and a one-line Impossible is needed", p.Column, p.Fault)
		}
	}
}

// TestEveryTransitionHasACell wants at least one cell that runs for each
// transition, so that a new transition of a chart fails here first.
func TestEveryTransitionHasACell(t *testing.T) {
	charts := loadCharts(t)
	running := map[Column]bool{}
	for _, c := range registered {
		if c.Run != nil {
			running[place(t, Columns(charts), c).Column] = true
		}
	}
	for _, chart := range charts {
		t.Run(chart.Name(), func(t *testing.T) {
			for _, column := range Columns([]*statechart.Chart{chart}) {
				if !running[column] {
					t.Errorf("%s has no cell that runs", column)
				}
			}
		})
	}
}

// TestFaultMatrix runs every registered cell, prints the counts and the places
// without a cell, and holds docs/FAULTS.md to the result.
func TestFaultMatrix(t *testing.T) {
	charts := loadCharts(t)
	columns := Columns(charts)
	matrix := NewMatrix(charts)
	for _, chart := range charts {
		t.Run(chart.Name(), func(t *testing.T) { runCells(t, chart.Name(), columns, matrix) })
	}
	fillEmptyRows(matrix)
	if testing.Verbose() {
		for _, p := range matrix.Missing() {
			t.Logf("no cell: %s under %s", p.Column, p.Fault)
		}
		t.Logf("fault matrix\n%s", matrix.Summary())
	}
	t.Run("page", func(t *testing.T) { checkPage(t, matrix.Page()) })
}

// cellsAtOnce bounds the cells that run at the same time.
const cellsAtOnce = 4

// runCells runs the cells of a chart, a few at a time, and returns when all
// have ended.
func runCells(t *testing.T, chart string, columns []Column, matrix *Matrix) {
	var mu sync.Mutex
	set := func(p Place, r Record) {
		mu.Lock()
		defer mu.Unlock()
		matrix.Set(p, r)
	}
	free := make(chan struct{}, cellsAtOnce)
	for _, c := range registered {
		if c.Chart != chart {
			continue
		}
		p := place(t, columns, c)
		if c.Run == nil {
			set(p, Record{Result: Impossible, Promises: c.Promises, Reason: c.Impossible})
			continue
		}
		t.Run(strings.Join([]string{c.From, c.Event, string(c.Fault)}, "/"), func(t *testing.T) {
			t.Parallel()
			t.Cleanup(func() {
				result := Passed
				if t.Failed() || t.Skipped() {
					result = Failed
				}
				set(p, Record{Result: result, Promises: c.Promises})
			})
			free <- struct{}{}
			defer func() { <-free }()
			c.Run(t)
		})
	}
}

// checkPage holds docs/FAULTS.md to the page of this run, or writes it.
func checkPage(t *testing.T, page string) {
	if *writePage {
		if err := os.WriteFile(pagePath, []byte(page), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	kept, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if string(kept) != page {
		t.Error("docs/FAULTS.md is not what this run gives; run make faults")
	}
}

func fillEmptyRows(m *Matrix) {
	for _, row := range emptyRows {
		for _, column := range m.columns {
			p := Place{column, row.fault}
			if _, set := m.records[p]; column.Chart == row.chart && !set {
				m.Set(p, Record{Result: Impossible, Promises: []Promise{row.promise}, Reason: row.reason})
			}
		}
	}
}

func TestCountsAndPage(t *testing.T) {
	chart, err := statechart.Parse("c.yaml", []byte("name: c\ninitial: a\nstates: [{name: a}, {name: b, final: true}]\n"+
		"events: [{name: e}, {name: f}]\ntransitions: [{from: a, event: e, to: b}, {from: a, event: f, to: b}]\n"))
	if err != nil {
		t.Fatal(err)
	}
	m := NewMatrix([]*statechart.Chart{chart})
	columns := Columns([]*statechart.Chart{chart})
	m.Set(Place{columns[0], HostKilled}, Record{Result: Passed, Promises: []Promise{PromiseGang, PromiseGuarantee}})
	m.Set(Place{columns[0], MessageLost}, Record{Result: Failed, Promises: []Promise{PromiseGang, PromiseGuarantee}})
	m.Set(Place{columns[1], HostKilled}, Record{Result: Impossible, Promises: []Promise{PromiseStore}, Reason: "no host"})
	want := Counts{Passed: 1, Failed: 1, Impossible: 1, NotCovered: 2*len(Faults()) - 3}
	if got := m.CountsByChart()["c"]; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for _, promise := range []Promise{PromiseGang, PromiseGuarantee} {
		if got := m.CountsByPromise()[promise]; got != (Counts{Passed: 1, Failed: 1}) {
			t.Errorf("promise %d: got %+v", promise, got)
		}
	}
	page := m.Page()
	for _, text := range []string{"| a on e | 5 6 | ? |", "| F |", "| a on f | - |", "- no host (a)",
		"- c: a on f: process_frozen,"} {
		if !strings.Contains(page, text) {
			t.Errorf("the page has no %q:\n%s", text, page)
		}
	}
	if got := len(m.Missing()); got != want.NotCovered {
		t.Errorf("got %d missing places, want %d", got, want.NotCovered)
	}
}
