package dispatch

import (
	"fmt"
	"time"

	"dragonflyyard/internal/interference"
	"dragonflyyard/internal/workload"
)

// Tasks that slow each other down. Load pattern: workers that run tasks of several kinds,
// some of which disturb others by more than the workers' capacity accounts for, on a
// deployment with room to keep them apart.
//
// The evidence only orders workers on which a task fits anyway: it makes no task wait, and
// stops or moves none. Gangs are not observed as victims, because their progress depends on
// all their workers, and neither are tasks that last, whose percentage is not progress.

const (
	// minReportGap and maxReportGap bound the time between two reports of a worker between
	// which its runs are known well enough.
	minReportGap = 100 * time.Millisecond
	maxReportGap = 3 * time.Second
	// resumeTime is the time after the first report of a run that resumes from a checkpoint
	// in which it makes no progress of its own.
	resumeTime = 1500 * time.Millisecond
	// disturbancesStoredEvery is the interval at which changed evidence is stored, and
	// harmlessStoredEvery that while it suggests no slowdown, so that its loss costs
	// little. A pair that becomes known is stored at once.
	disturbancesStoredEvery = 10 * time.Second
	harmlessStoredEvery     = time.Minute
	// idleReserve is the share of the workers that is left idle for later tasks that need a
	// whole worker.
	idleReserve = 0.05
)

// disturbances is the evidence of a core and what was last given out to be stored.
type disturbances struct {
	model    *interference.Model
	stored   interference.State
	storedMS int64
	// changed is set when a pair became known or unknown since then.
	changed bool
	// separated counts the tasks that were placed apart.
	separated int
}

// DisturbanceStats counts the pairs of kinds that are known to disturb each other, and the
// tasks that this owner placed apart because of them.
type DisturbanceStats struct{ KnownPairs, Separated int }

// DisturbanceStats returns the current counts.
func (c *Core) DisturbanceStats() DisturbanceStats {
	return DisturbanceStats{c.disturbances.model.KnownPairs(), c.disturbances.separated}
}

// Separates reports whether tasks that disturb each other are kept apart.
func (c *Core) Separates() bool { return c.settings.SeparateDisturbing }

// restoreDisturbances takes over the evidence of a previous owner. Evidence that can't be
// read is dropped, and tasks are placed as without it.
func (c *Core) restoreDisturbances(now Now, state interference.State) {
	m, err := interference.Restore(now.StoreMS, state)
	if err != nil {
		c.recordDecision(Decision{Kind: "disturbances_dropped", Reason: err.Error(), AgeMS: -1})
		return
	}
	c.disturbances.model, c.disturbances.stored, c.disturbances.storedMS = m, state, now.StoreMS
}

// toStore returns the evidence to store, at an interval unless a pair became known.
func (d *disturbances) toStore(now Now) interference.State {
	interval := harmlessStoredEvery
	if d.storedMS == 0 {
		d.storedMS = now.StoreMS
	}
	if now.StoreMS-d.storedMS >= disturbancesStoredEvery.Milliseconds() && d.model.Suspects() {
		interval = disturbancesStoredEvery
	}
	if d.changed || now.StoreMS-d.storedMS >= interval.Milliseconds() {
		d.stored, d.storedMS, d.changed = d.model.State(), now.StoreMS, false
	}
	return d.stored
}

// taskKind returns the kind of a step's tasks.
func (j *job) taskKind(step int) string {
	if j.taskKinds == nil {
		j.taskKinds = make([]string, len(j.Steps))
		for i := range j.Steps {
			j.taskKinds[i] = interference.KindOf(j.Steps[i].Program, j.Queue, j.Steps[i].PerTask)
		}
	}
	return j.taskKinds[step]
}

// kindsOn returns the kinds of the runs that a worker reports, -1 for unknown ones.
func (c *Core) kindsOn(w *worker) []int {
	out := make([]int, len(w.Running))
	for i := range w.Running {
		out[i] = -1
		ref, err := workload.ParseTaskRef(w.Running[i].Task)
		if err != nil {
			continue
		}
		if j := c.jobs[ref.Job]; j != nil && ref.Step < len(j.Steps) {
			out[i] = c.disturbances.model.Index(w.SentMS, j.taskKind(ref.Step))
		}
	}
	return out
}

// observeNeighbours adds a worker's new announcement to the traces of its runs.
func (c *Core) observeNeighbours(w *worker) {
	gap := time.Duration(w.SentMS-w.observedMS) * time.Millisecond
	if gap < minReportGap {
		return
	}
	w.observedMS = w.SentMS
	kinds := c.kindsOn(w)
	var count [interference.MaxKinds]int
	var all interference.Set
	for _, kind := range kinds {
		if all = all.With(kind); kind >= 0 {
			count[kind]++
		}
	}
	for i := range w.Running {
		o := w.orderOf(&w.Running[i])
		if o == nil || kinds[i] < 0 || !observable(o, w.SentMS) {
			continue
		}
		neighbours := all
		if count[kinds[i]] == 1 {
			neighbours = neighbours.Without(kinds[i])
		}
		if gap > maxReportGap {
			o.trace.Skip()
		}
		o.trace.Observe(c.disturbances.model, interference.Sample{
			SentMS: w.SentMS, StalledMS: w.Running[i].StalledMS, Percent: w.Running[i].Percent, Neighbours: neighbours,
		})
	}
}

// orderOf returns the order of a reported run, or nil if there is none.
func (w *worker) orderOf(running *workload.RunningTask) *order {
	ref, err := workload.ParseTaskRef(running.Task)
	if err != nil {
		return nil
	}
	return w.orders[workload.RunID{Task: ref, Run: running.Run}]
}

// observable reports whether a run's progress at a time tells how fast it works.
func observable(o *order, sentMS int64) bool {
	step := o.step()
	resuming := o.Checkpoint != "" && sentMS-o.firstReportMS < resumeTime.Milliseconds()
	return !step.Gang && !step.LongRunning && !o.stopRequested && !resuming
}

// learnFrom adds the progress of a run that has ended to the evidence.
func (c *Core) learnFrom(now Now, o *order) {
	if o.step().Gang || o.step().LongRunning {
		return
	}
	m := c.disturbances.model
	m.Learn(now.StoreMS, m.Index(now.StoreMS, o.job.taskKind(o.id.Task.Step)), &o.trace)
	for _, pair := range m.Changes() {
		c.disturbances.changed = true
		kind := "disturbance_known"
		if !pair.Known {
			kind = "disturbance_forgotten"
		}
		c.recordDecision(Decision{Kind: kind, Reason: fmt.Sprintf("%s beside %s takes %.2f times as long (%.2f to %.2f, %.0f runs)",
			pair.Victim, pair.Neighbour, pair.Factor, pair.Low, pair.High, pair.Runs), AgeMS: pair.AgeMS})
	}
}

// neighbours counts the tasks of each kind on each worker during a round.
type neighbours struct {
	on map[*worker]*kindCounts
	// idle is the number of workers without a task.
	idle int
	// wide is the number of waiting tasks that need an idle worker.
	wide int
}

type kindCounts struct {
	tasks int
	kinds [interference.MaxKinds]int
}

// countNeighbours counts the tasks on all workers if any pair is known to disturb.
func (r *schedulingRound) countNeighbours() {
	m := r.core.disturbances.model
	if !r.core.settings.SeparateDisturbing || !m.AnyKnown() {
		return
	}
	r.neighbours = &neighbours{on: make(map[*worker]*kindCounts, len(r.workers))}
	for _, w := range r.workers {
		counts := &kindCounts{}
		for _, o := range w.orders {
			counts.tasks++
			if kind := m.Index(r.now.StoreMS, o.job.taskKind(o.id.Task.Step)); kind >= 0 && !o.stopRequested {
				counts.kinds[kind]++
			}
		}
		r.neighbours.on[w] = counts
		if counts.tasks == 0 {
			r.neighbours.idle++
		}
	}
}

// addNeighbour counts a task that was allocated (1) or released (-1) on a worker.
func (r *schedulingRound) addNeighbour(u *unit, w *worker, n int) {
	if r.neighbours == nil {
		return
	}
	counts := r.neighbours.on[w]
	if counts == nil {
		return
	}
	idleBefore := counts.tasks == 0
	counts.tasks += n
	if kind := r.disturbanceUnit(u).kind; kind >= 0 {
		counts.kinds[kind] += n
	}
	switch idle := counts.tasks == 0; {
	case idle && !idleBefore:
		r.neighbours.idle++
	case !idle && idleBefore:
		r.neighbours.idle--
	}
}

// unitDisturbance is what disturbanceOf needs to know of a unit, once resolved is set.
type unitDisturbance struct {
	resolved bool
	// kind is the index of the unit's kind, and concerned whether it is part of a known pair.
	kind      int
	concerned bool
	// idleNeeded is the result of idleWorkersNeeded.
	idleNeeded int
	// roomy is set while placing the unit leaves enough idle workers.
	roomy bool
	// separated counts the unit's tasks that were placed apart, and avoided the largest
	// disturbance that this avoided.
	separated int
	avoided   float64
}

func (r *schedulingRound) disturbanceUnit(u *unit) *unitDisturbance {
	d := &u.disturbance
	if !d.resolved {
		m := r.core.disturbances.model
		d.kind = m.Index(r.now.StoreMS, u.job.taskKind(u.step))
		d.resolved, d.concerned = true, m.Concerns(d.kind)
	}
	return d
}

// countWideTasks counts the waiting tasks that need an idle worker.
func (r *schedulingRound) countWideTasks(units []*unit) {
	if r.neighbours == nil {
		return
	}
	for _, u := range units {
		needed, wide := r.idleWorkersNeeded(u)
		if u.disturbance.idleNeeded = needed; wide {
			r.neighbours.wide += len(u.tasks)
		}
	}
}

// idleWorkersNeeded returns how many idle workers a unit's tasks would fill, at most one
// each. wide is set if no worker has the capacity for two of the tasks.
func (r *schedulingRound) idleWorkersNeeded(u *unit) (needed int, wide bool) {
	perWorker, wide := 1, true
	two := u.spec().PerTask.Add(u.spec().PerTask)
	for _, w := range r.workers {
		if eligible(u, w) {
			perWorker = max(perWorker, tasksThatFit(u.spec(), w.Capacity))
			wide = wide && !two.Fits(w.Capacity)
		}
	}
	return (len(u.tasks) + perWorker - 1) / perWorker, wide
}

// weighRoom decides whether keeping the unit's tasks apart may take idle workers: only if
// enough of them remain for the waiting tasks that need one, and for later ones.
func (r *schedulingRound) weighRoom(u *unit) {
	if r.neighbours == nil || !r.disturbanceUnit(u).concerned {
		return
	}
	u.disturbance.separated, u.disturbance.avoided = 0, 0
	reserve := 1 + int(idleReserve*float64(len(r.workers)))
	u.disturbance.roomy = r.neighbours.idle-u.disturbance.idleNeeded >= r.neighbours.wide+reserve
}

// disturbanceOf returns fitness.disturbance and fitness.spared of a worker. Both are 0
// unless the unit's kind is part of a known pair.
func (r *schedulingRound) disturbanceOf(u *unit, w *worker) (disturbance, spared float64) {
	if r.neighbours == nil || !u.disturbance.concerned {
		return 0, 0
	}
	counts := r.neighbours.on[w]
	if counts == nil {
		return 0, 0
	}
	m, kind, loss := r.core.disturbances.model, u.disturbance.kind, 0.0
	for other, n := range counts.kinds {
		if n > 0 {
			loss += float64(n) * (m.Loss(kind, other) + m.Loss(other, kind))
		}
	}
	if u.disturbance.roomy {
		return loss, 0
	}
	return 0, loss
}

// count counts a task that is placed with less disturbance than on the worker that would
// have been chosen without it.
func (d *unitDisturbance) count(candidates *scoredWorkers[fitness], chosen fitness) {
	if !d.concerned {
		return
	}
	if without, found := candidates.bestBy((*fitness).beforeUndisturbed); found {
		if avoided := without.disturbance + without.spared - chosen.disturbance - chosen.spared; avoided > 0 {
			d.separated++
			d.avoided = max(d.avoided, avoided)
		}
	}
}

// recordSeparation records that tasks of a unit were placed apart from others.
func (r *schedulingRound) recordSeparation(u *unit) {
	d := &u.disturbance
	if d.separated == 0 {
		return
	}
	r.core.disturbances.separated += d.separated
	r.core.recordDecision(Decision{Kind: "tasks_kept_apart", Job: u.job.ID, AgeMS: -1, Reason: fmt.Sprintf(
		"%d of %d tasks of step %d; avoids up to %.2f of a run time beside others", d.separated, len(u.tasks), u.step, d.avoided)})
}
