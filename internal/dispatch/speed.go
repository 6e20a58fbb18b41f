package dispatch

import (
	"slices"
	"time"

	"dragonflyyard/internal/workload"
)

// Slow workers. Load pattern: one worker in six takes five to eight times as
// long as the others, for some seconds or from its start on, and says that it
// is well. What tells is the progress of its runs against that of others of the
// same step, or against their own before.
const (
	// rateSpan is the least time between two reports that give a rate.
	rateSpan = 900 * time.Millisecond
	// slowFactor is how many times as long a run takes that counts as slow. Tasks
	// of one step differ by a third, and three times is what distance costs.
	slowFactor = 2.5
	// moveFactor is how many times as long the rest of a run must take as the
	// whole of it elsewhere before it is moved.
	moveFactor = 2.0
	// moveCost is the time that a move costs besides.
	moveCost = time.Second
	// avoidSlow is how long a worker gets no tasks after a run there was slow.
	avoidSlow = 2500 * time.Millisecond
)

// rates are the speeds at which runs of one step were seen to progress, in
// hundredths a second.
type rates struct{ seen []float64 }

// maxRates bounds the speeds that are kept of a step.
const maxRates = 32

func (r *rates) add(rate float64) {
	if len(r.seen) == maxRates {
		r.seen = r.seen[1:]
	}
	r.seen = append(r.seen, rate)
}

// typical returns the middle of the speeds seen; 0 for none.
func (r *rates) typical() float64 {
	if r == nil || len(r.seen) == 0 {
		return 0
	}
	sorted := slices.Clone(r.seen)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// takeProgress works a new report into the run's speed.
func (o *order) takeProgress(report workload.RunningTask, atMS int64) {
	span := time.Duration(atMS-o.markMS) * time.Millisecond
	switch {
	case o.markMS == 0 || report.Percent < o.markPercent:
		o.markMS, o.markPercent = atMS, report.Percent
	case span >= rateSpan:
		o.rate = float64(report.Percent-o.markPercent) / span.Seconds()
		o.markMS, o.markPercent = atMS, report.Percent
		if o.rate > o.best {
			o.best = o.rate
			o.job.ratesOf(o.id.Task).add(o.rate)
		}
	}
}

func (j *job) ratesOf(ref workload.TaskRef) *rates {
	key := stepKey{ref.Occurrence, ref.Step}
	if j.rates[key] == nil {
		j.rates[key] = &rates{}
	}
	return j.rates[key]
}

// slow reports whether a run progresses much more slowly than its step does
// elsewhere, or than it did itself, and the step's usual speed.
func (o *order) slow() (usual float64, slow bool) {
	if o.rate <= 0 || o.step().LongRunning || o.report.Percent >= 100 {
		return 0, false
	}
	usual = max(o.job.rates[stepKey{o.id.Task.Occurrence, o.id.Task.Step}].typical(), o.best)
	return usual, usual > slowFactor*o.rate
}

// moveSlow keeps new tasks off slow workers, and stops runs there that are done
// sooner when they begin again elsewhere. Gangs are left alone: which of their
// workers is slow can't be told.
func (c *Core) moveSlow(now Now, r *room) {
	for _, w := range c.sortedWorkers() {
		for _, o := range sortedOrders(w.orders) {
			usual, slow := o.slow()
			if !slow || o.step().Gang {
				continue
			}
			w.avoidUntilMS = max(w.avoidUntilMS, now.StoreMS+avoidSlow.Milliseconds())
			if o.stopWanted || o.version == 0 || !o.soonerElsewhere(usual) || !r.takeElsewhere(o) {
				continue
			}
			o.wantStop("its worker is slow")
			c.decide(Decision{Kind: "run_slow", Job: o.job.ID, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: o.stopReason, AgeMS: now.StoreMS - o.reportMS})
		}
	}
}

// soonerElsewhere reports whether the rest of a run takes much longer here than
// what would have to be done elsewhere at the usual speed.
func (o *order) soonerElsewhere(usual float64) bool {
	left := float64(100 - o.report.Percent)
	again := 100.0
	if o.step().Checkpoints {
		again = left
	}
	return left/o.rate > moveFactor*again/usual+moveCost.Seconds()
}

// takeElsewhere takes room for a run on another worker that takes tasks.
func (r *room) takeElsewhere(o *order) bool {
	u := &unit{job: o.job, occurrence: o.id.Task.Occurrence, step: o.id.Task.Step, tasks: []int{o.id.Task.Index}}
	others := make([]*worker, 0, len(r.workers))
	for _, w := range r.workers {
		if w != o.worker && r.now.StoreMS >= w.avoidUntilMS {
			others = append(others, w)
		}
	}
	w := r.best(u, others)
	if w == nil {
		return false
	}
	r.take(u, w)
	return true
}
