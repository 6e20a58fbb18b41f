// Package preemption chooses which borrowed gangs to stop so that given amounts
// become free on given workers, at the least lost work. A gang is stopped whole,
// so its cost counts once however many of its tasks are in the way.
package preemption

import (
	"cmp"
	"slices"

	"dragonflyyard/internal/model"
)

// Use is what a gang holds on one worker.
type Use struct {
	Worker model.WorkerID
	Amount model.Resources
}

// Victim is a gang that may be stopped.
type Victim struct {
	Job model.JobID
	// Cost is the work lost by stopping it, in accelerator-seconds.
	Cost float64
	Uses []Use
}

// Order says how victims are chosen.
type Order uint8

// Orders of victims.
const (
	// LeastLostWork prefers the least cost for each accelerator freed.
	LeastLostWork Order = iota
	// InputOrder stops victims in the order of the list.
	InputOrder
)

// Choose returns the jobs to stop so that each deficit is covered, sorted, and
// whether all deficits can be covered at all. A deficit has positive amounts
// where something is missing.
func Choose(deficits map[model.WorkerID]model.Resources, victims []Victim, order Order) ([]model.JobID, bool) {
	left := uncovered(deficits)
	var chosen []Victim
	rest := slices.Clone(victims)
	for len(left) > 0 {
		at := next(left, rest, order)
		if at < 0 {
			return nil, false
		}
		chosen = append(chosen, rest[at])
		subtract(left, rest[at])
		rest = slices.Delete(rest, at, at+1)
	}
	return jobsOf(prune(deficits, chosen)), true
}

// next returns the index of the next victim that helps, or -1.
func next(left map[model.WorkerID]model.Resources, victims []Victim, order Order) int {
	best := -1
	bestRate := 0.0
	for i, v := range victims {
		freed := useful(left, v)
		if freed == 0 {
			continue
		}
		if order == InputOrder {
			return i
		}
		if rate := v.Cost / freed; best < 0 || rate < bestRate {
			best = i
			bestRate = rate
		}
	}
	return best
}

// useful returns how much of the deficits a victim covers, in accelerators; a
// deficit of cores or memory alone counts as a share of one.
func useful(left map[model.WorkerID]model.Resources, v Victim) float64 {
	sum := 0.0
	for _, u := range v.Uses {
		d, ok := left[u.Worker]
		if !ok {
			continue
		}
		sum += float64(max(0, min(d.Accelerators, u.Amount.Accelerators)))
		sum += share(d.Cores, u.Amount.Cores) + share(d.MemoryMB, u.Amount.MemoryMB)
	}
	return sum
}

func share(missing, held int) float64 {
	if missing <= 0 || held <= 0 {
		return 0
	}
	return float64(min(missing, held)) / float64(missing) / 100
}

func subtract(left map[model.WorkerID]model.Resources, v Victim) {
	for _, u := range v.Uses {
		d, ok := left[u.Worker]
		if !ok {
			continue
		}
		d = d.Sub(u.Amount)
		if isMissing(d) {
			left[u.Worker] = d
		} else {
			delete(left, u.Worker)
		}
	}
}

// prune drops victims, those of the highest cost first, that the others make unnecessary.
func prune(deficits map[model.WorkerID]model.Resources, chosen []Victim) []Victim {
	slices.SortStableFunc(chosen, func(a, b Victim) int {
		return cmp.Or(cmp.Compare(b.Cost, a.Cost), cmp.Compare(a.Job, b.Job))
	})
	for i := 0; i < len(chosen); {
		without := slices.Delete(slices.Clone(chosen), i, i+1)
		if covers(deficits, without) {
			chosen = without
			continue
		}
		i++
	}
	return chosen
}

func covers(deficits map[model.WorkerID]model.Resources, victims []Victim) bool {
	left := uncovered(deficits)
	for _, v := range victims {
		subtract(left, v)
	}
	return len(left) == 0
}

// uncovered returns a copy of the deficits without those in which nothing is missing.
func uncovered(deficits map[model.WorkerID]model.Resources) map[model.WorkerID]model.Resources {
	left := map[model.WorkerID]model.Resources{}
	for w, d := range deficits {
		if isMissing(d) {
			left[w] = d
		}
	}
	return left
}

func isMissing(r model.Resources) bool { return r.Accelerators > 0 || r.Cores > 0 || r.MemoryMB > 0 }

func jobsOf(victims []Victim) []model.JobID {
	out := make([]model.JobID, len(victims))
	for i, v := range victims {
		out[i] = v.Job
	}
	slices.Sort(out)
	return out
}
