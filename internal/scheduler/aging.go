package scheduler

import (
	"cmp"
	"slices"
	"time"

	"dragonflyyard/internal/model"
)

// Large jobs that have waited long for their length go first, over all accounts.
// What they have waited for is measured by their slowdown, so that a short job
// overtakes a long one that has waited as long.

// agingInterval is the time between two searches for such jobs.
const agingInterval = time.Second

// maxAgedTries bounds the aged jobs that one pass looks at.
const maxAgedTries = 8

// minExpectedRun keeps the slowdown of very short jobs from growing at once.
const minExpectedRun = time.Minute

// aged is a waiting job that goes before the order of the accounts.
type aged struct {
	job      model.JobID
	slowdown float64
}

// slowdown is the time from a job's submission to its expected end, if it runs
// from now on, over its expected run time.
func (c *Core) slowdown(now time.Time, j *JobState) float64 {
	run := max(minExpectedRun, c.expectedRun(j.Job))
	return (now.Sub(j.Job.Submitted) + c.expectedRest(now, j)).Seconds() / run.Seconds()
}

// refreshAged finds the large jobs that wait beyond the limit, the slowest first.
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
			c.aged = append(c.aged, aged{id, s})
		}
	}
	slices.SortFunc(c.aged, func(a, b aged) int {
		return cmp.Or(cmp.Compare(b.slowdown, a.slowdown), cmp.Compare(a.job, b.job))
	})
}

// placeAged starts aged jobs, or holds capacity back for them.
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
		if tries++; tries > maxAgedTries || c.starts <= 0 {
			return
		}
		c.tryBorrowed(now, j)
	}
}

// yieldsBySlowdown reports whether a large job yields to another one that has
// waited much longer for its length. Stopping by slowdown cannot go back and
// forth: the factor between both has to be reached anew.
func (c *Core) yieldsBySlowdown(now time.Time, v, waiting *JobState) bool {
	return c.isLarge(v) && v.Job.CanCheckpoint && v.Preemptions < c.settings.MaxPreemptions &&
		c.slowdown(now, waiting) > c.settings.YieldSlowdown*c.slowdown(now, v)
}
