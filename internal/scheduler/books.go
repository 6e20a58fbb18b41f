package scheduler

import (
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
)

// books is the capacity of the fleet, seen in three ways.
type books struct {
	// free is what no task holds.
	free *placement.Index
	// open is free less what is held back for large jobs.
	open *placement.Index
	// fleet is all known workers as if they were empty and in service.
	fleet *placement.Index
}

func newBooks() *books {
	return &books{
		free: placement.NewIndex(), open: placement.NewIndex(), fleet: placement.NewIndex(),
	}
}

// zoneIsOut reports whether the configuration takes a zone out.
func (c *Core) zoneIsOut(zone model.AvailabilityZoneName) bool {
	return c.config != nil && c.config.Zones[zone] == model.ZoneOut
}

// inService reports whether a worker may be counted on.
func (c *Core) inService(now time.Time, w *workerState) bool {
	return w.Up && !c.zoneIsOut(w.Worker.Zone) && !c.tracker.Held(now, w.Worker.ID)
}

// refreshWorker brings the indexes and the cells up to date with a worker.
func (c *Core) refreshWorker(now time.Time, w *workerState) {
	serving := c.inService(now, w)
	usable := serving && !now.Before(w.AvoidUntil)
	if usable && c.tracker.Probing(w.Worker.ID) && len(w.tasks) > 0 {
		usable = false
	}
	free := w.Worker.Capacity.Sub(w.Used)
	c.books.free.SetWorker(w.Worker, free, usable)
	c.books.open.SetWorker(w.Worker, free.Sub(c.heldBack(w.Worker.ID)), usable)
	c.books.fleet.SetWorker(w.Worker, w.Worker.Capacity, true)
	for _, id := range c.ledger.SetWorker(w.Worker, serving) {
		c.displaced(now, c.jobs[id])
	}
	if now.Before(w.AvoidUntil) {
		c.avoided[w.Worker.ID] = struct{}{}
	}
	c.coverDue = true
	c.capacityGrew()
}

// refreshAvoided makes workers usable again whose time to be avoided is over.
func (c *Core) refreshAvoided(now time.Time) {
	var done []model.WorkerID
	for id := range c.avoided {
		if !now.Before(c.workers[id].AvoidUntil) {
			done = append(done, id)
		}
	}
	done = append(done, c.tracker.Ended(c.lastTick, now)...)
	slices.Sort(done)
	for _, id := range done {
		delete(c.avoided, id)
		if w := c.workers[id]; w != nil {
			c.refreshWorker(now, w)
		}
	}
}

// displaced makes a job borrowed whose cell lost its place.
func (c *Core) displaced(now time.Time, j *JobState) {
	if j == nil || j.Cell == "" {
		return
	}
	j.explain(now, "its guaranteed cell %s moved away; it counts as borrowed work until it ends or moves", j.Cell)
	j.Cell, j.CellWorkers = "", nil
	j.Class = model.CapacityBorrowed
	c.account(j.Job.Account).Borrowed += j.bookedAccelerators()
}

// capacityGrew makes the next pass try shapes again that did not fit before.
func (c *Core) capacityGrew() {
	clear(c.blocked)
	c.scheduleDue = true
}

// book counts a task's capacity as used.
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
	c.books.free.Reserve(t.Worker, need)
	c.books.open.Reserve(t.Worker, need)
	if j.Class != model.CapacityGuaranteed {
		c.account(j.Job.Account).Borrowed += need.Accelerators
	}
}

// unbook counts a task's capacity as free.
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
	c.books.free.Release(t.Worker, need)
	c.books.open.Release(t.Worker, need)
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

// overbooked returns how much more than its capacity a worker's tasks hold;
// negative amounts are free. With awaitStopping, the tasks that are being stopped
// count as ended.
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
