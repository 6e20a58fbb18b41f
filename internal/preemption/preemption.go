// Package preemption chooses the borrowed gangs to preempt in order to free given
// amounts of resources on given workers with the least lost work. A gang is
// preempted as a whole, so its cost counts once, no matter how many of its tasks run
// on these workers.
package preemption

import (
	"cmp"
	"slices"

	"dragonflyyard/internal/model"
)

// Use is the amount of resources that a gang uses on one worker.
type Use struct {
	Worker model.WorkerID
	Amount model.Resources
}

// Victim is a gang that may be preempted.
type Victim struct {
	Job model.JobID
	// Cost is the work lost by preempting the gang, in accelerator-seconds.
	Cost float64
	Uses []Use
}

// Order is the order in which victims are considered.
type Order uint8

// Orders of victims.
const (
	// LeastLostWork prefers the lowest cost per accelerator freed.
	LeastLostWork Order = iota
	// InputOrder considers victims in the order of the list.
	InputOrder
)

// Choose returns the jobs to preempt in order to cover all deficits, sorted by ID.
// It returns false if the victims cannot cover them all. A positive amount in a
// deficit is an amount that is missing on the worker.
func Choose(deficits map[model.WorkerID]model.Resources, victims []Victim, order Order) ([]model.JobID, bool) {
	remaining := positiveDeficits(deficits)
	var chosen []Victim
	rest := slices.Clone(victims)
	for len(remaining) > 0 {
		at := nextVictim(remaining, rest, order)
		if at < 0 {
			return nil, false
		}
		chosen = append(chosen, rest[at])
		subtract(remaining, rest[at])
		rest = slices.Delete(rest, at, at+1)
	}
	return jobsOf(prune(deficits, chosen)), true
}

// nextVictim returns the index of the next victim to preempt, or -1 if none reduces
// the remaining deficits.
func nextVictim(remaining map[model.WorkerID]model.Resources, victims []Victim, order Order) int {
	best := -1
	bestRate := 0.0
	for i, v := range victims {
		freed := coverage(remaining, v)
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

// coverage returns how much of the remaining deficits a victim covers, in
// accelerators. Cores and memory add up to 0.01 accelerators per worker each, in
// proportion to the share of the deficit covered, so that a victim which covers only
// these counts too.
func coverage(remaining map[model.WorkerID]model.Resources, v Victim) float64 {
	sum := 0.0
	for _, u := range v.Uses {
		d, ok := remaining[u.Worker]
		if !ok {
			continue
		}
		sum += float64(max(0, min(d.Accelerators, u.Amount.Accelerators)))
		sum += coveredShare(d.Cores, u.Amount.Cores) + coveredShare(d.MemoryMB, u.Amount.MemoryMB)
	}
	return sum
}

// coveredShare returns the share of a missing amount that the held amount covers,
// scaled to 0 through 0.01.
func coveredShare(missing, held int) float64 {
	if missing <= 0 || held <= 0 {
		return 0
	}
	return float64(min(missing, held)) / float64(missing) / 100
}

// subtract reduces the remaining deficits by the amounts that a victim uses and removes
// those that are covered.
func subtract(remaining map[model.WorkerID]model.Resources, v Victim) {
	for _, u := range v.Uses {
		d, ok := remaining[u.Worker]
		if !ok {
			continue
		}
		d = d.Sub(u.Amount)
		if isDeficit(d) {
			remaining[u.Worker] = d
		} else {
			delete(remaining, u.Worker)
		}
	}
}

// prune removes victims that are not needed to cover the deficits, trying the highest
// cost first.
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
	remaining := positiveDeficits(deficits)
	for _, v := range victims {
		subtract(remaining, v)
	}
	return len(remaining) == 0
}

// positiveDeficits returns a copy of the deficits without those that have no positive
// amount.
func positiveDeficits(deficits map[model.WorkerID]model.Resources) map[model.WorkerID]model.Resources {
	remaining := map[model.WorkerID]model.Resources{}
	for w, d := range deficits {
		if isDeficit(d) {
			remaining[w] = d
		}
	}
	return remaining
}

func isDeficit(r model.Resources) bool { return r.Accelerators > 0 || r.Cores > 0 || r.MemoryMB > 0 }

func jobsOf(victims []Victim) []model.JobID {
	out := make([]model.JobID, len(victims))
	for i, v := range victims {
		out[i] = v.Job
	}
	slices.Sort(out)
	return out
}
