package faultmatrix

import (
	"fmt"
	"strings"

	"dragonflyyard/internal/statechart"
)

// Column is one transition of one chart.
type Column struct {
	Chart string
	From  string
	Event string
	To    string
}

// String returns the column's name, such as "request: queued on given_up".
func (c Column) String() string { return fmt.Sprintf("%s: %s on %s", c.Chart, c.From, c.Event) }

// Columns returns all transitions of the given charts, in the files' order.
func Columns(charts []*statechart.Chart) []Column {
	var columns []Column
	for _, chart := range charts {
		for _, t := range chart.Definition().Transitions {
			columns = append(columns, Column{Chart: chart.Name(), From: t.From, Event: t.Event, To: t.To})
		}
	}
	return columns
}

// Result says what became of one cell.
type Result uint8

// Results of a cell. The zero Result means that no cell is registered.
const (
	NotCovered Result = iota
	Passed
	Failed
	Impossible
)

// Place is one position of the matrix.
type Place struct {
	Column Column
	Fault  Fault
}

// Record is the result of the cell at one place.
type Record struct {
	Result Result
	// Promises are those that the cell guards, the chart's own first. A failed
	// cell counts as failed under each of them.
	Promises []Promise
	// Reason says why an impossible cell cannot happen.
	Reason string
}

// Matrix collects the records of all cells.
type Matrix struct {
	columns []Column
	records map[Place]Record
}

// NewMatrix returns an empty matrix over the charts.
func NewMatrix(charts []*statechart.Chart) *Matrix {
	return &Matrix{columns: Columns(charts), records: map[Place]Record{}}
}

// Set keeps the record of a cell.
func (m *Matrix) Set(p Place, r Record) { m.records[p] = r }

// Counts are the numbers of cells by result.
type Counts struct {
	Passed, Failed, Impossible, NotCovered int
}

func (c *Counts) add(r Result) {
	switch r {
	case Passed:
		c.Passed++
	case Failed:
		c.Failed++
	case Impossible:
		c.Impossible++
	default:
		c.NotCovered++
	}
}

// CountsByPromise returns the counts of the registered cells by promise.
func (m *Matrix) CountsByPromise() map[Promise]Counts {
	byPromise := map[Promise]Counts{}
	for _, r := range m.records {
		for _, promise := range r.Promises {
			counts := byPromise[promise]
			counts.add(r.Result)
			byPromise[promise] = counts
		}
	}
	return byPromise
}

// CountsByChart returns the counts of all cells by chart.
func (m *Matrix) CountsByChart() map[string]Counts {
	byChart := map[string]Counts{}
	for _, column := range m.columns {
		counts := byChart[column.Chart]
		for _, f := range Faults() {
			counts.add(m.records[Place{column, f.Fault}].Result)
		}
		byChart[column.Chart] = counts
	}
	return byChart
}

// charts returns the names of the charts in the order of the columns.
func (m *Matrix) charts() []string {
	var names []string
	for _, column := range m.columns {
		if len(names) == 0 || names[len(names)-1] != column.Chart {
			names = append(names, column.Chart)
		}
	}
	return names
}

// Summary returns the counts by promise and by chart as two Markdown tables.
func (m *Matrix) Summary() string {
	var b strings.Builder
	b.WriteString("| promise | passed | failed | impossible |\n| --- | ---: | ---: | ---: |\n")
	byPromise := m.CountsByPromise()
	for _, p := range Promises() {
		c := byPromise[p.Promise]
		fmt.Fprintf(&b, "| %d. %s | %d | %d | %d |\n", p.Promise, p.Meaning, c.Passed, c.Failed, c.Impossible)
	}
	b.WriteString("\n| chart | passed | failed | impossible | not covered |\n| --- | ---: | ---: | ---: | ---: |\n")
	byChart := m.CountsByChart()
	var total Counts
	for _, name := range m.charts() {
		c := byChart[name]
		fmt.Fprintf(&b, "| %s | %d | %d | %d | %d |\n", name, c.Passed, c.Failed, c.Impossible, c.NotCovered)
		total.Passed += c.Passed
		total.Failed += c.Failed
		total.Impossible += c.Impossible
		total.NotCovered += c.NotCovered
	}
	fmt.Fprintf(&b, "| all | %d | %d | %d | %d |\n", total.Passed, total.Failed, total.Impossible, total.NotCovered)
	return b.String()
}

// Missing returns the places without a cell.
func (m *Matrix) Missing() []Place {
	var missing []Place
	for _, column := range m.columns {
		for _, f := range Faults() {
			place := Place{column, f.Fault}
			if m.records[place].Result == NotCovered {
				missing = append(missing, place)
			}
		}
	}
	return missing
}
