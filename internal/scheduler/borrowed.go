package scheduler

import (
	"cmp"
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
)

// maxJobsPerAccount limits the waiting jobs of an account that one scheduling
// pass tries.
const maxJobsPerAccount = 64

// backfillSafetyFactor multiplies the expected remaining run time of a job to
// decide whether it certainly ends before reserved capacity is needed.
const backfillSafetyFactor = 1.5

// blockedKey identifies a shape that fits nowhere until capacity grows.
type blockedKey struct {
	shape model.Shape
	// mayDelayReservation is set for jobs that may not use reserved capacity.
	mayDelayReservation bool
}

// accountTurn is an account's position in one scheduling pass: its share and
// the index of its next job to try.
type accountTurn struct {
	account *accountState
	next    int
	share   float64
}

// placeBorrowed starts waiting jobs on borrowed capacity. Apart from urgent and
// aged jobs, the next job is always taken from the account with the least
// borrowed capacity per unit of weight.
func (c *Core) placeBorrowed(now time.Time) {
	if c.settings.Policy.FirstInFirstOut {
		c.placeBySubmission(now)
		return
	}
	c.placeUrgent(now)
	c.placeAged(now)
	turns := c.turns()
	for len(turns) > 0 && c.startsLeft > 0 {
		t := &turns[0]
		if t.next >= min(len(t.account.queue), maxJobsPerAccount) {
			turns = turns[1:]
			continue
		}
		j := c.jobs[t.account.queue[t.next].job]
		if !c.tryBorrowed(now, j) {
			t.next++
			continue
		}
		t.share = c.share(t.account.id)
		slices.SortStableFunc(turns, compareTurn)
	}
}

// placeUrgent starts urgent jobs before all others. The limit on attempts per
// tick does not apply to them.
func (c *Core) placeUrgent(now time.Time) {
	for _, t := range c.turns() {
		for _, r := range slices.Clone(t.account.queue[:min(len(t.account.queue), maxJobsPerAccount)]) {
			if r.class != classUrgent {
				break
			}
			c.tryBorrowed(now, c.jobs[r.job])
		}
	}
}

func (c *Core) turns() []accountTurn {
	var turns []accountTurn
	for _, a := range c.accounts {
		if len(a.queue) > 0 {
			turns = append(turns, accountTurn{account: a, share: c.share(a.id)})
		}
	}
	slices.SortFunc(turns, compareTurn)
	return turns
}

func compareTurn(a, b accountTurn) int {
	return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(a.account.id, b.account.id))
}

// tryBorrowed starts a job on free capacity or by preemption, or makes a
// reservation for it. It reports whether the job was started.
func (c *Core) tryBorrowed(now time.Time, j *JobState) bool {
	if now.Before(j.NotBefore) {
		return false
	}
	if r := c.reservations[j.Job.ID]; r != nil {
		return c.tryReserved(now, j, r)
	}
	if c.placeWithPinned(now, j) {
		return true
	}
	mayDelayReservation := c.mayDelayReservation(now, j)
	key := blockedKey{j.Job.Shape, mayDelayReservation}
	if _, blocked := c.blocked[key]; !blocked {
		index := c.capacity.free
		if mayDelayReservation {
			index = c.capacity.unreserved
		}
		if workers, why := c.bestPlace(index, j); workers != nil {
			c.startBorrowed(now, j, workers, why)
			return true
		}
		c.blocked[key] = struct{}{}
	}
	if c.mayPreempt(now, j) && c.preemptFor(now, j) {
		return true
	}
	c.reserveFor(now, j)
	return false
}

// bestPlace returns the best-fit placement for a job and the reason for the
// choice, or nil if none fits. Where possible, it keeps work that cannot
// checkpoint apart from preemptible work, and the job off workers on which it
// failed.
func (c *Core) bestPlace(index *placement.Index, j *JobState) ([]model.WorkerID, string) {
	r := c.request(j)
	if limit, why := c.preferredWorkers(j); limit != nil {
		apart := r
		apart.Limit = minLimit(r.Limit, limit)
		if workers := index.Place(apart); workers != nil {
			return workers, why
		}
	}
	if workers := index.Place(r); workers != nil || r.Limit == nil {
		return workers, "the fullest place that takes it"
	}
	if c.capacity.total.Place(r) != nil {
		// Other workers could run the job, so it waits for one of them: a
		// second failure on the same worker would not show whether the job or
		// the worker is at fault.
		return nil, ""
	}
	r.Limit = nil
	return index.Place(r), "the fullest place that takes it; only workers that it failed on could ever take it"
}

// failedOn returns the workers on which a job failed and which it must avoid.
func (c *Core) failedOn(j *JobState) []model.WorkerID {
	if c.settings.Policy.NoQuarantine {
		return nil
	}
	return c.tracker.FailedOn(j.Job.ID)
}

// mayPreempt reports whether a waiting job may preempt borrowed work now: an
// urgent job at once, a large job after Settings.LargePreemptionDelay.
func (c *Core) mayPreempt(now time.Time, j *JobState) bool {
	if now.Before(j.preemptRetryAt) {
		return false
	}
	if j.Job.Urgent {
		return true
	}
	return !c.settings.Policy.NoReservations && c.isLarge(j) &&
		now.Sub(j.PhaseSince) >= c.settings.LargePreemptionDelay
}

// mayDelayReservation reports whether a job might still run when reserved
// capacity is needed, and could not be preempted then.
func (c *Core) mayDelayReservation(now time.Time, j *JobState) bool {
	if c.nextShadow.IsZero() {
		return false
	}
	if c.yieldsToLarge(j) {
		return false
	}
	rest := time.Duration(backfillSafetyFactor * float64(c.expectedRemaining(now, j)))
	return now.Add(rest).After(c.nextShadow)
}

func (c *Core) request(j *JobState) placement.Request {
	r := placement.Request{Shape: j.Job.Shape}
	if c.settings.Policy.FirstFit {
		r.Fit = placement.FirstFit
	}
	if failedOn := c.failedOn(j); len(failedOn) > 0 {
		r.Limit = excluding(failedOn, unlimited)
	}
	return r
}

func (c *Core) startBorrowed(now time.Time, j *JobState, workers []model.WorkerID, why string) {
	c.dropReservation(j.Job.ID)
	j.Class = model.CapacityBorrowed
	j.Cell = ""
	c.startsLeft--
	c.beginAttempt(now, j, workers, why)
}

// placeBySubmission places jobs in order of submission over all accounts, as
// the baseline policies do.
func (c *Core) placeBySubmission(now time.Time) {
	var ranks []rank
	for _, a := range c.accounts {
		ranks = append(ranks, a.queue...)
	}
	slices.SortFunc(ranks, compareRank)
	for _, r := range ranks {
		j := c.jobs[r.job]
		key := blockedKey{shape: j.Job.Shape}
		if _, blocked := c.blocked[key]; !blocked && !now.Before(j.NotBefore) && c.startsLeft > 0 {
			if workers := c.capacity.free.Place(c.request(j)); workers != nil {
				c.startBorrowed(now, j, workers, "the first place that takes it")
				continue
			}
			c.blocked[key] = struct{}{}
		}
		if c.settings.Policy.StrictOrder {
			return
		}
	}
}
