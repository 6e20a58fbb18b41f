package statechart

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func TestEmbeddedChartsAreValid(t *testing.T) {
	charts, err := All()
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, c := range charts {
		names = append(names, c.Name())
		for _, info := range c.Definition().Transitions {
			if info.Note == "" {
				t.Errorf("%s: transition from %s on %s has no note", c.Name(), info.From, info.Event)
			}
		}
	}
	want := "backend configchange connection gang lease request task zone"
	if got := strings.Join(names, " "); got != want {
		t.Errorf("got charts %q, want %q", got, want)
	}
}

func TestPageOfChartsIsCurrent(t *testing.T) {
	charts, err := All()
	if err != nil {
		t.Fatal(err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "CHARTS", []byte(RenderMarkdown(charts)))
}

const validChart = `name: door
initial: shut
states:
  - {name: shut}
  - {name: open}
  - {name: gone, final: true}
events:
  - {name: push}
  - {name: pull}
  - {name: break}
transitions:
  - {from: shut, event: push, to: open}
  - {from: open, event: pull, to: shut}
  - {from: open, event: break, to: gone}
`

func TestParseRefusesFaultyCharts(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"unreachable state", "to: gone", "to: shut", `door.yaml:6: states[2]: state "gone" is unreachable`},
		{"unknown event", "event: pull", "event: kick", `door.yaml:13: transitions[1]: event "kick" is unknown`},
		{"unused event", "  - {from: open, event: pull, to: shut}\n", "", `door.yaml:9: events[1]: event "pull" has no transition`},
		{"missing target", "to: gone", "to: lost", `door.yaml:14: transitions[2]: target state "lost" is missing`},
		{"missing source", "from: shut", "from: ajar", `door.yaml:12: transitions[0]: source state "ajar" is missing`},
		{"duplicate transition", "event: break", "event: pull", `second transition for event "pull"`},
		{"dead end", "{name: gone, final: true}", "{name: gone}", `door.yaml:6: states[2]: state "gone" is not final and no transition leaves it`},
		{"final with a transition", "{name: open}", "{name: open, final: true}", `final state "open" has a transition`},
		{"missing initial", "initial: shut", "initial: ajar", `door.yaml:2: initial: initial state "ajar" is missing`},
		{"state twice", "{name: gone, final: true}", "{name: open}", `state "open" is unnamed or listed twice`},
		{"event twice", "{name: break}", "{name: push}", `event "push" is unnamed or listed twice`},
		{"unknown key", "initial: shut", "initial: shut\nstart: open", `unknown field "start"`},
		{"no states", validChart, "name: door\n", "1 to 1024 states"},
	}
	if _, err := Parse("door.yaml", []byte(validChart)); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(validChart, c.old, c.replacement, 1)
			_, err := Parse("door.yaml", []byte(text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

func TestFire(t *testing.T) {
	chart, err := Parse("door.yaml", []byte(validChart))
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		event   string
		outcome Outcome
		state   string
	}{
		{"pull", Ignored, "shut"},
		{"push", Moved, "open"},
		{"push", Ignored, "open"},
		{"break", Moved, "gone"},
		{"push", Ended, "gone"},
	}
	m := chart.NewMachine()
	for i, c := range cases {
		step, outcome := m.Fire(chart.MustEvent(c.event))
		if outcome != c.outcome || m.StateName() != c.state || step.To != m.State() {
			t.Errorf("step %d, %s: got %v in %s, want %v in %s", i, c.event, outcome, m.StateName(), c.outcome, c.state)
		}
	}
	if !m.Done() || m.CanFire(chart.MustEvent("push")) {
		t.Error("the machine is not done or still accepts an event")
	}
	for _, event := range []Event{-1, 99} {
		if _, outcome := m.Fire(event); outcome != Ended {
			t.Errorf("event %d: got %v", event, outcome)
		}
	}
	if m2 := chart.MachineAt(chart.MustState("open")); m2.StateName() != "open" {
		t.Errorf("got %s", m2.StateName())
	}
}

func TestFireAllocatesNothing(t *testing.T) {
	chart := MustLoad("request")
	events := []Event{chart.MustEvent("admitted"), chart.MustEvent("home_is_executor"), chart.MustEvent("answer_whole")}
	allocations := testing.AllocsPerRun(100, func() {
		m := chart.NewMachine()
		for _, e := range events {
			m.Fire(e)
		}
		if !m.Done() {
			t.Fatal("the machine did not reach a final state")
		}
	})
	if allocations != 0 {
		t.Errorf("got %v allocations per run, want 0", allocations)
	}
}

func TestLoadOfAnAbsentChartIsAnError(t *testing.T) {
	if _, err := Load("door"); err == nil {
		t.Error("loading an absent chart returned no error")
	}
}
