package requests

import (
	"bytes"
	"testing"
)

// Targets of the request path's policy.
const (
	minOverloadGoodput    = 0.95
	maxFloodLatencyFactor = 1.5
	maxIdempotentLost     = 1.0
	maxRetryLoad          = 1.1
)

func TestTargets(t *testing.T) {
	results, err := replayAll(Seeds)
	if err != nil {
		t.Fatal(err)
	}
	own := policies()[0].name
	for i := range Seeds {
		capacity := results[key{scenarioCapacity, own}][i].goodput()
		overload := results[key{scenarioOverload, own}][i].goodput()
		if overload < minOverloadGoodput*capacity {
			t.Errorf("seed %d: goodput %.0f at 3 times capacity, %.0f at capacity", i+1, overload, capacity)
		}
		for _, p := range profiles()[1:] {
			quiet := results[key{scenarioQuiet, own}][i].accounts[p.account].quantile(0.99)
			flood := results[key{scenarioFlood, own}][i].accounts[p.account].quantile(0.99)
			if flood.Seconds() > maxFloodLatencyFactor*quiet.Seconds() {
				t.Errorf("seed %d: %s has p99 %s while another account floods, %s without", i+1, p.account, flood, quiet)
			}
		}
		failing := results[key{scenarioFailing, own}][i].total()
		if lost := percent(failing.idempotentLost, failing.idempotent); lost >= maxIdempotentLost {
			t.Errorf("seed %d: a failing backend server costs %.2f %% of the idempotent requests", i+1, lost)
		}
		for _, s := range scenarios() {
			if load := results[key{s.name, own}][i].startsPerRequest(); load > maxRetryLoad {
				t.Errorf("seed %d, %s: %.3f starts for each request", i+1, s.name, load)
			}
		}
	}
}

func TestRunPrintsTheSameTableTwice(t *testing.T) {
	if testing.Short() {
		t.Skip("the whole replay, twice")
	}
	var a, b bytes.Buffer
	for _, w := range []*bytes.Buffer{&a, &b} {
		if err := Run(w); err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(a.Bytes(), b.Bytes()) {
		t.Errorf("two runs differ:\n%s\n%s", a.String(), b.String())
	}
	t.Log(a.String())
}
