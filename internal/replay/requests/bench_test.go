package requests

import "testing"

func BenchmarkReplayOverload(b *testing.B) {
	for b.Loop() {
		replay(scenario{name: scenarioOverload, load: 3}, policies()[0], 1)
	}
}

func BenchmarkReplayCapacity(b *testing.B) {
	for b.Loop() {
		replay(scenario{name: scenarioCapacity, load: 1}, policies()[0], 1)
	}
}
