package dispatch

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/quarantine"
)

// Distrust is what the scheduler holds against workers after failures and stalls. Load
// pattern: some workers fail each task that they start, for seconds, while owners change;
// a successor without it tries each of these workers again.
type Distrust struct {
	Workers []distrustedWorker `codec:"w,omitempty"`
	Jobs    []failedJob        `codec:"j,omitempty"`
}

// distrustedWorker is a worker with the times, on the store's clock, of its struct.
type distrustedWorker struct {
	Host               string       `codec:"h"`
	AvoidUntilMS       int64        `codec:"a,omitempty"`
	SuspectUntilMS     int64        `codec:"s,omitempty"`
	FastFailureUntilMS int64        `codec:"f,omitempty"`
	QuarantinedMS      int64        `codec:"q,omitempty"`
	QuarantineUntilMS  int64        `codec:"u,omitempty"`
	Rounds             int          `codec:"r,omitempty"`
	Probing            bool         `codec:"p,omitempty"`
	Failed             []jobFailure `codec:"j,omitempty"`
}

type jobFailure struct {
	Job  model.JobID `codec:"j"`
	AtMS int64       `codec:"t"`
}

// failedJob is a job with the workers on which a task of it failed.
type failedJob struct {
	Job      model.JobID      `codec:"j"`
	Workers  []model.WorkerID `codec:"w"`
	Failures int              `codec:"n"`
}

// Limits of the records, which share the row with other ones. Those beyond are left out.
const (
	maxDistrustedWorkers  = 128
	maxFailuresPerWorker  = 4
	maxFailedJobs         = 64
	maxWorkersOfFailedJob = 16
	maxQuarantineRounds   = 16
)

// distrust returns what still counts at the time, nil if nothing does.
func (c *Core) distrust(now Now) *Distrust {
	records := c.quarantine.State()
	byWorker := make(map[model.WorkerID]*quarantine.WorkerRecord, len(records.Workers))
	for i := range records.Workers {
		byWorker[records.Workers[i].Worker] = &records.Workers[i]
	}
	var out Distrust
	for _, w := range c.sortedWorkers() {
		d := distrustedWorker{Host: w.Host}
		for _, until := range []struct{ of, to *int64 }{
			{&w.avoidUntilMS, &d.AvoidUntilMS}, {&w.suspectUntilMS, &d.SuspectUntilMS}, {&w.fastFailureUntilMS, &d.FastFailureUntilMS},
		} {
			if *until.of > now.StoreMS {
				*until.to = *until.of
			}
		}
		counts := d.AvoidUntilMS+d.SuspectUntilMS+d.FastFailureUntilMS > 0
		if r := byWorker[w.Worker]; r != nil && d.addFailures(now, r, c.settings.Quarantine.Window) {
			d.QuarantinedMS, counts = w.quarantinedMS, true
		}
		if counts && len(out.Workers) < maxDistrustedWorkers {
			out.Workers = append(out.Workers, d)
		}
	}
	for _, r := range records.Jobs {
		if c.jobs[r.Job] != nil && len(out.Jobs) < maxFailedJobs {
			out.Jobs = append(out.Jobs, failedJob{r.Job, r.Workers[:min(len(r.Workers), maxWorkersOfFailedJob)], r.Failures})
		}
	}
	if len(out.Workers)+len(out.Jobs) == 0 {
		return nil
	}
	return &out
}

// addFailures adds the failures on the worker that are within the window, and its
// quarantine. It reports whether any of them counts.
func (d *distrustedWorker) addFailures(now Now, r *quarantine.WorkerRecord, window time.Duration) bool {
	for _, f := range r.Failed[max(0, len(r.Failed)-maxFailuresPerWorker):] {
		if now.time().Sub(f.Time) <= window {
			d.Failed = append(d.Failed, jobFailure{f.Job, f.Time.UnixMilli()})
		}
	}
	if r.Probing {
		d.QuarantineUntilMS, d.Rounds, d.Probing = r.Until.UnixMilli(), min(r.Rounds, maxQuarantineRounds), true
	}
	return r.Probing || len(d.Failed) > 0
}

// restoreDistrust takes over what a previous owner held against workers and jobs that are
// known. No time reaches further than it could have been set now.
func (c *Core) restoreDistrust(now Now, row *Distrust) {
	until := func(ms int64, longest time.Duration) int64 { return min(ms, now.StoreMS+longest.Milliseconds()) }
	state := quarantine.State{}
	for _, d := range row.Workers[:min(len(row.Workers), maxDistrustedWorkers)] {
		w := c.workers[d.Host]
		if w == nil || w.Worker == "" {
			continue
		}
		w.avoidUntilMS = until(d.AvoidUntilMS, avoidAfterStall)
		w.suspectUntilMS, w.fastFailureUntilMS = until(d.SuspectUntilMS, suspectDuration), until(d.FastFailureUntilMS, suspectDuration)
		w.quarantinedMS = min(d.QuarantinedMS, now.StoreMS)
		r := quarantine.WorkerRecord{Worker: w.Worker}
		if d.Probing {
			r.Probing, r.Rounds = true, min(max(d.Rounds, 0), maxQuarantineRounds)
			r.Until = time.UnixMilli(until(d.QuarantineUntilMS, c.settings.Quarantine.MaxDuration))
		}
		for _, f := range d.Failed {
			r.Failed = append(r.Failed, quarantine.Failure{Job: f.Job, Time: time.UnixMilli(min(f.AtMS, now.StoreMS))})
		}
		if r.Probing || len(r.Failed) > 0 {
			state.Workers = append(state.Workers, r)
		}
	}
	for _, f := range row.Jobs[:min(len(row.Jobs), maxFailedJobs)] {
		if c.jobs[f.Job] != nil {
			state.Jobs = append(state.Jobs, quarantine.JobRecord{Job: f.Job, Workers: f.Workers, Failures: f.Failures})
		}
	}
	c.quarantine = quarantine.NewTracker(c.settings.Quarantine, state)
}
