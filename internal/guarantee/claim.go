package guarantee

import (
	"cmp"
	"slices"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
)

// Claim is a place for a job inside a cell of its account.
type Claim struct {
	Key string
	// Slots are the cell's slots that the job's tasks take, and Workers the
	// slots' workers.
	Slots   []int
	Workers []model.WorkerID
	// place is the cell's new place when the cell has to move.
	place []model.WorkerID
}

// CostModel compares places for a claim.
type CostModel struct {
	// Limits bound the tasks on a worker, from what costs nothing to what
	// costs something. The ledger looks for a place under each of them.
	Limits []func(model.WorkerID) int
	// Cost is what has to be given up to start tasks on these workers.
	Cost func(workers []model.WorkerID) float64
}

// Entitled reports whether a job's account has a cell that takes the job,
// used or not.
func (l *Ledger) Entitled(job model.Job) bool {
	for _, key := range l.byAccount[job.Account] {
		if c := l.cells[key]; !c.Retired && Takes(c.Shape, job.Shape) {
			return true
		}
	}
	return false
}

// Takes reports whether a job of one shape can run inside a cell of another.
func Takes(cell, job model.Shape) bool {
	return job.Tasks <= cell.Tasks && job.PerTask.Fits(cell.PerTask) && tightness(job.Topology) <= tightness(cell.Topology)
}

// Find returns the cheapest place for a job in its account's cells; false when
// all of them are used or uncovered. Nothing changes until Occupy.
func (l *Ledger) Find(job model.Job, coster CostModel) (Claim, bool) {
	var best Claim
	bestCost := 0.0
	found := false
	for _, c := range l.candidates(job) {
		claim, cost := l.cheapest(c, job, coster)
		if !found || cost < bestCost {
			best, bestCost, found = claim, cost, true
		}
		if bestCost == 0 {
			break
		}
	}
	return best, found
}

// Claimable reports whether a cell can take a job now.
func (l *Ledger) Claimable(job model.Job) bool { return len(l.candidates(job)) > 0 }

// candidates returns the cells that can take a job now, the tightest first.
func (l *Ledger) candidates(job model.Job) []*Cell {
	var out []*Cell
	for _, key := range l.byAccount[job.Account] {
		c := l.cells[key]
		if c.Covered() && !c.Retired && Takes(c.Shape, job.Shape) && len(c.freeSlots()) >= job.Shape.Tasks {
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b *Cell) int {
		return cmp.Or(
			cmp.Compare(a.Shape.PerTask.Accelerators, b.Shape.PerTask.Accelerators),
			cmp.Compare(len(a.freeSlots()), len(b.freeSlots())),
			cmp.Compare(a.Key, b.Key),
		)
	})
	return out
}

// cheapest compares a cell's present place with places that it could move to.
func (l *Ledger) cheapest(c *Cell, job model.Job, coster CostModel) (Claim, float64) {
	slots := c.freeSlots()[:job.Shape.Tasks]
	best := Claim{Key: c.Key, Slots: slots, Workers: pick(c.Workers, slots)}
	bestCost := coster.Cost(best.Workers)
	if !c.idle() || bestCost == 0 {
		return best, bestCost
	}
	place := c.Workers
	for _, w := range place {
		l.index.Release(w, c.Shape.PerTask)
	}
	for _, limit := range coster.Limits {
		other := l.index.Place(placement.Request{Shape: c.Shape, Limit: limit})
		if other == nil {
			continue
		}
		workers := pick(other, slots)
		if cost := coster.Cost(workers); cost < bestCost {
			best = Claim{Key: c.Key, Slots: slots, Workers: workers, place: other}
			bestCost = cost
		}
	}
	for _, w := range place {
		l.index.Reserve(w, c.Shape.PerTask)
	}
	return best, bestCost
}

func pick(workers []model.WorkerID, slots []int) []model.WorkerID {
	out := make([]model.WorkerID, len(slots))
	for i, s := range slots {
		out[i] = workers[s]
	}
	return out
}

// Occupy puts a job into a claim that Find returned, moving the cell if needed.
func (l *Ledger) Occupy(claim Claim, job model.JobID) {
	c := l.cells[claim.Key]
	if claim.place != nil {
		l.uncover(c)
		l.put(c, claim.place)
	}
	for _, s := range claim.Slots {
		c.Users[s] = job
	}
}

// Vacate frees the slots that a job uses. An idle retired cell is dropped.
func (l *Ledger) Vacate(key string, job model.JobID) {
	c := l.cells[key]
	if c == nil {
		return
	}
	for i, u := range c.Users {
		if u == job {
			c.Users[i] = ""
		}
	}
	if c.Retired && c.idle() {
		l.drop(c)
	}
}

// RestoreJob puts a running job back into a cell after a change of owner: the cell
// takes its former place, which is that of the job alone where place is nil. It
// reports false when the cell does not exist or does not fit there, in which
// case the job counts as borrowed.
func (l *Ledger) RestoreJob(key string, job model.Job, workers, place []model.WorkerID) bool {
	c := l.cells[key]
	if c == nil || !Takes(c.Shape, job.Shape) || len(workers) != job.Shape.Tasks {
		return false
	}
	if place == nil {
		place = workers
	}
	slots := l.matchSlots(c, workers)
	if slots == nil {
		if !c.idle() || !l.moveTo(c, place) {
			return false
		}
		slots = l.matchSlots(c, workers)
	}
	for _, s := range slots {
		c.Users[s] = job.ID
	}
	return slots != nil
}

// matchSlots returns free slots of a cell on the given workers, or nil.
func (l *Ledger) matchSlots(c *Cell, workers []model.WorkerID) []int {
	if !c.Covered() {
		return nil
	}
	free := c.freeSlots()
	var out []int
	for _, w := range workers {
		at := slices.IndexFunc(free, func(s int) bool { return c.Workers[s] == w })
		if at < 0 {
			return nil
		}
		out = append(out, free[at])
		free = slices.Delete(free, at, at+1)
	}
	return out
}

// moveTo places a cell on the given workers, one for each slot. It reports false
// and leaves the cell where it is when they have no room for it.
func (l *Ledger) moveTo(c *Cell, workers []model.WorkerID) bool {
	old := c.Workers
	l.uncover(c)
	count := map[model.WorkerID]int{}
	for _, w := range workers {
		count[w]++
	}
	fits := true
	for w, n := range count {
		free, usable := l.index.Free(w)
		fits = fits && usable && placement.Slots(free, c.Shape.PerTask) >= n
	}
	if fits && len(workers) == c.Shape.Tasks {
		l.put(c, workers)
		return true
	}
	if old != nil {
		l.put(c, old)
	}
	return false
}

// RestoreCells takes over the places and users of cells that exist, for
// instance from a snapshot. Retired cells are added.
func (l *Ledger) RestoreCells(cells []Cell) {
	for _, saved := range cells {
		c := l.cells[saved.Key]
		if c == nil {
			l.add(saved.Key, model.GuaranteedShape{Name: saved.Name, Account: saved.Account, Shape: saved.Shape})
			c = l.cells[saved.Key]
			c.Retired = saved.Retired
		}
		l.uncover(c)
		if len(saved.Workers) > 0 {
			l.put(c, saved.Workers)
		}
		c.Users = slices.Clone(saved.Users)
	}
}
