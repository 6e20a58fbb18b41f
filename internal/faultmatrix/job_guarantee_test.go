package faultmatrix

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/replay/jobs"
	"dragonflyyard/internal/scheduler"
)

// Times of the claims at the end of a cell.
const (
	// rigHealed is longer than hosts and zones stay away after a fault.
	rigHealed = 40 * time.Second
	// claimLimit is the time for borrowed work to checkpoint, with its grace, and
	// for a gang to be reserved, decided and launched.
	claimLimit = 15 * time.Second
)

// guaranteeWatch keeps what an owner knows of the fleet and what operators were
// told, and holds the covered cells against both.
type guaranteeWatch struct {
	r *jobRig
	// up are the workers that reported to the present owner and were not lost since.
	up map[model.WorkerID]bool
	// told are the cells that operators were told of as uncovered.
	told map[string]bool
}

func watchGuarantees(r *jobRig) {
	w := &guaranteeWatch{r: r}
	inner := r.d.Hooks.OwnerStepped
	r.d.Hooks.OwnerStepped = func(c *scheduler.Core, in scheduler.Input, out []scheduler.Action) {
		inner(c, in, out)
		w.input(in)
		w.actions(out)
		if _, isOwner := c.Owner(); isOwner && !c.IsRecovering() {
			w.check(c)
		}
	}
}

func (w *guaranteeWatch) input(in scheduler.Input) {
	switch in := in.(type) {
	case scheduler.BecomeOwner:
		w.up, w.told = map[model.WorkerID]bool{}, map[string]bool{}
	case scheduler.WorkerUp:
		w.up[in.Report.Worker.ID] = true
	case scheduler.WorkerLost:
		delete(w.up, in.Worker)
	}
}

func (w *guaranteeWatch) actions(out []scheduler.Action) {
	for _, action := range out {
		n, ok := action.(scheduler.Notify)
		switch {
		case !ok:
		case n.Alarm == scheduler.AlarmGuaranteeUncovered:
			w.told[n.Subject] = true
			if n.Text == "" {
				w.r.violate("operators are not told why %s is uncovered", n.Subject)
			}
		case n.Alarm == scheduler.AlarmGuaranteeCovered:
			delete(w.told, n.Subject)
		}
	}
}

// check wants no more cells to be covered than whole racks are in service, and
// operators to know of all others.
func (w *guaranteeWatch) check(c *scheduler.Core) {
	covered, uncovered := 0, 0
	for _, cell := range c.Cells() {
		if cell.Covered {
			covered++
			continue
		}
		uncovered++
	}
	if racks := w.racks(); covered > racks {
		w.r.violate("%d guaranteed racks count as covered, %d are in service", covered, racks)
	}
	if uncovered != len(w.told) {
		w.r.violate("%d guaranteed racks are uncovered, operators were told of %d", uncovered, len(w.told))
	}
}

// racks counts the racks whose workers are all in service.
func (w *guaranteeWatch) racks() int {
	workers := map[model.RackID]int{}
	for id := range w.up {
		host := w.r.d.Hosts[id].Worker
		if w.r.d.Config.Zones[host.Zone] == model.ZoneIn {
			workers[host.Rack]++
		}
	}
	whole := 0
	for _, n := range workers {
		if n == rigShape().Tasks {
			whole++
		}
	}
	return whole
}

// checkClaims fills the healed fleet with borrowed work and wants both guaranteed
// racks to run at once, by evicting that work only.
func (r *jobRig) checkClaims() {
	r.t.Helper()
	r.d.RunUntil(r.d.Now.Add(rigHealed))
	for i := range 4 {
		shape := rigShape()
		shape.Tasks, shape.Topology = 1, model.TopologyAny
		r.d.Submit(r.longJob(model.JobID("late-fill-"+string(rune('0'+i))), "b", shape, model.CapacityBorrowed))
	}
	r.d.RunUntil(r.d.Now.Add(2 * time.Second))
	claims := []model.JobID{"late-claim-0", "late-claim-1"}
	for _, id := range claims {
		r.d.Submit(r.longJob(id, "a", rigShape(), model.CapacityGuaranteed))
	}
	r.d.RunUntil(r.d.Now.Add(claimLimit))
	for _, id := range claims {
		j, _ := r.d.Owner.Core.Job(id)
		if j.Phase != scheduler.PhaseRunning || j.Class != model.CapacityGuaranteed || j.Preemptions > 0 {
			why, _ := r.d.Owner.Core.Explain(r.d.Now, id)
			r.t.Errorf("%s after %s: phase %s, class %s, evicted %d times; %q", id, claimLimit, j.Phase, j.Class, j.Preemptions, why)
		}
	}
	if r.watch.Violation != "" {
		r.t.Errorf("%s\n%s", r.watch.Violation, r.history())
	}
}

// longJob is a job that outlasts its cell.
func (r *jobRig) longJob(id model.JobID, account model.ClientAccountID, shape model.Shape, class model.CapacityClass) *jobs.Truth {
	return &jobs.Truth{Run: time.Hour, Job: model.Job{
		ID: id, Account: account, Shape: shape, DeclaredRunTime: time.Hour, Capacity: class, CanCheckpoint: true,
	}}
}

// violate keeps the first broken promise.
func (r *jobRig) violate(format string, args ...any) {
	r.watch.Violate(format, args...)
}

// started wants the decision row of a task's attempt to stand in the table
// before the task starts, whatever the owner believes.
func (r *jobRig) started(h *jobs.Host, id model.TaskID) {
	task := h.Tasks[id]
	row, known := r.d.Rows[task.Job]
	if !known || row.Attempt < task.Attempt || row.Attempt == task.Attempt && len(row.Allocation) == 0 {
		r.violate("task %s of attempt %d starts on %s, and the table has attempt %d with %v",
			id, task.Attempt, h.Worker.ID, row.Attempt, row.Allocation)
	}
}
