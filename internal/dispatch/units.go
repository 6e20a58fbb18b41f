package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dragonflyyard/internal/workerspeed"
	"dragonflyyard/internal/workload"
)

// unit is a set of tasks that are placed together: the whole gang of a step, or
// those tasks of a step that can start now.
type unit struct {
	job        *job
	occurrence int
	step       int
	tasks      []int
	// readyMS is when the first of the tasks became ready to start.
	readyMS int64
	rank    rank
	// failures is the highest failure count among the tasks.
	failures int
	// avoid caches avoidedWorkers once avoidComputed is set.
	avoid         []*worker
	avoidComputed bool
	// gangClass is the slowest class of workers that a gang uses, see chooseGangClass.
	gangClass workerspeed.Class
	// gangOpens is set if the gang needs workers that are idle.
	gangOpens bool
	// disturbance caches what disturbanceOf needs.
	disturbance unitDisturbance
}

func (u *unit) spec() *workload.Step { return &u.job.Steps[u.step] }
func (u *unit) gang() bool           { return u.spec().Gang }
func (u *unit) key() stepKey         { return stepKey{u.occurrence, u.step} }

// taskKey returns the key of one of the unit's tasks, that of the gang if it is one.
func (u *unit) taskKey(task int) taskKey {
	if u.gang() {
		task = 0
	}
	return taskKey{u.key(), task}
}

// rank is the position of a unit in a plan; lower ranks are placed first.
type rank struct {
	// claim is set if the job's account is guaranteed what the unit needs. claimedShape is
	// the number of accelerators that a task of a claim needs on one worker, else 0: the
	// largest are the hardest to place.
	claim        bool
	claimedShape int
	// tooLate is set if the job has taken more than three times its objective.
	tooLate  bool
	priority int
	// lastPreemptionMS is when runs were last preempted for the unit; 0 if that
	// is not recent.
	lastPreemptionMS int64
	// late is set if the job can no longer meet its objective. A late job is
	// still worth a fraction to its caller.
	late bool
	// work is the job's remaining estimated work in core seconds.
	work float64
	// overShare is set if the account uses more than its share beside accounts that wait.
	overShare bool
}

// lateWorkWeight is the ratio of the worth of a job within its objective to that
// of a late job; the ratios that deployments state range from 3 to 10.
const lateWorkWeight = 5

func (r rank) compare(o rank) int {
	return cmp.Or(compareBool(o.claim, r.claim), cmp.Compare(o.claimedShape, r.claimedShape),
		compareBool(r.tooLate, o.tooLate), cmp.Compare(r.priority, o.priority), r.comparePreemptions(o),
		compareBool(r.overShare, o.overShare), cmp.Compare(r.weightedWork(), o.weightedWork()))
}

// comparePreemptions puts units for which runs were recently preempted first, the
// earliest preemption before later ones. Otherwise a shorter unit submitted
// meanwhile would take the capacity of the preempted runs, and further runs would
// be preempted.
func (r rank) comparePreemptions(o rank) int {
	return cmp.Or(compareBool(r.lastPreemptionMS == 0, o.lastPreemptionMS == 0), cmp.Compare(r.lastPreemptionMS, o.lastPreemptionMS))
}

// weightedWork returns the work divided by its worth. Ordering by it puts short
// jobs first, which minimizes the mean wait, and puts late jobs back.
func (r rank) weightedWork() float64 {
	if r.late {
		return lateWorkWeight * r.work
	}
	return r.work
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// units returns the units that could start now, in the order in which they are
// placed.
func (c *Core) units(now Now) []*unit {
	var out []*unit
	for _, j := range c.sortedJobs() {
		if j.progress.State.Final() || j.setAside {
			continue
		}
		j.progress.BeginDue(j.Job, now.UnixMS)
		out = append(out, j.units(now)...)
	}
	c.markClaims(out)
	c.weighShares(now, out)
	slices.SortStableFunc(out, func(a, b *unit) int {
		return cmp.Or(a.rank.compare(b.rank), cmp.Compare(a.job.AcceptedMS, b.job.AcceptedMS))
	})
	return out
}

// units returns the job's units of all occurrences that have begun.
func (j *job) units(now Now) []*unit {
	var out []*unit
	for _, k := range slices.Sorted(maps.Keys(j.progress.Occurrences)) {
		occurrence := j.progress.Occurrences[k]
		if occurrence.Done {
			continue
		}
		var r rank
		ranked := false
		for step := range j.Steps {
			u := j.unit(occurrence, k, step)
			if u == nil {
				continue
			}
			if !ranked {
				r, ranked = j.rank(now, occurrence, k), true
			}
			key := stepKey{k, step}
			if now.StoreMS < j.notBeforeMS[key] {
				continue
			}
			u.rank, u.readyMS = r, j.waitingSince(now, u)
			if u.spec().LongRunning {
				// The age of the job says nothing about tasks that run until it is cancelled.
				u.rank.tooLate, u.rank.late = false, false
			}
			if now.StoreMS-j.lastPreemptionMS[key] < preemptionPrecedence.Milliseconds() {
				u.rank.lastPreemptionMS = j.lastPreemptionMS[key]
			}
			out = append(out, u)
		}
	}
	return out
}

// waitingSince returns when the first of a unit's tasks became ready to start, and begins
// the wait of those that became so just now.
func (j *job) waitingSince(now Now, u *unit) int64 {
	first := now.StoreMS
	for _, task := range u.tasks {
		key := u.taskKey(task)
		since, known := j.readySinceMS[key]
		if !known {
			since = now.StoreMS
			j.readySinceMS[key] = since
		}
		first = min(first, since)
	}
	return first
}

// endWait ends the wait of a task whose run has ended; the next one begins when it is ready
// again. A task that lasts takes its place again, so the others of its step go on waiting.
// Those of a step that ends leave one place after the other to the rest of the step, which
// waits for these anew.
func (j *job) endWait(task workload.TaskRef) {
	step := stepKey{task.Occurrence, task.Step}
	switch {
	case !j.Steps[task.Step].LongRunning:
		maps.DeleteFunc(j.readySinceMS, func(key taskKey, _ int64) bool { return key.stepKey == step })
	case j.Steps[task.Step].Gang:
		delete(j.readySinceMS, taskKey{step, 0})
	default:
		delete(j.readySinceMS, taskKey{step, task.Index})
	}
}

// unit returns the tasks of a step that can start, or nil if there are none.
func (j *job) unit(occurrence *workload.OccurrenceProgress, k, step int) *unit {
	if !occurrence.StepReady(j.Job, step) {
		return nil
	}
	ordered := map[int]bool{}
	for id := range j.orders {
		if id.Task.Occurrence == k && id.Task.Step == step {
			ordered[id.Task.Index] = true
		}
	}
	if j.Steps[step].Gang && len(ordered) > 0 {
		return nil
	}
	u := &unit{job: j, occurrence: k, step: step}
	for i, task := range occurrence.Steps[step] {
		if !task.Done && !ordered[i] {
			u.tasks = append(u.tasks, i)
		}
	}
	if len(u.tasks) == 0 {
		return nil
	}
	u.failures = u.maxFailures()
	return u
}

// preemptionPrecedence is how long a unit takes precedence after runs were
// preempted for it; the stop, its report and the next plan take a third of that
// while the store is healthy.
const preemptionPrecedence = 1500 * time.Millisecond

// tooLateFactor is the multiple of its objective after which a job is worthless
// to its caller.
const tooLateFactor = 3

// rank returns the rank of the units of one occurrence.
func (j *job) rank(now Now, occurrence *workload.OccurrenceProgress, k int) rank {
	longest := make([]float64, len(j.Steps))
	var chain, work float64
	for i := range j.Steps {
		step := &j.Steps[i]
		for _, before := range step.After {
			longest[i] = max(longest[i], longest[before])
		}
		left := 0
		for _, task := range occurrence.Steps[i] {
			if !task.Done {
				left++
			}
		}
		if left > 0 {
			longest[i] += float64(step.Estimate.Milliseconds())
			work += float64(left) * step.PerTask.Cores() * step.Estimate.Seconds()
		}
		chain = max(chain, longest[i])
	}
	since := j.AcceptedMS
	if j.Scheduled() {
		since = now.StoreMS - (now.UnixMS - j.DueUnixMS(k))
	}
	objective := float64(j.Objective().Milliseconds())
	spent := float64(now.StoreMS - since)
	// Estimates are rough, so a job counts as too late only once that time has
	// passed.
	return rank{
		tooLate:  spent > tooLateFactor*objective,
		priority: j.Priority,
		late:     spent+chain/2 > objective,
		work:     work,
	}
}
