package dispatch

import (
	"fmt"
	"testing"
	"time"

	"dragonflyyard/internal/interference"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workerspeed"
	"dragonflyyard/internal/workload"
)

// largeCore returns a core with workers in racks of 12, half of them full, and
// queued jobs: gangs, wide jobs and urgent ones.
func largeCore(workers, jobs int) (*Core, Now) {
	now := Now{StoreMS: 100_000, UnixMS: 1_700_000_000_000}
	c := New(DefaultSettings())
	c.Configure(map[model.ClientAccountID]int{"gold": 64, "silver": 64}, nil)
	for i := range workers {
		host := fmt.Sprintf("h%03d", i)
		rack := model.RackID(fmt.Sprintf("r%d", i/12))
		c.WorkerSeen(workload.Announcement{
			Host: host, Worker: model.WorkerID("w-" + host), Incarnation: 1, Service: "s", Zone: "z1", Rack: rack,
			Labels: []string{"a", string(rack)}, Capacity: workload.Resources{MilliCores: 64_000, MemoryMB: 131_072, Accelerators: 8},
			State: workload.WorkerReady, SentMS: now.StoreMS,
		}, 1)
	}
	add := func(i int) {
		j := &workload.Job{
			ID: model.JobID(jobID(i + 1)), Account: "silver", Queue: "q", Service: "s", Priority: i % 3, MaxAttempts: 2, SlackFactor: 2,
			TargetDuration: time.Second, Occurrences: 1, AcceptedMS: now.StoreMS,
			Steps: []workload.Step{{Tasks: 25, PerTask: workload.Resources{MilliCores: 7_000, MemoryMB: 15_000, Accelerators: 1 << (i % 4)}, Estimate: 8 * time.Second}},
		}
		j.Steps[0].Gang, j.Steps[0].SameRack = i%2 == 0, i%4 == 0
		c.JobSeen(workload.JobKeys(j.ID)[0], 1, j, nil)
	}
	for i := range jobs {
		add(i)
	}
	commitAll(c, now)
	return c, now
}

func commitAll(c *Core, now Now) {
	for _, b := range c.Plan(now) {
		versions := make([]storeapi.RowVersion, len(b.Tx.Puts))
		for i := range versions {
			versions[i] = 1
		}
		c.Committed(now, b, versions)
	}
}

// unevenSpeeds returns speeds of 0.8, 1 and 1.25 in turn.
func unevenSpeeds(workers int) (out workerspeed.State) {
	for i := range workers {
		percent := []int{80, 100, 125}[i%3]
		out.Workers = append(out.Workers, workerspeed.Record{Host: fmt.Sprintf("h%03d", i), FittedPercent: percent, FactorPercent: percent, Runs: 10})
	}
	return out
}

// BenchmarkPlanKeepingApart measures the same plan while a known pair concerns all jobs.
func BenchmarkPlanKeepingApart(b *testing.B) {
	c, now := largeCore(240, 300)
	var state interference.State
	for i := range 4 {
		kind := interference.KindOf("", "q", workload.Resources{MilliCores: 7_000, MemoryMB: 15_000, Accelerators: 1 << i})
		state.Kinds = append(state.Kinds, interference.KindState{
			Name: kind, AsOfMS: now.StoreMS, Products: []float32{9, 0, 9, 0, 0, 9, 0, 0, 0, 9}, Rates: []float32{-9, -9, -9, -9}, Runs: []float32{50, 50, 50, 50}, Freedom: 50, Known: 15,
		})
	}
	c.LearnedSeen(now, Learned{Interference: state})
	if c.DisturbanceStats().KnownPairs != 16 {
		b.Fatal("the pairs are not known")
	}
	for b.Loop() {
		now.StoreMS++
		c.Plan(now)
	}
}

// BenchmarkPlan measures a plan with a backlog of jobs on a large deployment.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct {
		workers, jobs int
		uneven        string
	}{{70, 60, ""}, {240, 60, ""}, {240, 150, ""}, {240, 300, ""}, {240, 300, "/uneven"}} {
		b.Run(fmt.Sprintf("workers=%d/jobs=%d%s", size.workers, size.jobs, size.uneven), func(b *testing.B) {
			c, now := largeCore(size.workers, size.jobs)
			if size.uneven != "" {
				c.speeds.Restore(now.StoreMS, now.StoreMS, unevenSpeeds(size.workers))
			}
			for b.Loop() {
				now.StoreMS++
				c.Plan(now)
			}
		})
	}
}
