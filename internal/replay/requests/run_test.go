package requests

import (
	"reflect"
	"testing"
)

// Targets of the request path's policy.
const (
	minOverloadGoodput    = 0.95
	maxFloodLatencyFactor = 1.5
	maxIdempotentLost     = 1.0
	maxRetryLoad          = 1.1
)

// targetScenarios returns the scenarios that the targets speak of.
func targetScenarios() []scenario {
	wanted := map[string]bool{
		scenarioCapacity: true, scenarioOverload: true, scenarioQuiet: true, scenarioFlood: true, scenarioFailing: true,
	}
	var chosen []scenario
	for _, s := range scenarios() {
		if wanted[s.name] {
			chosen = append(chosen, s)
		}
	}
	return chosen
}

func TestTargets(t *testing.T) {
	own := policies()[0]
	results, err := replayAll(targetScenarios(), []policy{own}, Seeds)
	if err != nil {
		t.Fatal(err)
	}
	for i := range Seeds {
		capacity := results[key{scenarioCapacity, own.name}][i].goodput()
		overload := results[key{scenarioOverload, own.name}][i].goodput()
		if overload < minOverloadGoodput*capacity {
			t.Errorf("seed %d: goodput %.0f at 3 times capacity, %.0f at capacity", i+1, overload, capacity)
		}
		for _, p := range profiles()[1:] {
			quiet := results[key{scenarioQuiet, own.name}][i].accounts[p.account].quantile(0.99)
			flood := results[key{scenarioFlood, own.name}][i].accounts[p.account].quantile(0.99)
			if flood.Seconds() > maxFloodLatencyFactor*quiet.Seconds() {
				t.Errorf("seed %d: %s has p99 %s while another account floods, %s without", i+1, p.account, flood, quiet)
			}
		}
		failing := results[key{scenarioFailing, own.name}][i].total()
		if lost := percent(failing.idempotentLost, failing.idempotent); lost >= maxIdempotentLost {
			t.Errorf("seed %d: a failing backend server costs %.2f %% of the idempotent requests", i+1, lost)
		}
		for _, s := range targetScenarios() {
			if load := results[key{s.name, own.name}][i].startsPerRequest(); load > maxRetryLoad {
				t.Errorf("seed %d, %s: %.3f starts for each request", i+1, s.name, load)
			}
		}
	}
}

func TestReplayGivesTheSameFiguresTwice(t *testing.T) {
	for _, p := range policies() {
		s := scenario{name: "lost", load: 0.5, lost: true}
		if a, b := replay(s, p, 3), replay(s, p, 3); !reflect.DeepEqual(a, b) {
			t.Errorf("%s: two replays differ: %+v, %+v", p.name, a.total(), b.total())
		}
	}
}
