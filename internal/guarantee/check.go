package guarantee

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
)

// ErrCannotFit is wrapped by the errors of Admit.
var ErrCannotFit = errors.New("not enough capacity for the guaranteed shape")

// ErrInvariant is wrapped by the errors of Check.
var ErrInvariant = errors.New("guarantee invariant violated")

// Check verifies the ledger's invariants from the cells and the workers'
// capacities, without the index: the amounts on each worker, and the number of
// slots and topology of each cell.
func (l *Ledger) Check() error {
	need := map[model.WorkerID]model.Resources{}
	for _, key := range l.Keys() {
		c := l.cells[key]
		if !c.Covered() {
			continue
		}
		if len(c.Workers) != c.Shape.Tasks {
			return errors.Wrapf(ErrInvariant, "cell %s has %d slots for %d tasks", key, len(c.Workers), c.Shape.Tasks)
		}
		if !l.meetsTopology(c) {
			return errors.Wrapf(ErrInvariant, "cell %s is not within one %s", key, c.Shape.Topology)
		}
		for _, w := range c.Workers {
			need[w] = need[w].Add(c.Shape.PerTask)
		}
	}
	for w, n := range need {
		entry := l.workers[w]
		if !entry.usable || !n.Fits(entry.worker.Capacity) {
			return errors.Wrapf(ErrInvariant, "cells need %+v on worker %s, which is out of service or too small", n, w)
		}
	}
	return nil
}

func (l *Ledger) meetsTopology(c *Cell) bool {
	first := l.workers[c.Workers[0]].worker
	for _, id := range c.Workers {
		w := l.workers[id].worker
		if c.Shape.Topology != model.TopologyAny && w.Zone != first.Zone {
			return false
		}
		if c.Shape.Topology == model.TopologyRack && w.Rack != first.Rack {
			return false
		}
	}
	return true
}

// Admit returns nil if a guaranteed shape, which is new or replaces the one of the
// same name, can be covered without uncovering cells of other guarantees. Otherwise
// it returns an error that wraps ErrCannotFit and gives the reason. The ledger does
// not change.
func (l *Ledger) Admit(g model.GuaranteedShape) error {
	trial := l.clone(nil)
	shapes := trial.shapes()
	shapes[g.Name] = g
	before := trial.Uncovered()
	trial.SetGuarantees(shapes)
	trial.Cover()
	for _, key := range trial.Uncovered() {
		if !slices.Contains(before, key) || strings.HasPrefix(key, g.Name+"#") {
			return errors.Wrapf(ErrCannotFit, "%s", trial.UncoveredReason(key))
		}
	}
	return nil
}

// shapes returns the guaranteed shapes, by name, that the cells were made from.
func (l *Ledger) shapes() map[string]model.GuaranteedShape {
	out := map[string]model.GuaranteedShape{}
	for _, c := range l.cells {
		if c.Retired {
			continue
		}
		g := out[c.Name]
		out[c.Name] = model.GuaranteedShape{Name: c.Name, Account: c.Account, Shape: c.Shape, Count: g.Count + 1}
	}
	return out
}

// UncoveredReason returns a sentence for operators that says why a cell is
// uncovered; it is empty if the cell is covered or does not exist.
func (l *Ledger) UncoveredReason(key string) string {
	c := l.cells[key]
	if c == nil || c.Covered() {
		return ""
	}
	empty := l.clone(nil)
	for _, k := range empty.Keys() {
		empty.uncover(empty.cells[k])
	}
	requirement := fmt.Sprintf("%s needs %d slots of %d accelerators within one %s",
		key, c.Shape.Tasks, c.Shape.PerTask.Accelerators, c.Shape.Topology)
	if c.Shape.Topology == model.TopologyAny {
		requirement = fmt.Sprintf("%s needs %d slots of %d accelerators", key, c.Shape.Tasks, c.Shape.PerTask.Accelerators)
	}
	if empty.index.Place(placement.Request{Shape: c.Shape}) == nil {
		return requirement + ": the workers in service lack the capacity even without other guarantees"
	}
	return requirement + ": the other guarantees leave too little capacity on the workers in service"
}

// ZoneLoss lists the cells that cannot be covered while one zone is lost.
type ZoneLoss struct {
	Zone      model.AvailabilityZoneName
	Uncovered []string
}

// CheckZoneLoss returns, for each zone, the cells that would stay uncovered without
// it, after Cover has moved idle cells.
func (l *Ledger) CheckZoneLoss() []ZoneLoss {
	var zones []model.AvailabilityZoneName
	for _, entry := range l.workers {
		if !slices.Contains(zones, entry.worker.Zone) {
			zones = append(zones, entry.worker.Zone)
		}
	}
	slices.Sort(zones)
	var out []ZoneLoss
	for _, z := range zones {
		trial := l.clone(func(w model.Worker) bool { return w.Zone != z })
		trial.Cover()
		out = append(out, ZoneLoss{Zone: z, Uncovered: trial.Uncovered()})
	}
	return out
}

// clone copies the ledger. If keep is set, workers for which it returns false are
// not usable in the copy.
func (l *Ledger) clone(keep func(model.Worker) bool) *Ledger {
	out := NewLedger()
	for id, entry := range l.workers {
		out.workers[id] = entry
		out.index.SetWorker(entry.worker, entry.worker.Capacity, entry.usable)
	}
	for _, key := range l.Keys() {
		c := l.cells[key]
		out.add(key, model.GuaranteedShape{Name: c.Name, Account: c.Account, Shape: c.Shape})
		copied := out.cells[key]
		copied.Retired = c.Retired
		copied.Users = slices.Clone(c.Users)
		if c.Covered() {
			out.assign(copied, c.Workers)
		}
	}
	if keep != nil {
		for _, entry := range l.workers {
			out.SetWorker(entry.worker, entry.usable && keep(entry.worker))
		}
	}
	return out
}
