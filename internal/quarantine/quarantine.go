// Package quarantine tells faulty workers from faulty jobs. A worker on which several
// distinct jobs failed is quarantined: it gets no tasks for a limited time, and then
// one job at a time as a probe. A job that failed on several distinct workers is
// parked: it is not tried again.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"dragonflyyard/internal/model"
)

// Settings are the limits of the tracker.
type Settings struct {
	// JobsPerWorker is the number of distinct failed jobs at which a worker is
	// quarantined.
	JobsPerWorker int
	// WorkersPerJob is the number of distinct workers with failures of a job at which
	// the job is parked.
	WorkersPerJob int
	// FailuresPerJob is the total number of failures at which a job is parked. It
	// applies to jobs that find fewer than WorkersPerJob workers.
	FailuresPerJob int
	// Window is the time for which a failure counts against a worker.
	Window time.Duration
	// InitialDuration is the duration of the first quarantine. It doubles with each
	// further one, up to MaxDuration, until a job succeeds on the worker.
	InitialDuration time.Duration
	MaxDuration     time.Duration
}

// DefaultSettings returns the default limits.
func DefaultSettings() Settings {
	return Settings{JobsPerWorker: 3, WorkersPerJob: 3, FailuresPerJob: 6, Window: 30 * time.Minute, InitialDuration: 5 * time.Minute, MaxDuration: 4 * time.Hour}
}

// WorkerRecord is the failure record of one worker since the last success on it.
type WorkerRecord struct {
	Worker model.WorkerID
	// Failed holds the last failure of each distinct job, oldest first, of those
	// within Settings.Window at the time of the last failure.
	Failed []Failure
	// Until is the end of the last quarantine; zero if there was none.
	Until time.Time
	// Rounds is the number of consecutive quarantines without a success.
	Rounds int
	// Probing is set from the start of a quarantine until a job succeeds.
	Probing bool
}

// Failure is the failure of a job on a worker.
type Failure struct {
	Job  model.JobID
	Time time.Time
}

// JobRecord is the failure record of one job.
type JobRecord struct {
	Job model.JobID
	// Workers are the distinct workers on which the job failed.
	Workers []model.WorkerID
	// Failures counts all failures, including repeated ones on one worker.
	Failures int
}

// State is the complete state of a Tracker, sorted by worker ID and by job ID.
type State struct {
	Workers []WorkerRecord
	Jobs    []JobRecord
}

// Tracker counts the failures of jobs on workers. It is not safe for concurrent use.
type Tracker struct {
	settings Settings
	workers  map[model.WorkerID]*WorkerRecord
	jobs     map[model.JobID]*JobRecord
}

// NewTracker returns a tracker restored from an earlier state, of which it keeps a copy.
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

// FailureOutcome is the consequence of a failure for the worker and the job.
type FailureOutcome struct {
	// Quarantined is set if this failure put the worker into quarantine.
	Quarantined bool
	// Until is the end of that quarantine; zero if Quarantined is not set.
	Until time.Time
	// Park is set if the job must be parked: it failed on too many workers, or too often.
	Park bool
}

// Failed records a failure of a job on a worker and returns the consequence. A
// failure during a quarantine neither extends it nor starts another one.
func (t *Tracker) Failed(now time.Time, worker model.WorkerID, job model.JobID) FailureOutcome {
	var outcome FailureOutcome
	j := t.jobs[job]
	if j == nil {
		j = &JobRecord{Job: job}
		t.jobs[job] = j
	}
	if !slices.Contains(j.Workers, worker) {
		j.Workers = append(j.Workers, worker)
	}
	j.Failures++
	outcome.Park = len(j.Workers) >= t.settings.WorkersPerJob || j.Failures >= t.settings.FailuresPerJob
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
		w.Until = now.Add(min(t.settings.InitialDuration<<min(w.Rounds, 16), t.settings.MaxDuration))
		w.Rounds++
		w.Probing = true
		outcome.Quarantined = true
		outcome.Until = w.Until
	}
	return outcome
}

// Succeeded deletes the record of a worker on which a job completed.
func (t *Tracker) Succeeded(worker model.WorkerID) { delete(t.workers, worker) }

// JobEnded deletes the record of a job.
func (t *Tracker) JobEnded(job model.JobID) { delete(t.jobs, job) }

// InQuarantine reports whether a worker is in quarantine.
func (t *Tracker) InQuarantine(now time.Time, worker model.WorkerID) bool {
	w := t.workers[worker]
	return w != nil && now.Before(w.Until)
}

// Probing reports whether a worker may run only one job at a time: from the start of
// a quarantine until a job succeeds.
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

// FailedOn returns the distinct workers on which a job failed. The caller must not
// modify the result.
func (t *Tracker) FailedOn(job model.JobID) []model.WorkerID {
	if j := t.jobs[job]; j != nil {
		return j.Workers
	}
	return nil
}
