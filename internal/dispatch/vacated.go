package dispatch

import (
	"slices"
)

// Room that is being made. Runs are stopped for a unit on certain workers, and it takes
// some tenths of a second until they have ended. Until then the unit keeps these workers:
// otherwise another claim takes the room on them, and further runs are stopped for the
// first one; or the unit starts where other members of a stopped gang ran, and the room
// that was made for it stays unused.
//
// Load pattern: several urgent jobs within a second on workers that are all in use.

// holdRoom allocates the workers that are being vacated for claims before the plan, so that
// no other unit takes them.
func (r *schedulingRound) holdRoom(units []*unit) {
	for _, u := range units {
		if u.rank.claim {
			r.held[u] = r.allocateRoom(u, len(u.tasks))
		}
	}
}

// allocateRoom allocates the workers that are being vacated for a unit, at most as many
// as it has tasks, and returns them.
func (r *schedulingRound) allocateRoom(u *unit, tasks int) []*worker {
	if u.rank.lastPreemptionMS == 0 {
		return nil
	}
	var out []*worker
	for _, w := range u.job.room[u.key()] {
		free, usable := r.free[w]
		if len(out) < tasks && usable && r.allowed(u, w) && r.underLimit(u, w) && u.spec().PerTask.Fits(free.Add(r.releasing[w])) {
			r.allocate(u, w)
			out = append(out, w)
		}
	}
	return out
}

// releaseHeld releases what holdRoom has allocated for a unit.
func (r *schedulingRound) releaseHeld(u *unit) {
	for _, w := range r.held[u] {
		r.release(u, w)
	}
	delete(r.held, u)
}

// releaseSmaller releases what is held for claims whose tasks need less on one worker than
// those of a claim, since they find room on more workers. It reports whether there are any.
func (r *schedulingRound) releaseSmaller(u *unit) bool {
	released := false
	for other, workers := range r.held {
		if other.rank.claimedShape < u.rank.claimedShape && len(workers) > 0 {
			r.releaseHeld(other)
			released = true
		}
	}
	return released
}

// placeUnit chooses workers for the unit's tasks, those that were vacated for it first.
func (r *schedulingRound) placeUnit(u *unit) []placement {
	r.releaseHeld(u)
	room := slices.Clone(u.job.room[u.key()])
	if len(room) == 0 || u.rank.lastPreemptionMS == 0 {
		return r.place(u)
	}
	room = slices.DeleteFunc(r.unique(room), func(w *worker) bool { _, usable := r.free[w]; return !usable })
	if u.gang() {
		if placed := r.placeAllOrNone(u, room); placed != nil {
			return placed
		}
		return r.place(u)
	}
	placed := r.placeEach(u, room)
	rest := *u
	rest.tasks = u.unplaced(placed)
	if len(rest.tasks) > 0 {
		placed = append(placed, r.place(&rest)...)
	}
	return placed
}

// unplaced returns the unit's tasks that are not among the placed ones.
func (u *unit) unplaced(placed []placement) []int {
	var out []int
	for _, task := range u.tasks {
		if !slices.ContainsFunc(placed, func(p placement) bool { return p.task == task }) {
			out = append(out, task)
		}
	}
	return out
}

// unique returns the workers without repetitions, in their order.
func (r *schedulingRound) unique(workers []*worker) []*worker {
	var out []*worker
	for _, w := range workers {
		if !slices.Contains(out, w) {
			out = append(out, w)
		}
	}
	return out
}

// keepRoom allocates the workers that are being vacated for the unplaced tasks of a unit,
// and reports whether they are enough for all of these.
func (r *schedulingRound) keepRoom(u *unit, missing int) bool {
	kept := r.allocateRoom(u, missing)
	if len(kept) == missing {
		r.countUrgent(u, missing)
		return true
	}
	for _, w := range kept {
		r.release(u, w)
	}
	return false
}

// forgetRoom removes workers on which tasks were placed from those that are being vacated.
func (j *job) forgetRoom(key stepKey, placed []placement) {
	for _, p := range placed {
		if at := slices.Index(j.room[key], p.worker); at >= 0 {
			j.room[key] = slices.Delete(j.room[key], at, at+1)
		}
	}
	if len(j.room[key]) == 0 {
		delete(j.room, key)
	}
}
