package faultmatrix

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"dragonflyyard/internal/drawn"
)

// sequencesDrawn is how many sequences of faults each world meets.
const sequencesDrawn = 40

func TestMain(m *testing.M) { drawn.Main(m, sequencesDrawn) }

// drawnFault is one fault of a drawn sequence.
type drawnFault struct {
	// At is the time from the end of the warm-up, in milliseconds.
	At    int
	Host  int
	Fault Fault
}

const (
	drawnMost   = 6
	drawnLength = 10 * time.Second
)

// drawFaults draws the faults of a run: pairs and more, which overlap as they come.
func drawFaults(t *rapid.T, hosts int, faults []Fault) []drawnFault {
	one := rapid.Custom(func(t *rapid.T) drawnFault {
		return drawnFault{
			At:    rapid.IntRange(0, int(drawnLength.Milliseconds())).Draw(t, "at"),
			Host:  rapid.IntRange(0, hosts-1).Draw(t, "host"),
			Fault: rapid.SampledFrom(faults).Draw(t, "fault"),
		}
	})
	return rapid.SliceOfN(one, 2, drawnMost).Draw(t, "faults")
}

// schedule puts drawn faults into a world.
func schedule(w *world, sequence []drawnFault, put func(host int, f Fault)) {
	for _, d := range sequence {
		w.after(time.Duration(d.At)*time.Millisecond, func() { put(d.Host, d.Fault) })
	}
}

var storeFaults = []Fault{
	ProcessFrozen, EntryKilled, ConnectionSilent, ConnectionCut, ConnectionSlow, MessageDuplicated, MessageReordered,
	MessageLost, TableDown, TableSlow, TableAnswerLost,
}

// TestDrawnFaultSequences meets each world with several faults at once. A
// failing sequence is shrunk and printed by rapid, with the world's last steps.
func TestDrawnFaultSequences(t *testing.T) {
	t.Run("lease", func(t *testing.T) {
		t.Parallel()
		faults := append([]Fault{LeaseLapsed, OwnerKilled, OwnerDeposed, SecondFault}, storeFaults...)
		rapid.Check(t, func(t *rapid.T) {
			sequence := drawFaults(t, leaseCandidates, faults)
			w := newLeaseWorld(t, 1)
			w.run(leaseWarmUp, w.tick)
			schedule(w.world, sequence, func(host int, f Fault) { w.put(w.hosts[host], f) })
			w.run(drawnLength+leaseFaultLength, w.tick)
			w.checkEnd()
		})
	})
	t.Run("configchange", func(t *testing.T) {
		t.Parallel()
		faults := append([]Fault{ObjectStoreDown, OperatorsRacing, SecondFault}, storeFaults...)
		rapid.Check(t, func(t *rapid.T) {
			sequence := drawFaults(t, configHosts, faults)
			w := newConfigWorld(t, 1)
			w.run(configWarmUp, w.tick)
			schedule(w.world, sequence, func(host int, f Fault) { w.put(w.hosts[host], f) })
			w.run(drawnLength+configFaultLength, w.work)
			w.heal()
			w.run(configInForce, w.tick)
			w.checkEnd()
		})
	})
	t.Run("zone", func(t *testing.T) {
		t.Parallel()
		faults := append([]Fault{AgentKilled, LeaseLapsed, OperatorsRacing, SecondFault}, storeFaults...)
		rapid.Check(t, func(t *rapid.T) {
			sequence := drawFaults(t, configHosts, faults)
			w := newZoneWorld(t, 1)
			w.run(configWarmUp, w.tick)
			schedule(w.world, sequence, func(host int, f Fault) { w.put(w.hosts[host], f) })
			w.run(drawnLength+configFaultLength, w.work)
			w.checkZoneEnd()
		})
	})
}
