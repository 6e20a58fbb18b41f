package dispatch

import (
	"cmp"
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// schedulingRound is the working state of one plan: the capacity that is still
// free and what was already allocated.
type schedulingRound struct {
	core    *Core
	now     Now
	workers []*worker
	free    map[*worker]workload.Resources
	// tasksOnWorker counts the tasks of each step on each worker.
	tasksOnWorker map[stepOnWorker]int
	// reservations counts the units of lower priority with reserved capacity.
	reservations int
	// urgentAccelerators counts the accelerators that each account's work of
	// priority 0 holds or preempted.
	urgentAccelerators map[model.ClientAccountID]int
	// reservedOn holds the capacity of each worker that waits for gangs.
	reservedOn map[*worker]reservation
	// releasing is the demand of the runs that are being stopped on each worker.
	releasing map[*worker]workload.Resources
	// endsByWorker and victimsByWorker cache the results of expectedEnds and
	// preemptibleOn.
	endsByWorker    map[*worker][]expectedEnd
	victimsByWorker map[*worker][]victim
	// held is the room that is kept for claims which were not yet placed.
	held map[*unit][]*worker
	// lent caches the result of lentOrders; nil before.
	lent map[*order]bool
	// neighbours is nil unless tasks are to be kept apart.
	neighbours *neighbours
}

type stepOnWorker struct {
	job    model.JobID
	step   stepKey
	worker *worker
}

func (c *Core) newRound(now Now) *schedulingRound {
	r := &schedulingRound{
		core: c, now: now, free: map[*worker]workload.Resources{}, tasksOnWorker: map[stepOnWorker]int{}, urgentAccelerators: c.urgentInUse(),
		releasing: map[*worker]workload.Resources{}, reservedOn: map[*worker]reservation{}, held: map[*unit][]*worker{}, endsByWorker: map[*worker][]expectedEnd{}, victimsByWorker: map[*worker][]victim{},
	}
	quarantined := c.quarantined(now)
	for _, w := range c.sortedWorkers() {
		for id, o := range w.orders {
			r.tasksOnWorker[stepOnWorker{id.Task.Job, stepKey{id.Task.Occurrence, id.Task.Step}, w}]++
			if o.stopRequested {
				r.releasing[w] = r.releasing[w].Add(o.demand)
			}
		}
		if quarantined[w] || !c.schedulable(now, w) {
			continue
		}
		r.workers = append(r.workers, w)
		r.free[w] = w.Capacity.Sub(w.used)
	}
	r.countNeighbours()
	return r
}

// schedulable reports whether a worker accepts new tasks, unless it is in quarantine.
func (c *Core) schedulable(now Now, w *worker) bool {
	return w.State == workload.WorkerReady && !c.evacuated[w.Zone] && now.StoreMS >= w.avoidUntilMS &&
		now.StoreMS-w.SentMS <= c.settings.HeartbeatTimeout.Milliseconds()
}

// underLimit reports whether the step's limit of tasks per worker allows one more
// on a worker.
func (r *schedulingRound) underLimit(u *unit, w *worker) bool {
	limit := u.spec().MaxPerWorker
	return limit == 0 || r.tasksOnWorker[stepOnWorker{u.job.ID, stepKey{u.occurrence, u.step}, w}] < limit
}

func (r *schedulingRound) allocate(u *unit, w *worker) {
	r.free[w] = r.free[w].Sub(u.spec().PerTask)
	r.tasksOnWorker[stepOnWorker{u.job.ID, stepKey{u.occurrence, u.step}, w}]++
	r.addNeighbour(u, w, 1)
}

func (r *schedulingRound) release(u *unit, w *worker) {
	r.free[w] = r.free[w].Add(u.spec().PerTask)
	r.tasksOnWorker[stepOnWorker{u.job.ID, stepKey{u.occurrence, u.step}, w}]--
	r.addNeighbour(u, w, -1)
}

// placement assigns one task of a unit to a worker.
type placement struct {
	task   int
	worker *worker
}

// place chooses workers for the unit's tasks and allocates their capacity. Either
// all members of a gang are placed or none.
func (r *schedulingRound) place(u *unit) []placement {
	if !u.gang() {
		return r.placeEach(u, r.workers)
	}
	if u.spec().SameRack {
		if placed := r.placeInOneRack(u); placed != nil || !r.mayLeaveRack(u) {
			return placed
		}
	}
	return r.placeAllOrNone(u, r.workers)
}

func (r *schedulingRound) placeAllOrNone(u *unit, workers []*worker) []placement {
	r.chooseGangClass(u, workers)
	placed := r.placeEach(u, workers)
	if len(placed) == len(u.tasks) {
		return placed
	}
	for _, p := range placed {
		r.release(u, p.worker)
	}
	return nil
}

func (r *schedulingRound) placeEach(u *unit, workers []*worker) []placement {
	r.weighRoom(u)
	// Tasks that may leave the unit's rack have other candidates than those that may not.
	mayLeave := r.tasksThatMayLeaveRack(u)
	candidates, full := map[bool]*scoredWorkers[fitness]{}, map[bool]bool{}
	var placed []placement
	for _, task := range u.tasks {
		leaves := mayLeave(task)
		if full[leaves] {
			continue
		}
		if candidates[leaves] == nil {
			candidates[leaves] = newScoredWorkers(workers, func(w *worker) (fitness, bool) { return r.fitness(u, w, leaves) }, (*fitness).before)
		}
		w, chosen := candidates[leaves].best()
		if w == nil {
			full[leaves] = true
			continue
		}
		u.disturbance.count(candidates[leaves], chosen)
		r.allocate(u, w)
		for _, scored := range candidates {
			scored.rescore(w)
		}
		placed = append(placed, placement{task, w})
	}
	return placed
}

// fitness is the score of a worker on which a task fits.
type fitness struct {
	// failedJob is set if a task of the job failed on the worker, and remote if
	// the worker is outside the rack of the task's data. unannounced is set if
	// the worker has not announced itself to this owner: after a power loss its
	// row may describe an incarnation that no longer exists.
	failedJob, remote, unannounced, suspect, probing bool
	// unproven is set at a last attempt if the worker has no recent good start.
	unproven bool
	// slow ranks the worker's speed, see slowness.
	slow int
	// disturbance is the time that the task and the worker's other tasks are expected to
	// lose through each other, as a share of their run times. spared is the same while idle
	// workers are scarce; it decides only between workers with the same leftover.
	disturbance, spared float64
	// leftover is the share of the worker that would stay free.
	leftover float64
}

// before prefers, in this order, workers that have not failed the job, that are
// near its data, that have announced themselves, that have no recent failure,
// that are not on probation after a quarantine, that have a good start in case of
// a last attempt, whose speed suits the unit, that have no tasks which the task disturbs
// or is disturbed by, and that have the least capacity left over.
func (f *fitness) before(o *fitness) bool {
	return cmp.Or(
		compareBool(f.failedJob, o.failedJob), compareBool(f.remote, o.remote), compareBool(f.unannounced, o.unannounced),
		compareBool(f.suspect, o.suspect), compareBool(f.probing, o.probing),
		compareBool(f.unproven, o.unproven), cmp.Compare(f.slow, o.slow), cmp.Compare(f.disturbance, o.disturbance), cmp.Compare(f.leftover, o.leftover),
		cmp.Compare(f.spared, o.spared),
	) < 0
}

// beforeUndisturbed is before without the disturbance by other tasks.
func (f *fitness) beforeUndisturbed(o *fitness) bool {
	a, b := *f, *o
	a.disturbance, a.spared, b.disturbance, b.spared = 0, 0, 0, 0
	return a.before(&b)
}

// fitness returns the score of a worker for a task of the unit, and false if the
// task can't be placed there now. leavesRack is set if the task may be placed outside the
// preferred rack.
func (r *schedulingRound) fitness(u *unit, w *worker, leavesRack bool) (fitness, bool) {
	step := u.spec()
	free := r.freeFor(u, w)
	if !step.PerTask.Fits(free) || !r.allowed(u, w) || !r.underLimit(u, w) {
		return fitness{}, false
	}
	remote := step.PreferredRack != "" && string(w.Rack) != step.PreferredRack
	if remote && !leavesRack {
		return fitness{}, false
	}
	disturbance, spared := r.disturbanceOf(u, w)
	return fitness{
		failedJob: r.failedOn(u, w), remote: remote, unannounced: w.SentMS < r.core.firstPlanMS, suspect: r.suspect(w), probing: r.core.quarantine.Probing(w.Worker),
		unproven: u.lastAttempt() && !r.hasGoodStart(w), slow: r.slowness(u, w), disturbance: disturbance, spared: spared,
		leftover: leftoverShare(free, w.Capacity, step.PerTask),
	}, true
}

// failedOn reports whether a task of the unit's job failed on a worker.
func (r *schedulingRound) failedOn(u *unit, w *worker) bool {
	return slices.Contains(r.core.quarantine.FailedOn(u.job.ID), w.Worker)
}

// suspect reports whether the last task that ended on a worker failed recently. A
// single failure is often the task's own fault, so it weighs less than the
// distance to the data.
func (r *schedulingRound) suspect(w *worker) bool { return r.now.StoreMS < w.suspectUntilMS }

// leftoverShare returns how much of a worker stays free after a task: the sum of
// the free shares of its cores, memory and accelerators, all with the same
// weight.
func leftoverShare(free, capacity, demand workload.Resources) float64 {
	rest := free.Sub(demand)
	share := func(part, whole int) float64 {
		if whole == 0 {
			return 0
		}
		return float64(part) / float64(whole)
	}
	return share(rest.MilliCores, capacity.MilliCores) + share(rest.MemoryMB, capacity.MemoryMB) + share(rest.Accelerators, capacity.Accelerators)
}

// How long units wait for capacity near their data or within one rack.
const (
	// rackWaitShare is the wait for capacity near the data, as a share of the
	// extra run time elsewhere.
	rackWaitShare = 0.5
	// maxRackWait bounds that wait; after a longer one, objectives are missed
	// anyway.
	maxRackWait = 6 * time.Second
	// guaranteedRackWait bounds the wait of guaranteed work. It leaves time to
	// preempt other work within the platform's limit of 2.7 s.
	guaranteedRackWait = 1300 * time.Millisecond
	// minRackWait is the least wait of other work, which applies if its estimate
	// is short: a task away from its data misses its objective whenever it
	// starts, and estimates of short tasks are wrong by several times.
	minRackWait = 1300 * time.Millisecond
)

// mayLeaveRack reports whether a unit may be placed outside the racks that suit
// it: one of its tasks has waited long enough, or no such rack could hold it.
func (r *schedulingRound) mayLeaveRack(u *unit) bool {
	return r.now.elapsedSince(u.readyMS) > r.rackWait(u) || !r.rackCouldHold(u)
}

// tasksThatMayLeaveRack returns a function that reports the same for one of the unit's
// tasks.
func (r *schedulingRound) tasksThatMayLeaveRack(u *unit) func(task int) bool {
	if u.spec().PreferredRack == "" || !r.rackCouldHold(u) {
		return func(int) bool { return true }
	}
	longest := r.rackWait(u)
	return func(task int) bool {
		return r.now.elapsedSince(u.job.readySinceMS[u.taskKey(task)]) > longest
	}
}

// rackWait returns how long a task of a unit waits for capacity in the racks that suit it.
func (r *schedulingRound) rackWait(u *unit) time.Duration {
	step := u.spec()
	extra := time.Duration((r.core.settings.RemoteSlowdown - 1) * rackWaitShare * float64(step.Estimate))
	maxWait := max(min(extra, maxRackWait), minRackWait)
	if u.job.Priority == 0 && r.budgetOf(u).guaranteedTasks >= len(u.tasks) {
		maxWait = min(extra, guaranteedRackWait)
	}
	return maxWait
}

// usesAllRacks reports whether a unit may be placed on the workers of all racks together.
func (r *schedulingRound) usesAllRacks(u *unit) bool {
	step := u.spec()
	return (step.PreferredRack == "" && !(u.gang() && step.SameRack)) || r.mayLeaveRack(u)
}

// workerSets returns the alternative sets of workers for a unit: one set for each
// rack that suits it, or all workers once it may leave these racks.
func (r *schedulingRound) workerSets(u *unit) [][]*worker {
	if r.usesAllRacks(u) {
		return [][]*worker{r.workers}
	}
	step := u.spec()
	inOneRack := u.gang() && step.SameRack
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

// rackCouldHold reports whether any rack that suits the unit could hold it when
// empty.
func (r *schedulingRound) rackCouldHold(u *unit) bool {
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

// tasksThatFit returns how many tasks of a step fit into an amount of capacity.
func tasksThatFit(step *workload.Step, amount workload.Resources) int {
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

// placeInOneRack places a gang within one rack: the preferred one if it fits
// there, else the rack with the least free capacity that holds it.
func (r *schedulingRound) placeInOneRack(u *unit) []placement {
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
		if placed := r.placeAllOrNone(u, byRack[rack]); placed != nil {
			return placed
		}
	}
	return nil
}
