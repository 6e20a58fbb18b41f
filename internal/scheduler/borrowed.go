package scheduler

import (
	"cmp"
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
)

// maxTriesPerAccount bounds the waiting jobs of an account that one pass looks at.
const maxTriesPerAccount = 64

// backfillSafety is how much longer than expected a job may run and still be
// sure to end before capacity is needed for a large one.
const backfillSafety = 1.5

// blockedKey names what does not fit at present.
type blockedKey struct {
	shape model.Shape
	// long jobs may not use what is held back for large ones.
	long bool
}

// turn is an account's place in one pass.
type turn struct {
	account *accountState
	next    int
	share   float64
}

// placeBorrowed starts waiting jobs on borrowed capacity, always for the
// account that holds the least of it for its weight.
func (c *Core) placeBorrowed(now time.Time) {
	if c.settings.Policy.FirstInFirstOut {
		c.placeInOrder(now)
		return
	}
	c.placeUrgent(now)
	c.placeAged(now)
	turns := c.turns()
	for len(turns) > 0 && c.starts > 0 {
		t := &turns[0]
		if t.next >= min(len(t.account.queue), maxTriesPerAccount) {
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

// placeUrgent starts urgent jobs ahead of all others. The bound on the attempts
// between two ticks holds the others back, not them.
func (c *Core) placeUrgent(now time.Time) {
	for _, t := range c.turns() {
		for _, r := range slices.Clone(t.account.queue[:min(len(t.account.queue), maxTriesPerAccount)]) {
			if r.class != classUrgent {
				break
			}
			c.tryBorrowed(now, c.jobs[r.job])
		}
	}
}

func (c *Core) turns() []turn {
	var turns []turn
	for _, a := range c.accounts {
		if len(a.queue) > 0 {
			turns = append(turns, turn{account: a, share: c.share(a.id)})
		}
	}
	slices.SortFunc(turns, compareTurn)
	return turns
}

func compareTurn(a, b turn) int {
	return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(a.account.id, b.account.id))
}

// tryBorrowed starts a job on free capacity, or holds capacity back for it.
func (c *Core) tryBorrowed(now time.Time, j *JobState) bool {
	if now.Before(j.NotBefore) {
		return false
	}
	if r := c.reservations[j.Job.ID]; r != nil {
		return c.tryReserved(now, j, r)
	}
	if c.joinPinned(now, j) {
		return true
	}
	long := c.isLong(now, j)
	key := blockedKey{j.Job.Shape, long}
	if _, blocked := c.blocked[key]; !blocked {
		index := c.books.free
		if long {
			index = c.books.open
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

// bestPlace returns the fullest place that takes a job and, in words, why it was
// chosen; nil when no place does. Where it can, it keeps work that cannot
// checkpoint apart from work that yields, and the job off workers that it failed on.
func (c *Core) bestPlace(index *placement.Index, j *JobState) ([]model.WorkerID, string) {
	r := c.request(j)
	if limit, why := c.segregate(j); limit != nil {
		apart := r
		apart.Limit = both(r.Limit, limit)
		if workers := index.Place(apart); workers != nil {
			return workers, why
		}
	}
	if workers := index.Place(r); workers != nil || r.Limit == nil {
		return workers, "the fullest place that takes it"
	}
	if c.books.fleet.Place(r) != nil {
		// Other workers could take it: it waits for them, since a job that fails
		// again on the same worker tells nothing about itself.
		return nil, ""
	}
	r.Limit = nil
	return index.Place(r), "the fullest place that takes it; only workers that it failed on could ever take it"
}

// failedOn returns the workers that a job is kept off.
func (c *Core) failedOn(j *JobState) []model.WorkerID {
	if c.settings.Policy.NoQuarantine {
		return nil
	}
	return c.tracker.FailedOn(j.Job.ID)
}

// mayPreempt reports whether borrowed work has to yield to a waiting job: to
// urgent work at once, to a large job after a while.
func (c *Core) mayPreempt(now time.Time, j *JobState) bool {
	if now.Before(j.preemptAt) {
		return false
	}
	if j.Job.Urgent {
		return true
	}
	return !c.settings.Policy.NoReservations && c.isLarge(j) &&
		now.Sub(j.PhaseSince) >= c.settings.LargePreemptionDelay
}

// isLong reports whether a job may be in the way when held back capacity is
// needed: it may still run then, and would not yield.
func (c *Core) isLong(now time.Time, j *JobState) bool {
	if c.nextShadow.IsZero() {
		return false
	}
	if c.isYielding(j) {
		return false
	}
	rest := time.Duration(backfillSafety * float64(c.expectedRest(now, j)))
	return now.Add(rest).After(c.nextShadow)
}

func (c *Core) request(j *JobState) placement.Request {
	r := placement.Request{Shape: j.Job.Shape}
	if c.settings.Policy.FirstFit {
		r.Fit = placement.FirstFit
	}
	if bad := c.failedOn(j); len(bad) > 0 {
		r.Limit = except(bad, unlimited)
	}
	return r
}

func (c *Core) startBorrowed(now time.Time, j *JobState, workers []model.WorkerID, why string) {
	c.dropReservation(j.Job.ID)
	j.Class = model.CapacityBorrowed
	j.Cell = ""
	c.starts--
	c.beginAttempt(now, j, workers, why)
}

// placeInOrder is the order of the baselines: by submission over all accounts.
func (c *Core) placeInOrder(now time.Time) {
	var ranks []rank
	for _, a := range c.accounts {
		ranks = append(ranks, a.queue...)
	}
	slices.SortFunc(ranks, compareRank)
	for _, r := range ranks {
		j := c.jobs[r.job]
		key := blockedKey{shape: j.Job.Shape}
		if _, blocked := c.blocked[key]; !blocked && !now.Before(j.NotBefore) && c.starts > 0 {
			if workers := c.books.free.Place(c.request(j)); workers != nil {
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
