package process

import (
	"runtime"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
)

// usage is what the process itself has used so far.
type usage struct {
	mallocs, heapBytes, residentBytes, goroutines, cpu metrics.Gauge
}

func newUsage(registry metrics.Registry) usage {
	u := usage{metrics.NewGauge(), metrics.NewGauge(), metrics.NewGauge(), metrics.NewGauge(), metrics.NewGauge()}
	_ = registry.Register("process.mallocs", u.mallocs)
	_ = registry.Register("process.heap_bytes", u.heapBytes)
	_ = registry.Register("process.system_bytes", u.residentBytes)
	_ = registry.Register("process.goroutines", u.goroutines)
	_ = registry.Register("process.cpu_us", u.cpu)
	return u
}

// update reads the present values.
func (u usage) update() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	u.mallocs.Update(int64(memory.Mallocs))
	u.heapBytes.Update(int64(memory.HeapAlloc))
	u.residentBytes.Update(int64(memory.Sys))
	u.goroutines.Update(int64(runtime.NumGoroutine()))
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err == nil {
		u.cpu.Update((time.Duration(used.Utime.Nano()) + time.Duration(used.Stime.Nano())).Microseconds())
	}
}
