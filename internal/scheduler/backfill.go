package scheduler

import (
	"cmp"
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
)

// planInterval is how long a reservation stays unchanged before it is planned
// again.
const planInterval = 10 * time.Second

// maxPlanWorkers limits the workers that one planning run considers.
const maxPlanWorkers = 384

// Reservation keeps capacity free for a job that does not fit yet, so that
// backfilled jobs do not delay it.
type Reservation struct {
	Job     model.JobID
	Workers []model.WorkerID
	// Shadow is the time at which the capacity is expected to be free.
	Shadow time.Time
	// Since is when the job first got a reservation, Made when the current
	// workers were chosen.
	Since time.Time
	Made  time.Time
	// ForMove marks the reservation of a job that still runs in a zone that is
	// out of service.
	ForMove bool
}

// isLarge reports whether a job is large enough to get a reservation.
func (c *Core) isLarge(j *JobState) bool {
	return j.Job.Shape.Accelerators() >= c.settings.LargeAccelerators
}

// reservedCapacity is the capacity that reservations hold on a worker.
func (c *Core) reservedCapacity(id model.WorkerID) model.Resources {
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

// reserveFor makes a reservation for an aged job, or for the first large job in
// an account's queue. A job that ranks later in the account gives up its
// reservation to an earlier one.
func (c *Core) reserveFor(now time.Time, j *JobState) {
	if c.settings.Policy.NoReservations || !c.isLarge(j) {
		return
	}
	if c.reservationsSuspended() {
		return
	}
	if other := c.reservationOf(j.Job.Account); other != nil && !j.aged {
		if compareRank(c.jobs[other.Job].rank, j.rank) < 0 {
			return
		}
		c.dropReservation(other.Job)
	}
	if len(c.reservations) < c.settings.MaxLargeReservations {
		c.planReservation(now, j, now)
	}
}

// reservationsSuspended reports whether reservations are suspended. They are
// while a zone is out: reserved capacity would stay idle when the least
// capacity is available.
func (c *Core) reservationsSuspended() bool { return len(c.zoneOutSince) > 0 }

// reservationOf returns the reservation of the first waiting job of an account
// that is not aged, or nil.
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

// tryReserved starts a job that has a reservation, by preemption if it may, or
// plans the reservation again once it is older than planInterval.
func (c *Core) tryReserved(now time.Time, j *JobState, r *Reservation) bool {
	if workers := c.capacity.free.Place(c.request(j)); workers != nil && c.avoidsOtherReservations(j, workers) {
		c.startBorrowed(now, j, workers, "the capacity held back for it")
		return true
	}
	if c.mayPreempt(now, j) && c.preemptFor(now, j) {
		return true
	}
	if now.Sub(r.Made) >= planInterval {
		since := r.Since
		c.dropReservation(j.Job.ID)
		c.planReservation(now, j, since)
	}
	return false
}

// avoidsOtherReservations reports whether a placement uses no capacity that is
// reserved for other jobs.
func (c *Core) avoidsOtherReservations(j *JobState, workers []model.WorkerID) bool {
	own := j.needsByWorker(c.reservations[j.Job.ID].Workers)
	for id, need := range j.needsByWorker(workers) {
		unreserved, _ := c.capacity.unreserved.Free(id)
		if !need.Fits(unreserved.Add(own[id])) {
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
		c.capacity.unreserved.Release(w, per)
	}
	c.reservationsChanged()
}

func (c *Core) addReservation(r *Reservation) {
	c.reservations[r.Job] = r
	per := c.jobs[r.Job].Job.Shape.PerTask
	for _, w := range r.Workers {
		c.capacity.unreserved.Reserve(w, per)
	}
	c.reservationsChanged()
}

func (c *Core) reservationsChanged() {
	clear(c.blocked)
	c.nextShadow = time.Time{}
	for _, r := range c.reservations {
		if c.nextShadow.IsZero() || r.Shadow.Before(c.nextShadow) {
			c.nextShadow = r.Shadow
		}
	}
}

// expectedRelease is capacity that is expected to be freed at a given time.
type expectedRelease struct {
	at     time.Time
	worker model.WorkerID
	amount model.Resources
}

// planReservation finds the earliest time at which a job is expected to fit and
// reserves that placement.
func (c *Core) planReservation(now time.Time, j *JobState, since time.Time) {
	workers := c.planWorkers(j)
	releases := c.expectedReleases(now, workers)
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
// capacity, without workers that are too small for one task of the job.
func (c *Core) planWorkers(j *JobState) []*workerState {
	var out []*workerState
	for _, id := range c.capacity.unreserved.Emptiest(maxPlanWorkers) {
		w := c.workers[id]
		if j.Job.Shape.PerTask.Fits(w.Worker.Capacity) {
			out = append(out, w)
		}
	}
	return out
}

// expectedReleases lists the expected ends of all tasks on the workers,
// borrowed and guaranteed, ordered by time. Tasks that yield to large jobs
// count as free at once.
func (c *Core) expectedReleases(now time.Time, workers []*workerState) []expectedRelease {
	var out []expectedRelease
	for _, w := range workers {
		for _, id := range sortedKeys(w.tasks) {
			v := c.jobs[w.tasks[id]]
			at := now.Add(c.expectedRemaining(now, v))
			switch {
			case v.Phase == PhaseStopping:
				at = now.Add(v.StopGrace)
			case c.yieldsToLarge(v):
				at = now
			}
			out = append(out, expectedRelease{at, w.Worker.ID, v.Job.Shape.PerTask})
		}
	}
	slices.SortStableFunc(out, func(a, b expectedRelease) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.worker, b.worker))
	})
	return out
}

// placeAt returns a placement for a job at a later time that leaves other
// reservations intact, or nil.
func (c *Core) placeAt(j *JobState, workers []*workerState, releases []expectedRelease, at time.Time) []model.WorkerID {
	index := placement.NewIndex()
	for _, w := range workers {
		unreserved, usable := c.capacity.unreserved.Free(w.Worker.ID)
		index.SetWorker(w.Worker, unreserved, usable)
	}
	for _, r := range releases {
		if r.at.After(at) {
			break
		}
		index.Release(r.worker, r.amount)
	}
	return index.Place(c.request(j))
}

// refreshReservations drops reservations on workers that are out of service.
// While a zone is out, it keeps only the reservations of gangs that move out of
// that zone.
func (c *Core) refreshReservations(now time.Time) {
	for _, id := range sortedKeys(c.reservations) {
		r := c.reservations[id]
		if c.reservationsSuspended() && !r.ForMove {
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
