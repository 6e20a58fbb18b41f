package scheduler

import (
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
)

// ErrRefused marks the errors of Admit.
var ErrRefused = errors.New("job refused")

// Admit returns nil or the reason why a job is refused.
func (c *Core) Admit(job model.Job) error {
	if job.ID == "" || job.Shape.Tasks < 1 || job.Shape.Tasks > model.MaxGangSize {
		return errors.Wrapf(ErrRefused, "a gang has 1 to %d tasks", model.MaxGangSize)
	}
	return nil
}

// configure takes a newer configuration over.
func (c *Core) configure(_ time.Time, doc *model.ConfigDocument) {
	if c.config != nil && doc.Version <= c.config.Version {
		return
	}
	c.config = doc
	c.scheduleDue = true
}

// schedule starts what fits.
func (c *Core) schedule(now time.Time) {
	for _, j := range c.inPhase(PhaseQueued) {
		if now.Before(j.NotBefore) {
			continue
		}
		if workers := c.firstFit(now, j); workers != nil {
			c.beginAttempt(now, j, workers)
		}
	}
}

func (c *Core) firstFit(now time.Time, j *JobState) []model.WorkerID {
	var out []model.WorkerID
	for _, id := range c.sortedWorkers() {
		w := c.workers[id]
		if !w.Up || now.Before(w.AvoidUntil) || c.config != nil && c.config.Zones[w.Worker.Zone] == model.ZoneOut {
			continue
		}
		used := w.Used.Add(j.Job.Shape.PerTask)
		for len(out) < j.Job.Shape.Tasks && used.Fits(w.Worker.Capacity) {
			out = append(out, id)
			used = used.Add(j.Job.Shape.PerTask)
		}
	}
	if len(out) < j.Job.Shape.Tasks {
		return nil
	}
	return out
}
