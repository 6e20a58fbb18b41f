package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/wire"
)

// SchedulerCost is the cost of a scheduler owner for one size of its region.
type SchedulerCost struct {
	Workers int
	Tasks   int
	// StateBytes is the heap that the core holds.
	StateBytes float64
	// PlaceNS is the time from a job's submission to its reservations.
	PlaceNS float64
	// LeaseNS is the time of one lease request of a worker with its tasks.
	LeaseNS float64
	// TickNS is the time of a tick without anything to do.
	TickNS float64
	// RecoverNS is the time to rebuild the state from all job rows.
	RecoverNS float64
	// Rows is the number of job rows, SnapshotBytes the size of the stored state.
	Rows          int
	SnapshotBytes int
	// SegmentBytes is the size of what changed in the state between two saves,
	// SegmentNS the time to find and encode it.
	SegmentBytes int
	SegmentNS    float64
}

const (
	workerAccelerators = 8
	racksOf            = 8
	zonesOf            = 4
	accountsOf         = 57
	jobTasks           = 4
)

// fleetDriver answers a scheduler core's messages at once, as agents without
// faults would.
type fleetDriver struct {
	core *scheduler.Core
	now  time.Time
	rows map[model.JobID]scheduler.JobRow
	// ticks counts the calls of tick.
	ticks   int
	workers int
	// lost workers answer nothing.
	lost map[model.WorkerID]bool
	// spent is the time of all decisions, longest that of the longest one.
	spent   time.Duration
	longest time.Duration
}

func newFleetDriver() *fleetDriver {
	return &fleetDriver{core: scheduler.New(scheduler.DefaultSettings()), now: time.Unix(1_800_000_000, 0),
		rows: map[model.JobID]scheduler.JobRow{}, lost: map[model.WorkerID]bool{}}
}

func regionWorker(i int) model.Worker {
	rack := i / racksOf
	return model.Worker{
		ID:       model.WorkerID(fmt.Sprintf("worker-%05d", i)),
		Zone:     model.AvailabilityZoneName(fmt.Sprintf("zone-%d", rack%zonesOf)),
		Rack:     model.RackID(fmt.Sprintf("rack-%04d", rack)),
		Capacity: model.Resources{Accelerators: workerAccelerators, Cores: 64, MemoryMB: 131072},
	}
}

func regionConfig() *model.ConfigDocument {
	d := &model.ConfigDocument{
		Version: 1, Accounts: map[model.ClientAccountID]model.ClientAccount{},
		Guarantees: map[string]model.GuaranteedShape{}, Zones: map[model.AvailabilityZoneName]model.ZoneState{},
	}
	for i := range accountsOf {
		id := model.ClientAccountID(fmt.Sprintf("account-%03d", i))
		d.Accounts[id] = model.ClientAccount{ID: id, Weight: 1 + i%4}
		name := string(id) + ".reserve"
		d.Guarantees[name] = model.GuaranteedShape{Name: name, Account: id, Count: 1, Shape: regionShape()}
	}
	for z := range zonesOf {
		d.Zones[model.AvailabilityZoneName(fmt.Sprintf("zone-%d", z))] = model.ZoneIn
	}
	return d
}

func regionShape() model.Shape {
	return model.Shape{Tasks: jobTasks, PerTask: model.Resources{Accelerators: 1, Cores: 4, MemoryMB: 8192}, Topology: model.TopologyAny}
}

func (f *fleetDriver) step(in scheduler.Input) { f.carryOut(f.decide(in)) }

// decide steps the core and counts its time.
func (f *fleetDriver) decide(in scheduler.Input) []scheduler.Action {
	began := time.Now()
	actions := f.core.Step(f.now, in)
	took := time.Since(began)
	f.spent += took
	f.longest = max(f.longest, took)
	return actions
}

// carryOut answers actions, and those that the answers lead to, until none is left.
func (f *fleetDriver) carryOut(pending []scheduler.Action) {
	for len(pending) > 0 {
		var next []scheduler.Action
		for _, action := range pending {
			next = append(next, f.answer(action)...)
		}
		pending = next
	}
}

func (f *fleetDriver) answer(action scheduler.Action) []scheduler.Action {
	switch action := action.(type) {
	case scheduler.WriteDecision:
		f.rows[action.Row.Job.ID] = action.Row
		return f.decide(scheduler.Decided{Job: action.Row.Job.ID, Attempt: action.Row.Attempt, Result: scheduler.DecisionCommitted})
	case scheduler.Send:
		return f.answerSend(action)
	default:
		return nil
	}
}

func (f *fleetDriver) answerSend(send scheduler.Send) []scheduler.Action {
	if f.lost[send.To] {
		return nil
	}
	switch m := send.Message.(type) {
	case *wire.Reserve:
		return f.decide(scheduler.Receive{From: send.To, Message: &wire.ReserveReply{
			Epoch: m.Epoch, Job: m.Job, Attempt: m.Attempt, Task: m.Task, OK: true,
		}})
	case *wire.Launch:
		return f.decide(scheduler.Receive{From: send.To, Message: &wire.TaskReport{
			Job: m.Job, Attempt: m.Attempt, Task: m.Task, State: wire.TaskRunning,
		}})
	case *wire.StopTask:
		return f.decide(scheduler.Receive{From: send.To, Message: &wire.TaskReport{
			Job: m.Job, Attempt: m.Attempt, Task: m.Task, State: wire.TaskStopped, Checkpointed: true,
		}})
	default:
		return nil
	}
}

func regionJob(i int) model.Job {
	return model.Job{
		ID:      model.JobID(fmt.Sprintf("0192f0c1-5a2b-7c3d-8e4f-%012d", i)),
		Account: model.ClientAccountID(fmt.Sprintf("account-%03d", i%accountsOf)), JobClass: "batch",
		Shape: regionShape(), DeclaredRunTime: 4 * time.Hour, Capacity: model.CapacityBorrowed, CanCheckpoint: true,
	}
}

// begin brings all workers up under a first owner.
func (f *fleetDriver) begin(workers int) {
	f.workers = workers
	f.step(scheduler.BecomeOwner{Epoch: 1, Config: regionConfig()})
	for i := range workers {
		f.step(scheduler.WorkerUp{Report: wire.WorkerReport{Worker: regionWorker(i)}})
	}
	const recovery = 10
	for range recovery {
		f.now = f.now.Add(time.Second)
		f.renew(workers)
		f.step(scheduler.Tick{})
	}
}

// startsPerTick is how many jobs are submitted between two ticks. It is below
// the number of attempts that the core begins between ticks.
const startsPerTick = 4

// tick lets time pass, and lets the workers renew when that is due.
func (f *fleetDriver) tick(workers int) {
	const renewEvery = 5
	f.now = f.now.Add(scheduler.TickInterval)
	if f.ticks++; f.ticks%renewEvery == 0 {
		f.renew(workers)
	}
	f.step(scheduler.Tick{})
}

// renew lets each worker ask for its leases.
func (f *fleetDriver) renew(workers int) {
	for i := range workers {
		id := regionWorker(i).ID
		if f.lost[id] {
			continue
		}
		f.step(scheduler.Receive{From: id, Message: &wire.LeaseRequest{Worker: id, SentMS: f.now.UnixMilli()}})
	}
}

// MeasureScheduler measures a scheduler owner with a number of workers, each
// with tasksPerWorker running tasks.
func MeasureScheduler(workers, tasksPerWorker int) (SchedulerCost, error) {
	before := heapBytes()
	f := newFleetDriver()
	f.begin(workers)
	jobs := workers * tasksPerWorker / jobTasks
	err := f.fill(jobs)
	cost := SchedulerCost{Workers: workers, Tasks: jobs * jobTasks, Rows: len(f.rows)}
	cost.StateBytes = heapBytes() - before
	if err != nil {
		return cost, err
	}
	cost.PlaceNS = f.timePlacement(jobs)
	cost.LeaseNS = perOp(workers, func(i int) {
		f.step(scheduler.Receive{From: regionWorker(i).ID, Message: &wire.LeaseRequest{Worker: regionWorker(i).ID}})
	})
	const ticks = 200
	cost.TickNS = perOp(ticks, func(int) { f.step(scheduler.Tick{}) })
	cost.RecoverNS = f.timeRecovery()
	snapshot, err := json.Marshal(f.core.Snapshot())
	if err != nil {
		return cost, errors.Wrap(err, "encode snapshot")
	}
	cost.SnapshotBytes = len(snapshot)
	if cost.SegmentBytes, cost.SegmentNS, err = f.timeSegment(jobs + placementTries); err != nil {
		return cost, err
	}
	runtime.KeepAlive(f)
	return cost, nil
}

// placementTries is how many placements are timed.
const placementTries = 200

// timePlacement submits more jobs, each cancelled before the next one, and
// times the submissions alone.
func (f *fleetDriver) timePlacement(first int) float64 {
	var spent time.Duration
	for i := range placementTries {
		if i%startsPerTick == 0 {
			f.tick(f.workers)
		}
		job := regionJob(first + i)
		began := time.Now()
		actions := f.core.Step(f.now, scheduler.Submit{Job: job})
		spent += time.Since(began)
		f.carryOut(actions)
		f.step(scheduler.Cancel{IDs: []model.JobID{job.ID}})
	}
	return float64(spent.Nanoseconds()) / placementTries
}

// savesPerDay is how often a day an owner stores its state.
const savesPerDay = 288

// timeSegment lets as many jobs start and as many end as a region of this size
// has between two saves at the target, and measures the segment for them.
func (f *fleetDriver) timeSegment(first int) (bytes int, ns float64, err error) {
	jobs := (JobsPerDay*f.workers/Workers + savesPerDay - 1) / savesPerDay
	before := f.core.Snapshot()
	for i := range jobs {
		f.tick(f.workers)
		f.step(scheduler.Cancel{IDs: []model.JobID{regionJob(i).ID}})
		f.step(scheduler.Submit{Job: regionJob(first + i)})
	}
	after := f.core.Snapshot()
	began := time.Now()
	segment, err := json.Marshal(scheduler.DeltaBetween(before, after))
	return len(segment), float64(time.Since(began).Nanoseconds()), errors.Wrap(err, "encode segment")
}

// timeRecovery times a successor's start from all rows.
func (f *fleetDriver) timeRecovery() float64 {
	rows := make([]scheduler.JobRow, 0, len(f.rows))
	for _, row := range f.rows {
		rows = append(rows, row)
	}
	successor := scheduler.New(scheduler.DefaultSettings())
	began := time.Now()
	successor.Step(f.now, scheduler.BecomeOwner{Epoch: 2, Rows: rows, Config: regionConfig()})
	return float64(time.Since(began).Nanoseconds())
}

// heapBytes returns the bytes of live heap objects.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func perOp(count int, do func(i int)) float64 {
	began := time.Now()
	for i := range count {
		do(i)
	}
	return float64(time.Since(began).Nanoseconds()) / float64(count)
}
