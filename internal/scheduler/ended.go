package scheduler

import (
	"cmp"
	"slices"
	"time"

	"dragonflyyard/internal/model"
)

// EndedJob records how a job ended. It is kept for a while after the job's row
// is deleted, so that operators can query the outcome from a later owner too.
type EndedJob struct {
	Job     model.Job
	Attempt uint64
	// Phase is PhaseFinished or PhaseCancelled.
	Phase   Phase
	At      time.Time
	History []Explanation
}

// isTerminal reports whether a job in the phase never runs again.
func (p Phase) isTerminal() bool {
	return p == PhaseFinished || p == PhaseCancelled
}

// Ended returns how a job ended; false if it has not ended or is unknown.
func (c *Core) Ended(id model.JobID) (EndedJob, bool) {
	j := c.jobs[id]
	if j == nil || !j.Phase.isTerminal() {
		return EndedJob{}, false
	}
	return EndedJob{Job: j.Job, Attempt: j.Attempt, Phase: j.Phase, At: j.PhaseSince, History: slices.Clone(j.History)}, true
}

// dropEndedRows returns the rows of jobs that have not ended, and deletes the
// others. A row can exist beside the end of the same submission only if a
// decision row whose write was in doubt took effect after the job's row was
// deleted.
func (c *Core) dropEndedRows(rows []JobRow, ended []EndedJob) []JobRow {
	ends := make(map[model.JobID]EndedJob, len(ended))
	for _, e := range ended {
		ends[e.Job.ID] = e
	}
	return slices.DeleteFunc(slices.Clone(rows), func(row JobRow) bool {
		e, known := ends[row.Job.ID]
		if !known || !e.Job.Submitted.Equal(row.Job.Submitted) || row.Attempt > e.Attempt {
			return false
		}
		c.emit(DeleteRows{Jobs: []model.JobID{row.Job.ID}})
		return true
	})
}

// restoreEnded restores the jobs that ended under earlier owners, including
// ended jobs of the snapshot that have no row.
func (c *Core) restoreEnded(ended []EndedJob, snapshot *Snapshot) {
	all := slices.Clone(ended)
	if snapshot != nil {
		for _, j := range snapshot.Jobs {
			if j.Phase.isTerminal() {
				all = append(all, EndedJob{Job: j.Job, Attempt: j.Attempt, Phase: j.Phase, At: j.PhaseSince, History: j.History})
			}
		}
	}
	slices.SortFunc(all, func(a, b EndedJob) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	for _, e := range all {
		if c.jobs[e.Job.ID] != nil || !e.Phase.isTerminal() {
			continue
		}
		j := &JobState{Job: e.Job, Attempt: e.Attempt, Class: e.Job.Capacity, History: slices.Clone(e.History)}
		c.jobs[e.Job.ID] = j
		c.enter(e.At, j, e.Phase)
		c.retainEnded(j)
	}
}

// retainEnded keeps an ended job for Explain and discards the oldest ones
// beyond Settings.MaxEndedJobs.
func (c *Core) retainEnded(j *JobState) {
	c.ended = append(c.ended, j.Job.ID)
	for len(c.ended) > c.settings.MaxEndedJobs {
		old := c.ended[0]
		c.ended = c.ended[1:]
		delete(c.phases[c.jobs[old].Phase], old)
		delete(c.jobs, old)
	}
}
