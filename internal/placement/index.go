// Package placement finds workers for gangs. Index keeps the free capacity of
// all workers grouped by rack, and the racks grouped by their signature: the
// sorted list of free accelerators of their workers. Racks of one signature are
// alike, and the number of signatures depends on the rack's form and not on the
// size of the fleet, so a placement looks at each signature and not at each rack.
package placement

import (
	"cmp"
	"slices"

	"dragonflyyard/internal/model"
)

// Index is the free capacity of a fleet. It is not safe for concurrent use.
type Index struct {
	workers map[model.WorkerID]*worker
	racks   map[model.RackID]*rack
	zones   []*zone
}

// worker is one worker's free capacity.
type worker struct {
	id       model.WorkerID
	rack     *rack
	capacity model.Resources
	free     model.Resources
	usable   bool
}

// rack is a group of workers whose tasks have short paths to each other.
type rack struct {
	id        model.RackID
	zone      *zone
	workers   []*worker
	signature signature
}

// zone holds the racks of one availability zone by signature.
type zone struct {
	name   model.AvailabilityZoneName
	groups map[signature]*group
	order  []*group
}

// group is all racks of one signature.
type group struct {
	signature signature
	// levels are the free accelerators of the usable workers, ascending.
	levels []int
	free   int
	racks  []*rack
}

// signature is the free accelerators of a rack's usable workers, ascending,
// one byte each.
type signature string

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{workers: map[model.WorkerID]*worker{}, racks: map[model.RackID]*rack{}}
}

// SetWorker adds a worker with a free amount, or replaces what is known of it.
// A worker that is not usable gets no placements.
func (x *Index) SetWorker(m model.Worker, free model.Resources, usable bool) {
	w := x.workers[m.ID]
	if w != nil && (w.rack.id != m.Rack || w.rack.zone.name != m.Zone) {
		x.RemoveWorker(m.ID)
		w = nil
	}
	if w == nil {
		w = &worker{id: m.ID, rack: x.rackOf(m)}
		x.workers[m.ID] = w
		at, _ := slices.BinarySearchFunc(w.rack.workers, m.ID, compareWorker)
		w.rack.workers = slices.Insert(w.rack.workers, at, w)
	}
	w.capacity = m.Capacity
	w.free = free
	w.usable = usable
	w.rack.reindex()
}

// RemoveWorker forgets a worker.
func (x *Index) RemoveWorker(id model.WorkerID) {
	w := x.workers[id]
	if w == nil {
		return
	}
	delete(x.workers, id)
	if at, ok := slices.BinarySearchFunc(w.rack.workers, id, compareWorker); ok {
		w.rack.workers = slices.Delete(w.rack.workers, at, at+1)
	}
	w.rack.reindex()
}

// Reserve takes capacity from a worker. Free amounts may become negative.
func (x *Index) Reserve(id model.WorkerID, r model.Resources) {
	if w := x.workers[id]; w != nil {
		w.free = w.free.Sub(r)
		w.rack.reindex()
	}
}

// Release gives capacity back to a worker.
func (x *Index) Release(id model.WorkerID, r model.Resources) {
	if w := x.workers[id]; w != nil {
		w.free = w.free.Add(r)
		w.rack.reindex()
	}
}

// Free returns a worker's free capacity, and whether the worker is usable.
func (x *Index) Free(id model.WorkerID) (model.Resources, bool) {
	w := x.workers[id]
	if w == nil {
		return model.Resources{}, false
	}
	return w.free, w.usable
}

// Signatures returns how many groups of equal racks there are, for measurements.
func (x *Index) Signatures() int {
	n := 0
	for _, z := range x.zones {
		n += len(z.order)
	}
	return n
}

func (x *Index) rackOf(m model.Worker) *rack {
	key := model.RackID(string(m.Zone) + "/" + string(m.Rack))
	if r := x.racks[key]; r != nil {
		return r
	}
	r := &rack{id: m.Rack, zone: x.zoneOf(m.Zone)}
	x.racks[key] = r
	return r
}

func (x *Index) zoneOf(name model.AvailabilityZoneName) *zone {
	at, ok := slices.BinarySearchFunc(x.zones, name, func(z *zone, name model.AvailabilityZoneName) int {
		return cmp.Compare(z.name, name)
	})
	if !ok {
		x.zones = slices.Insert(x.zones, at, &zone{name: name, groups: map[signature]*group{}})
	}
	return x.zones[at]
}

// reindex moves a rack to the group of its present signature.
func (r *rack) reindex() {
	old := r.signature
	now := r.sign()
	if now == old {
		return
	}
	r.signature = now
	r.zone.leave(r, old)
	r.zone.join(r, now)
}

// sign returns the rack's signature. A rack without usable workers has none.
func (r *rack) sign() signature {
	var buf [32]byte
	levels := buf[:0]
	for _, w := range r.workers {
		if w.usable {
			levels = append(levels, byte(min(max(w.free.Accelerators, 0), 255)))
		}
	}
	slices.Sort(levels)
	return signature(levels)
}

func (z *zone) leave(r *rack, s signature) {
	g := z.groups[s]
	if g == nil {
		return
	}
	if at, ok := slices.BinarySearchFunc(g.racks, r.id, compareRack); ok {
		g.racks = slices.Delete(g.racks, at, at+1)
	}
	if len(g.racks) == 0 {
		delete(z.groups, s)
		at, _ := slices.BinarySearchFunc(z.order, s, compareGroup)
		z.order = slices.Delete(z.order, at, at+1)
	}
}

func (z *zone) join(r *rack, s signature) {
	if s == "" {
		return
	}
	g := z.groups[s]
	if g == nil {
		g = newGroup(s)
		z.groups[s] = g
		at, _ := slices.BinarySearchFunc(z.order, s, compareGroup)
		z.order = slices.Insert(z.order, at, g)
	}
	at, _ := slices.BinarySearchFunc(g.racks, r.id, compareRack)
	g.racks = slices.Insert(g.racks, at, r)
}

func newGroup(s signature) *group {
	g := &group{signature: s}
	for _, level := range []byte(s) {
		g.levels = append(g.levels, int(level))
		g.free += int(level)
	}
	return g
}

// slots returns how many tasks of so many accelerators a rack of the group takes.
func (g *group) slots(accelerators int) int {
	if accelerators == 0 {
		return model.MaxGangSize
	}
	n := 0
	for _, level := range g.levels {
		n += level / accelerators
	}
	return n
}

func compareWorker(w *worker, id model.WorkerID) int { return cmp.Compare(w.id, id) }
func compareRack(r *rack, id model.RackID) int       { return cmp.Compare(r.id, id) }
func compareGroup(g *group, s signature) int         { return cmp.Compare(g.signature, s) }

// Emptiest returns up to limit usable workers, those in the racks with the most
// free accelerators first.
func (x *Index) Emptiest(limit int) []model.WorkerID {
	var groups []*group
	for _, z := range x.zones {
		groups = append(groups, z.order...)
	}
	slices.SortStableFunc(groups, func(a, b *group) int { return b.free - a.free })
	var out []model.WorkerID
	for _, g := range groups {
		for _, r := range g.racks {
			for _, w := range r.workers {
				if w.usable {
					out = append(out, w.id)
				}
			}
			if len(out) >= limit {
				return out
			}
		}
	}
	return out
}
