package guarantee

import (
	"cmp"
	"slices"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
)

// Claim assigns the tasks of a job to slots of one of its account's cells.
type Claim struct {
	// Key is the cell's key.
	Key string
	// Slots are the indexes of the cell's slots that the job's tasks use, and
	// Workers the workers of these slots.
	Slots   []int
	Workers []model.WorkerID
	// newWorkers are the workers of all slots of the cell if the claim moves the
	// cell; nil if the cell stays.
	newWorkers []model.WorkerID
}

// CostModel ranks the workers that a claim can use.
type CostModel struct {
	// Limits bound the number of tasks on a worker, ordered from placements
	// without cost to placements with a cost. The ledger tries to place an idle
	// cell under each limit.
	Limits []func(model.WorkerID) int
	// Cost returns the cost of starting tasks on these workers, such as the work
	// lost by preemption; 0 if they are free.
	Cost func(workers []model.WorkerID) float64
}

// Entitled reports whether a job's account has a cell that the job fits in, free
// or in use.
func (l *Ledger) Entitled(job model.Job) bool {
	for _, key := range l.byAccount[job.Account] {
		if c := l.cells[key]; !c.Retired && FitsCell(c.Shape, job.Shape) {
			return true
		}
	}
	return false
}

// FitsCell reports whether a job of one shape can run inside a cell of another:
// the cell has as many tasks, as much capacity per task and a topology that is at
// least as narrow.
func FitsCell(cell, job model.Shape) bool {
	return job.Tasks <= cell.Tasks && job.PerTask.Fits(cell.PerTask) && tightness(job.Topology) <= tightness(cell.Topology)
}

// Find returns the cheapest claim for a job in its account's cells, or false if
// none of them is covered and has enough free slots. The ledger does not change
// until Occupy.
func (l *Ledger) Find(job model.Job, costs CostModel) (Claim, bool) {
	var best Claim
	bestCost := 0.0
	found := false
	for _, c := range l.candidates(job) {
		claim, cost := l.cheapest(c, job, costs)
		if !found || cost < bestCost {
			best, bestCost, found = claim, cost, true
		}
		if bestCost == 0 {
			break
		}
	}
	return best, found
}

// Claimable reports whether the job fits in the free slots of a covered cell.
func (l *Ledger) Claimable(job model.Job) bool { return len(l.candidates(job)) > 0 }

// candidates returns the cells that a job can use now, sorted by accelerators per
// task, then by number of free slots, the fewest first.
func (l *Ledger) candidates(job model.Job) []*Cell {
	var out []*Cell
	for _, key := range l.byAccount[job.Account] {
		c := l.cells[key]
		if c.Covered() && !c.Retired && FitsCell(c.Shape, job.Shape) && len(c.freeSlots()) >= job.Shape.Tasks {
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

// cheapest returns the cheapest claim in one cell and its cost. An idle cell may
// move to other workers if that costs less than its current ones.
func (l *Ledger) cheapest(c *Cell, job model.Job, costs CostModel) (Claim, float64) {
	slots := c.freeSlots()[:job.Shape.Tasks]
	best := Claim{Key: c.Key, Slots: slots, Workers: slotWorkers(c.Workers, slots)}
	bestCost := costs.Cost(best.Workers)
	if !c.idle() || bestCost == 0 {
		return best, bestCost
	}
	current := c.Workers
	for _, w := range current {
		l.index.Release(w, c.Shape.PerTask)
	}
	for _, limit := range costs.Limits {
		alternative := l.index.Place(placement.Request{Shape: c.Shape, Limit: limit})
		if alternative == nil {
			continue
		}
		workers := slotWorkers(alternative, slots)
		if cost := costs.Cost(workers); cost < bestCost {
			best = Claim{Key: c.Key, Slots: slots, Workers: workers, newWorkers: alternative}
			bestCost = cost
		}
	}
	for _, w := range current {
		l.index.Reserve(w, c.Shape.PerTask)
	}
	return best, bestCost
}

func slotWorkers(workers []model.WorkerID, slots []int) []model.WorkerID {
	out := make([]model.WorkerID, len(slots))
	for i, s := range slots {
		out[i] = workers[s]
	}
	return out
}

// Occupy assigns a claim's slots to a job and moves the cell if the claim requires
// it. The claim must come from Find, with no change to the ledger in between.
func (l *Ledger) Occupy(claim Claim, job model.JobID) {
	c := l.cells[claim.Key]
	if claim.newWorkers != nil {
		l.uncover(c)
		l.assign(c, claim.newWorkers)
	}
	for _, s := range claim.Slots {
		c.Users[s] = job
	}
}

// Vacate frees the slots that a job uses in a cell. A retired cell is removed once
// it is idle.
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

// RestoreJob assigns a running job to its cell again after a change of the
// scheduler's owner. If the job's workers do not match free slots of the cell, an
// idle cell moves to cellWorkers, its workers before the change, or to the job's
// workers if cellWorkers is nil. RestoreJob returns false if the cell does not
// exist or cannot be assigned these workers; the job then counts as borrowed.
func (l *Ledger) RestoreJob(key string, job model.Job, workers, cellWorkers []model.WorkerID) bool {
	c := l.cells[key]
	if c == nil || !FitsCell(c.Shape, job.Shape) || len(workers) != job.Shape.Tasks {
		return false
	}
	if cellWorkers == nil {
		cellWorkers = workers
	}
	slots := l.matchSlots(c, workers)
	if slots == nil {
		if !c.idle() || !l.moveTo(c, cellWorkers) {
			return false
		}
		slots = l.matchSlots(c, workers)
	}
	for _, s := range slots {
		c.Users[s] = job.ID
	}
	return slots != nil
}

// matchSlots returns a free slot of a cell for each of the given workers, or nil if
// one of them has none.
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

// moveTo assigns a cell to the given workers, one per slot. If they lack the
// capacity, it keeps the current assignment and returns false.
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
		l.assign(c, workers)
		return true
	}
	if old != nil {
		l.assign(c, old)
	}
	return false
}

// RestoreCells sets the workers and users of cells, for instance from a snapshot.
// It adds cells that the ledger does not have, such as retired ones.
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
			l.assign(c, saved.Workers)
		}
		c.Users = slices.Clone(saved.Users)
	}
}
