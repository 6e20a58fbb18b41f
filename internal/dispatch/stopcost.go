package dispatch

// What a stop costs the job that is stopped. Load pattern: urgent jobs that come every
// second, each of which finds the job that was stopped last to have the least unsaved work,
// so that the same gang is stopped again and again.

// Costs of stopping a run, in seconds of its run time.
const (
	// stopCostSeconds is the fixed cost of a stop, for ending a run and starting
	// it again. It makes a worker that is already being vacated cheaper than any
	// other.
	stopCostSeconds = 1.0
	// checkpointLossSeconds is what a run with checkpoints loses on average: its work is
	// saved at the stop, but has to be restored.
	checkpointLossSeconds = 0.5
)

// maxStopsForUrgent is the number of stops after which a task or a gang is stopped for
// claims only.
const maxStopsForUrgent = 2

// unsavedWork returns the work that stopping a run discards, in core seconds; for
// a gang, that of all its members. An owner that took over a run has not seen its
// start, so the reported progress counts as well.
func unsavedWork(now Now, o *order) float64 {
	since := o.firstReportMS
	if since == 0 {
		since = o.decidedMS
	}
	worked := float64(o.lastReport.Percent) / 100 * o.step().Estimate.Seconds()
	seconds := max(now.elapsedSince(since).Seconds(), worked)
	if o.step().Checkpoints {
		seconds = min(seconds, checkpointLossSeconds)
	}
	return (seconds + stopCostSeconds) * o.groupCores()
}

// groupCores returns the cores of all runs that stop with an order.
func (o *order) groupCores() float64 {
	if o.step().Gang {
		return o.demand.Cores() * float64(o.step().Tasks)
	}
	return o.demand.Cores()
}

// stopCost returns what a stop costs a job that loses the given unsaved work, in core
// seconds: each stop that a task or gang had before counts as much again.
func stopCost(o *order, unsavedWork float64) float64 {
	return unsavedWork * float64(1+o.earlierStops())
}

// earlierStops returns how many earlier runs of the order's task or gang have ended
// without success or failure: they were stopped, lost or broken. It follows from the job's
// progress, so a new owner knows it, too.
func (o *order) earlierStops() int {
	failures := 0
	if task := o.job.progress.Task(firstOfGroup(o)); task != nil {
		failures = task.Failures
	}
	return max(0, o.id.Run-1-failures)
}
