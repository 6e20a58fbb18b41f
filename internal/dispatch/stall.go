package dispatch

import (
	"time"
)

// When a run stands still. Load pattern: workers on which all tasks stand still
// for some seconds, or for good, while they go on reporting.
const (
	// stallAfter is the shortest stall that counts; a worker's reports are up to
	// a second apart.
	stallAfter = 1200 * time.Millisecond
	// stallShare is the share of a task's estimated run time in which its
	// progress must move; progress is told in hundredths and estimates are rough.
	stallShare = 0.06
	// smallLoss is the run time that is thrown away for a short stall; a run that
	// would lose more is given longer.
	smallLoss    = 3 * time.Second
	stallPatient = 4 * time.Second
	// avoidStalled is how long a worker gets no tasks after a stall there.
	avoidStalled = 4 * time.Second
)

// stopStalled asks for the end of runs that stand still, so that they begin
// again elsewhere.
func (c *Core) stopStalled(now Now) {
	for _, w := range c.sortedWorkers() {
		for _, o := range sortedOrders(w.orders) {
			if !c.stalled(o) {
				continue
			}
			w.avoidUntilMS = max(w.avoidUntilMS, now.StoreMS+avoidStalled.Milliseconds())
			if !o.stopWanted && c.worthMoving(o) {
				o.wantStop("it stands still")
				c.decide(Decision{Kind: "run_stalled", Job: o.job.ID, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: o.stopReason, AgeMS: o.report.StalledMS})
				if o.step().Gang {
					c.breakGang(o.job, o.id)
				}
			}
		}
	}
}

// stalled reports whether a run stands still for longer than its length explains.
func (c *Core) stalled(o *order) bool {
	step := o.step()
	if step.LongRunning || o.reportMS == 0 || o.report.Percent >= 100 {
		return false
	}
	longest := max(stallAfter, time.Duration(stallShare*float64(step.Estimate)))
	if time.Duration(o.report.StalledMS)*time.Millisecond < longest {
		return false
	}
	return !step.Gang || c.gangPresent(o)
}

// gangPresent reports whether all members of a gang's run were reported; until
// then they wait for each other.
func (c *Core) gangPresent(o *order) bool {
	present := 0
	for _, member := range o.group() {
		if member.reportedMS != 0 {
			present++
		}
	}
	return present == o.step().Tasks
}

// worthMoving reports whether beginning again elsewhere loses little, or the
// stall has lasted long enough to accept a loss.
func (c *Core) worthMoving(o *order) bool {
	stall := time.Duration(o.report.StalledMS) * time.Millisecond
	worked := time.Duration(o.reportMS-o.reportedMS)*time.Millisecond - stall
	return o.step().Checkpoints || worked <= smallLoss || stall >= stallPatient
}
