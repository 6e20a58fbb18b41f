package scheduler

import (
	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
)

// ErrInvariant is wrapped by errors that report a violated invariant of the
// core.
var ErrInvariant = errors.New("scheduler invariant broken")

// CheckInvariants verifies that every guarantee can be claimed at once by
// evicting borrowed work only, and that the booked capacity matches the jobs.
// It scans the whole state and is meant for tests.
func (c *Core) CheckInvariants() error {
	if err := c.ledger.Check(); err != nil {
		return err
	}
	for _, id := range sortedKeys(c.jobs) {
		if err := c.checkClass(c.jobs[id]); err != nil {
			return err
		}
	}
	if err := c.checkUsers(); err != nil {
		return err
	}
	return c.checkBookedCapacity()
}

// checkClass verifies that a job of the guaranteed class runs exactly on the
// slots that it holds in its cell.
func (c *Core) checkClass(j *JobState) error {
	if !j.hasAttempt() {
		if j.Cell != "" {
			return errors.Wrapf(ErrInvariant, "job %s is not placed but occupies cell %s", j.Job.ID, j.Cell)
		}
		return nil
	}
	if j.Class != model.CapacityGuaranteed || j.Phase == PhaseRecovering {
		return nil
	}
	cell := c.ledger.Cell(j.Cell)
	if cell == nil {
		return errors.Wrapf(ErrInvariant, "job %s has the guaranteed class but no cell", j.Job.ID)
	}
	held := map[model.WorkerID]int{}
	for slot, user := range cell.Users {
		if user == j.Job.ID {
			held[cell.Workers[slot]]++
		}
	}
	for _, t := range j.Tasks {
		held[t.Worker]--
	}
	for worker, n := range held {
		if n != 0 {
			return errors.Wrapf(ErrInvariant, "job %s runs outside its cell %s on %s: tasks on %v, cell on %v for %q",
				j.Job.ID, j.Cell, worker, j.workers(), cell.Workers, cell.Users)
		}
	}
	return nil
}

// checkUsers verifies that each cell slot in use belongs to a job placed in
// that cell.
func (c *Core) checkUsers() error {
	for _, key := range c.ledger.Keys() {
		for _, user := range c.ledger.Cell(key).Users {
			if user == "" {
				continue
			}
			if j := c.jobs[user]; j == nil || j.Cell != key || !j.hasAttempt() {
				return errors.Wrapf(ErrInvariant, "cell %s is occupied by job %s, which is not placed in it", key, user)
			}
		}
	}
	return nil
}

// checkBookedCapacity verifies the used capacity of workers and accounts
// against the booked tasks.
func (c *Core) checkBookedCapacity() error {
	used := map[model.WorkerID]model.Resources{}
	borrowed := map[model.ClientAccountID]int{}
	for _, j := range c.jobs {
		for _, t := range j.Tasks {
			if !t.Booked {
				continue
			}
			used[t.Worker] = used[t.Worker].Add(j.Job.Shape.PerTask)
			if j.Class != model.CapacityGuaranteed {
				borrowed[j.Job.Account] += j.Job.Shape.PerTask.Accelerators
			}
		}
	}
	for id, w := range c.workers {
		if w.Used != used[id] {
			return errors.Wrapf(ErrInvariant, "worker %s has %+v booked, but its tasks hold %+v", id, w.Used, used[id])
		}
		free, _ := c.capacity.free.Free(id)
		if w.Worker.Capacity != (model.Resources{}) && free != w.Worker.Capacity.Sub(w.Used) {
			return errors.Wrapf(ErrInvariant, "worker %s has %+v free in the capacity index, which differs from its unbooked capacity", id, free)
		}
	}
	for id, a := range c.accounts {
		if a.Borrowed != borrowed[id] {
			return errors.Wrapf(ErrInvariant, "account %s has %d borrowed accelerators booked, but its tasks hold %d", id, a.Borrowed, borrowed[id])
		}
	}
	return nil
}
