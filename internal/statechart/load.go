package statechart

import (
	"embed"
	"fmt"
	"sort"
	"sync"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/strictyaml"
)

//go:embed charts/*.yaml
var chartFiles embed.FS

// maxNames limits the number of states and the number of events of a chart.
const maxNames = 1 << 10

// embeddedCharts loads the embedded charts once.
var embeddedCharts = sync.OnceValues(loadEmbedded)

func loadEmbedded() (map[string]*Chart, error) {
	entries, err := chartFiles.ReadDir("charts")
	if err != nil {
		return nil, errors.Wrap(err, "read embedded charts")
	}
	charts := make(map[string]*Chart, len(entries))
	for _, entry := range entries {
		data, err := chartFiles.ReadFile("charts/" + entry.Name())
		if err != nil {
			return nil, errors.Wrapf(err, "read chart %s", entry.Name())
		}
		chart, err := Parse(entry.Name(), data)
		if err != nil {
			return nil, err
		}
		charts[chart.Name()] = chart
	}
	return charts, nil
}

// Load returns the embedded chart of the given name.
func Load(name string) (*Chart, error) {
	charts, err := embeddedCharts()
	if err != nil {
		return nil, err
	}
	chart, ok := charts[name]
	if !ok {
		return nil, errors.Newf("state chart %q does not exist", name)
	}
	return chart, nil
}

// MustLoad returns the embedded chart of the given name. It panics if the chart
// is missing or invalid, which is a defect of the build.
func MustLoad(name string) *Chart {
	chart, err := Load(name)
	if err != nil {
		panic(err)
	}
	return chart
}

// All returns the embedded charts, sorted by name.
func All() ([]*Chart, error) {
	charts, err := embeddedCharts()
	if err != nil {
		return nil, err
	}
	all := make([]*Chart, 0, len(charts))
	for _, chart := range charts {
		all = append(all, chart)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name() < all[j].Name() })
	return all, nil
}

// Parse validates and compiles the chart in a file's data. The error, if any,
// lists each problem with file and line (strictyaml.Problems).
func Parse(file string, data []byte) (*Chart, error) {
	var d Definition
	doc, err := strictyaml.Decode(file, data, &d)
	if err != nil {
		return nil, err
	}
	chart := &Chart{definition: d}
	check := &checker{doc: doc, chart: chart}
	check.indexNames()
	check.compileTransitions()
	if len(check.problems) == 0 {
		check.checkReachability()
	}
	if err := check.problems.OrNil(); err != nil {
		return nil, err
	}
	return chart, nil
}

// checker compiles a definition and collects its problems.
type checker struct {
	doc      *strictyaml.Document
	chart    *Chart
	problems strictyaml.Problems
}

func (c *checker) report(key, format string, args ...any) {
	c.problems = append(c.problems, c.doc.Problem(key, "", format, args...))
}

// indexNames indexes the states and events by name and resolves the initial state.
func (c *checker) indexNames() {
	d := &c.chart.definition
	if d.Name == "" {
		c.report("name", "the chart has no name")
	}
	if len(d.States) == 0 || len(d.States) > maxNames || len(d.Events) > maxNames {
		c.report("states", "a chart has 1 to %d states and at most as many events", maxNames)
		return
	}
	c.chart.states = make(map[string]State, len(d.States))
	for i, s := range d.States {
		if _, duplicate := c.chart.states[s.Name]; duplicate || s.Name == "" {
			c.report(fmt.Sprintf("states[%d]", i), "state %q is unnamed or listed twice", s.Name)
		}
		c.chart.states[s.Name] = State(i)
	}
	c.chart.events = make(map[string]Event, len(d.Events))
	for i, e := range d.Events {
		if _, duplicate := c.chart.events[e.Name]; duplicate || e.Name == "" {
			c.report(fmt.Sprintf("events[%d]", i), "event %q is unnamed or listed twice", e.Name)
		}
		c.chart.events[e.Name] = Event(i)
	}
	initial, ok := c.chart.states[d.Initial]
	if !ok {
		c.report("initial", "initial state %q is missing", d.Initial)
	}
	c.chart.initial = initial
}

// compileTransitions fills the transition table and reports events without a
// transition.
func (c *checker) compileTransitions() {
	d := &c.chart.definition
	c.chart.table = make([]int16, len(d.States)*len(d.Events))
	for i := range c.chart.table {
		c.chart.table[i] = noTransition
	}
	used := make([]bool, len(d.Events))
	for i, t := range d.Transitions {
		key := fmt.Sprintf("transitions[%d]", i)
		from, fromOK := c.chart.states[t.From]
		to, toOK := c.chart.states[t.To]
		event, eventOK := c.chart.events[t.Event]
		c.chart.targets = append(c.chart.targets, to)
		if !fromOK {
			c.report(key, "source state %q is missing", t.From)
		}
		if !toOK {
			c.report(key, "target state %q is missing", t.To)
		}
		if !eventOK {
			c.report(key, "event %q is unknown", t.Event)
		}
		if !fromOK || !eventOK {
			continue
		}
		used[event] = true
		c.addTransition(key, from, event, i)
	}
	for i, e := range d.Events {
		if !used[i] {
			c.report(fmt.Sprintf("events[%d]", i), "event %q has no transition", e.Name)
		}
	}
}

// addTransition stores a transition in the table. It reports transitions from
// final states and duplicates for the same state and event.
func (c *checker) addTransition(key string, from State, event Event, index int) {
	d := &c.chart.definition
	if d.States[from].Final {
		c.report(key, "final state %q has a transition", d.States[from].Name)
	}
	cell := int(from)*len(d.Events) + int(event)
	if c.chart.table[cell] != noTransition {
		c.report(key, "state %q has a second transition for event %q", d.States[from].Name, d.Events[event].Name)
		return
	}
	c.chart.table[cell] = int16(index)
}

// checkReachability reports states that cannot be reached from the initial state
// and non-final states that no transition leaves.
func (c *checker) checkReachability() {
	d := &c.chart.definition
	reached := make([]bool, len(d.States))
	exits := make([]bool, len(d.States))
	queue := []State{c.chart.initial}
	reached[c.chart.initial] = true
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		for event := range d.Events {
			index := c.chart.lookup(state, Event(event))
			if index == noTransition {
				continue
			}
			target := c.chart.targets[index]
			exits[state] = exits[state] || target != state
			if !reached[target] {
				reached[target] = true
				queue = append(queue, target)
			}
		}
	}
	for i, s := range d.States {
		key := fmt.Sprintf("states[%d]", i)
		if !reached[i] {
			c.report(key, "state %q is unreachable", s.Name)
		} else if !s.Final && !exits[i] {
			c.report(key, "state %q is not final and no transition leaves it", s.Name)
		}
	}
}
