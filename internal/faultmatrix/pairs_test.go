package faultmatrix

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dragonflyyard/internal/requestflow/requesttest"
)

// pairGap is the longest time from a fault to a second one. It is inside the
// time that most faults last.
const pairGap = 2 * time.Second

// pairOfFaults is a fault and another one that comes in the middle of it.
type pairOfFaults struct {
	first, second Fault
	gap           time.Duration
}

// pairRun meets one chart's world with pairs of faults.
type pairRun struct {
	chart string
	kinds []Fault
	run   func(t *rapid.T, salt uint64, p pairOfFaults)
}

func pairRuns() []pairRun {
	return []pairRun{
		{"configchange", configFaults(), runConfigPair},
		{"gang", jobFaults(), runGangPair},
		{"lease", leaseFaults(), runLeasePair},
		{"request", append(requestFaults(), outageFaults()...), runRequestPair},
		{"zone", zoneFaults(), runZonePair},
	}
}

// runPairs meets each world with each two kinds of faults, a kind with itself
// too, in an order, at a distance, at hosts and steps that rapid draws.
func runPairs(t *testing.T, matrix *Matrix) {
	setChecks(t, "1")
	for _, p := range pairRuns() {
		salt := uint64(0)
		for i, first := range p.kinds {
			for _, second := range p.kinds[i:] {
				salt++
				passed := t.Run(fmt.Sprintf("%s/%s and %s", p.chart, first, second), func(t *testing.T) {
					rapid.Check(t, func(t *rapid.T) { p.run(t, salt, drawPair(t, first, second)) })
				})
				matrix.SetPair(p.chart, passed)
			}
		}
	}
}

// setChecks sets how many sequences a check draws until the test ends.
func setChecks(t *testing.T, checks string) {
	before := flag.Lookup("rapid.checks").Value.String()
	if err := flag.Set("rapid.checks", checks); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set("rapid.checks", before) })
}

func drawPair(t *rapid.T, first, second Fault) pairOfFaults {
	if rapid.Bool().Draw(t, "second first") {
		first, second = second, first
	}
	gap := rapid.IntRange(0, int(pairGap.Milliseconds())).Draw(t, "gap in ms")
	return pairOfFaults{first, second, time.Duration(gap) * time.Millisecond}
}

// put puts the pair into a world, at drawn hosts.
func (p pairOfFaults) put(t *rapid.T, w *world, hosts int, put func(host int, f Fault)) {
	first, second := rapid.IntRange(0, hosts-1).Draw(t, "host"), rapid.IntRange(0, hosts-1).Draw(t, "second host")
	put(first, p.first)
	w.after(p.gap, func() { put(second, p.second) })
}

func runLeasePair(t *rapid.T, salt uint64, p pairOfFaults) {
	w := newLeaseWorld(t, salt)
	w.run(leaseWarmUp, w.tick)
	p.put(t, w.world, leaseCandidates, func(host int, f Fault) { w.put(w.hosts[host], f) })
	w.run(pairGap+leaseFaultLength, w.tick)
	w.checkEnd()
}

func runConfigPair(t *rapid.T, salt uint64, p pairOfFaults) {
	w := newConfigWorld(t, salt)
	w.run(configWarmUp, w.work)
	p.put(t, w.world, configHosts, func(host int, f Fault) { w.put(w.hosts[host], f) })
	w.run(pairGap+configFaultLength, w.work)
	w.heal()
	w.run(configInForce, w.tick)
	w.checkEnd()
}

func runZonePair(t *rapid.T, salt uint64, p pairOfFaults) {
	w := newZoneWorld(t, salt)
	w.run(configWarmUp, w.work)
	p.put(t, w.world, configHosts, func(host int, f Fault) { w.put(w.hosts[host], f) })
	w.run(pairGap+configFaultLength, w.work)
	w.checkZoneEnd()
}

// drawStep draws a step of a chart; each pair draws another one.
func drawStep(t *rapid.T, chart string, salt uint64) step {
	steps := allSteps(chart)
	return steps[(rapid.IntRange(0, len(steps)-1).Draw(t, "step")+int(salt))%len(steps)]
}

func runGangPair(t *rapid.T, salt uint64, p pairOfFaults) {
	s := drawStep(t, "gang", salt)
	driveGang(t, s, func(r *jobRig) {
		r.inject(p.first)
		r.d.After(p.gap, func() { r.inject(p.second) })
	})
}

func runRequestPair(t *rapid.T, salt uint64, p pairOfFaults) {
	s := drawStep(t, "request", salt)
	runRequestStorm(t, s, func(b *requesttest.Testbed, at stepTaken) {
		putFault(b, p.first, at)
		b.At(p.gap, func() { putFault(b, p.second, at) })
	})
}
