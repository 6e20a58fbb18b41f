package hostclock

import (
	"testing"
	"time"
)

// TestClocksAdvanceTogether: without a suspension, both clocks must show the time that has
// passed. One that stands still would keep leases for good.
func TestClocksAdvanceTogether(t *testing.T) {
	begin := time.Now()
	before, bootBefore := Now(), BootTime()
	time.Sleep(30 * time.Millisecond)
	after, bootAfter := Now(), BootTime()
	most := time.Since(begin) + time.Millisecond
	for name, passed := range map[string]time.Duration{"SinceBoot": after.SinceBoot - before.SinceBoot, "BootTime": bootAfter.Sub(bootBefore)} {
		if passed < 30*time.Millisecond || passed > most {
			t.Errorf("%s advanced by %v, want 30ms to %v", name, passed, most)
		}
	}
}
