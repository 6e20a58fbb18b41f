// Package guarantee reserves capacity for every guaranteed shape. The reservation
// of one gang of that shape is a cell: one slot per task, each slot an amount of
// resources on one worker. The ledger maintains these invariants:
//
//   - on each worker, the cells together need no more than its capacity;
//   - each cell meets the topology of its shape;
//   - a job of the guaranteed capacity class runs only inside a cell of its account.
//
// They ensure that all guaranteed shapes can run at the same time after evicting
// borrowed work only: any task that uses a cell's capacity without being a task
// of the cell's own jobs is borrowed work. An idle cell can move at any time
// because no job runs in it.
package guarantee

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
)

// Cell is the capacity reserved for one gang of a guaranteed shape.
type Cell struct {
	// Key is the guarantee's name, '#' and the cell's number, counted from 0.
	Key     string
	Name    string
	Account model.ClientAccountID
	Shape   model.Shape
	// Workers gives the worker of each slot; empty while the cell is uncovered.
	Workers []model.WorkerID
	// Users gives the job in each slot; an empty string marks a free slot.
	Users []model.JobID
	// Retired is set when the guarantee was removed while a job used the cell.
	Retired bool
}

// Covered reports whether the cell has workers assigned.
func (c *Cell) Covered() bool { return len(c.Workers) > 0 }

// idle reports whether no job uses the cell.
func (c *Cell) idle() bool {
	for _, u := range c.Users {
		if u != "" {
			return false
		}
	}
	return true
}

func (c *Cell) freeSlots() []int {
	var out []int
	for i, u := range c.Users {
		if u == "" {
			out = append(out, i)
		}
	}
	return out
}

// Ledger holds the cells of all guarantees and the workers that they are
// assigned to. It is not safe for concurrent use.
type Ledger struct {
	index   *placement.Index
	workers map[model.WorkerID]workerEntry
	cells   map[string]*Cell
	// byAccount holds the keys of each account's cells, sorted.
	byAccount map[model.ClientAccountID][]string
	// byWorker holds the keys of the cells on each worker.
	byWorker map[model.WorkerID]map[string]struct{}
	// uncovered holds the keys of the cells without workers.
	uncovered map[string]struct{}
}

type workerEntry struct {
	worker model.Worker
	usable bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		index: placement.NewIndex(), workers: map[model.WorkerID]workerEntry{}, cells: map[string]*Cell{},
		byAccount: map[model.ClientAccountID][]string{}, byWorker: map[model.WorkerID]map[string]struct{}{},
		uncovered: map[string]struct{}{},
	}
}

// SetWorker adds a worker or updates a known one. When a known worker changes,
// the cells on it become uncovered; SetWorker returns their jobs, which count as
// borrowed from then on. Call Cover afterwards.
func (l *Ledger) SetWorker(w model.Worker, usable bool) []model.JobID {
	old, known := l.workers[w.ID]
	if known && old.usable == usable && old.worker == w {
		return nil
	}
	l.workers[w.ID] = workerEntry{worker: w, usable: usable}
	var displaced []model.JobID
	if known {
		for _, key := range l.cellsOn(w.ID) {
			displaced = append(displaced, l.uncover(l.cells[key])...)
		}
	}
	l.index.SetWorker(w, w.Capacity, usable)
	return displaced
}

func (l *Ledger) cellsOn(id model.WorkerID) []string {
	return sortedKeys(l.byWorker[id])
}

// SetGuarantees replaces the guaranteed shapes. Cells whose shape and account are
// unchanged stay. A cell that is no longer guaranteed is kept as retired while
// jobs use it. Call Cover afterwards.
func (l *Ledger) SetGuarantees(shapes map[string]model.GuaranteedShape) {
	want := map[string]model.GuaranteedShape{}
	for name, g := range shapes {
		for i := range g.Count {
			want[fmt.Sprintf("%s#%d", name, i)] = g
		}
	}
	for _, key := range l.Keys() {
		c := l.cells[key]
		g, ok := want[key]
		if ok && g.Account == c.Account && g.Shape == c.Shape {
			c.Retired = false
			delete(want, key)
			continue
		}
		c.Retired = true
		if c.idle() {
			l.drop(c)
		}
	}
	for key, g := range want {
		if l.cells[key] == nil {
			l.add(key, g)
		}
	}
}

func (l *Ledger) add(key string, g model.GuaranteedShape) {
	l.cells[key] = &Cell{
		Key: key, Name: g.Name, Account: g.Account, Shape: g.Shape, Users: make([]model.JobID, g.Shape.Tasks),
	}
	l.uncovered[key] = struct{}{}
	keys := l.byAccount[g.Account]
	at, _ := slices.BinarySearch(keys, key)
	l.byAccount[g.Account] = slices.Insert(keys, at, key)
}

func (l *Ledger) drop(c *Cell) {
	l.uncover(c)
	delete(l.cells, c.Key)
	delete(l.uncovered, c.Key)
	keys := l.byAccount[c.Account]
	if at, ok := slices.BinarySearch(keys, c.Key); ok {
		l.byAccount[c.Account] = slices.Delete(keys, at, at+1)
	}
}

// Keys returns the keys of all cells, sorted.
func (l *Ledger) Keys() []string {
	return sortedKeys(l.cells)
}

// sortedKeys returns the keys of a map in ascending order. The result of an empty
// map is an empty slice, not nil.
func sortedKeys[V any](m map[string]V) []string {
	keys := slices.AppendSeq(make([]string, 0, len(m)), maps.Keys(m))
	slices.Sort(keys)
	return keys
}

// Cell returns the cell with a key, or nil if there is none.
func (l *Ledger) Cell(key string) *Cell { return l.cells[key] }

// Uncovered returns the keys of the cells without workers, sorted.
func (l *Ledger) Uncovered() []string {
	return sortedKeys(l.uncovered)
}

// assign reserves a cell's capacity on the given workers, one per slot.
func (l *Ledger) assign(c *Cell, workers []model.WorkerID) {
	c.Workers = slices.Clone(workers)
	for _, w := range workers {
		l.index.Reserve(w, c.Shape.PerTask)
		if l.byWorker[w] == nil {
			l.byWorker[w] = map[string]struct{}{}
		}
		l.byWorker[w][c.Key] = struct{}{}
	}
	delete(l.uncovered, c.Key)
}

// uncover releases a cell's capacity on its workers, frees its slots and returns
// the jobs that used them.
func (l *Ledger) uncover(c *Cell) []model.JobID {
	for _, w := range c.Workers {
		l.index.Release(w, c.Shape.PerTask)
		delete(l.byWorker[w], c.Key)
	}
	c.Workers = nil
	l.uncovered[c.Key] = struct{}{}
	var users []model.JobID
	for i, u := range c.Users {
		if u != "" && !slices.Contains(users, u) {
			users = append(users, u)
		}
		c.Users[i] = ""
	}
	return users
}

// Cover places the uncovered cells in the order of hardestFirst and drops retired
// ones. If some remain uncovered, it places all idle cells again from scratch. It
// reports whether anything changed.
func (l *Ledger) Cover() bool {
	if len(l.uncovered) == 0 {
		return false
	}
	changed := false
	for _, c := range l.hardestFirst(l.Uncovered()) {
		if c.Retired {
			l.drop(c)
			changed = true
			continue
		}
		if workers := l.index.Place(placement.Request{Shape: c.Shape}); workers != nil {
			l.assign(c, workers)
			changed = true
		}
	}
	if len(l.uncovered) > 0 {
		changed = l.repack() || changed
	}
	return changed
}

// repack uncovers all idle cells and places them again in the order of
// hardestFirst. It restores the old assignment unless the new one covers more
// cells, and reports whether it covers more.
func (l *Ledger) repack() bool {
	var keys []string
	old := map[string][]model.WorkerID{}
	before := len(l.uncovered)
	for _, key := range l.Keys() {
		if c := l.cells[key]; c.idle() {
			keys = append(keys, key)
			old[key] = c.Workers
			l.uncover(c)
		}
	}
	for _, c := range l.hardestFirst(keys) {
		if workers := l.index.Place(placement.Request{Shape: c.Shape}); workers != nil {
			l.assign(c, workers)
		}
	}
	if len(l.uncovered) < before {
		return true
	}
	for _, key := range keys {
		l.uncover(l.cells[key])
	}
	for _, key := range keys {
		if old[key] != nil {
			l.assign(l.cells[key], old[key])
		}
	}
	return false
}

// hardestFirst sorts cells by how hard they are to place: the narrowest topology
// first, then the most accelerators per task, then the most accelerators in
// total, then by key.
func (l *Ledger) hardestFirst(keys []string) []*Cell {
	cells := make([]*Cell, len(keys))
	for i, key := range keys {
		cells[i] = l.cells[key]
	}
	slices.SortFunc(cells, func(a, b *Cell) int {
		return cmp.Or(
			cmp.Compare(tightness(b.Shape.Topology), tightness(a.Shape.Topology)),
			cmp.Compare(b.Shape.PerTask.Accelerators, a.Shape.PerTask.Accelerators),
			cmp.Compare(b.Shape.Accelerators(), a.Shape.Accelerators()),
			cmp.Compare(a.Key, b.Key),
		)
	})
	return cells
}

// tightness ranks topologies from unconstrained (0) to one rack (2).
func tightness(t model.Topology) int {
	switch t {
	case model.TopologyRack:
		return 2
	case model.TopologyZone:
		return 1
	default:
		return 0
	}
}
