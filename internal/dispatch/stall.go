package dispatch

import (
	"time"
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
				c.recordDecision(Decision{Kind: "run_stalled", Job: o.job.ID, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: o.stopReason, AgeMS: o.lastReport.StalledMS})
				if o.step().Gang {
					c.stopGangRun(o.job, o.id)
				}
			}
		}
	}
}

// stalled reports whether a run has made no progress for longer than its
// estimated run time explains.
func (c *Core) stalled(o *order) bool {
	step := o.step()
	if step.LongRunning || o.lastReportMS == 0 || o.lastReport.Percent >= 100 {
		return false
	}
	longest := max(minStall, time.Duration(stallShare*float64(step.Estimate)))
	if time.Duration(o.lastReport.StalledMS)*time.Millisecond < longest {
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
