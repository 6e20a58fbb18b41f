package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

func homeAgents(count int) []HomeAgent {
	var agents []HomeAgent
	for i := range count {
		agents = append(agents, HomeAgent{ID: model.BackendServerID(fmt.Sprintf("a%04d", i)), Incarnation: 1})
	}
	return agents
}

// checkAssignment fails the test unless the ranges start at zero and ascend, each
// has a live home, and no agent holds more than its even share rounded up.
func checkAssignment(t *testing.T, a wire.Assignment, agents []HomeAgent) {
	t.Helper()
	live := map[model.BackendServerID]model.Incarnation{}
	for _, agent := range agents {
		live[agent.ID] = agent.Incarnation
	}
	load := map[model.BackendServerID]int{}
	for i, r := range a.Ranges {
		if incarnation, known := live[r.Home]; !known || incarnation != r.Incarnation {
			t.Fatalf("range %d has home %s of incarnation %d", i, r.Home, r.Incarnation)
		}
		if (i == 0) != (r.FirstHash == 0) || i > 0 && r.FirstHash <= a.Ranges[i-1].FirstHash {
			t.Fatalf("range %d starts at %d", i, r.FirstHash)
		}
		load[r.Home]++
	}
	ceiling := (len(a.Ranges) + len(agents) - 1) / len(agents)
	for home, count := range load {
		if count > ceiling {
			t.Fatalf("home %s holds %d of %d ranges, want at most %d", home, count, len(a.Ranges), ceiling)
		}
	}
}

// moved returns the number of ranges of next whose home or start differs from that
// of the range at the same hash before.
func moved(before, next wire.Assignment) int {
	count := 0
	for _, r := range next.Ranges {
		old, known := HomeOf(before, r.FirstHash)
		if !known || old.Home != r.Home || old.Incarnation != r.Incarnation || old.SinceUnixMS != r.SinceUnixMS {
			count++
		}
	}
	return count
}

func TestPlanHomesMovesFewRanges(t *testing.T) {
	eleven := homeAgents(11)
	first, changed := PlanHomes(wire.Assignment{}, eleven, 1000, 3*time.Second)
	if !changed || first.Version != 1 || first.Ranges[0].SinceUnixMS != wire.SinceFirstAssignment {
		t.Fatalf("got %+v", first)
	}
	checkAssignment(t, first, eleven)
	restarted := append([]HomeAgent(nil), eleven...)
	restarted[4].Incarnation = 2
	cases := []struct {
		name     string
		agents   []HomeAgent
		maxMoved int
	}{
		{"nothing changed", eleven, 0},
		{"one gone", eleven[1:], 6},
		{"one restarted", restarted, 6},
		{"one more", homeAgents(12), 6},
		{"six gone", eleven[6:], 36},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, changed := PlanHomes(first, c.agents, 9000, 3*time.Second)
			checkAssignment(t, next, c.agents)
			if got := moved(first, next); got > c.maxMoved || changed != (got > 0) {
				t.Errorf("%d ranges moved, changed %v; want at most %d", got, changed, c.maxMoved)
			}
		})
	}
	if next, changed := PlanHomes(first, nil, 9000, 0); changed || next.Version != 1 {
		t.Errorf("without agents: version %d, changed %v", next.Version, changed)
	}
}

func TestRestartedAgentGetsItsRangesBack(t *testing.T) {
	agents := homeAgents(5)
	first, _ := PlanHomes(wire.Assignment{}, agents, 0, time.Second)
	agents[2].Incarnation = 2
	agents = agents[:4]
	next, _ := PlanHomes(first, agents, 9000, time.Second)
	for i, r := range next.Ranges {
		old := first.Ranges[i]
		if old.Home == agents[2].ID && (r.Home != old.Home || r.Incarnation != 2 || r.SinceUnixMS != 9000 || r.PreviousHome != "") {
			t.Errorf("range %d went from %+v to %+v", i, old, r)
		}
	}
}

func TestMovedRangeKeepsALivePreviousHome(t *testing.T) {
	agents := homeAgents(4)
	first, _ := PlanHomes(wire.Assignment{}, agents, 0, time.Second)
	leaving := append([]HomeAgent(nil), agents...)
	leaving[0].Leaving = true
	dead := agents[1:]
	for name, c := range map[string]struct {
		agents   []HomeAgent
		previous model.BackendServerID
		sinceMS  int64
	}{"leaving": {leaving, "a0000", 10_000}, "dead": {dead, "", 9000}} {
		next, _ := PlanHomes(first, c.agents, 9000, time.Second)
		for i, r := range next.Ranges {
			if first.Ranges[i].Home != "a0000" {
				continue
			}
			if r.Home == "a0000" || r.PreviousHome != c.previous || r.PreviousSinceUnixMS != wire.SinceFirstAssignment || r.SinceUnixMS != c.sinceMS {
				t.Errorf("%s: range %d is %+v", name, i, r)
			}
		}
	}
	for i := range leaving {
		leaving[i].Leaving = true
	}
	if _, changed := PlanHomes(first, leaving, 9000, 0); changed {
		t.Error("ranges moved although no agent stays")
	}
}

func TestRangeStaysUntilItsHandOverIsDone(t *testing.T) {
	agents := homeAgents(4)
	first, _ := PlanHomes(wire.Assignment{}, agents, 0, time.Second)
	agents[0].Leaving = true
	second, _ := PlanHomes(first, agents, 9000, time.Second)
	agents[1].Leaving = true
	during, _ := PlanHomes(second, agents, 9500, time.Second)
	for i, r := range second.Ranges {
		handedOver := r.PreviousHome == "a0000"
		if next := during.Ranges[i]; handedOver != (next == r) && (handedOver || r.Home == "a0001") {
			t.Errorf("range %d went from %+v to %+v", i, r, next)
		}
	}
	// A range moves once its hand-over is done or its previous home is dead.
	for name, c := range map[string]struct {
		agents []HomeAgent
		nowMS  int64
	}{"done": {agents, 11_000}, "previous home dead": {agents[1:], 9500}} {
		after, _ := PlanHomes(during, c.agents, c.nowMS, time.Second)
		for i, r := range after.Ranges {
			if r.Home == "a0001" {
				t.Errorf("%s: range %d stays with a leaving home: %+v", name, i, r)
			}
		}
	}
}

func TestPlanHomesRandomSequence(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 11))
	agents := homeAgents(3)
	assignment, _ := PlanHomes(wire.Assignment{}, agents, 0, 0)
	for range 400 {
		switch i := random.IntN(len(agents)); {
		case random.IntN(2) == 0 && len(agents) > 1:
			agents = append(append([]HomeAgent(nil), agents[:i]...), agents[i+1:]...)
		case random.IntN(3) == 0:
			agents[i].Incarnation++
		default:
			id := model.BackendServerID(fmt.Sprintf("n%d", random.Uint32()))
			agents = append(agents, HomeAgent{ID: id, Incarnation: 1})
		}
		next, changed := PlanHomes(assignment, agents, 0, 0)
		checkAssignment(t, next, agents)
		if changed && next.Version != assignment.Version+1 {
			t.Fatalf("version went from %d to %d", assignment.Version, next.Version)
		}
		assignment = next
	}
}

func TestSplitRangesKeepHomes(t *testing.T) {
	few, many := homeAgents(11), homeAgents(60)
	first, _ := PlanHomes(wire.Assignment{}, few, 0, 0)
	next, _ := PlanHomes(first, many, 5, 0)
	checkAssignment(t, next, many)
	if len(next.Ranges) <= len(first.Ranges) {
		t.Fatalf("%d ranges, want more than %d", len(next.Ranges), len(first.Ranges))
	}
	for _, r := range next.Ranges {
		old, _ := HomeOf(first, r.FirstHash)
		if r.SinceUnixMS == old.SinceUnixMS && r.Home != old.Home {
			t.Errorf("range at hash %d has another home and the old start", r.FirstHash)
		}
	}
}
