package entry_test

import (
	"testing"
	"time"

	"dragonflyyard/internal/standin"
)

// permitsOver is longer than any start permit that was given before a fault.
const permitsOver = 4 * time.Second

// TestRequestsGoOnThroughFaults runs the shells of entry hosts and agents over
// real sockets through faults that outlast every permit. Requests have to be
// answered meanwhile, and none may break what its outcome says.
func TestRequestsGoOnThroughFaults(t *testing.T) {
	table := func(f standin.Faults) func(r *region) {
		return func(r *region) { r.store.SetFaults(standin.ServiceTable, f) }
	}
	cases := []struct {
		name string
		put  func(r *region)
	}{
		{"table down", table(standin.Faults{Down: true})},
		{"table slow", table(standin.Faults{DelayMS: 400})},
		{"table answers lost", table(standin.Faults{LoseAnswers: -1})},
		{"object store down", func(r *region) { r.store.SetFaults(standin.ServiceObjects, standin.Faults{Down: true}) }},
		{"connections slow", func(r *region) {
			for _, box := range r.boxes {
				box.SetDelay(20 * time.Millisecond)
			}
		}},
		{"table down and connections cut", func(r *region) {
			r.store.SetFaults(standin.ServiceTable, standin.Faults{Down: true})
			for _, box := range r.boxes {
				box.Cut()
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := startRegion(t, regionOptions{entries: 2, agents: 3, serviceTime: 10 * time.Millisecond, boxed: true})
			stop := make(chan struct{})
			wait := r.load(2, stop)
			r.awaitStarts(50)
			c.put(r)
			since := time.Now()
			r.await("the permits from before the fault to end", func() bool { return time.Since(since) > permitsOver })
			r.awaitStarts(50)
			r.store.SetFaults(standin.ServiceTable, standin.Faults{})
			r.store.SetFaults(standin.ServiceObjects, standin.Faults{})
			r.awaitStarts(50)
			close(stop)
			if answered := r.check(wait()); answered < 100 {
				t.Errorf("%d requests answered", answered)
			}
		})
	}
}

// awaitStarts waits until backend servers have started n further requests.
func (r *region) awaitStarts(n int) {
	r.tb.Helper()
	before := len(r.ran())
	r.await("further starts", func() bool { return len(r.ran()) >= before+n })
}
