package dispatch

import (
	"cmp"
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// room is the capacity that is free while a plan is made.
type room struct {
	core    *Core
	now     Now
	workers []*worker
	free    map[*worker]workload.Demand
	// steps counts the tasks of each step on each worker.
	steps map[stepOnWorker]int
	// holds counts the units of lower priority that capacity is held for.
	holds int
	// urgent counts the accelerators that each account's work of priority 0 holds
	// or claims.
	urgent map[model.ClientAccountID]int
	// coming is what is being stopped on each worker.
	coming map[*worker]workload.Demand
	// ending and stoppable keep, for workers that were looked at, the expected ends
	// of their runs and what may be stopped there.
	ending    map[*worker][]ending
	stoppable map[*worker][]victim
}

type stepOnWorker struct {
	job    model.JobID
	step   stepKey
	worker *worker
}

func (c *Core) newRoom(now Now) *room {
	r := &room{
		core: c, now: now, free: map[*worker]workload.Demand{}, steps: map[stepOnWorker]int{}, urgent: c.urgentInUse(),
		coming: map[*worker]workload.Demand{}, ending: map[*worker][]ending{}, stoppable: map[*worker][]victim{},
	}
	for _, w := range c.sortedWorkers() {
		for id, o := range w.orders {
			r.steps[stepOnWorker{id.Task.Job, stepKey{id.Task.Occurrence, id.Task.Step}, w}]++
			if o.stopWanted {
				r.coming[w] = r.coming[w].Add(o.demand)
			}
		}
		if !c.takesTasks(now, w) {
			continue
		}
		r.workers = append(r.workers, w)
		r.free[w] = w.Capacity.Sub(w.used)
	}
	return r
}

// takesTasks reports whether new tasks may go to a worker.
func (c *Core) takesTasks(now Now, w *worker) bool {
	return w.State == workload.WorkerReady && !c.evacuated[w.Zone] && now.StoreMS >= w.avoidUntilMS &&
		now.StoreMS-w.SentMS <= c.settings.SilentAfter.Milliseconds() && !c.sick.InQuarantine(now.time(), w.Worker)
}

// underLimit reports whether one more of the step's tasks may go to a worker.
func (r *room) underLimit(u *unit, w *worker) bool {
	limit := u.spec().MaxPerWorker
	return limit == 0 || r.steps[stepOnWorker{u.job.ID, stepKey{u.occurrence, u.step}, w}] < limit
}

func (r *room) take(u *unit, w *worker) {
	r.free[w] = r.free[w].Sub(u.spec().PerTask)
	r.steps[stepOnWorker{u.job.ID, stepKey{u.occurrence, u.step}, w}]++
}

func (r *room) giveBack(u *unit, w *worker) {
	r.free[w] = r.free[w].Add(u.spec().PerTask)
	r.steps[stepOnWorker{u.job.ID, stepKey{u.occurrence, u.step}, w}]--
}

// placement is where one task of a unit goes.
type placement struct {
	task   int
	worker *worker
}

// place returns workers for the unit's tasks, taken out of the room. A gang is
// placed whole or not at all.
func (r *room) place(u *unit) []placement {
	if !u.gang() {
		return r.placeEach(u, r.workers)
	}
	if u.spec().SameRack {
		if placed := r.placeInOneRack(u); placed != nil || !r.mayLeaveRack(u) {
			return placed
		}
	}
	return r.placeWhole(u, r.workers)
}

func (r *room) placeWhole(u *unit, workers []*worker) []placement {
	placed := r.placeEach(u, workers)
	if len(placed) == len(u.tasks) {
		return placed
	}
	for _, p := range placed {
		r.giveBack(u, p.worker)
	}
	return nil
}

func (r *room) placeEach(u *unit, workers []*worker) []placement {
	c := newChoice(workers, func(w *worker) (fitness, bool) { return r.fitness(u, w) }, (*fitness).before)
	var placed []placement
	for _, task := range u.tasks {
		w, _ := c.best()
		if w == nil {
			return placed
		}
		r.take(u, w)
		c.changed(w)
		placed = append(placed, placement{task, w})
	}
	return placed
}

// fitness says how well a worker suits a task that fits into it.
type fitness struct {
	// failed is set when a task of the job failed there, far when it is away from
	// the task's data, and unseen when the worker has announced nothing to this
	// owner: after a loss of power its row may tell of a life that has ended.
	failed, far, unseen, suspect, probing bool
	// unproven is set at a last attempt when no start went well there lately.
	unproven bool
	// left is the share of the worker that stays free.
	left float64
}

// before puts workers first that have not failed the job, near its data, seen, without
// a late failure, proven for a last attempt, then those with the least left over.
func (f *fitness) before(o *fitness) bool {
	return cmp.Or(
		compareBool(f.failed, o.failed), compareBool(f.far, o.far), compareBool(f.unseen, o.unseen),
		compareBool(f.suspect, o.suspect), compareBool(f.probing, o.probing),
		compareBool(f.unproven, o.unproven), cmp.Compare(f.left, o.left),
	) < 0
}

// fitness returns how well a worker suits a task of the unit, and false when the
// task can't go there now.
func (r *room) fitness(u *unit, w *worker) (fitness, bool) {
	step := u.spec()
	if !step.PerTask.Fits(r.free[w]) || !r.allowed(u, w) || !r.underLimit(u, w) {
		return fitness{}, false
	}
	far := step.PreferredRack != "" && string(w.Rack) != step.PreferredRack
	if far && !r.mayLeaveRack(u) {
		return fitness{}, false
	}
	return fitness{
		failed: r.failedOn(u, w), far: far, unseen: w.SentMS < r.core.beganMS, suspect: r.suspect(w), probing: r.core.sick.Probing(w.Worker),
		unproven: u.lastAttempt() && !r.sound(w),
		left:     leftOver(r.free[w], w.Capacity, step.PerTask),
	}, true
}

// failedOn reports whether a task of the unit's job failed on a worker.
func (r *room) failedOn(u *unit, w *worker) bool {
	return slices.Contains(r.core.sick.FailedOn(u.job.ID), w.Worker)
}

// suspect reports whether the last task that ended on a worker failed lately.
// One failure is often the task's own, so it does not outweigh distance.
func (r *room) suspect(w *worker) bool { return r.now.StoreMS < w.suspectUntilMS }

// leftOver returns the share of a worker that stays free after a task, its
// scarcest dimensions weighed like the others.
func leftOver(free, capacity, demand workload.Demand) float64 {
	rest := free.Sub(demand)
	share := func(part, whole int) float64 {
		if whole == 0 {
			return 0
		}
		return float64(part) / float64(whole)
	}
	return share(rest.MilliCores, capacity.MilliCores) + share(rest.MemoryMB, capacity.MemoryMB) + share(rest.Accelerators, capacity.Accelerators)
}

// Waits for a place near the data, or in one rack.
const (
	// rackPatience is the share of the extra time away from the data that a task
	// waits for a place near it.
	rackPatience = 0.5
	// maxRackWait bounds that wait; beyond it objectives are missed anyway.
	maxRackWait = 6 * time.Second
	// guaranteedRackWait is the wait of guaranteed work. It leaves time to stop
	// others' work inside the platform's bound, 2.7 s.
	guaranteedRackWait = 1300 * time.Millisecond
	// leastRackWait is the wait of other work whose estimate is short: a task away
	// from its data misses its objective whenever it begins, and estimates of short
	// tasks are off by several times.
	leastRackWait = 1300 * time.Millisecond
)

// mayLeaveRack reports whether a unit no longer waits for the rack that suits
// it: it waited long enough, or no such rack could hold it.
func (r *room) mayLeaveRack(u *unit) bool {
	step := u.spec()
	extra := time.Duration((r.core.settings.RemoteFactor - 1) * rackPatience * float64(step.Estimate))
	patience := max(min(extra, maxRackWait), leastRackWait)
	if u.job.Priority == 0 && r.budgetOf(u).promised >= len(u.tasks) {
		patience = min(extra, guaranteedRackWait)
	}
	waited := time.Duration(r.now.StoreMS-u.readyMS) * time.Millisecond
	return waited > patience || !r.rackExists(u)
}

// workerSets returns the sets of workers of which one is to take a unit: the
// racks that suit it, or all workers once it may leave them.
func (r *room) workerSets(u *unit) [][]*worker {
	step := u.spec()
	inOneRack := u.gang() && step.SameRack
	if (!inOneRack && step.PreferredRack == "") || r.mayLeaveRack(u) {
		return [][]*worker{r.workers}
	}
	byRack := map[model.RackID][]*worker{}
	var racks []model.RackID
	for _, w := range r.workers {
		if !inOneRack && string(w.Rack) != step.PreferredRack {
			continue
		}
		if byRack[w.Rack] == nil {
			racks = append(racks, w.Rack)
		}
		byRack[w.Rack] = append(byRack[w.Rack], w)
	}
	sets := make([][]*worker, len(racks))
	for i, rack := range racks {
		sets[i] = byRack[rack]
	}
	return sets
}

// rackExists reports whether a rack that suits the unit could hold it when empty.
func (r *room) rackExists(u *unit) bool {
	step := u.spec()
	slots := map[model.RackID]int{}
	for _, w := range r.workers {
		if !r.allowed(u, w) {
			continue
		}
		if step.PreferredRack == "" || string(w.Rack) == step.PreferredRack {
			slots[w.Rack] += tasksThatFit(step, w.Capacity)
		}
	}
	for _, n := range slots {
		if !step.SameRack || n >= len(u.tasks) {
			return true
		}
	}
	return false
}

// tasksThatFit returns how many tasks of a step fit into an amount.
func tasksThatFit(step *workload.Step, amount workload.Demand) int {
	most := workload.MaxTasks
	if step.MaxPerWorker > 0 {
		most = step.MaxPerWorker
	}
	for _, d := range [][2]int{
		{amount.MilliCores, step.PerTask.MilliCores}, {amount.MemoryMB, step.PerTask.MemoryMB}, {amount.Accelerators, step.PerTask.Accelerators},
	} {
		if d[1] > 0 {
			most = min(most, max(0, d[0])/d[1])
		}
	}
	return most
}

// placeInOneRack places a gang inside the rack with the least room that holds it.
func (r *room) placeInOneRack(u *unit) []placement {
	byRack := map[model.RackID][]*worker{}
	slots := map[model.RackID]int{}
	for _, w := range r.workers {
		if r.allowed(u, w) {
			byRack[w.Rack] = append(byRack[w.Rack], w)
			slots[w.Rack] += tasksThatFit(u.spec(), r.free[w])
		}
	}
	racks := make([]model.RackID, 0, len(byRack))
	for rack := range byRack {
		if slots[rack] >= len(u.tasks) {
			racks = append(racks, rack)
		}
	}
	preferred := func(rack model.RackID) bool { return string(rack) == u.spec().PreferredRack }
	slices.SortFunc(racks, func(a, b model.RackID) int {
		return cmp.Or(compareBool(preferred(b), preferred(a)), cmp.Compare(slots[a], slots[b]), cmp.Compare(a, b))
	})
	for _, rack := range racks {
		if placed := r.placeWhole(u, byRack[rack]); placed != nil {
			return placed
		}
	}
	return nil
}
