package scheduler

import (
	"cmp"
	"slices"
	"time"

	"dragonflyyard/internal/model"
)

// Large jobs whose expected slowdown exceeds Settings.AgedSlowdown are placed
// before the account order applies, across all accounts. Slowdown is relative
// to the run time, so a short job overtakes a long one that has waited equally
// long.

// agingInterval is the minimum time between two scans for aged jobs.
const agingInterval = time.Second

// maxAgedPerPass limits the aged jobs that one scheduling pass tries.
const maxAgedPerPass = 8

// minExpectedRun is the lower bound of the run time in the slowdown: without it
// the slowdown of a very short job would exceed the limit almost at once.
const minExpectedRun = time.Minute

// agedJob is a waiting job that is placed before the account order applies.
type agedJob struct {
	job      model.JobID
	slowdown float64
}

// slowdown is the time from a job's submission to its expected end, if it
// starts or continues to run now, divided by its expected run time.
func (c *Core) slowdown(now time.Time, j *JobState) float64 {
	run := max(minExpectedRun, c.expectedRun(j.Job))
	return (now.Sub(j.Job.Submitted) + c.expectedRemaining(now, j)).Seconds() / run.Seconds()
}

// refreshAged recomputes the list of aged jobs, highest slowdown first.
func (c *Core) refreshAged(now time.Time) {
	if now.Sub(c.agedAt) < agingInterval {
		return
	}
	c.agedAt = now
	c.aged = c.aged[:0]
	for id := range c.largeQueued {
		j := c.jobs[id]
		s := c.slowdown(now, j)
		j.aged = s > c.settings.AgedSlowdown
		if j.aged {
			c.aged = append(c.aged, agedJob{id, s})
		}
	}
	slices.SortFunc(c.aged, func(a, b agedJob) int {
		return cmp.Or(cmp.Compare(b.slowdown, a.slowdown), cmp.Compare(a.job, b.job))
	})
}

// placeAged starts aged jobs or makes reservations for them.
func (c *Core) placeAged(now time.Time) {
	if c.settings.Policy.NoReservations {
		return
	}
	c.refreshAged(now)
	tries := 0
	for _, a := range c.aged {
		j := c.jobs[a.job]
		if j == nil || j.Phase != PhaseQueued {
			continue
		}
		if tries++; tries > maxAgedPerPass || c.startsLeft <= 0 {
			return
		}
		c.tryBorrowed(now, j)
	}
}

// yieldsBySlowdown reports whether a running large job may be preempted by a
// waiting one whose slowdown is higher by the factor Settings.YieldSlowdown.
// Two jobs cannot preempt each other in turn without that factor being exceeded
// again each time.
func (c *Core) yieldsBySlowdown(now time.Time, v, waiting *JobState) bool {
	return c.isLarge(v) && v.Job.CanCheckpoint && v.Preemptions < c.settings.MaxPreemptions &&
		c.slowdown(now, waiting) > c.settings.YieldSlowdown*c.slowdown(now, v)
}
