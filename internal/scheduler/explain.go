package scheduler

import (
	"time"

	"dragonflyyard/internal/model"
)

// Explain returns what was decided about a job, oldest first, in sentences;
// false when the job is not known.
func (c *Core) Explain(id model.JobID) ([]string, bool) {
	j := c.jobs[id]
	if j == nil {
		return nil, false
	}
	var out []string
	for _, e := range j.History {
		out = append(out, e.Time.UTC().Format(time.RFC3339Nano)+" "+e.Text)
	}
	if j.Waiting != "" {
		out = append(out, "it waits: "+j.Waiting)
	}
	return out, true
}

// Job returns a copy of a job's state; false when the job is not known.
func (c *Core) Job(id model.JobID) (JobState, bool) {
	j := c.jobs[id]
	if j == nil {
		return JobState{}, false
	}
	return *j, true
}

// rememberEnded keeps an ended job for Explain.
func (c *Core) rememberEnded(*JobState) {}
