// Package hostclock reads the clocks of this host that don't follow its time of day, which
// may be stepped.
package hostclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is one reading of the host's clocks.
type Instant struct {
	// Steady stands still while the host is suspended.
	Steady time.Time
	// SinceBoot also counts the time for which the host was suspended.
	SinceBoot time.Duration
}

// Now returns the present reading.
func Now() Instant { return Instant{Steady: time.Now(), SinceBoot: sinceBoot()} }

// Add returns the reading after a time in which the host was not suspended.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Steady: i.Steady.Add(d), SinceBoot: i.SinceBoot + d}
}

// SuspendedSince returns for how long the host was suspended between an earlier reading and
// this one.
func (i Instant) SuspendedSince(earlier Instant) time.Duration {
	return max(0, i.SinceBoot-earlier.SinceBoot-i.Steady.Sub(earlier.Steady))
}

// BootTime returns the present time on a clock that also counts the time for which the host
// was suspended. Only differences between its results have a meaning.
func BootTime() time.Time { return time.Unix(0, 0).Add(sinceBoot()) }

var processStart = time.Now()

// sinceBoot returns the time since the host booted, or since this process started if the
// kernel has no such clock.
var sinceBoot = func() func() time.Duration {
	var probe unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &probe); err != nil {
		return func() time.Duration { return time.Since(processStart) }
	}
	return func() time.Duration {
		var at unix.Timespec
		// The call fails only for a clock that the kernel doesn't have.
		_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &at)
		return time.Duration(at.Nano())
	}
}()
