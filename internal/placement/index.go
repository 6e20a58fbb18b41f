// Package placement finds workers for gangs. Index groups the free capacity of all
// workers by rack, and the racks by signature: the sorted list of free accelerators
// of their workers. Racks with the same signature are interchangeable as far as
// accelerators go. A placement examines each signature instead of each rack, because
// the number of signatures depends on the size of a rack and not on the size of the
// fleet.
package placement

import (
	"cmp"
	"slices"

	"dragonflyyard/internal/model"
)

// Index holds the free capacity of a fleet. It is not safe for concurrent use.
type Index struct {
	workers map[model.WorkerID]*worker
	racks   map[model.RackID]*rack
	zones   []*zone
}

type worker struct {
	id       model.WorkerID
	rack     *rack
	capacity model.Resources
	free     model.Resources
	usable   bool
}

// rack is a set of workers with short network paths between them.
type rack struct {
	id        model.RackID
	zone      *zone
	workers   []*worker
	signature signature
}

// zone holds the racks of one availability zone by signature.
type zone struct {
	name         model.AvailabilityZoneName
	groups       map[signature]*group
	sortedGroups []*group
}

// group is the set of racks with one signature.
type group struct {
	signature signature
	// freeAccelerators is the signature as numbers, and totalFree their sum.
	freeAccelerators []int
	totalFree        int
	racks            []*rack
}

// signature lists the free accelerators of a rack's usable workers in ascending
// order, one byte each. Values are clamped to 0 through 255.
type signature string

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{workers: map[model.WorkerID]*worker{}, racks: map[model.RackID]*rack{}}
}

// SetWorker adds a worker or replaces its entry. Place and Emptiest skip workers
// that are not usable.
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

// RemoveWorker removes a worker, if it is known.
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

// Reserve subtracts r from a worker's free capacity, which may become negative. It
// does nothing for an unknown worker.
func (x *Index) Reserve(id model.WorkerID, r model.Resources) {
	if w := x.workers[id]; w != nil {
		w.free = w.free.Sub(r)
		w.rack.reindex()
	}
}

// Release adds r to a worker's free capacity. It does nothing for an unknown worker.
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

// Signatures returns the number of groups of racks with equal signatures, for
// benchmarks.
func (x *Index) Signatures() int {
	n := 0
	for _, z := range x.zones {
		n += len(z.sortedGroups)
	}
	return n
}

// rackOf returns a worker's rack, and adds it if it does not exist.
func (x *Index) rackOf(m model.Worker) *rack {
	key := model.RackID(string(m.Zone) + "/" + string(m.Rack))
	if r := x.racks[key]; r != nil {
		return r
	}
	r := &rack{id: m.Rack, zone: x.zoneOf(m.Zone)}
	x.racks[key] = r
	return r
}

// zoneOf returns the zone with a name, and adds it if it does not exist.
func (x *Index) zoneOf(name model.AvailabilityZoneName) *zone {
	at, ok := slices.BinarySearchFunc(x.zones, name, func(z *zone, name model.AvailabilityZoneName) int {
		return cmp.Compare(z.name, name)
	})
	if !ok {
		x.zones = slices.Insert(x.zones, at, &zone{name: name, groups: map[signature]*group{}})
	}
	return x.zones[at]
}

// reindex moves a rack to the group of its current signature.
func (r *rack) reindex() {
	old := r.signature
	current := r.computeSignature()
	if current == old {
		return
	}
	r.signature = current
	r.zone.removeRack(r, old)
	r.zone.addRack(r, current)
}

// computeSignature returns the signature of a rack from its workers; it is empty for
// a rack without usable workers.
func (r *rack) computeSignature() signature {
	var buf [32]byte
	freeAccelerators := buf[:0]
	for _, w := range r.workers {
		if w.usable {
			freeAccelerators = append(freeAccelerators, byte(min(max(w.free.Accelerators, 0), 255)))
		}
	}
	slices.Sort(freeAccelerators)
	return signature(freeAccelerators)
}

func (z *zone) removeRack(r *rack, s signature) {
	g := z.groups[s]
	if g == nil {
		return
	}
	if at, ok := slices.BinarySearchFunc(g.racks, r.id, compareRack); ok {
		g.racks = slices.Delete(g.racks, at, at+1)
	}
	if len(g.racks) == 0 {
		delete(z.groups, s)
		at, _ := slices.BinarySearchFunc(z.sortedGroups, s, compareGroup)
		z.sortedGroups = slices.Delete(z.sortedGroups, at, at+1)
	}
}

func (z *zone) addRack(r *rack, s signature) {
	if s == "" {
		return
	}
	g := z.groups[s]
	if g == nil {
		g = newGroup(s)
		z.groups[s] = g
		at, _ := slices.BinarySearchFunc(z.sortedGroups, s, compareGroup)
		z.sortedGroups = slices.Insert(z.sortedGroups, at, g)
	}
	at, _ := slices.BinarySearchFunc(g.racks, r.id, compareRack)
	g.racks = slices.Insert(g.racks, at, r)
}

func newGroup(s signature) *group {
	g := &group{signature: s}
	for _, free := range []byte(s) {
		g.freeAccelerators = append(g.freeAccelerators, int(free))
		g.totalFree += int(free)
	}
	return g
}

// slots returns how many tasks that need this many accelerators each fit on a rack
// of the group. Cores and memory are not considered.
func (g *group) slots(accelerators int) int {
	if accelerators == 0 {
		return model.MaxGangSize
	}
	n := 0
	for _, free := range g.freeAccelerators {
		n += free / accelerators
	}
	return n
}

func compareWorker(w *worker, id model.WorkerID) int { return cmp.Compare(w.id, id) }
func compareRack(r *rack, id model.RackID) int       { return cmp.Compare(r.id, id) }
func compareGroup(g *group, s signature) int         { return cmp.Compare(g.signature, s) }

// Emptiest returns usable workers in the order of their racks' free accelerators, the
// most first. It adds whole racks until the result has at least limit workers.
func (x *Index) Emptiest(limit int) []model.WorkerID {
	var groups []*group
	for _, z := range x.zones {
		groups = append(groups, z.sortedGroups...)
	}
	slices.SortStableFunc(groups, func(a, b *group) int { return b.totalFree - a.totalFree })
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
