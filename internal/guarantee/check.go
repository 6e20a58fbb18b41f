package guarantee

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
)

// ErrCannotFit marks the refusal of a guaranteed shape.
var ErrCannotFit = errors.New("guaranteed shape cannot be kept")

// ErrInvariant marks a broken invariant of the ledger.
var ErrInvariant = errors.New("guarantee invariant broken")

// Check verifies the ledger's invariants from the cells alone: amounts on each
// worker and topology of each cell.
func (l *Ledger) Check() error {
	need := map[model.WorkerID]model.Resources{}
	for _, key := range l.Keys() {
		c := l.cells[key]
		if !c.Covered() {
			continue
		}
		if len(c.Workers) != c.Shape.Tasks {
			return errors.Wrapf(ErrInvariant, "cell %s has %d places for %d tasks", key, len(c.Workers), c.Shape.Tasks)
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
			return errors.Wrapf(ErrInvariant, "cells need %+v on worker %s", n, w)
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

// Admit returns nil when a further guaranteed shape, or a changed one of the
// same name, can be kept beside all others, and the reason otherwise.
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

// shapes returns the guaranteed shapes that the cells stand for.
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

// UncoveredReason says in words why a cell has no place.
func (l *Ledger) UncoveredReason(key string) string {
	c := l.cells[key]
	if c == nil || c.Covered() {
		return ""
	}
	empty := l.clone(nil)
	for _, k := range empty.Keys() {
		empty.uncover(empty.cells[k])
	}
	what := fmt.Sprintf("%s needs %d workers' places of %d accelerators within one %s",
		key, c.Shape.Tasks, c.Shape.PerTask.Accelerators, c.Shape.Topology)
	if c.Shape.Topology == model.TopologyAny {
		what = fmt.Sprintf("%s needs %d places of %d accelerators", key, c.Shape.Tasks, c.Shape.PerTask.Accelerators)
	}
	if empty.index.Place(placement.Request{Shape: c.Shape}) == nil {
		return what + ": the workers in service could not hold it even if they were empty"
	}
	return what + ": the other guaranteed shapes leave no such place on the workers in service"
}

// ZoneLoss tells which cells could not be covered without one zone.
type ZoneLoss struct {
	Zone      model.AvailabilityZoneName
	Uncovered []string
}

// CheckZoneLoss returns, for each zone, the cells that would have no place
// without it, even if all others could move.
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

// clone copies the ledger. With keep set, workers it refuses are not usable.
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
			out.put(copied, c.Workers)
		}
	}
	if keep != nil {
		for _, entry := range l.workers {
			out.SetWorker(entry.worker, entry.usable && keep(entry.worker))
		}
	}
	return out
}
