package scheduler

import (
	"slices"

	"dragonflyyard/internal/model"
)

// A limit is the maximum number of a gang's tasks that a placement puts on a
// worker. A nil limit means no maximum.

// unlimited is a limit that allows a gang of any size on any worker.
func unlimited(model.WorkerID) int { return model.MaxGangSize }

// excluding returns a limit that allows no tasks on the given workers.
func excluding(workers []model.WorkerID, limit func(model.WorkerID) int) func(model.WorkerID) int {
	return func(id model.WorkerID) int {
		if slices.Contains(workers, id) {
			return 0
		}
		return limit(id)
	}
}

// minLimit returns the lower of two limits. It evaluates the second one only
// where the first allows tasks.
func minLimit(first, second func(model.WorkerID) int) func(model.WorkerID) int {
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
