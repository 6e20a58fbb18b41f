package scheduler

import (
	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
)

// ErrRefused marks the errors of Admit.
var ErrRefused = errors.New("job refused")

// Admit returns nil or the reason why a job is refused: it is malformed, its
// account is unknown or holds no guarantee for it, or no worker that the owner
// knows could ever run it, also with all zones and workers back in service.
func (c *Core) Admit(job model.Job) error {
	if err := checkForm(job); err != nil {
		return err
	}
	if c.config != nil {
		if _, known := c.config.Accounts[job.Account]; !known {
			return errors.Wrapf(ErrRefused, "client account %q is not known", job.Account)
		}
	}
	if job.Capacity == model.CapacityGuaranteed && !c.ledger.Entitled(job) {
		return errors.Wrapf(ErrRefused, "client account %q holds no guaranteed shape that takes %s", job.Account, describe(job.Shape))
	}
	return c.admitShape(job.Shape)
}

func (c *Core) admitShape(s model.Shape) error {
	if len(c.workers) == 0 || c.books.fleet.Place(placement.Request{Shape: s}) != nil {
		return nil
	}
	one := s
	one.Tasks = 1
	if c.books.fleet.Place(placement.Request{Shape: one}) == nil {
		return errors.Wrapf(ErrRefused, "no worker has %d accelerators, %d cores and %d MB for one task",
			s.PerTask.Accelerators, s.PerTask.Cores, s.PerTask.MemoryMB)
	}
	if s.Topology != model.TopologyAny {
		free := s
		free.Topology = model.TopologyAny
		if c.books.fleet.Place(placement.Request{Shape: free}) != nil {
			return errors.Wrapf(ErrRefused, "no single %s has room for %s, even when empty", s.Topology, describe(s))
		}
	}
	return errors.Wrapf(ErrRefused, "the whole fleet has no room for %s, even when empty", describe(s))
}

func checkForm(job model.Job) error {
	s := job.Shape
	switch {
	case job.ID == "":
		return errors.Wrap(ErrRefused, "the job has no ID")
	case s.Tasks < 1 || s.Tasks > model.MaxGangSize:
		return errors.Wrapf(ErrRefused, "a gang has 1 to %d tasks, not %d", model.MaxGangSize, s.Tasks)
	case s.PerTask.Accelerators < 0 || s.PerTask.Cores < 0 || s.PerTask.MemoryMB < 0:
		return errors.Wrap(ErrRefused, "a task's needs are negative")
	case s.PerTask == model.Resources{}:
		return errors.Wrap(ErrRefused, "a task needs nothing")
	case job.DeclaredRunTime < 0:
		return errors.Wrap(ErrRefused, "the declared run time is negative")
	}
	switch s.Topology {
	case model.TopologyAny, model.TopologyZone, model.TopologyRack:
	default:
		return errors.Wrapf(ErrRefused, "topology %q is not known", s.Topology)
	}
	switch job.Capacity {
	case model.CapacityGuaranteed, model.CapacityBorrowed:
		return nil
	default:
		return errors.Wrapf(ErrRefused, "capacity class %q is not known", job.Capacity)
	}
}

// Claimable reports whether a job of the guaranteed class has a cell that is
// covered and free now.
func (c *Core) Claimable(job model.Job) bool { return c.ledger.Claimable(job) }

// Unfinished returns how many jobs have not ended and are not parked.
func (c *Core) Unfinished() int {
	return len(c.jobs) - len(c.phases[PhaseFinished]) - len(c.phases[PhaseCancelled]) - len(c.phases[PhaseParked])
}
