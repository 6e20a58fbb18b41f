package scheduler

import (
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
)

// capacityIndexes holds three views of the fleet's capacity.
type capacityIndexes struct {
	// free is the capacity that no task holds.
	free *placement.Index
	// unreserved is the free capacity less what is reserved for large jobs.
	unreserved *placement.Index
	// total is the capacity of all known workers, as if empty and in service.
	total *placement.Index
}

func newCapacityIndexes() *capacityIndexes {
	return &capacityIndexes{
		free: placement.NewIndex(), unreserved: placement.NewIndex(), total: placement.NewIndex(),
	}
}

// zoneIsOut reports whether the configuration takes a zone out of service.
func (c *Core) zoneIsOut(zone model.AvailabilityZoneName) bool {
	return c.config != nil && c.config.Zones[zone] == model.ZoneOut
}

// inService reports whether a worker is connected, outside zones that are out
// and not quarantined.
func (c *Core) inService(now time.Time, w *workerState) bool {
	return w.Up && !c.zoneIsOut(w.Worker.Zone) && !c.tracker.InQuarantine(now, w.Worker.ID)
}

// refreshWorker updates the capacity indexes and the guaranteed cells after a
// change of a worker's state.
func (c *Core) refreshWorker(now time.Time, w *workerState) {
	serving := c.inService(now, w)
	usable := serving && !now.Before(w.AvoidUntil)
	if usable && c.tracker.Probing(w.Worker.ID) && len(w.tasks) > 0 {
		usable = false
	}
	free := w.Worker.Capacity.Sub(w.Used)
	c.capacity.free.SetWorker(w.Worker, free, usable)
	c.capacity.unreserved.SetWorker(w.Worker, free.Sub(c.reservedCapacity(w.Worker.ID)), usable)
	c.capacity.total.SetWorker(w.Worker, w.Worker.Capacity, true)
	for _, id := range c.ledger.SetWorker(w.Worker, serving) {
		c.demoteToBorrowed(now, c.jobs[id])
	}
	if now.Before(w.AvoidUntil) {
		c.avoided[w.Worker.ID] = struct{}{}
	}
	c.coverDue = true
	c.capacityGrew()
}

// refreshAvoided makes workers usable again whose AvoidUntil or quarantine has
// expired.
func (c *Core) refreshAvoided(now time.Time) {
	var done []model.WorkerID
	for id := range c.avoided {
		if !now.Before(c.workers[id].AvoidUntil) {
			done = append(done, id)
		}
	}
	done = append(done, c.tracker.Released(c.lastTick, now)...)
	slices.Sort(done)
	for _, id := range done {
		delete(c.avoided, id)
		if w := c.workers[id]; w != nil {
			c.refreshWorker(now, w)
		}
	}
}

// demoteToBorrowed reclassifies a job as borrowed after its guaranteed cell was
// relocated.
func (c *Core) demoteToBorrowed(now time.Time, j *JobState) {
	if j == nil || j.Cell == "" {
		return
	}
	j.explain(now, "its guaranteed cell %s moved away; it counts as borrowed work until it ends or moves", j.Cell)
	j.Cell, j.CellWorkers = "", nil
	j.Class = model.CapacityBorrowed
	c.account(j.Job.Account).Borrowed += j.bookedAccelerators()
}

// capacityGrew makes the next pass retry shapes that did not fit before.
func (c *Core) capacityGrew() {
	clear(c.blocked)
	c.scheduleDue = true
}

// book marks a task's capacity as used on its worker.
func (c *Core) book(j *JobState, i int) {
	t := &j.Tasks[i]
	if t.Booked {
		return
	}
	t.Booked = true
	w := c.workers[t.Worker]
	if w == nil {
		w = newWorkerState(model.Worker{ID: t.Worker})
		c.workers[t.Worker] = w
	}
	need := j.Job.Shape.PerTask
	w.Used = w.Used.Add(need)
	w.tasks[j.Job.Task(i)] = j.Job.ID
	if !j.Job.CanCheckpoint {
		w.pinned++
	}
	c.capacity.free.Reserve(t.Worker, need)
	c.capacity.unreserved.Reserve(t.Worker, need)
	if j.Class != model.CapacityGuaranteed {
		c.account(j.Job.Account).Borrowed += need.Accelerators
	}
}

// unbook releases a task's booked capacity.
func (c *Core) unbook(j *JobState, i int) {
	t := &j.Tasks[i]
	if !t.Booked {
		return
	}
	t.Booked = false
	w := c.workers[t.Worker]
	need := j.Job.Shape.PerTask
	w.Used = w.Used.Sub(need)
	delete(w.tasks, j.Job.Task(i))
	if !j.Job.CanCheckpoint {
		w.pinned--
	}
	c.capacity.free.Release(t.Worker, need)
	c.capacity.unreserved.Release(t.Worker, need)
	if j.Class != model.CapacityGuaranteed {
		c.account(j.Job.Account).Borrowed -= need.Accelerators
	}
	if c.tracker.Probing(t.Worker) {
		c.avoided[t.Worker] = struct{}{}
	}
	c.clearingDue = true
	c.capacityGrew()
}

func (j *JobState) bookedAccelerators() int {
	n := 0
	for _, t := range j.Tasks {
		if t.Booked {
			n += j.Job.Shape.PerTask.Accelerators
		}
	}
	return n
}

// overbooked returns by how much a worker's booked tasks exceed its capacity;
// negative amounts are free. If awaitStopping is set, tasks that are being
// stopped count as ended.
func (c *Core) overbooked(id model.WorkerID, awaitStopping bool) model.Resources {
	w := c.workers[id]
	used := w.Used
	if awaitStopping {
		for _, job := range w.tasks {
			if j := c.jobs[job]; j.Phase == PhaseStopping || j.StopAfterDecision {
				used = used.Sub(j.Job.Shape.PerTask)
			}
		}
	}
	return used.Sub(w.Worker.Capacity)
}
