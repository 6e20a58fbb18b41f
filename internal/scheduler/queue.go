package scheduler

import (
	"cmp"
	"slices"
	"time"

	"dragonflyyard/internal/model"
)

// rankClass orders jobs before their time does.
type rankClass int

// Classes of waiting jobs. Jobs with a deadline and those that were stopped for
// others come before the rest.
const (
	classUrgent rankClass = iota
	classFirst
	classRest
)

// rank orders the waiting jobs of one account.
type rank struct {
	class rankClass
	// at is the latest start for jobs with a deadline, otherwise the time of
	// submission plus a multiple of the expected run time, in Unix milliseconds.
	at  int64
	job model.JobID
}

func compareRank(a, b rank) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.at, b.at), cmp.Compare(a.job, b.job))
}

// accountState is what the owner keeps of one client account.
type accountState struct {
	id model.ClientAccountID
	// Borrowed is how many accelerators the account's borrowed work holds.
	Borrowed int
	queue    []rank
}

// runTimeAging is how long a job may be passed by shorter ones, as a multiple
// of its expected run time, when completion time has the full weight.
const runTimeAging = 1

func (c *Core) account(id model.ClientAccountID) *accountState {
	a := c.accounts[id]
	if a == nil {
		a = &accountState{id: id}
		c.accounts[id] = a
	}
	return a
}

// weight returns an account's weight, at least 1.
func (c *Core) weight(id model.ClientAccountID) int {
	if c.config == nil {
		return 1
	}
	return max(1, c.config.Accounts[id].Weight)
}

// share is the borrowed capacity that an account holds for each unit of weight.
func (c *Core) share(id model.ClientAccountID) float64 {
	return float64(c.account(id).Borrowed) / float64(c.weight(id))
}

func (c *Core) weights() model.PolicyWeights {
	if c.config == nil {
		return model.PolicyWeights{}
	}
	return c.config.Weights
}

// expectedRun predicts a job's whole run time.
func (c *Core) expectedRun(job model.Job) time.Duration {
	if c.settings.Policy.DeclaredRunTimes {
		return job.DeclaredRunTime
	}
	return c.predictor.Predict(job)
}

// expectedRest predicts how long a job runs from now on if it runs.
func (c *Core) expectedRest(now time.Time, j *JobState) time.Duration {
	rest := c.expectedRun(j.Job) - time.Duration(j.DoneMS)*time.Millisecond
	if j.StartedAt.IsZero() || !j.active() {
		return max(rest, time.Second)
	}
	ran := now.Sub(j.StartedAt)
	if rest > ran {
		return rest - ran
	}
	// A job past its expected end is expected to run half as long again.
	return ran/2 + time.Second
}

func (c *Core) rankOf(j *JobState) rank {
	r := rank{class: classRest, at: j.Job.Submitted.UnixMilli(), job: j.Job.ID}
	if c.settings.Policy.FirstInFirstOut {
		return r
	}
	expected := c.expectedRun(j.Job)
	switch {
	case j.Job.Urgent:
		r.class = classUrgent
	case j.Moved:
		r.class = classFirst
	case !j.Job.Deadline.IsZero():
		r.class = classFirst
		r.at = j.Job.Deadline.Add(-expected).UnixMilli()
	default:
		r.at += int64(runTimeAging * c.weights().CompletionTime * float64(expected.Milliseconds()))
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
