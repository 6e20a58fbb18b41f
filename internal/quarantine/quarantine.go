// Package quarantine tells bad workers from bad jobs. A worker on which several
// distinct jobs failed gets no tasks for a while, then one job as a probe. A job
// that failed on several distinct workers is parked.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"dragonflyyard/internal/model"
)

// Settings are the limits of the tracker.
type Settings struct {
	// JobsPerWorker is how many distinct jobs fail on a worker before it is
	// put in quarantine.
	JobsPerWorker int
	// WorkersPerJob is how many distinct workers a job fails on before it is parked.
	WorkersPerJob int
	// FailuresPerJob is how often a job fails at all before it is parked, where
	// it finds no further workers.
	FailuresPerJob int
	// Window is how long a failure counts against a worker.
	Window time.Duration
	// Hold is the first time in quarantine; it doubles up to MaxHold.
	Hold    time.Duration
	MaxHold time.Duration
}

// DefaultSettings returns the limits in use.
func DefaultSettings() Settings {
	return Settings{JobsPerWorker: 3, WorkersPerJob: 3, FailuresPerJob: 6, Window: 30 * time.Minute, Hold: 5 * time.Minute, MaxHold: 4 * time.Hour}
}

// WorkerRecord is what counts against one worker.
type WorkerRecord struct {
	Worker model.WorkerID
	// Failed are the distinct jobs that failed lately, oldest first.
	Failed []Failure
	// Until is the end of the quarantine; zero outside of one.
	Until time.Time
	// Rounds counts quarantines without a success since.
	Rounds int
	// Probing is set while the worker has not yet proved itself after one.
	Probing bool
}

// Failure is one job's failure on a worker.
type Failure struct {
	Job  model.JobID
	Time time.Time
}

// JobRecord is what counts against one job.
type JobRecord struct {
	Job     model.JobID
	Workers []model.WorkerID
	// Failures counts all failures, also on the same worker.
	Failures int
}

// State is the tracker's whole state, sorted.
type State struct {
	Workers []WorkerRecord
	Jobs    []JobRecord
}

// Tracker counts failures. It is not safe for concurrent use.
type Tracker struct {
	settings Settings
	workers  map[model.WorkerID]*WorkerRecord
	jobs     map[model.JobID]*JobRecord
}

// NewTracker returns a tracker with an earlier state.
func NewTracker(settings Settings, state State) *Tracker {
	t := &Tracker{settings: settings, workers: map[model.WorkerID]*WorkerRecord{}, jobs: map[model.JobID]*JobRecord{}}
	for _, w := range state.Workers {
		w.Failed = slices.Clone(w.Failed)
		t.workers[w.Worker] = &w
	}
	for _, j := range state.Jobs {
		j.Workers = slices.Clone(j.Workers)
		t.jobs[j.Job] = &j
	}
	return t
}

// State returns a copy of the tracker's state.
func (t *Tracker) State() State {
	var s State
	for _, w := range t.workers {
		c := *w
		c.Failed = slices.Clone(w.Failed)
		s.Workers = append(s.Workers, c)
	}
	for _, j := range t.jobs {
		c := *j
		c.Workers = slices.Clone(j.Workers)
		s.Jobs = append(s.Jobs, c)
	}
	slices.SortFunc(s.Workers, func(a, b WorkerRecord) int { return cmp.Compare(a.Worker, b.Worker) })
	slices.SortFunc(s.Jobs, func(a, b JobRecord) int { return cmp.Compare(a.Job, b.Job) })
	return s
}

// Verdict is what follows from a failure.
type Verdict struct {
	// Quarantined is set when the worker was put in quarantine by this failure.
	Quarantined bool
	Until       time.Time
	// Park is set when the job failed on too many workers.
	Park bool
}

// Failed counts a job's failure on a worker.
func (t *Tracker) Failed(now time.Time, worker model.WorkerID, job model.JobID) Verdict {
	var v Verdict
	j := t.jobs[job]
	if j == nil {
		j = &JobRecord{Job: job}
		t.jobs[job] = j
	}
	if !slices.Contains(j.Workers, worker) {
		j.Workers = append(j.Workers, worker)
	}
	j.Failures++
	v.Park = len(j.Workers) >= t.settings.WorkersPerJob || j.Failures >= t.settings.FailuresPerJob
	w := t.workers[worker]
	if w == nil {
		w = &WorkerRecord{Worker: worker}
		t.workers[worker] = w
	}
	w.Failed = slices.DeleteFunc(w.Failed, func(f Failure) bool {
		return f.Job == job || now.Sub(f.Time) > t.settings.Window
	})
	w.Failed = append(w.Failed, Failure{Job: job, Time: now})
	if !now.Before(w.Until) && (w.Probing || len(w.Failed) >= t.settings.JobsPerWorker) {
		w.Until = now.Add(min(t.settings.Hold<<min(w.Rounds, 16), t.settings.MaxHold))
		w.Rounds++
		w.Probing = true
		v.Quarantined = true
		v.Until = w.Until
	}
	return v
}

// Succeeded clears a worker on which a job ran to its end.
func (t *Tracker) Succeeded(worker model.WorkerID) { delete(t.workers, worker) }

// JobEnded forgets a job.
func (t *Tracker) JobEnded(job model.JobID) { delete(t.jobs, job) }

// InQuarantine reports whether a worker is in quarantine.
func (t *Tracker) InQuarantine(now time.Time, worker model.WorkerID) bool {
	w := t.workers[worker]
	return w != nil && now.Before(w.Until)
}

// Probing reports whether a worker may get one job at a time only.
func (t *Tracker) Probing(worker model.WorkerID) bool {
	w := t.workers[worker]
	return w != nil && w.Probing
}

// Released returns the workers whose quarantine ended at or before now and after since.
func (t *Tracker) Released(since, now time.Time) []model.WorkerID {
	var out []model.WorkerID
	for id, w := range t.workers {
		if w.Until.After(since) && !w.Until.After(now) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// FailedOn returns the workers that a job failed on.
func (t *Tracker) FailedOn(job model.JobID) []model.WorkerID {
	if j := t.jobs[job]; j != nil {
		return j.Workers
	}
	return nil
}
