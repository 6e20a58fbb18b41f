package jobs

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"dragonflyyard/internal/gang"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/wire"
)

// Options are the times of a replay.
type Options struct {
	Scheduler scheduler.Settings
	Member    gang.Settings
	// OwnerTick and MemberTick are the times between two ticks.
	OwnerTick  time.Duration
	MemberTick time.Duration
	// Latency is the one-way time of a message.
	Latency time.Duration
	// StoreLatency is the time of a write to the table service.
	StoreLatency time.Duration
	// PermitInterval and PermitValid are the times of start permits.
	PermitInterval time.Duration
	PermitValid    time.Duration
	// TaskStart is the time from a start to a running task.
	TaskStart time.Duration
	// Checkpoint is the time that a checkpoint takes.
	Checkpoint time.Duration
}

// DefaultOptions returns the times of the product itself.
func DefaultOptions() Options {
	return Options{
		Scheduler: scheduler.DefaultSettings(), Member: gang.DefaultSettings(),
		OwnerTick: 100 * time.Millisecond, MemberTick: 100 * time.Millisecond,
		Latency: 500 * time.Microsecond, StoreLatency: 5 * time.Millisecond,
		PermitInterval: 500 * time.Millisecond, PermitValid: 2500 * time.Millisecond,
		TaskStart: 20 * time.Millisecond, Checkpoint: 2 * time.Second,
	}
}

// ReplayOptions returns options for lists of hours: the same protocol with
// longer leases and fewer ticks, since a replay of the policy loses no messages.
func ReplayOptions() Options {
	o := DefaultOptions()
	o.OwnerTick = time.Second
	o.MemberTick = 30 * time.Second
	o.PermitInterval = time.Minute
	o.PermitValid = 10 * time.Minute
	o.Scheduler.Lease = 5 * time.Minute
	o.Scheduler.SilenceLimit = 4 * time.Minute
	o.Member.LeaseRequestInterval = time.Minute
	return o
}

// Hooks let tests put faults in and look at what happens. A nil hook does nothing.
type Hooks struct {
	// Deliver returns the delays after which a message arrives, once for each
	// copy; none means that it is lost.
	Deliver func(toOwner bool, worker model.WorkerID, m wire.Message) []time.Duration
	// Decide returns what the table service does with a write: whether it takes
	// effect, what it answers, and when.
	Decide func(scheduler.JobRow) (applied bool, result scheduler.DecisionResult, delay time.Duration)
	// StoreDown reports whether the table service takes no reads.
	StoreDown func() bool
	// OwnerStepped is called after each step of an owner.
	OwnerStepped func(*scheduler.Core, scheduler.Input, []scheduler.Action)
	// MemberStepped is called after each step of a member.
	MemberStepped func(*Host)
	// Changed is called after the tasks of a worker changed.
	Changed func(*Host)
	// Started is called when a task is started on a worker.
	Started func(*Host, model.TaskID)
	// Ended is called when a task ends on a worker.
	Ended func(task *FakeTask, state wire.TaskState, checkpointed bool)
}

// Truth is what only the workers know of a job.
type Truth struct {
	Job model.Job
	// Run is the job's true run time.
	Run time.Duration
	// Fails makes each task fail after a second, wherever it runs.
	Fails bool
}

// Owner is one process that is or was the region's scheduler owner.
type Owner struct {
	Core *scheduler.Core
	// Paused keeps the owner from taking any input.
	Paused bool
	// held are the inputs that arrived during a pause.
	held []scheduler.Input
}

// Driver runs owners, members and fake workers on one clock.
type Driver struct {
	Now     time.Time
	Options Options
	Hooks   Hooks
	Hosts   map[model.WorkerID]*Host
	// Owner is the present owner; Deposed are earlier ones.
	Owner   *Owner
	Deposed []*Owner
	// Rows is the table service's job rows, and LeaseEpoch the epoch of the
	// owner's lease row, which each decision is checked against.
	Rows       map[model.JobID]scheduler.JobRow
	LeaseEpoch model.Epoch
	Config     *model.ConfigDocument
	// Snapshot is what a new owner reads from the object store, nil for none.
	Snapshot *scheduler.Snapshot
	Truths   map[model.JobID]*Truth
	order    []model.WorkerID
	queue    eventQueue
	sequence uint64
}

// NewDriver returns a driver with one owner and a host for each worker.
func NewDriver(o Options, workers []model.Worker, config *model.ConfigDocument, start time.Time) *Driver {
	d := &Driver{
		Now: start, Options: o, Hosts: map[model.WorkerID]*Host{}, Rows: map[model.JobID]scheduler.JobRow{},
		Config: config, Truths: map[model.JobID]*Truth{},
	}
	for _, w := range workers {
		d.order = append(d.order, w.ID)
		d.Hosts[w.ID] = newHost(d, w)
	}
	slices.Sort(d.order)
	return d
}

// Start elects the first owner, connects all hosts and begins the ticks.
func (d *Driver) Start() {
	d.Elect()
	d.repeat(d.Options.OwnerTick, func() { d.each(scheduler.Tick{}) })
	for _, id := range d.order {
		h := d.Hosts[id]
		d.repeat(d.Options.MemberTick, func() { h.step(gang.Tick{}) })
		d.repeat(d.Options.PermitInterval, h.permit)
		h.permit()
	}
}

// each steps every owner, so that a deposed one goes on by itself.
func (d *Driver) each(in scheduler.Input) {
	for _, o := range append(slices.Clone(d.Deposed), d.Owner) {
		d.StepOwner(o, in)
	}
}

// Elect makes a new owner with the next epoch, from the rows and the snapshot.
func (d *Driver) Elect() {
	if d.Owner != nil {
		d.Deposed = append(d.Deposed, d.Owner)
	}
	d.LeaseEpoch++
	d.Owner = &Owner{Core: scheduler.New(d.Options.Scheduler)}
	rows := make([]scheduler.JobRow, 0, len(d.Rows))
	for _, row := range d.Rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b scheduler.JobRow) int { return cmp.Compare(a.Job.ID, b.Job.ID) })
	d.StepOwner(d.Owner, scheduler.BecomeOwner{Epoch: d.LeaseEpoch, Rows: rows, Config: d.Config, Snapshot: d.Snapshot})
	for _, id := range d.order {
		if h := d.Hosts[id]; h.Alive {
			h.connect()
		}
	}
}

// Kill removes an owner at once.
func (d *Driver) Kill(o *Owner) {
	o.Paused = true
	o.held = nil
	o.Core = scheduler.New(d.Options.Scheduler)
}

// Wake ends an owner's pause: it takes the inputs that waited.
func (d *Driver) Wake(o *Owner) {
	o.Paused = false
	held := o.held
	o.held = nil
	for _, in := range held {
		d.StepOwner(o, in)
	}
}

// Submit hands a job in and writes its row.
func (d *Driver) Submit(t *Truth) {
	t.Job.Submitted = d.Now
	d.Truths[t.Job.ID] = t
	if d.Owner.Core.Admit(t.Job) == nil {
		d.Rows[t.Job.ID] = scheduler.JobRow{Job: t.Job, Class: t.Job.Capacity}
	}
	d.StepOwner(d.Owner, scheduler.Submit{Job: t.Job})
}

// Configure puts a new configuration in force. Members learn of it with their
// next permit.
func (d *Driver) Configure(change func(*model.ConfigDocument)) {
	next := *d.Config
	next.Version++
	next.Zones = map[model.AvailabilityZoneName]model.ZoneState{}
	for zone, state := range d.Config.Zones {
		next.Zones[zone] = state
	}
	change(&next)
	d.Config = &next
	d.each(scheduler.ConfigUpdate{Document: &next})
	for _, id := range d.order {
		d.Hosts[id].permit()
	}
}

// StepOwner gives an input to an owner and carries its actions out.
func (d *Driver) StepOwner(o *Owner, in scheduler.Input) {
	if o.Paused {
		if _, tick := in.(scheduler.Tick); !tick {
			o.held = append(o.held, in)
		}
		return
	}
	actions := o.Core.Step(d.Now, in)
	for _, a := range actions {
		d.carryOut(o, a)
	}
	if d.Hooks.OwnerStepped != nil && o == d.Owner {
		d.Hooks.OwnerStepped(o.Core, in, actions)
	}
}

func (d *Driver) carryOut(o *Owner, a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Send:
		h := d.Hosts[a.To]
		for _, delay := range d.delays(false, a.To, a.Message) {
			d.After(delay, func() {
				if h.Alive {
					h.step(gang.Receive{Message: a.Message})
				}
			})
		}
	case scheduler.WriteDecision:
		d.decide(o, a.Row)
	case scheduler.ReadDecision:
		d.readBack(o, a)
	case scheduler.SaveJob:
		d.write(a.Row)
	case scheduler.DeleteRows:
		if epoch, _ := o.Core.Owner(); epoch == d.LeaseEpoch {
			for _, id := range a.Jobs {
				delete(d.Rows, id)
			}
		}
	}
}

func (d *Driver) delays(toOwner bool, worker model.WorkerID, m wire.Message) []time.Duration {
	if d.Hooks.Deliver == nil {
		return []time.Duration{d.Options.Latency}
	}
	return d.Hooks.Deliver(toOwner, worker, m)
}

// write applies a row when its writer still holds the lease row.
func (d *Driver) write(row scheduler.JobRow) bool {
	if row.Epoch != d.LeaseEpoch {
		return false
	}
	d.Rows[row.Job.ID] = row
	return true
}

func (d *Driver) decide(o *Owner, row scheduler.JobRow) {
	applied, result, delay := true, scheduler.DecisionCommitted, d.Options.StoreLatency
	if d.Hooks.Decide != nil {
		applied, result, delay = d.Hooks.Decide(row)
	}
	d.After(delay, func() {
		if applied && !d.write(row) {
			result = scheduler.DecisionRefused
		}
		d.StepOwner(o, scheduler.Decided{Job: row.Job.ID, Attempt: row.Attempt, Result: result})
	})
}

func (d *Driver) readBack(o *Owner, r scheduler.ReadDecision) {
	d.After(d.Options.StoreLatency, func() {
		result := scheduler.DecisionRefused
		if d.Hooks.StoreDown != nil && d.Hooks.StoreDown() {
			result = scheduler.DecisionUnavailable
		} else if row, ok := d.Rows[r.Job]; ok && row.Attempt == r.Attempt && len(row.Allocation) > 0 {
			result = scheduler.DecisionCommitted
		}
		d.StepOwner(o, scheduler.Decided{Job: r.Job, Attempt: r.Attempt, Result: result})
	})
}

// After runs f after a delay.
func (d *Driver) After(delay time.Duration, f func()) {
	d.sequence++
	heap.Push(&d.queue, timed{at: d.Now.Add(delay), sequence: d.sequence, run: f})
}

func (d *Driver) repeat(interval time.Duration, f func()) {
	d.After(interval, func() {
		f()
		d.repeat(interval, f)
	})
}

// RunUntil runs all events up to a time.
func (d *Driver) RunUntil(end time.Time) {
	for len(d.queue) > 0 && !d.queue[0].at.After(end) {
		e := heap.Pop(&d.queue).(timed)
		d.Now = e.at
		e.run()
	}
	d.Now = end
}

// timed is one event of the driver's clock.
type timed struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventQueue is a heap of events by time and sequence.
type eventQueue []timed

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(timed)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
