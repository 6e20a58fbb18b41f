package faultmatrix

import (
	"testing"
	"time"

	"dragonflyyard/internal/gang"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/replay/jobs"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/wire"
)

func init() {
	promises := []Promise{PromiseGang, PromiseGuarantee, PromiseStore}
	registerEach("gang", promises, allSteps("gang"), jobFaults(), runGangCell)
	registerEach("task", promises, allSteps("task"), jobFaults(), driveTask)
}

// runGangCell takes a job to a step of the gang chart under a fault.
func runGangCell(t *testing.T, s step, f Fault) {
	driveGang(t, s, func(r *jobRig) { r.inject(f) })
}

// driveGang takes a job to a step of the gang chart, puts faults there and wants
// the job and the guarantees to come through.
func driveGang(t reporter, s step, put func(r *jobRig)) {
	r := newJobRig(t, s, jobs.DefaultOptions())
	r.presetGang()
	act := func() {
		put(r)
		r.fireGang()
	}
	r.onOwner(func(j scheduler.JobState) { r.approachGang(j, act) })
	r.d.Start()
	r.d.RunUntil(r.d.Now.Add(5 * time.Second))
	r.beginGang()
	r.finish(r.gangEnds()...)
	r.checkClaims()
}

// presetGang arranges what has to hold before the step is reached.
func (r *jobRig) presetGang() {
	doubt, refused := scheduler.DecisionInDoubt, scheduler.DecisionRefused
	switch {
	case r.step.from == "in_doubt", r.step == step{"deciding", "decision_in_doubt"}:
		r.firstWrite = &doubt
		r.notApplied = r.step.event == "decision_refused"
	case r.step == step{"deciding", "decision_refused"}:
		r.firstWrite = &refused
		r.notApplied = true
	case r.step.event == "launch_timed_out":
		r.dropLaunches = true
	}
}

// beginGang hands the job in so that it comes to the step's state.
func (r *jobRig) beginGang() {
	parks := r.step.from == "parked" || r.step.event == "stopped_and_parked"
	switch {
	case r.step.from == "queued" && r.step.event != "row_found":
		r.zone("z0", 30*time.Second)
		r.zone("z1", 30*time.Second)
		r.submit(nil)
	case r.step.from == "clearing":
		r.fill()
		r.d.RunUntil(r.d.Now.Add(2 * time.Second))
		r.submit(func(t *jobs.Truth) {
			if r.step.event == "reclaimed" {
				t.Job.Urgent = true
				return
			}
			t.Job.Account = "a"
			t.Job.Capacity = model.CapacityGuaranteed
		})
	default:
		r.submit(func(t *jobs.Truth) { t.Fails = parks })
	}
}

// approachGang leads the job to the step, and acts when it is there.
func (r *jobRig) approachGang(j scheduler.JobState, act func()) {
	running := j.Phase == scheduler.PhaseRunning
	switch {
	case r.step.event == "row_found":
		if running {
			r.once(func() {
				r.d.Kill(r.d.Owner)
				r.elect(3 * time.Second)
				r.d.After(3*time.Second+time.Millisecond, act)
			})
		}
	case running && !r.led && r.leads():
		r.led = true
		r.d.After(0, r.leadGang)
	case r.step.event == "stopped_and_parked":
		if j.Phase == scheduler.PhaseStopping && j.Next == scheduler.PhaseParked {
			r.once(act)
		}
	case string(j.Phase) == r.step.from:
		r.once(act)
	}
}

// leads reports whether a running job has to be led to the step's state.
func (r *jobRig) leads() bool {
	return r.step.from == "recovering" || r.step.event == "stopped_for_good" || r.step.event == "stopped_for_retry"
}

// leadGang leads a running job to the step's state.
func (r *jobRig) leadGang() {
	switch r.step.event {
	case "stopped_for_good":
		r.cancel()
	case "stopped_for_retry":
		r.claimAll()
	default:
		r.d.Kill(r.d.Owner)
		r.elect(3 * time.Second)
	}
}

// fireGang causes the step's event where it does not come by itself.
func (r *jobRig) fireGang() {
	h := r.host()
	switch r.step.event {
	case "cancelled":
		r.cancel()
	case "reserve_refused":
		r.d.StepOwner(r.d.Owner, scheduler.Receive{From: h.Worker.ID, Message: &wire.ReserveReply{
			Job: rigJob, Attempt: 1, Task: rigTask, Reason: "no capacity",
		}})
	case "reserve_timed_out":
		r.silent[h.Worker.ID] = r.d.Now.Add(1200 * time.Millisecond)
	case "launch_timed_out":
		r.d.After(2*time.Second, func() { r.dropLaunches = false })
	case "member_lost":
		r.crash(h)
	case "member_failed":
		h.End(rigTask, wire.TaskFailed)
	case "reclaimed":
		r.claimAll()
	case "zone_out":
		r.zone(h.Worker.Zone, 12*time.Second)
	}
}

// gangEnds are the phases in which the job may end. A cancel that reached an
// owner that died was not confirmed, so the job may also run to its end.
func (r *jobRig) gangEnds() []scheduler.Phase {
	switch {
	case r.step.from == "parked":
		return []scheduler.Phase{scheduler.PhaseParked, scheduler.PhaseCancelled}
	case r.step.event == "stopped_and_parked":
		return []scheduler.Phase{scheduler.PhaseParked}
	case r.step.event == "cancelled" || r.step.event == "stopped_for_good":
		return []scheduler.Phase{scheduler.PhaseCancelled, scheduler.PhaseFinished}
	default:
		return []scheduler.Phase{scheduler.PhaseFinished}
	}
}

// taskStates are the chart's names of the states on the wire.
var taskStates = map[wire.TaskState]string{
	wire.TaskReserved: "reserved", wire.TaskStarting: "starting", wire.TaskRunning: "running",
	wire.TaskSuspended: "suspended", wire.TaskStopping: "stopping",
}

// driveTask takes a task to a step of the task chart under a fault.
func driveTask(t *testing.T, s step, f Fault) {
	o := jobs.DefaultOptions()
	o.TaskStart = 900 * time.Millisecond
	if s == (step{"starting", "lease_lapsed"}) {
		o.TaskStart = 4 * time.Second
	}
	if s.event == "suspension_expired" {
		o.Member.SuspensionTimeout = 500 * time.Millisecond
	}
	r := newJobRig(t, s, o)
	prepared := false
	r.onOwner(func(scheduler.JobState) {})
	r.onTask(func(h *jobs.Host, report wire.TaskReport) {
		if !prepared && report.State == wire.TaskRunning {
			prepared = true
			r.d.After(0, func() { r.leadTask(h) })
		}
		if taskStates[report.State] == s.from {
			r.once(func() {
				r.d.Options.TaskStart = 100 * time.Millisecond
				r.inject(f)
				r.fireTask(h, report)
			})
		}
	})
	r.d.Start()
	r.d.RunUntil(r.d.Now.Add(5 * time.Second))
	r.submit(nil)
	ends := []scheduler.Phase{scheduler.PhaseFinished}
	if s.event == "stop_ordered" || s.event == "released" {
		ends = append(ends, scheduler.PhaseCancelled)
	}
	r.finish(ends...)
	r.checkClaims()
}

// leadTask leads a running task to the step's state.
func (r *jobRig) leadTask(h *jobs.Host) {
	switch r.step.from {
	case "suspended":
		r.d.Kill(r.d.Owner)
		r.elect(3 * time.Second)
	case "stopping":
		r.zone(h.Worker.Zone, 12*time.Second)
	}
}

// fireTask causes the step's event where it does not come by itself.
func (r *jobRig) fireTask(h *jobs.Host, report wire.TaskReport) {
	switch r.step.event {
	case "launch_refused":
		h.Step(gang.PermitUpdate{ZoneOut: true, OwnerEpoch: r.d.LeaseEpoch})
	case "released":
		r.cancel()
	case "hold_expired":
		r.d.Kill(r.d.Owner)
		r.elect(4 * time.Second)
	case "lease_lapsed":
		r.silent[h.Worker.ID] = r.d.Now.Add(3 * time.Second)
	case "stop_ordered":
		r.orderStop(h, report)
	case "worker_finished":
		h.End(rigTask, wire.TaskFinished)
	case "worker_failed":
		h.End(rigTask, wire.TaskFailed)
	case "worker_stopped":
		if r.step.from != "stopping" {
			h.End(rigTask, wire.TaskStopped)
		}
	}
}

func (r *jobRig) orderStop(h *jobs.Host, report wire.TaskReport) {
	switch r.step.from {
	case "reserved":
		r.stopAgent(h)
	case "suspended":
		r.d.After(3500*time.Millisecond, r.cancel)
	case "stopping":
		h.Step(gang.Receive{Message: &wire.StopTask{Epoch: r.d.LeaseEpoch, Job: rigJob, Attempt: report.Attempt, Task: rigTask}})
	default:
		r.cancel()
	}
}
