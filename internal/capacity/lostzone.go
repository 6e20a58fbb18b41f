package capacity

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/scheduler"
)

// LossCost is what a scheduler owner decides when workers are lost at once.
type LossCost struct {
	Workers     int
	LostWorkers int
	LostTasks   int
	// DecisionNS is the processor time of all decisions until the last start,
	// LongestNS that of the longest one.
	DecisionNS float64
	LongestNS  float64
	// RestartedJobs is how many of the jobs that lost tasks run again, and
	// LastStart the time from the loss to the last of their starts.
	RestartedJobs int
	LastStart     time.Duration
}

// lossWindow is how long decisions are followed after a loss.
const lossWindow = time.Minute

// MeasureLoss loses all workers that isLost names, in a region with a number of
// workers and TasksPerWorker running tasks on each.
func MeasureLoss(workers int, isLost func(model.Worker) bool) (LossCost, error) {
	f := newFleetDriver()
	f.begin(workers)
	if err := f.fill(workers * TasksPerWorker / jobTasks); err != nil {
		return LossCost{}, err
	}
	cost := LossCost{Workers: workers}
	for i := range workers {
		if w := regionWorker(i); isLost(w) {
			f.lost[w.ID] = true
		}
	}
	hit := f.jobsOnLost(&cost)
	runtime.GC()
	f.spent, f.longest = 0, 0
	began := f.now
	for i := range workers {
		if id := regionWorker(i).ID; f.lost[id] {
			f.step(scheduler.WorkerLost{Worker: id})
		}
	}
	for f.now.Sub(began) < lossWindow {
		f.tick(workers)
		if again := f.restarted(hit); again > cost.RestartedJobs {
			cost.RestartedJobs, cost.LastStart = again, f.now.Sub(began)
			cost.DecisionNS, cost.LongestNS = float64(f.spent.Nanoseconds()), float64(f.longest.Nanoseconds())
		}
	}
	return cost, nil
}

// fill submits jobs until a number of them runs.
func (f *fleetDriver) fill(jobs int) error {
	for i := range jobs {
		f.step(scheduler.Submit{Job: regionJob(i)})
		if i%startsPerTick == startsPerTick-1 {
			f.tick(f.workers)
		}
	}
	f.tick(f.workers)
	if len(f.rows) != jobs {
		return errors.Newf("%d of %d jobs were placed on %d workers", len(f.rows), jobs, f.workers)
	}
	return nil
}

// jobsOnLost returns the attempt of each job that loses a task, and counts the
// lost workers and tasks.
func (f *fleetDriver) jobsOnLost(cost *LossCost) map[model.JobID]uint64 {
	hit := map[model.JobID]uint64{}
	cost.LostWorkers = len(f.lost)
	for id, row := range f.rows {
		for _, worker := range row.Allocation {
			if f.lost[worker] {
				hit[id] = row.Attempt
				cost.LostTasks++
			}
		}
	}
	return hit
}

// restarted counts the jobs that run under a later attempt.
func (f *fleetDriver) restarted(attempts map[model.JobID]uint64) int {
	count := 0
	for id, attempt := range attempts {
		if row := f.rows[id]; row.Attempt > attempt && len(row.Allocation) > 0 {
			count++
		}
	}
	return count
}

func reportLoss(w io.Writer) error {
	fmt.Fprintln(w, "\n## Lost workers, 7 tasks a worker, 1 of 8 accelerators free")
	fmt.Fprintln(w, "\n| lost | workers | lost workers | lost tasks | jobs started again | last start s | decisions ms | longest ms |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	losses := []struct {
		name   string
		isLost func(model.Worker) bool
	}{
		{"rack", func(w model.Worker) bool { return w.Rack == regionWorker(0).Rack }},
		{"zone", func(w model.Worker) bool { return w.Zone == regionWorker(0).Zone }},
	}
	for _, loss := range losses {
		for _, workers := range []int{200, 800, zonesOf * WorkersPerZone} {
			c, err := MeasureLoss(workers, loss.isLost)
			if err != nil {
				return err
			}
			fmt.Fprintf(w, "| %s | %d | %d | %d | %d | %.1f | %.1f | %.2f |\n", loss.name,
				c.Workers, c.LostWorkers, c.LostTasks, c.RestartedJobs, c.LastStart.Seconds(), c.DecisionNS/1e6, c.LongestNS/1e6)
		}
	}
	return nil
}
