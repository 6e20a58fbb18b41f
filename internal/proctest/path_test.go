package proctest

import (
	"maps"
	"testing"
	"time"

	"dragonflyyard/internal/operatorapi"
)

func TestEachEntryHostListsAllProcesses(t *testing.T) {
	c := startCluster(t, 2, 3, time.Millisecond)
	want := map[string]string{}
	for _, p := range append(append([]*proc{}, c.entries...), c.agents...) {
		want[p.name] = p.http
	}
	for _, entry := range c.entries {
		c.await(entry.name+" to list all processes", func() bool {
			var list operatorapi.ProcessList
			if !c.getJSON(entry.http, operatorapi.PathProcesses, &list) {
				return false
			}
			got := map[string]string{}
			for _, info := range list.Processes {
				if info.Zone != "" {
					got[info.Name] = info.HTTPAddress
				}
			}
			return maps.Equal(got, want)
		})
	}
}

func TestRequestsThroughTwoEntryHostsAndThreeAgents(t *testing.T) {
	c := startCluster(t, 2, 3, time.Millisecond)
	l := c.load(8)
	c.awaitStarts(200)
	answers := l.stop()
	c.check(answers)
	for _, a := range answers {
		if a.Outcome != "answered" {
			t.Errorf("request %s without any fault: %+v", a.Request, a)
		}
	}
}
