package statechart

// Outcome is the effect of an event on a machine.
type Outcome uint8

// Outcomes of Fire.
const (
	// Moved means that a transition was taken. Its target may equal its source.
	Moved Outcome = iota + 1
	// Ignored means that the state has no transition for the event; nothing changed.
	Ignored
	// Ended means that the machine is in a final state; nothing changed.
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

// Transition is the result of firing an event. From and To are equal if the
// machine took no transition or a self-transition.
type Transition struct {
	From  State
	Event Event
	To    State
}

// Machine is an instance of a chart with a current state. The zero Machine is
// not usable. A Machine has no locks; its owner must serialize calls.
type Machine struct {
	chart *Chart
	state State
}

// NewMachine returns a machine in the chart's initial state.
func (c *Chart) NewMachine() Machine { return Machine{chart: c, state: c.initial} }

// MachineAt returns a machine in the given state, to restore a machine from
// stored rows or agent reports.
func (c *Chart) MachineAt(s State) Machine { return Machine{chart: c, state: s} }

// Fire applies an event and returns the transition and its outcome. It does not
// allocate.
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

// CanFire reports whether the current state has a transition for an event.
func (m *Machine) CanFire(e Event) bool { return m.chart.lookup(m.state, e) != noTransition }

// State returns the machine's current state.
func (m *Machine) State() State { return m.state }

// StateName returns the name of the machine's current state.
func (m *Machine) StateName() string { return m.chart.StateName(m.state) }

// Done reports whether the machine is in a final state.
func (m *Machine) Done() bool { return m.chart.IsFinal(m.state) }
