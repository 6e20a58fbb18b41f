package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/storeapi"
)

// stateInDoubt is the state of a job whose submission is in doubt.
const stateInDoubt = "in_doubt"

// doubtfulRetry is the interval at which the row of a doubtful job is written
// again.
const doubtfulRetry = time.Second

// doubtfulJob is a submitted job whose row may or may not be written, since the
// answer of the table service was lost. Reading that the row is absent proves
// nothing, as a frozen service may write it later. So the owner writes it again
// until the service says that it is there, and the job then runs like any
// other. A successor needs none of this: the row checks the owner's epoch, so
// what the successor does not find when it begins is never written.
type doubtfulJob struct {
	job       model.Job
	nextTry   time.Time
	cancelled bool
}

// noteSubmitted takes the result of a submission's write in. It returns false
// while the result is not known.
func (s *Scheduler) noteSubmitted(result rowResult) bool {
	id := result.write.row.Job.ID
	doubtful, wasDoubtful := s.doubtful[id]
	switch {
	case result.err == nil && !s.state.isDormant(s.p.Now()):
		delete(s.doubtful, id)
		s.step(scheduler.Submit{Job: result.write.row.Job})
		if wasDoubtful && doubtful.cancelled {
			s.step(scheduler.Cancel{IDs: []model.JobID{id}})
		}
		return true
	case result.err != nil && (result.found != nil || errors.Is(result.err, storeapi.ErrConflict)):
		delete(s.doubtful, id)
		return true
	case errors.Is(result.err, storeapi.ErrUnavailable) && !wasDoubtful:
		return true
	default:
		if !wasDoubtful {
			doubtful = &doubtfulJob{job: result.write.row.Job}
			s.doubtful[id] = doubtful
		}
		doubtful.nextTry = s.p.Now().Add(doubtfulRetry)
		return false
	}
}

// retryDoubtful writes the rows of doubtful jobs again.
func (s *Scheduler) retryDoubtful(now time.Time) {
	if _, holds := s.state.holdsLease(now); !holds || !s.ready {
		return
	}
	for id, doubtful := range s.doubtful {
		if now.Before(doubtful.nextTry) || len(s.rows.queue[id]) > 0 {
			continue
		}
		doubtful.nextTry = now.Add(doubtfulRetry)
		s.rows.write(rowWrite{row: scheduler.JobRow{Job: doubtful.job}, kind: rowSubmit})
	}
}

func (d *doubtfulJob) status() operatorapi.JobStatus {
	return operatorapi.JobStatus{
		ID: d.job.ID, Account: d.job.Account, State: stateInDoubt, Tasks: d.job.Shape.Tasks, Submitted: d.job.Submitted,
	}
}

// explanation says in words what is known of a doubtful job.
func (d *doubtfulJob) explanation() operatorapi.Explanation {
	line := "the table service did not answer when the job's row was written; it is written again until the service confirms it, and the job then runs; if the scheduler's owner changes before that, the job is either known to the next owner or was never submitted"
	lines := []string{line}
	if d.cancelled {
		lines = append(lines, "it is cancelled as soon as its row is confirmed")
	}
	return operatorapi.Explanation{Job: d.status(), Lines: lines}
}

// allJobs returns the states of all jobs in the order of their IDs, those of
// doubtful jobs included.
func (s *Scheduler) allJobs() []operatorapi.JobStatus {
	var all []operatorapi.JobStatus
	for _, j := range s.core.Snapshot().Jobs {
		all = append(all, jobStatus(j))
	}
	for id, doubtful := range s.doubtful {
		if _, known := s.core.Job(id); !known {
			all = append(all, doubtful.status())
		}
	}
	slices.SortFunc(all, func(a, b operatorapi.JobStatus) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}
