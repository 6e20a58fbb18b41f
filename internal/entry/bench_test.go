package entry_test

import (
	"sync"
	"testing"
)

// BenchmarkRegion measures non-idempotent requests through one entry host and
// three agents inside one process: time and allocations of all parts together,
// the caller and the backend server included.
func BenchmarkRegion(b *testing.B) {
	r := startRegion(b, regionOptions{entries: 1, agents: 3})
	for _, c := range []struct {
		name    string
		callers int
	}{{"one", 1}, {"64", 64}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			var running sync.WaitGroup
			for caller := range c.callers {
				running.Go(func() {
					for i := caller; i < b.N; i += c.callers {
						if a := r.post(0, newCall(false)); a.Status != 200 {
							b.Errorf("got %+v", a)
							return
						}
					}
				})
			}
			running.Wait()
		})
	}
}
