package scheduler

import (
	"cmp"
	"slices"
	"time"

	"dragonflyyard/internal/model"
)

// rankClass is the priority class of a waiting job; it takes precedence over
// the job's time.
type rankClass int

// Priority classes of waiting jobs. Jobs with a deadline and jobs that were
// preempted or moved rank before normal ones.
const (
	classUrgent rankClass = iota
	classElevated
	classNormal
)

// rank is the sort key of the waiting jobs of one account.
type rank struct {
	class rankClass
	// keyMS is the latest start time of a job with a deadline, otherwise the
	// time of submission plus a multiple of the expected run time, in Unix
	// milliseconds.
	keyMS int64
	job   model.JobID
}

func compareRank(a, b rank) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.keyMS, b.keyMS), cmp.Compare(a.job, b.job))
}

// accountState is the owner's state of one client account.
type accountState struct {
	id model.ClientAccountID
	// Borrowed is the number of accelerators that the account's borrowed work
	// holds.
	Borrowed int
	queue    []rank
}

// runTimeAging is how long shorter jobs may overtake a job, as a multiple of
// its expected run time, at full completion-time weight.
const runTimeAging = 1

func (c *Core) account(id model.ClientAccountID) *accountState {
	a := c.accounts[id]
	if a == nil {
		a = &accountState{id: id}
		c.accounts[id] = a
	}
	return a
}

// weight returns an account's configured weight, at least 1.
func (c *Core) weight(id model.ClientAccountID) int {
	if c.config == nil {
		return 1
	}
	return max(1, c.config.Accounts[id].Weight)
}

// share is the borrowed accelerators that an account holds per unit of weight.
func (c *Core) share(id model.ClientAccountID) float64 {
	return float64(c.account(id).Borrowed) / float64(c.weight(id))
}

func (c *Core) weights() model.PolicyWeights {
	if c.config == nil {
		return model.PolicyWeights{}
	}
	return c.config.Weights
}

// expectedRun predicts a job's total run time.
func (c *Core) expectedRun(job model.Job) time.Duration {
	if c.settings.Policy.DeclaredRunTimes {
		return job.DeclaredRunTime
	}
	return c.predictor.Predict(job)
}

// expectedRemaining predicts the remaining run time of a job, measured from now
// or from its next start.
func (c *Core) expectedRemaining(now time.Time, j *JobState) time.Duration {
	rest := c.expectedRun(j.Job) - time.Duration(j.DoneMS)*time.Millisecond
	if j.StartedAt.IsZero() || !j.active() {
		return max(rest, time.Second)
	}
	ran := now.Sub(j.StartedAt)
	if rest > ran {
		return rest - ran
	}
	// A job that overruns its prediction is expected to need another half of
	// its run time so far.
	return ran/2 + time.Second
}

func (c *Core) rankOf(j *JobState) rank {
	r := rank{class: classNormal, keyMS: j.Job.Submitted.UnixMilli(), job: j.Job.ID}
	if c.settings.Policy.FirstInFirstOut {
		return r
	}
	expected := c.expectedRun(j.Job)
	switch {
	case j.Job.Urgent:
		r.class = classUrgent
	case j.Moved:
		r.class = classElevated
	case !j.Job.Deadline.IsZero():
		r.class = classElevated
		r.keyMS = j.Job.Deadline.Add(-expected).UnixMilli()
	default:
		r.keyMS += int64(runTimeAging * c.weights().CompletionTime * float64(expected.Milliseconds()))
	}
	return r
}

func (c *Core) enqueue(j *JobState) {
	j.rank = c.rankOf(j)
	a := c.account(j.Job.Account)
	at, found := slices.BinarySearchFunc(a.queue, j.rank, compareRank)
	if !found {
		a.queue = slices.Insert(a.queue, at, j.rank)
	}
	j.aged = false
	if c.isLarge(j) {
		c.largeQueued[j.Job.ID] = struct{}{}
	}
	if j.Job.Capacity == model.CapacityGuaranteed {
		at, found = slices.BinarySearchFunc(c.claims, j.rank, compareRank)
		if !found {
			c.claims = slices.Insert(c.claims, at, j.rank)
		}
	}
}

func (c *Core) dequeue(j *JobState) {
	delete(c.largeQueued, j.Job.ID)
	a := c.account(j.Job.Account)
	if at, found := slices.BinarySearchFunc(a.queue, j.rank, compareRank); found {
		a.queue = slices.Delete(a.queue, at, at+1)
	}
	if at, found := slices.BinarySearchFunc(c.claims, j.rank, compareRank); found {
		c.claims = slices.Delete(c.claims, at, at+1)
	}
}
