// Package statechart interprets the state charts in charts/*.yaml. Loading
// validates a chart and compiles it to a transition table of small integers, so
// that firing an event does not allocate. An event without a transition in the
// current state is reported as an Outcome and never panics.
package statechart

import "fmt"

// State is the index of a state in its chart.
type State int16

// Event is the index of an event in its chart.
type Event int16

// StateInfo describes one state of a chart.
type StateInfo struct {
	Name        string `yaml:"name"`
	Description string `yaml:"description"`
	// Final states have no transitions.
	Final bool `yaml:"final"`
}

// EventInfo describes one event of a chart.
type EventInfo struct {
	Name        string `yaml:"name"`
	Description string `yaml:"description"`
}

// TransitionInfo describes one transition of a chart by state and event names.
type TransitionInfo struct {
	From  string `yaml:"from"`
	Event string `yaml:"event"`
	To    string `yaml:"to"`
	// Note states the invariant or effect of the transition.
	Note string `yaml:"note"`
}

// Definition is the content of a chart file.
type Definition struct {
	Name        string           `yaml:"name"`
	Description string           `yaml:"description"`
	Initial     string           `yaml:"initial"`
	States      []StateInfo      `yaml:"states"`
	Events      []EventInfo      `yaml:"events"`
	Transitions []TransitionInfo `yaml:"transitions"`
}

// noTransition marks an empty cell of the transition table.
const noTransition = -1

// Chart is a validated and compiled chart. It is immutable and safe for
// concurrent use.
type Chart struct {
	definition Definition
	states     map[string]State
	events     map[string]Event
	initial    State
	// table holds, at state*len(events)+event, the index of a transition or noTransition.
	table []int16
	// targets holds the target state of each transition.
	targets []State
}

// Name returns the chart's name.
func (c *Chart) Name() string { return c.definition.Name }

// Definition returns the content of the chart file. The caller must not modify
// its slices.
func (c *Chart) Definition() Definition { return c.definition }

// Initial returns the state in which a new machine starts.
func (c *Chart) Initial() State { return c.initial }

// State returns the state of the given name.
func (c *Chart) State(name string) (State, bool) {
	s, ok := c.states[name]
	return s, ok
}

// Event returns the event of the given name.
func (c *Chart) Event(name string) (Event, bool) {
	e, ok := c.events[name]
	return e, ok
}

// MustState returns the state of the given name. It panics if the chart has no
// such state, so it must be called only with constant names.
func (c *Chart) MustState(name string) State {
	s, ok := c.states[name]
	if !ok {
		panic(fmt.Sprintf("state chart %q has no state %q", c.Name(), name))
	}
	return s
}

// MustEvent returns the event of the given name. It panics if the chart has no
// such event, so it must be called only with constant names.
func (c *Chart) MustEvent(name string) Event {
	e, ok := c.events[name]
	if !ok {
		panic(fmt.Sprintf("state chart %q has no event %q", c.Name(), name))
	}
	return e
}

// StateName returns the name of a state.
func (c *Chart) StateName(s State) string { return c.definition.States[s].Name }

// EventName returns the name of an event.
func (c *Chart) EventName(e Event) string { return c.definition.Events[e].Name }

// IsFinal reports whether a state is final.
func (c *Chart) IsFinal(s State) bool { return c.definition.States[s].Final }

// lookup returns the index of the transition for an event in a state, or
// noTransition.
func (c *Chart) lookup(s State, e Event) int16 {
	if e < 0 || int(e) >= len(c.definition.Events) {
		return noTransition
	}
	return c.table[int(s)*len(c.definition.Events)+int(e)]
}
