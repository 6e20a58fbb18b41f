package proctest

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
)

// BenchmarkIdleLinks measures what an idle region of 3 entry hosts and 11
// agents sends: frames and writes a second of each agent's link, and bytes a
// second of an entry host. It measures once, over a fixed time.
func BenchmarkIdleLinks(b *testing.B) {
	if b.N > 1 {
		return
	}
	const period = 10 * time.Second
	c := startCluster(b, 3, 11, 0)
	c.setZone(c.entries[0], zones[0], model.ZoneIn)
	c.awaitSettled()
	before := c.linkTraffic(c.agents)
	beforeEntries := c.linkTraffic(c.entries)
	time.Sleep(period)
	after := c.linkTraffic(c.agents)
	afterEntries := c.linkTraffic(c.entries)
	links := float64(len(c.agents) * len(c.entries))
	rate := func(name string) float64 { return (after[name] - before[name]) / period.Seconds() / links }
	b.ReportMetric(rate("link.frames_in")+rate("link.frames_out"), "frames/s/link")
	b.ReportMetric(rate("link.frames_in"), "frames-to-agent/s/link")
	b.ReportMetric(rate("link.writes"), "writes-by-agent/s/link")
	entryBytes := 0.0
	for _, name := range []string{"link.bytes_in", "link.bytes_out"} {
		entryBytes += (afterEntries[name] - beforeEntries[name]) / period.Seconds() / float64(len(c.entries))
	}
	b.ReportMetric(entryBytes, "bytes/s/entry")
}

// linkTraffic returns the sums of the link counters of processes.
func (c *cluster) linkTraffic(procs []*proc) map[string]float64 {
	c.t.Helper()
	sums := map[string]float64{}
	for _, p := range procs {
		var answer map[string]struct{ Count float64 }
		c.await("the metrics of "+p.name, func() bool { return c.getJSON(p.http, "/metrics", &answer) })
		for name, metric := range answer {
			sums[name] += metric.Count
		}
	}
	return sums
}
