package membership

import (
	"fmt"
	"testing"
	"time"

	"dragonflyyard/internal/wire"
)

func BenchmarkDetectorTick(b *testing.B) {
	for _, count := range []int{11, 160, 1600} {
		d := NewDetector(DefaultDetectorLimits())
		for i := range count {
			d.RecordMessage(start, fmt.Sprintf("agent-%05d", i), 1)
		}
		b.Run(fmt.Sprint(count, " agents"), func(b *testing.B) {
			for b.Loop() {
				d.Tick(start)
			}
		})
	}
}

func BenchmarkPlanHomes(b *testing.B) {
	for _, count := range []int{11, 160, 1600} {
		agents := homeAgents(count)
		present, _ := PlanHomes(wire.Assignment{}, agents, 0, time.Second)
		agents = agents[1:]
		b.Run(fmt.Sprint(count, " agents"), func(b *testing.B) {
			for b.Loop() {
				PlanHomes(present, agents, 0, time.Second)
			}
			if frame, err := wire.Encode(&wire.ConfigUpdate{Assignment: &present}); err == nil {
				b.ReportMetric(float64(len(frame)), "bytes")
			}
		})
	}
}
