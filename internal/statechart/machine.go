package statechart

// Outcome says what an event did to a machine.
type Outcome uint8

// Outcomes of Fire.
const (
	// Moved means that a transition was taken. Its target may be its source.
	Moved Outcome = iota + 1
	// Ignored means that the state does not know the event: nothing changed.
	Ignored
	// Ended means that the machine is in a final state: nothing changed.
	Ended
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Moved:
		return "moved"
	case Ignored:
		return "ignored"
	case Ended:
		return "ended"
	default:
		return "invalid"
	}
}

// Transition is the step that a machine took, or From and To equal when it
// took none.
type Transition struct {
	From  State
	Event Event
	To    State
}

// Machine is one run through a chart. The zero Machine is not usable. A
// machine is a small value without locks; its owner serialises calls.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a machine in the chart's initial state.
func (c *Chart) NewMachine() Machine { return Machine{chart: c, state: c.initial} }

// MachineAt returns a machine in the given state, for state rebuilt from rows
// or reports.
func (c *Chart) MachineAt(s State) Machine { return Machine{chart: c, state: s} }

// Fire applies an event. It allocates nothing.
func (m *Machine) Fire(e Event) (Transition, Outcome) {
	step := Transition{From: m.state, Event: e, To: m.state}
	index := m.chart.lookup(m.state, e)
	if index == noTransition {
		if m.chart.IsFinal(m.state) {
			return step, Ended
		}
		return step, Ignored
	}
	m.state = m.chart.targets[index]
	step.To = m.state
	return step, Moved
}

// CanFire reports whether the machine's state knows an event.
func (m *Machine) CanFire(e Event) bool { return m.chart.lookup(m.state, e) != noTransition }

// State returns the machine's state.
func (m *Machine) State() State { return m.state }

// StateName returns the name of the machine's state.
func (m *Machine) StateName() string { return m.chart.StateName(m.state) }

// Done reports whether the machine's state is final.
func (m *Machine) Done() bool { return m.chart.IsFinal(m.state) }
