package dispatch

import (
	"fmt"
	"time"

	"dragonflyyard/internal/workerspeed"
)

// Uneven workers. Load pattern: workers of several generations in one deployment, so
// that a gang waits for its slowest member, and long tasks on slow workers miss their
// objective. Speeds are learned from runs, see package workerspeed; where workers are
// alike, all of this has no effect.

const (
	// minPacePercent and minPaceTime are the least progress and time over which a pace
	// is measured; progress is reported in whole percents, about once a second.
	minPacePercent = 12
	minPaceTime    = 600 * time.Millisecond
	// maxEndReportGap is the longest time from a run's last report to its end for which
	// the time of the end is trusted: the store may be slow.
	maxEndReportGap = 2 * time.Second
	// maxSpeedDecisions bounds the decisions about speeds that one plan records.
	maxSpeedDecisions = 8
)

// progressPoint is a point of a run's progress: from it on the run has worked without a
// stall. It is unset while atMS is 0.
type progressPoint struct {
	percent int
	atMS    int64
}

// paceIsComparable reports whether the pace of a run tells of its worker: gangs go at the
// pace of their slowest member, and lasting tasks have no end.
func (o *order) paceIsComparable() bool {
	step := o.step()
	return !step.LongRunning && !(step.Gang && step.Tasks > 1)
}

// observeReport measures the pace of a run from the worker's report. It starts anew
// after a stall, and while a run that resumes has not gone beyond its checkpoint.
func (c *Core) observeReport(o *order) {
	if !c.settings.LearnSpeeds || !o.paceIsComparable() || o.stopRequested {
		return
	}
	at := progressPoint{o.lastReport.Percent, o.lastReportMS}
	stalled := time.Duration(o.lastReport.StalledMS)*time.Millisecond >= minStall
	if o.paceFrom.atMS == 0 || at.percent <= o.paceFrom.percent || stalled {
		o.paceFrom = at
		return
	}
	if at.percent < 100 {
		c.observePace(o, at)
	}
}

// observeEnd measures the pace of a run that is done.
func (c *Core) observeEnd(now Now, o *order) {
	if !c.settings.LearnSpeeds || !o.paceIsComparable() || o.stopRequested || now.StoreMS-o.worker.SentMS > maxEndReportGap.Milliseconds() {
		return
	}
	if o.paceFrom.atMS == 0 && o.Checkpoint == "" {
		o.paceFrom = progressPoint{0, o.decidedMS}
	}
	if o.paceFrom.atMS != 0 {
		c.observePace(o, progressPoint{100, now.StoreMS})
	}
}

func (c *Core) observePace(o *order, until progressPoint) {
	percent, took := until.percent-o.paceFrom.percent, time.Duration(until.atMS-o.paceFrom.atMS)*time.Millisecond
	if percent < minPacePercent || took < minPaceTime {
		return
	}
	group := workerspeed.Group{Job: string(o.job.ID), Step: o.id.Task.Step, Remote: o.remote()}
	c.speeds.Observe(until.atMS, o.worker.Host, o.id, group, float64(percent)/took.Seconds())
}

// remote reports whether a run is outside the rack of its data.
func (o *order) remote() bool {
	preferred := o.step().PreferredRack
	return preferred != "" && string(o.worker.Rack) != preferred
}

// updateSpeeds takes over the speeds that the latest runs show.
func (c *Core) updateSpeeds(now Now) {
	changed := c.speeds.Estimate(now.StoreMS)
	for host, w := range c.workers {
		w.speed = c.speeds.Speed(host)
	}
	for i, host := range changed {
		if i == maxSpeedDecisions {
			break
		}
		s, w := c.speeds.Speed(host), c.workers[host]
		if w == nil {
			continue
		}
		c.recordDecision(Decision{
			Kind: "speed_learned", Worker: w.Worker, AgeMS: now.StoreMS - s.NewestMS,
			Reason: fmt.Sprintf("factor %.2f by %.1f runs, %d workers changed", s.Factor, s.Runs, len(changed)),
		})
	}
}

// UnevenWorkers returns the numbers of workers that are slower and faster than the average.
func (c *Core) UnevenWorkers() (slow, fast int) { return c.speeds.Uncommon() }

// slowdown returns by how much longer a run takes than on an average worker: that of its
// worker, for a gang that of the slowest member's.
func (c *Core) slowdown(o *order) float64 {
	if !c.speeds.Uneven() {
		return 1
	}
	slowest := o.worker.speed.Factor
	if !o.step().Gang {
		return 1 / slowest
	}
	for _, member := range o.job.orders {
		if member.gangRun() == o.gangRun() {
			slowest = min(slowest, member.worker.speed.Factor)
		}
	}
	return 1 / slowest
}

// slowness ranks a worker by its speed for a unit, the better the lower. Members of a gang
// prefer the slowest class of workers that they need, so that none waits for another and
// faster workers remain for others. Other tasks prefer fast workers. Small tasks don't open
// a worker for its speed: whole workers are scarce.
func (r *schedulingRound) slowness(u *unit, w *worker) int {
	if !r.core.speeds.Uneven() {
		return 0
	}
	class, opening := w.speed.Class, 0
	if !u.gangOpens && r.opens(u, w) {
		opening = opensWorker
	}
	switch {
	case u.gang() && class < u.gangClass:
		return opening + notWithGang
	case u.gang():
		return opening + int(class-u.gangClass)
	default:
		return opening - int(class)
	}
}

// Slowness of workers that would slow down a gang, and of idle ones that a small task would
// open; both outweigh all classes of speed.
const (
	notWithGang = 10
	opensWorker = 100
)

// opens reports whether a task that needs at most half of a worker would be the first there.
func (r *schedulingRound) opens(u *unit, w *worker) bool {
	demand := u.spec().PerTask
	return r.free[w] == w.Capacity && demand.Add(demand).Fits(w.Capacity)
}

// chooseGangClass chooses the class of workers for a gang: the fastest classes that hold it
// together, of which it is the slowest. It counts workers that the gang would open only if
// the others don't hold it.
func (r *schedulingRound) chooseGangClass(u *unit, workers []*worker) {
	if !r.core.speeds.Uneven() {
		return
	}
	used, all := map[workerspeed.Class]int{}, map[workerspeed.Class]int{}
	for _, w := range workers {
		if !r.allowed(u, w) {
			continue
		}
		class, slots := w.speed.Class, r.slotsFor(u, w)
		all[class] += slots
		if !r.opens(u, w) {
			used[class] += slots
		}
	}
	u.gangClass, u.gangOpens = slowestNeeded(used, len(u.tasks))
	if u.gangOpens {
		u.gangClass, _ = slowestNeeded(all, len(u.tasks))
	}
}

// slowestNeeded returns the slowest class that is needed to place tasks in slots of the
// fastest classes. tooFew is set if all slots are too few.
func slowestNeeded(slots map[workerspeed.Class]int, tasks int) (class workerspeed.Class, tooFew bool) {
	for class = workerspeed.Fast; class >= workerspeed.Slow; class-- {
		if tasks -= slots[class]; tasks <= 0 {
			return class, false
		}
	}
	return workerspeed.Slow, true
}

// slotsFor returns how many of a unit's tasks fit on a worker now.
func (r *schedulingRound) slotsFor(u *unit, w *worker) int {
	slots := tasksThatFit(u.spec(), r.freeFor(u, w))
	if limit := u.spec().MaxPerWorker; limit > 0 {
		slots = min(slots, limit-r.tasksOnWorker[stepOnWorker{u.job.ID, u.key(), w}])
	}
	return max(0, slots)
}

// expectedTime returns the expected time of a whole run on its worker.
func (c *Core) expectedTime(o *order) time.Duration {
	estimate := o.step().Estimate
	if estimate == 0 {
		estimate = defaultRunTime
	}
	return time.Duration(float64(estimate) * c.slowdown(o))
}
