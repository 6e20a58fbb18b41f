package scheduler

import (
	"cmp"
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
)

// planInterval is how long a plan for a large job is kept before it is made anew.
const planInterval = 10 * time.Second

// maxPlanWorkers bounds the workers that one plan looks at.
const maxPlanWorkers = 384

// Reservation holds capacity back for a job that does not fit yet.
type Reservation struct {
	Job     model.JobID
	Workers []model.WorkerID
	// Shadow is when the capacity is expected to be free.
	Shadow time.Time
	// Since is when capacity was first held back for the job, Made when this
	// place was chosen.
	Since time.Time
	Made  time.Time
	// ForMove is set when the job is still running in a zone that is out.
	ForMove bool
}

// isLarge reports whether a job is one that capacity is held back for.
func (c *Core) isLarge(j *JobState) bool {
	return j.Job.Shape.Accelerators() >= c.settings.LargeAccelerators
}

// heldBack is what reservations hold back on a worker.
func (c *Core) heldBack(id model.WorkerID) model.Resources {
	var sum model.Resources
	for job := range c.reservations {
		for _, w := range c.reservations[job].Workers {
			if w == id {
				sum = sum.Add(c.jobs[job].Job.Shape.PerTask)
			}
		}
	}
	return sum
}

// reserveFor holds capacity back for aged jobs and for the first large job of an
// account that waits. A job that comes after it in the account's order gives its
// own up.
func (c *Core) reserveFor(now time.Time, j *JobState) {
	if c.settings.Policy.NoReservations || !c.isLarge(j) {
		return
	}
	if c.fillsDuringZoneChange() {
		return
	}
	if other := c.reservationOf(j.Job.Account); other != nil && !j.aged {
		if compareRank(c.jobs[other.Job].rank, j.rank) < 0 {
			return
		}
		c.dropReservation(other.Job)
	}
	if len(c.reservations) < c.settings.MaxLargeReservations {
		c.plan(now, j, now)
	}
}

// fillsDuringZoneChange reports whether all capacity is to be used at once: a
// zone is out, and what is held back for large jobs would stand idle in the time
// in which the least capacity is there.
func (c *Core) fillsDuringZoneChange() bool { return len(c.zoneOutSince) > 0 }

// reservationOf returns what is held back for the first waiting job of an
// account that is not aged, or nil.
func (c *Core) reservationOf(account model.ClientAccountID) *Reservation {
	var first *Reservation
	for id, r := range c.reservations {
		j := c.jobs[id]
		if j.Job.Account != account || r.ForMove || j.aged {
			continue
		}
		if first == nil || compareRank(j.rank, c.jobs[first.Job].rank) < 0 {
			first = r
		}
	}
	return first
}

// tryReserved starts a job that capacity is held back for, or brings its plan up to date.
func (c *Core) tryReserved(now time.Time, j *JobState, r *Reservation) bool {
	if workers := c.books.free.Place(c.request(j)); workers != nil && c.onlyOwnHold(j, workers) {
		c.startBorrowed(now, j, workers, "the capacity held back for it")
		return true
	}
	if c.mayPreempt(now, j) && c.preemptFor(now, j) {
		return true
	}
	if now.Sub(r.Made) >= planInterval {
		since := r.Since
		c.dropReservation(j.Job.ID)
		c.plan(now, j, since)
	}
	return false
}

// onlyOwnHold reports whether workers are free of what is held back for other jobs.
func (c *Core) onlyOwnHold(j *JobState, workers []model.WorkerID) bool {
	own := j.needsOn(c.reservations[j.Job.ID].Workers)
	for id, need := range j.needsOn(workers) {
		open, _ := c.books.open.Free(id)
		if !need.Fits(open.Add(own[id])) {
			return false
		}
	}
	return true
}

func (c *Core) dropReservation(id model.JobID) {
	r := c.reservations[id]
	if r == nil {
		return
	}
	delete(c.reservations, id)
	per := c.jobs[id].Job.Shape.PerTask
	for _, w := range r.Workers {
		c.books.open.Release(w, per)
	}
	c.afterReservation()
}

func (c *Core) addReservation(r *Reservation) {
	c.reservations[r.Job] = r
	per := c.jobs[r.Job].Job.Shape.PerTask
	for _, w := range r.Workers {
		c.books.open.Reserve(w, per)
	}
	c.afterReservation()
}

func (c *Core) afterReservation() {
	clear(c.blocked)
	c.nextShadow = time.Time{}
	for _, r := range c.reservations {
		if c.nextShadow.IsZero() || r.Shadow.Before(c.nextShadow) {
			c.nextShadow = r.Shadow
		}
	}
}

// release is capacity that is expected to become free at a time.
type release struct {
	at     time.Time
	worker model.WorkerID
	amount model.Resources
}

// plan finds the earliest time at which a job fits and holds that place back.
func (c *Core) plan(now time.Time, j *JobState, since time.Time) {
	workers := c.planWorkers(j)
	releases := c.releases(now, workers)
	ends := []time.Time{now}
	for _, r := range releases {
		if !r.at.Equal(ends[len(ends)-1]) {
			ends = append(ends, r.at)
		}
	}
	at, _ := slices.BinarySearchFunc(ends, true, func(t time.Time, _ bool) int {
		if c.placeAt(j, workers, releases, t) == nil {
			return -1
		}
		return 1
	})
	if at == len(ends) {
		return
	}
	place := c.placeAt(j, workers, releases, ends[at])
	c.addReservation(&Reservation{Job: j.Job.ID, Workers: place, Shadow: ends[at], Since: since, Made: now})
}

// planWorkers returns the usable workers in the racks with the most free
// capacity, without those that are too small for one of the job's tasks.
func (c *Core) planWorkers(j *JobState) []*workerState {
	var out []*workerState
	for _, id := range c.books.open.Emptiest(maxPlanWorkers) {
		w := c.workers[id]
		if j.Job.Shape.PerTask.Fits(w.Worker.Capacity) {
			out = append(out, w)
		}
	}
	return out
}

// releases lists when borrowed and guaranteed work on the workers should end, in order.
func (c *Core) releases(now time.Time, workers []*workerState) []release {
	var out []release
	for _, w := range workers {
		for _, id := range sortedKeys(w.tasks) {
			v := c.jobs[w.tasks[id]]
			at := now.Add(c.expectedRest(now, v))
			switch {
			case v.Phase == PhaseStopping:
				at = now.Add(v.StopGrace)
			case c.isYielding(v):
				at = now
			}
			out = append(out, release{at, w.Worker.ID, v.Job.Shape.PerTask})
		}
	}
	slices.SortStableFunc(out, func(a, b release) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.worker, b.worker))
	})
	return out
}

// placeAt returns a place for a job at a later time, beside other reservations.
func (c *Core) placeAt(j *JobState, workers []*workerState, releases []release, at time.Time) []model.WorkerID {
	index := placement.NewIndex()
	for _, w := range workers {
		open, usable := c.books.open.Free(w.Worker.ID)
		index.SetWorker(w.Worker, open, usable)
	}
	for _, r := range releases {
		if r.at.After(at) {
			break
		}
		index.Release(r.worker, r.amount)
	}
	return index.Place(c.request(j))
}

// refreshReservations drops plans on workers that are out of service and, while
// a zone is out, all plans but those of gangs that are to move out of it.
func (c *Core) refreshReservations(now time.Time) {
	for _, id := range sortedKeys(c.reservations) {
		r := c.reservations[id]
		if c.fillsDuringZoneChange() && !r.ForMove {
			c.dropReservation(id)
			continue
		}
		for _, w := range r.Workers {
			if !c.inService(now, c.workers[w]) {
				c.dropReservation(id)
				break
			}
		}
	}
}
