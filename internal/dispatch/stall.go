package dispatch

import (
	"time"

	"dragonflyyard/internal/workload"
)

// Limits for runs without progress. Load pattern: workers on which all tasks
// stall for some seconds, or forever, while the workers keep reporting.
const (
	// minStall is the shortest stall that counts; the reports of a worker are up
	// to a second apart.
	minStall = 1200 * time.Millisecond
	// stallShare is the share of a task's estimated run time after which a lack
	// of progress counts as a stall. Progress is reported in whole percent, and
	// estimates are rough.
	stallShare = 0.06
	// A short stall may discard at most cheapRestartLoss of run time; a run that
	// would lose more is stopped after a stall of maxToleratedStall.
	cheapRestartLoss  = 3 * time.Second
	maxToleratedStall = 4 * time.Second
	// stallPaces is the multiple of the time that a run took for a percent after which
	// the next one counts as overdue.
	stallPaces = 3
	// maxStallDoublings bounds the patience with a task whose runs stalled before.
	maxStallDoublings = 10
	// avoidAfterStall is how long a worker gets no tasks after a stall there.
	avoidAfterStall = 4 * time.Second
)

// stopStalled requests a stop of stalled runs, so that they restart on other
// workers.
func (c *Core) stopStalled(now Now) {
	for _, w := range c.sortedWorkers() {
		for _, o := range sortedOrders(w.orders) {
			if !c.stalled(o) {
				continue
			}
			w.avoidUntilMS = max(w.avoidUntilMS, now.StoreMS+avoidAfterStall.Milliseconds())
			if !o.stopRequested && c.worthRestarting(o) {
				o.requestStop("progress stalled")
				o.job.stalledRuns[firstOfGroup(o)]++
				c.recordDecision(Decision{Kind: "run_stalled", Job: o.job.ID, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: o.stopReason, AgeMS: o.lastReport.StalledMS})
				if o.step().Gang {
					c.stopGangRun(o.job, o.id)
				}
			}
		}
	}
}

// firstOfGroup returns the task that stands for those that are stopped with an order.
func firstOfGroup(o *order) workload.TaskRef {
	if o.step().Gang {
		return firstMember(o.id.Task)
	}
	return o.id.Task
}

// patience returns the time without progress that counts as a stall of a run: longer
// than its estimated run time explains, and than its progress so far does. Estimates may be
// missing or far too low. Each run of the task that was stopped before doubles it, so that
// a slow task gets past the point at which its first runs were stopped.
func patience(o *order) time.Duration {
	longest := max(minStall, time.Duration(stallShare*float64(o.step().Estimate)))
	if done := o.lastReport.Percent; done > 0 {
		worked := time.Duration(o.lastReportMS-o.firstReportMS-o.lastReport.StalledMS) * time.Millisecond
		longest = max(longest, stallPaces*worked/time.Duration(done))
	}
	return longest << min(o.job.stalledRuns[firstOfGroup(o)], maxStallDoublings)
}

// stalled reports whether a run has made no progress for longer than its patience.
func (c *Core) stalled(o *order) bool {
	step := o.step()
	if step.LongRunning || o.lastReportMS == 0 || o.lastReport.Percent >= 100 {
		return false
	}
	if time.Duration(o.lastReport.StalledMS)*time.Millisecond < patience(o) {
		return false
	}
	return !step.Gang || c.allMembersReported(o)
}

// allMembersReported reports whether the worker of each member of a gang's run
// has reported it; until then the members wait for each other.
func (c *Core) allMembersReported(o *order) bool {
	reported := 0
	for _, member := range o.groupOrders() {
		if member.firstReportMS != 0 {
			reported++
		}
	}
	return reported == o.step().Tasks
}

// worthRestarting reports whether restarting the run elsewhere loses little work,
// or the stall has lasted long enough to accept the loss.
func (c *Core) worthRestarting(o *order) bool {
	stall := time.Duration(o.lastReport.StalledMS) * time.Millisecond
	worked := time.Duration(o.lastReportMS-o.firstReportMS)*time.Millisecond - stall
	return o.step().Checkpoints || worked <= cheapRestartLoss || stall >= maxToleratedStall
}
