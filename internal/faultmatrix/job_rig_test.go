package faultmatrix

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dragonflyyard/internal/gang"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/replay/jobs"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/wire"
)

// rigJob is the job that a cell looks at, and rigTask its first task.
const (
	rigJob  = model.JobID("job")
	rigTask = model.TaskID("job/0")
)

// snapshotInterval is how old a snapshot may be that a new owner finds.
const snapshotInterval = 2500 * time.Millisecond

// rigLimit is how long a cell waits for the job to come to its end.
const rigLimit = 120 * time.Second

// jobRig runs the scheduler's owner, four agents and fake workers, takes a job
// to a step, puts a fault there and checks what the workers ran.
type jobRig struct {
	t       reporter
	d       *jobs.Driver
	watch   *jobs.Watch
	rng     *rand.Rand
	step    step
	reached bool
	// led is set once a running job was led towards the step's state.
	led bool
	log []string
	// network is what happens to messages until a time; silent are hosts whose
	// connections carry nothing until a time.
	network      func() []time.Duration
	networkUntil time.Time
	silent       map[model.WorkerID]time.Time
	// dropLaunches loses each Launch to the job's first worker.
	dropLaunches bool
	// firstWrite is what the table service does with the job's first decision row.
	firstWrite *scheduler.DecisionResult
	// notApplied is set when that write has no effect.
	notApplied bool
	// objectsDown keeps snapshots from being stored.
	objectsDown bool
	storeDown   time.Time
	storeSlow   time.Time
	answersLost time.Time
}

func rigShape() model.Shape {
	return model.Shape{Tasks: 2, PerTask: model.Resources{Accelerators: 8, Cores: 8, MemoryMB: 1024}, Topology: model.TopologyRack}
}

// newJobRig returns a rig of two racks of two workers, each rack in a zone of
// its own, with a guarantee for both racks.
func newJobRig(t reporter, s step, o jobs.Options) *jobRig {
	o.Latency = 20 * time.Millisecond
	o.StoreLatency = 60 * time.Millisecond
	o.Scheduler.ZoneDrainTime = 10 * time.Second
	start := time.Unix(1_800_000_000, 0)
	var workers []model.Worker
	for i := range 4 {
		workers = append(workers, model.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%d", i)), Rack: model.RackID(fmt.Sprintf("r%d", i/2)),
			Zone: model.AvailabilityZoneName(fmt.Sprintf("z%d", i/2)), Capacity: model.Resources{Accelerators: 8, Cores: 64, MemoryMB: 65536},
		})
	}
	config := &model.ConfigDocument{
		Version:    1,
		Accounts:   map[model.ClientAccountID]model.ClientAccount{"a": {ID: "a", Weight: 1}, "b": {ID: "b", Weight: 1}},
		Guarantees: map[string]model.GuaranteedShape{"racks": {Name: "racks", Account: "a", Shape: rigShape(), Count: 2}},
		Zones:      map[model.AvailabilityZoneName]model.ZoneState{"z0": model.ZoneIn, "z1": model.ZoneIn},
	}
	r := &jobRig{
		t: t, d: jobs.NewDriver(o, workers, config, start), rng: rand.New(rand.NewPCG(7, 7)), step: s,
		silent: map[model.WorkerID]time.Time{},
	}
	r.watch = jobs.NewWatch(r.d)
	watchGuarantees(r)
	started := r.d.Hooks.Started
	r.d.Hooks.Started = func(h *jobs.Host, id model.TaskID) {
		started(h, id)
		r.started(h, id)
	}
	r.d.Hooks.Deliver = r.deliver
	r.d.Hooks.Decide = r.decide
	r.storeSnapshots()
	r.d.Hooks.StoreDown = func() bool { return r.d.Now.Before(r.storeDown) }
	return r
}

// storeSnapshots lets the owner store its state, again and again.
func (r *jobRig) storeSnapshots() {
	r.d.After(snapshotInterval, func() {
		if owner := r.d.Owner; !r.objectsDown && !owner.Paused && !owner.Core.IsRecovering() {
			r.d.Snapshot = owner.Core.Snapshot()
		}
		r.storeSnapshots()
	})
}

func (r *jobRig) notef(format string, args ...any) {
	r.log = append(r.log, r.d.Now.Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

func (r *jobRig) deliver(toOwner bool, worker model.WorkerID, m wire.Message) []time.Duration {
	if r.d.Now.Before(r.silent[worker]) {
		return nil
	}
	if l, ok := m.(*wire.Launch); ok && r.dropLaunches && !toOwner && l.Task == rigTask {
		return nil
	}
	if r.network != nil && r.d.Now.Before(r.networkUntil) {
		return r.network()
	}
	return []time.Duration{r.d.Options.Latency}
}

func (r *jobRig) decide(row scheduler.JobRow) (bool, scheduler.DecisionResult, time.Duration) {
	delay := r.d.Options.StoreLatency
	if r.d.Now.Before(r.storeSlow) {
		delay = 1500 * time.Millisecond
	}
	switch {
	case row.Job.ID == rigJob && r.firstWrite != nil:
		result := *r.firstWrite
		r.firstWrite = nil
		return !r.notApplied, result, delay
	case r.d.Now.Before(r.storeDown):
		return false, scheduler.DecisionUnavailable, delay
	case r.d.Now.Before(r.answersLost):
		return true, scheduler.DecisionInDoubt, delay
	default:
		return true, scheduler.DecisionCommitted, delay
	}
}

// onOwner calls f after each step of the owner.
func (r *jobRig) onOwner(f func(scheduler.JobState)) {
	before := r.d.Hooks.OwnerStepped
	last := scheduler.Phase("")
	r.d.Hooks.OwnerStepped = func(c *scheduler.Core, in scheduler.Input, out []scheduler.Action) {
		before(c, in, out)
		j, known := c.Job(rigJob)
		if !known {
			return
		}
		if j.Phase != last {
			last = j.Phase
			r.notef("%T: job is %s, attempt %d", in, j.Phase, j.Attempt)
		}
		f(j)
	}
}

// onTask calls f with the state of the job's first task after each step of its agent.
func (r *jobRig) onTask(f func(*jobs.Host, wire.TaskReport)) {
	last := wire.TaskState(0)
	r.d.Hooks.MemberStepped = func(h *jobs.Host) {
		for _, t := range h.Member.Report().Tasks {
			if t.Task != rigTask {
				continue
			}
			if t.State != last {
				last = t.State
				r.notef("task on %s is in state %d", h.Worker.ID, t.State)
			}
			f(h, t)
		}
	}
}

// once runs f right after the present event, the first time only.
func (r *jobRig) once(f func()) {
	if r.reached {
		return
	}
	r.reached = true
	r.notef("step %s on %s", r.step.from, r.step.event)
	r.d.After(0, f)
}

// submit hands the job in.
func (r *jobRig) submit(change func(*jobs.Truth)) {
	truth := &jobs.Truth{Run: 4 * time.Second, Job: model.Job{
		ID: rigJob, Account: "b", Shape: rigShape(), DeclaredRunTime: 4 * time.Second, Capacity: model.CapacityBorrowed, CanCheckpoint: true,
	}}
	if change != nil {
		change(truth)
	}
	r.d.Submit(truth)
}

// fill occupies all workers with borrowed work that can checkpoint.
func (r *jobRig) fill() {
	for i := range 4 {
		shape := rigShape()
		shape.Tasks = 1
		shape.Topology = model.TopologyAny
		r.d.Submit(&jobs.Truth{Run: 8 * time.Second, Job: model.Job{
			ID: model.JobID(fmt.Sprintf("fill%d", i)), Account: "b", Shape: shape, DeclaredRunTime: time.Minute,
			Capacity: model.CapacityBorrowed, CanCheckpoint: true,
		}})
	}
}

// claimAll claims both guaranteed racks.
func (r *jobRig) claimAll() {
	for i := range 2 {
		r.d.Submit(&jobs.Truth{Run: 2 * time.Second, Job: model.Job{
			ID: model.JobID(fmt.Sprintf("claim%d", i)), Account: "a", Shape: rigShape(), DeclaredRunTime: 2 * time.Second,
			Capacity: model.CapacityGuaranteed, CanCheckpoint: true,
		}})
	}
}

// host returns a host of the job, or the first one.
func (r *jobRig) host() *jobs.Host {
	if j, ok := r.d.Owner.Core.Job(rigJob); ok && len(j.Tasks) > 0 {
		return r.d.Hosts[j.Tasks[0].Worker]
	}
	return r.d.Hosts["w0"]
}

func (r *jobRig) cancel() { r.d.StepOwner(r.d.Owner, scheduler.Cancel{IDs: []model.JobID{rigJob}}) }

func (r *jobRig) lose(h *jobs.Host) {
	r.d.StepOwner(r.d.Owner, scheduler.WorkerLost{Worker: h.Worker.ID})
}

// crash takes a host down and up again.
func (r *jobRig) crash(h *jobs.Host) {
	if !h.Alive {
		return
	}
	h.Crash()
	r.d.After(1500*time.Millisecond, func() { r.lose(h) })
	r.d.After(6*time.Second, h.Restart)
}

// zone takes a zone out, and back in after a while.
func (r *jobRig) zone(zone model.AvailabilityZoneName, back time.Duration) {
	r.watch.OutAt[zone] = r.d.Now
	r.d.Configure(func(doc *model.ConfigDocument) { doc.Zones[zone] = model.ZoneOut })
	r.d.After(back, func() {
		delete(r.watch.OutAt, zone)
		r.d.Configure(func(doc *model.ConfigDocument) { doc.Zones[zone] = model.ZoneIn })
	})
}

// elect makes a new owner after a delay, unless another one took over by then.
func (r *jobRig) elect(delay time.Duration) {
	old := r.d.Owner
	r.d.After(delay, func() {
		if r.d.Owner == old {
			r.d.Elect()
		}
	})
}

// stopAgent is a planned stop of an agent, which is started again later.
func (r *jobRig) stopAgent(h *jobs.Host) {
	h.Step(gang.Stop{Grace: time.Second})
	r.d.After(5*time.Second, h.RestartAgent)
}

// finish runs until the job has come to one of its ends, and a while longer.
func (r *jobRig) finish(ends ...scheduler.Phase) {
	r.t.Helper()
	limit := r.d.Now.Add(rigLimit)
	for r.d.Now.Before(limit) && r.watch.Violation == "" {
		r.d.RunUntil(r.d.Now.Add(500 * time.Millisecond))
		if r.reached && r.atEnd(ends) {
			r.d.RunUntil(r.d.Now.Add(4 * time.Second))
			break
		}
	}
	j, _ := r.d.Owner.Core.Job(rigJob)
	switch {
	case r.watch.Violation != "":
		r.t.Errorf("%s\n%s", r.watch.Violation, r.history())
	case !r.reached:
		r.t.Errorf("the step was not reached; job is %s\n%s", j.Phase, r.history())
	case !r.atEnd(ends):
		why, _ := r.d.Owner.Core.Explain(r.d.Now, rigJob)
		r.t.Errorf("job is %s, want one of %v; %q\n%s", j.Phase, ends, why, r.history())
	}
}

func (r *jobRig) atEnd(ends []scheduler.Phase) bool {
	j, known := r.d.Owner.Core.Job(rigJob)
	if !known {
		return len(r.d.Rows) == 0 || r.d.Rows[rigJob].Job.ID == ""
	}
	for _, end := range ends {
		if j.Phase == end {
			return true
		}
	}
	return false
}

func (r *jobRig) history() string {
	out := ""
	for _, line := range r.log {
		out += line + "\n"
	}
	return out
}
