// Package guarantee keeps a place for every guaranteed shape. A place, called a
// cell, is a set of amounts on workers. The ledger keeps these invariants:
//
//   - on each worker the cells together need no more than its capacity;
//   - each cell meets the topology of its shape;
//   - a job of the guaranteed capacity class runs only inside a cell of its account.
//
// From them follows the guarantee: all shapes can be placed at once by evicting
// borrowed work only, since whatever lies on a cell and is not its own job is
// borrowed. An idle cell can move at any time, as nothing runs in it.
package guarantee

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
)

// Cell is the place of one guaranteed shape.
type Cell struct {
	// Key is the guarantee's name, '#' and the cell's number.
	Key     string
	Name    string
	Account model.ClientAccountID
	Shape   model.Shape
	// Workers gives the worker of each slot; empty while the cell is uncovered.
	Workers []model.WorkerID
	// Users gives the job of each slot; empty strings are free slots.
	Users []model.JobID
	// Retired is set when the guarantee was taken away while a job used the cell.
	Retired bool
}

// Covered reports whether the cell has a place.
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

// Ledger is the set of all cells. It is not safe for concurrent use.
type Ledger struct {
	index   *placement.Index
	workers map[model.WorkerID]workerEntry
	cells   map[string]*Cell
	// byAccount holds the keys of each account's cells, sorted.
	byAccount map[model.ClientAccountID][]string
	// byWorker holds the keys of the cells on each worker.
	byWorker  map[model.WorkerID]map[string]struct{}
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

// SetWorker adds a worker or changes whether it is usable. Cells on a worker
// that is no longer usable lose their place; the jobs in them are returned and
// count as borrowed from then on. Call Cover afterwards.
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

// SetGuarantees replaces the guaranteed shapes. Cells of an unchanged shape
// stay. A cell that is no longer guaranteed is kept as retired while jobs use it.
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

// sortedKeys returns the keys of a map in order; an empty list, not nil, for none.
func sortedKeys[V any](m map[string]V) []string {
	keys := slices.AppendSeq(make([]string, 0, len(m)), maps.Keys(m))
	slices.Sort(keys)
	return keys
}

// Cell returns a cell, or nil.
func (l *Ledger) Cell(key string) *Cell { return l.cells[key] }

// Uncovered returns the keys of the cells without a place, sorted.
func (l *Ledger) Uncovered() []string {
	return sortedKeys(l.uncovered)
}

// put gives a cell a place.
func (l *Ledger) put(c *Cell, workers []model.WorkerID) {
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

// uncover takes a cell's place away and returns the jobs that used it.
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

// Cover places cells that have no place: each by itself, then, if some are
// left, all idle cells anew, the hardest first. It reports whether anything changed.
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
			l.put(c, workers)
			changed = true
		}
	}
	if len(l.uncovered) > 0 {
		changed = l.repack() || changed
	}
	return changed
}

// repack places all idle cells anew. It keeps the old places when that does
// not cover more.
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
			l.put(c, workers)
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
			l.put(l.cells[key], old[key])
		}
	}
	return false
}

// hardestFirst orders cells: rack shapes first, then by size, then by key.
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

// tightness orders topologies from free to narrow.
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
