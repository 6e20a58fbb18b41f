package dispatch

import (
	"cmp"
	"slices"
	"time"

	"dragonflyyard/internal/workload"
)

// Quarantine on a deployment. Load pattern: some workers fail each task that they start
// and answer their health checks; and some tasks fail wherever they run, now and then,
// among them tasks that last. The first are to be kept out of use, without letting the
// second keep out others.

const (
	// lastingSuccessAfter is how long a lasting task must have worked for its run to count
	// as a success of its worker, however it ends: a faulty worker fails a run at once.
	lastingSuccessAfter = 5 * time.Second
	// maxQuarantinedShare is the share of the workers of a kind that may be in quarantine
	// at a time. If failures on more of them count, the tasks are at fault.
	maxQuarantinedShare = 0.25
)

// workedLong reports whether a run of a lasting task has worked for so long that its
// failure tells nothing about the worker.
func (o *order) workedLong(now Now) bool {
	since := o.firstReportMS
	if since == 0 && !o.ageUnknown {
		since = o.decidedMS
	}
	return o.step().LongRunning && now.elapsedSince(since) >= lastingSuccessAfter
}

// countFailure counts a failure against the worker of an order.
func (c *Core) countFailure(now Now, j *job, o *order) {
	if v := c.quarantine.Failed(now.time(), o.Worker, j.ID); v.Quarantined {
		o.worker.quarantinedMS = now.StoreMS
		c.recordDecision(Decision{Kind: "worker_quarantined", Worker: o.Worker, Reason: "tasks of several jobs failed", AgeMS: -1})
	}
}

// workerKind identifies the workers that can stand in for each other.
type workerKind struct{ service, label string }

// kind returns the worker's kind: its service and its first label.
func (w *worker) kind() workerKind {
	k := workerKind{service: w.Service}
	if len(w.Labels) > 0 {
		k.label = w.Labels[0]
	}
	return k
}

// quarantined returns the workers that get no tasks because of failures on them: of each
// kind those whose quarantine began last, up to maxQuarantinedShare of its workers. The
// others are used after all workers that are not on probation.
func (c *Core) quarantined(now Now) map[*worker]bool {
	held := map[workerKind][]*worker{}
	count := map[workerKind]int{}
	for _, w := range c.sortedWorkers() {
		if w.State != workload.WorkerReady {
			continue
		}
		count[w.kind()]++
		if c.quarantine.InQuarantine(now.time(), w.Worker) {
			held[w.kind()] = append(held[w.kind()], w)
		}
	}
	out := map[*worker]bool{}
	for kind, workers := range held {
		slices.SortStableFunc(workers, func(a, b *worker) int { return cmp.Compare(b.quarantinedMS, a.quarantinedMS) })
		for _, w := range workers[:min(len(workers), int(maxQuarantinedShare*float64(count[kind])))] {
			out[w] = true
		}
	}
	return out
}
