package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// benchCore returns the owner of a fleet of which about half the accelerators
// are in use.
func benchCore(workers int) (*Core, time.Time) {
	now := time.Unix(1000, 0)
	settings := DefaultSettings()
	settings.MaxStartsPerTick = 1 << 30
	c := New(settings)
	config := &model.ConfigDocument{Version: 1, Accounts: map[model.ClientAccountID]model.ClientAccount{"a": {ID: "a", Weight: 1}}}
	c.Step(now, BecomeOwner{Epoch: 1, Config: config})
	for i := range workers {
		w := testWorker(fmt.Sprintf("w%05d", i))
		w.Rack = model.RackID(fmt.Sprintf("r%05d", i/3))
		w.Zone = model.AvailabilityZoneName(fmt.Sprintf("z%d", i/3%3))
		c.Step(now, WorkerUp{Report: wire.WorkerReport{Worker: w}})
	}
	now = now.Add(4 * time.Second)
	c.Step(now, Tick{})
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range workers * 2 {
		c.Step(now, Submit{Job: testJob(fmt.Sprintf("f%06d", i), 1, 1+rng.IntN(3))})
	}
	return c, now
}

// BenchmarkDecision measures a job from its submission to its decision row, and
// its cancellation.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{11, 200, 1600, 19000} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			c, now := benchCore(n)
			b.ResetTimer()
			for i := range b.N {
				id := fmt.Sprintf("b%09d", i)
				actions := c.Step(now, Submit{Job: testJob(id, 2, 2)})
				for _, a := range actions {
					if s, ok := a.(Send); ok {
						if r, ok := s.Message.(*wire.Reserve); ok {
							c.Step(now, Receive{From: s.To, Message: &wire.ReserveReply{Job: r.Job, Attempt: r.Attempt, Task: r.Task, OK: true}})
						}
					}
				}
				c.Step(now, Decided{Job: model.JobID(id), Attempt: 1, Result: DecisionRefused})
				c.Step(now, Cancel{IDs: []model.JobID{model.JobID(id)}})
			}
		})
	}
}
