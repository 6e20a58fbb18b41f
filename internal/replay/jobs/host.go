package jobs

import (
	"slices"
	"time"

	"dragonflyyard/internal/gang"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/wire"
)

// Host is one machine: an agent's member and a fake worker beside it.
type Host struct {
	Worker model.Worker
	Member *gang.Member
	// Alive is false while the whole host is down, Frozen while only the agent
	// is paused.
	Alive  bool
	Frozen bool
	// Bad makes every task fail shortly after its start.
	Bad   bool
	Tasks map[model.TaskID]*FakeTask
	// Work is the accelerator time that tasks have run on this host.
	Work time.Duration
	d    *Driver
	held []gang.Input
}

// FakeTask is a task on a fake worker.
type FakeTask struct {
	ID      model.TaskID
	Job     model.JobID
	Needs   model.Resources
	Attempt uint64
	// Percent is the speed; zero while the task is suspended.
	Percent    int
	Running    bool
	LeaseUntil time.Time
	left       time.Duration
	done       time.Duration
	since      time.Time
	version    int
}

func newHost(d *Driver, w model.Worker) *Host {
	return &Host{
		Worker: w, Member: gang.NewMember(w, d.Options.Member, d.Now.Add(-time.Hour)),
		Alive: true, Tasks: map[model.TaskID]*FakeTask{}, d: d,
	}
}

// step gives an input to the member and carries its actions out.
func (h *Host) step(in gang.Input) {
	if !h.Alive {
		return
	}
	if h.Frozen {
		if _, tick := in.(gang.Tick); !tick {
			h.held = append(h.held, in)
		}
		return
	}
	for _, a := range h.Member.Step(h.d.Now, in) {
		h.carryOut(a)
	}
	if h.d.Hooks.MemberStepped != nil {
		h.d.Hooks.MemberStepped(h)
	}
}

func (h *Host) carryOut(a gang.Action) {
	switch a := a.(type) {
	case gang.Send:
		h.sendToOwner(a.Message)
	case gang.StartTask:
		h.start(a)
	case gang.ExtendLease:
		if t := h.Tasks[a.Task]; t != nil {
			t.LeaseUntil = a.LeaseUntil
			h.watchLease(t)
		}
	case gang.CheckpointTask:
		h.checkpoint(a)
	case gang.StopTask:
		h.stop(a.Task, wire.TaskStopped, false, "stopped")
	case gang.ThrottleTask:
		h.throttle(a)
	}
}

func (h *Host) sendToOwner(m wire.Message) {
	owner := h.d.Owner
	for _, delay := range h.d.delays(true, h.Worker.ID, m) {
		h.d.After(delay, func() {
			h.d.StepOwner(owner, scheduler.Receive{From: h.Worker.ID, Message: m})
		})
	}
}

// connect opens a new connection to the present owner, which begins with a report.
func (h *Host) connect() {
	owner := h.d.Owner
	h.d.After(h.d.Options.Latency, func() {
		if !h.Alive || h.Frozen {
			return
		}
		h.d.StepOwner(owner, scheduler.WorkerUp{Report: *h.Member.Report()})
	})
}

func (h *Host) permit() {
	h.step(gang.PermitUpdate{
		ValidUntil: h.d.Now.Add(h.d.Options.PermitValid),
		ZoneOut:    h.d.Config.Zones[h.Worker.Zone] == model.ZoneOut,
		OwnerEpoch: h.d.LeaseEpoch,
	})
}

// Crash takes the host down with all its tasks.
func (h *Host) Crash() {
	h.Alive = false
	for _, id := range h.sortedTasks() {
		h.settle(h.Tasks[id])
		delete(h.Tasks, id)
	}
	h.changed()
}

// Restart brings a host up again as a new life.
func (h *Host) Restart() {
	h.Alive = true
	h.Frozen = false
	h.held = nil
	h.Member = gang.NewMember(h.Worker, h.d.Options.Member, h.d.Now)
	h.permit()
	h.connect()
}

// RestartAgent replaces the agent by a new life. The worker's tasks go on until
// their worker leases lapse.
func (h *Host) RestartAgent() {
	h.Frozen = false
	h.held = nil
	h.Member = gang.NewMember(h.Worker, h.d.Options.Member, h.d.Now)
	h.permit()
	h.connect()
}

// Reconnect opens a new connection to the present owner.
func (h *Host) Reconnect() { h.connect() }

// Step gives an input to the host's member.
func (h *Host) Step(in gang.Input) { h.step(in) }

// End makes the worker end a task by itself.
func (h *Host) End(id model.TaskID, state wire.TaskState) {
	h.stop(id, state, false, "ended by the worker")
}

// Thaw ends a pause of the agent: it takes the inputs that waited.
func (h *Host) Thaw() {
	h.Frozen = false
	held := h.held
	h.held = nil
	for _, in := range held {
		h.step(in)
	}
	h.connect()
}

func (h *Host) start(a gang.StartTask) {
	job := a.Job
	truth := h.d.Truths[job]
	state, _ := h.d.Owner.Core.Job(job)
	t := &FakeTask{
		ID: a.Task, Job: job, Needs: a.Needs, Attempt: a.Attempt, Percent: 100, LeaseUntil: a.LeaseUntil, since: h.d.Now,
		left: max(time.Millisecond, truth.Run-time.Duration(state.DoneMS)*time.Millisecond),
	}
	h.Tasks[a.Task] = t
	h.watchLease(t)
	if h.d.Hooks.Started != nil {
		h.d.Hooks.Started(h, a.Task)
	}
	h.d.After(h.d.Options.TaskStart, func() {
		if h.Tasks[a.Task] != t {
			return
		}
		h.settle(t)
		t.Running = true
		h.changed()
		h.report(t, wire.TaskRunning, false, "")
		h.watchEnd(t)
		if h.Bad || truth.Fails {
			h.d.After(time.Second, func() {
				if h.Tasks[a.Task] == t {
					h.stop(a.Task, wire.TaskFailed, false, "exit status 1")
				}
			})
		}
	})
}

// settle brings a task's work up to date.
func (h *Host) settle(t *FakeTask) {
	if t.Running && t.Percent > 0 {
		ran := h.d.Now.Sub(t.since) * time.Duration(t.Percent) / 100
		t.done += ran
		h.Work += ran * time.Duration(t.Needs.Accelerators)
	}
	t.since = h.d.Now
	t.version++
}

func (h *Host) watchEnd(t *FakeTask) {
	if !t.Running || t.Percent == 0 {
		return
	}
	version := t.version
	h.d.After((t.left-t.done)*100/time.Duration(t.Percent), func() {
		if h.Tasks[t.ID] == t && t.version == version {
			h.stop(t.ID, wire.TaskFinished, false, "")
		}
	})
}

func (h *Host) watchLease(t *FakeTask) {
	until := t.LeaseUntil
	h.d.After(until.Sub(h.d.Now), func() {
		if h.Tasks[t.ID] == t && t.LeaseUntil.Equal(until) {
			h.stop(t.ID, wire.TaskStopped, false, "worker lease lapsed")
		}
	})
}

func (h *Host) checkpoint(a gang.CheckpointTask) {
	t := h.Tasks[a.Task]
	if t == nil {
		return
	}
	h.settle(t)
	t.Percent = 0
	h.changed()
	took := min(h.d.Options.Checkpoint, a.Until.Sub(h.d.Now))
	whole := took == h.d.Options.Checkpoint && h.d.Truths[t.Job].Job.CanCheckpoint
	if !h.d.Truths[t.Job].Job.CanCheckpoint {
		took = 0
	}
	h.d.After(took, func() {
		if h.Tasks[a.Task] == t {
			h.stop(a.Task, wire.TaskStopped, whole, "checkpointed")
		}
	})
}

func (h *Host) throttle(a gang.ThrottleTask) {
	if t := h.Tasks[a.Task]; t != nil {
		h.settle(t)
		t.Percent = a.Percent
		h.changed()
		h.watchEnd(t)
	}
}

func (h *Host) stop(id model.TaskID, state wire.TaskState, checkpointed bool, detail string) {
	t := h.Tasks[id]
	if t == nil {
		return
	}
	h.settle(t)
	delete(h.Tasks, id)
	if h.d.Hooks.Ended != nil {
		h.d.Hooks.Ended(t, state, checkpointed)
	}
	h.changed()
	h.report(t, state, checkpointed, detail)
}

func (h *Host) report(t *FakeTask, state wire.TaskState, checkpointed bool, detail string) {
	h.step(gang.WorkerTaskEvent{
		Task: t.ID, State: state, Checkpointed: checkpointed, DoneMS: t.done.Milliseconds(), Detail: detail,
	})
}

func (h *Host) changed() {
	if h.d.Hooks.Changed != nil {
		h.d.Hooks.Changed(h)
	}
}

func (h *Host) sortedTasks() []model.TaskID {
	ids := make([]model.TaskID, 0, len(h.Tasks))
	for id := range h.Tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
