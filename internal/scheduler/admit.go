package scheduler

import (
	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
)

// ErrRefused is wrapped by every error that Admit returns.
var ErrRefused = errors.New("job refused")

// Admit returns nil or the reason why a job is rejected: it is malformed, its
// account is unknown or has no guarantee that covers it, or no known workers
// could ever run it, even with all zones and workers in service.
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
		return errors.Wrapf(ErrRefused, "client account %q holds no guaranteed shape that takes %s", job.Account, describeShape(job.Shape))
	}
	return c.admitShape(job.Shape)
}

func (c *Core) admitShape(s model.Shape) error {
	if len(c.workers) == 0 || c.capacity.total.Place(placement.Request{Shape: s}) != nil {
		return nil
	}
	oneTask := s
	oneTask.Tasks = 1
	if c.capacity.total.Place(placement.Request{Shape: oneTask}) == nil {
		return errors.Wrapf(ErrRefused, "no worker has %d accelerators, %d cores and %d MB for one task",
			s.PerTask.Accelerators, s.PerTask.Cores, s.PerTask.MemoryMB)
	}
	if s.Topology != model.TopologyAny {
		anyTopology := s
		anyTopology.Topology = model.TopologyAny
		if c.capacity.total.Place(placement.Request{Shape: anyTopology}) != nil {
			return errors.Wrapf(ErrRefused, "no single %s has room for %s, even when empty", s.Topology, describeShape(s))
		}
	}
	return errors.Wrapf(ErrRefused, "the whole fleet has no room for %s, even when empty", describeShape(s))
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

// Claimable reports whether a covered and unoccupied cell exists for a job of
// the guaranteed class.
func (c *Core) Claimable(job model.Job) bool { return c.ledger.Claimable(job) }

// Unfinished returns the number of jobs that have neither ended nor been
// parked.
func (c *Core) Unfinished() int {
	return len(c.jobs) - len(c.phases[PhaseFinished]) - len(c.phases[PhaseCancelled]) - len(c.phases[PhaseParked])
}
