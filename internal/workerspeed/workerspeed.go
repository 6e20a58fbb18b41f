// Package workerspeed estimates how fast each worker is, relative to the others,
// from the paces of runs. The work of a task is not known: submitters' estimates
// are wrong by several times, and tasks of one step differ by a third. So runs are
// compared only with runs of the same step of the same job on other workers.
//
// Load pattern: workers of two or three generations in one deployment, of which
// some turn slow for a while.
//
// Model: log(pace) = pace of the group + speed of the worker + noise. The noise and
// the spread of the speeds are estimated from the runs, too. Unless the speeds spread
// by far more than the noise explains, all workers count as alike.
package workerspeed

import (
	"math"
	"slices"

	"dragonflyyard/internal/workload"
)

// Group identifies runs whose work is comparable: those of one step of a job, in all
// its occurrences, that are equally near to their data.
type Group struct {
	Job    string
	Step   int
	Remote bool
}

// Class is the speed of a worker as decisions use it. Few classes keep noise out of
// the decisions.
type Class int8

// Classes of workers.
const (
	Slow    Class = -1
	Average Class = 0
	Fast    Class = 1
)

// Speed is what is known of a worker's speed.
type Speed struct {
	Class Class
	// Factor is the speed relative to an average worker, in whole percents: 1 for
	// workers of class Average.
	Factor float64
	// Runs is the evidence, as the number of runs that would give as much if they
	// were recent and their group's pace were known.
	Runs float64
	// NewestMS is when the newest of these runs was observed.
	NewestMS int64
}

// Limits of the state and of the estimates.
const (
	// runsPerWorker and maxWorkers bound the runs that are kept.
	runsPerWorker = 16
	maxWorkers    = 1024
	// halfLifeMS is the age at which a run counts half, and maxAgeMS the age at which
	// it is dropped.
	halfLifeMS = 60_000
	maxAgeMS   = 10 * halfLifeMS
	// estimateIntervalMS is the shortest interval between two estimates.
	estimateIntervalMS = 1000
	// classWidth is the difference of log(speed) from the average from which a worker
	// is fast or slow; minDeviations is that difference in standard errors.
	classWidth    = 0.1
	minDeviations = 1.5
	// stayShare is the share of that difference down to which it stays so.
	stayShare = 0.6
	// fewestWorkers is the number of workers with evidence below which all count as
	// alike.
	fewestWorkers = 6
	// maxLogSpeed bounds the estimates: a worker that is slower still is stalled.
	maxLogSpeed = 2.0
)

// run is the pace of a run on a worker.
type run struct {
	id      workload.RunID
	group   Group
	logPace float64
	atMS    int64
}

// worker holds the newest runs of a worker, the oldest first, and what a former owner
// had learned of it.
type worker struct {
	runs  []run
	prior prior
	// logSpeed is the fitted log(speed), before it is drawn towards the average.
	logSpeed float64
	Speed
}

// prior is evidence that a former tracker had at atMS.
type prior struct {
	logSpeed, runs float64
	atMS           int64
}

// weight returns the evidence that is left of it, in runs.
func (p *prior) weight(nowMS int64) float64 { return p.runs * decay(nowMS-p.atMS) }

// Tracker estimates the speeds of workers, which it knows by host: the speed is that
// of the machine, and a restart of its worker doesn't change it. It is not safe for
// concurrent use.
type Tracker struct {
	workers map[string]*worker
	uneven  bool
	// changed is set if runs were observed after the last estimate, at estimatedMS.
	changed     bool
	estimatedMS int64
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker { return &Tracker{workers: map[string]*worker{}} }

// Observe records the pace of a run, in percent of the task's work per second. A later
// observation of the same run replaces the earlier one.
func (t *Tracker) Observe(nowMS int64, host string, id workload.RunID, group Group, pace float64) {
	if !(pace > 0) || math.IsInf(pace, 1) {
		return
	}
	w := t.workers[host]
	if w == nil {
		if len(t.workers) >= maxWorkers {
			return
		}
		w = &worker{Speed: Speed{Factor: 1}}
		t.workers[host] = w
	}
	w.runs = slices.DeleteFunc(w.runs, func(r run) bool { return r.id == id })
	if len(w.runs) == runsPerWorker {
		w.runs = slices.Delete(w.runs, 0, 1)
	}
	w.runs = append(w.runs, run{id, group, math.Log(pace), nowMS})
	t.changed = true
}

// Speed returns what is known of a worker. An unknown worker is average.
func (t *Tracker) Speed(host string) Speed {
	if w := t.workers[host]; w != nil {
		return w.Speed
	}
	return Speed{Factor: 1}
}

// Uneven reports whether the workers differ in speed.
func (t *Tracker) Uneven() bool { return t.uneven }

// Uncommon returns the numbers of slow and of fast workers.
func (t *Tracker) Uncommon() (slow, fast int) {
	for _, w := range t.workers {
		switch w.Class {
		case Slow:
			slow++
		case Fast:
			fast++
		}
	}
	return slow, fast
}

// Estimate computes the speeds anew if there is new evidence and the last estimate is
// not recent. It returns the hosts whose class has changed, sorted.
func (t *Tracker) Estimate(nowMS int64) []string {
	if !t.changed || nowMS-t.estimatedMS < estimateIntervalMS {
		return nil
	}
	t.changed, t.estimatedMS = false, nowMS
	t.dropOld(nowMS)
	m := newModel(nowMS, t.workers)
	m.fit()
	if m.dropTurned() {
		m = newModel(nowMS, t.workers)
		m.fit()
	}
	if math.IsInf(m.noise, 1) {
		// There are too few runs to tell noise from speed.
		return nil
	}
	spread := m.spread(t.uneven)
	t.uneven = spread > 0
	var changed []string
	for i, w := range m.workers {
		before := w.Class
		w.logSpeed, w.Speed = m.logSpeed[i], m.speed(i, spread)
		if w.Class != before {
			changed = append(changed, m.hosts[i])
		}
	}
	return changed
}

// dropOld drops runs and workers of which nothing was seen for long.
func (t *Tracker) dropOld(nowMS int64) {
	for host, w := range t.workers {
		w.runs = slices.DeleteFunc(w.runs, func(r run) bool { return nowMS-r.atMS > maxAgeMS })
		if len(w.runs) == 0 && (w.prior.runs == 0 || nowMS-w.prior.atMS > maxAgeMS) {
			delete(t.workers, host)
		}
	}
}

// decay returns the weight of evidence of an age.
func decay(ageMS int64) float64 { return math.Exp2(-float64(max(0, ageMS)) / halfLifeMS) }
