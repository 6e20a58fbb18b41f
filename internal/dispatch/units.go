package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dragonflyyard/internal/workload"
)

// unit is what is placed together: the whole gang of a step, or those tasks of
// a step that may start now.
type unit struct {
	job        *job
	occurrence int
	step       int
	tasks      []int
	// readyMS is since when the unit could have started.
	readyMS int64
	rank    rank
	// failed is the most failures of one of the tasks.
	failed int
	// avoid are the workers that the unit keeps off, once avoidKnown is set.
	avoid      []*worker
	avoidKnown bool
}

func (u *unit) spec() *workload.Step { return &u.job.Steps[u.step] }
func (u *unit) gang() bool           { return u.spec().Gang }
func (u *unit) key() stepKey         { return stepKey{u.occurrence, u.step} }

// rank orders units: lower comes first.
type rank struct {
	// hopeless is set when the job can't be done in three times its objective.
	hopeless bool
	priority int
	// claimedMS is since when room is being made for the unit; 0 when none is.
	claimedMS int64
	// late is set when the job can't meet its objective any more. Ending late is
	// worth a part to its caller.
	late bool
	// work is the job's remaining estimated work in core seconds.
	work float64
}

// lateWeight is how many times as much a job in its objective is worth as a late
// one; the ratios that deployments state are from 3 to 10.
const lateWeight = 5

func (r rank) compare(o rank) int {
	return cmp.Or(compareBool(r.hopeless, o.hopeless), cmp.Compare(r.priority, o.priority), r.compareClaims(o),
		cmp.Compare(r.workPerWorth(), o.workPerWorth()))
}

// compareClaims puts units first that room is being made for, in the order of
// their claims. What is stopped for one unit would otherwise make room for a
// shorter one that came meanwhile, and more would be stopped.
func (r rank) compareClaims(o rank) int {
	return cmp.Or(compareBool(r.claimedMS == 0, o.claimedMS == 0), cmp.Compare(r.claimedMS, o.claimedMS))
}

// workPerWorth puts short jobs first, as the mean wait asks for, and weighs the
// work of late jobs by how little they are still worth.
func (r rank) workPerWorth() float64 {
	if r.late {
		return lateWeight * r.work
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

// units returns what could start now, in the order in which it is placed.
func (c *Core) units(now Now) []*unit {
	var out []*unit
	for _, j := range c.sortedJobs() {
		if j.progress.State.Final() {
			continue
		}
		c.beginDue(now, j)
		out = append(out, j.units(now)...)
	}
	slices.SortStableFunc(out, func(a, b *unit) int {
		return cmp.Or(a.rank.compare(b.rank), cmp.Compare(a.job.AcceptedMS, b.job.AcceptedMS))
	})
	return out
}

// beginDue begins the occurrences whose time has come.
func (c *Core) beginDue(now Now, j *job) {
	if !j.Scheduled() {
		for k := range j.Occurrences {
			j.progress.EnsureOccurrence(j.Job, k)
		}
		return
	}
	for k := range j.Occurrences {
		if now.UnixMS < j.DueUnixMS(k) {
			return
		}
		j.progress.EnsureOccurrence(j.Job, k)
	}
}

// units returns the job's units of all occurrences that began.
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
			if _, known := j.readySinceMS[key]; !known {
				j.readySinceMS[key] = now.StoreMS
			}
			u.rank, u.readyMS = r, j.readySinceMS[key]
			if now.StoreMS-j.claimedMS[key] < claimFor.Milliseconds() {
				u.rank.claimedMS = j.claimedMS[key]
			}
			out = append(out, u)
		}
	}
	return out
}

// unit returns the tasks of a step that may start, or nil.
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
	u.failed = u.failures()
	return u
}

// claimFor is how long a unit goes before others after work was stopped for it: a
// stop, its report and the next plan take a third of it on a store that is well.
const claimFor = 1500 * time.Millisecond

// lateFactor is how many times its objective a job may take before it is worth
// nothing to its caller.
const lateFactor = 3

// rank returns the order of an occurrence among all.
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
	objective := j.SlackFactor*float64(j.CriticalPath().Milliseconds()) + float64(j.TargetDuration.Milliseconds())
	spent := float64(now.StoreMS - since)
	// Estimates are rough, so a job counts as late only once its time is spent.
	return rank{
		hopeless: spent > lateFactor*objective,
		priority: j.Priority,
		late:     spent+chain/2 > objective,
		work:     work,
	}
}
