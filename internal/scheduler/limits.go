package scheduler

import (
	"slices"

	"dragonflyyard/internal/model"
)

// A limit bounds how many of a gang's tasks a placement puts on a worker. Nil
// is no bound.

// unlimited is the limit that allows any number of tasks on any worker.
func unlimited(model.WorkerID) int { return model.MaxGangSize }

// except returns a limit that allows nothing on the given workers.
func except(workers []model.WorkerID, limit func(model.WorkerID) int) func(model.WorkerID) int {
	return func(id model.WorkerID) int {
		if slices.Contains(workers, id) {
			return 0
		}
		return limit(id)
	}
}

// both returns the lower of two limits. The second one is asked only where the
// first one allows tasks.
func both(first, second func(model.WorkerID) int) func(model.WorkerID) int {
	if first == nil {
		return second
	}
	return func(id model.WorkerID) int {
		n := first(id)
		if n == 0 {
			return 0
		}
		return min(n, second(id))
	}
}
