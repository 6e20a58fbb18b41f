package proctest

import (
	"testing"
	"time"
)

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
