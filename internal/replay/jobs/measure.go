package jobs

import (
	"math"
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/wire"
)

// Figures are what one replay measured. Times are in seconds.
type Figures struct {
	MeanCompletion float64
	P95Completion  float64
	MeanSlowdown   float64
	P95Slowdown    float64
	// P95LargeSlowdown is of jobs of 16 accelerators or more.
	P95LargeSlowdown float64
	// DeadlinesMet is the share of deadlines met.
	DeadlinesMet float64
	// Fragmentation is the share of free accelerators, over time and over the
	// shapes of the list by their share, that a gang of the shape cannot use.
	Fragmentation float64
	// FragmentationBySample is the same as the plain mean over samples, in
	// which a moment with one free accelerator weighs as much as one with fifty.
	FragmentationBySample float64
	// FragmentationFloor is the part of Fragmentation that no arrangement of
	// the same free accelerators could avoid, as too few of them were free.
	FragmentationFloor float64
	// ZoneWork is the accelerator-seconds of work kept in the window around
	// the zone change.
	ZoneWork float64
	// ClaimMax is the longest time from the submission of a claim whose cell
	// was free to its last task running; ClaimOwnMax is the same without the
	// time in which the gangs in its place checkpointed.
	ClaimMax    float64
	ClaimOwnMax float64
	Claims      int
	// WorkLost is the accelerator-seconds of tasks that were stopped or failed
	// without a checkpoint.
	WorkLost float64
	// UrgentP95 is of the time from submission to start of urgent jobs.
	UrgentP95 float64
	// UrgentMax is the longest of these times.
	UrgentMax float64
	Finished  int
	Left      int
	Parked    int
	Refused   int
	// Broken counts broken invariants.
	Broken int
}

// fragmentInterval is the time between two samples of fragmentation, and
// invariantInterval the one between two checks of the invariants.
const (
	fragmentInterval  = 20 * time.Second
	invariantInterval = 20 * time.Second
)

// meter collects figures during a replay.
type meter struct {
	d    *Driver
	list List
	// unusableShares are the samples of FragmentationBySample.
	unusableShares []float64
	// unusable, free and floor are sums over the samples, in accelerators.
	unusable, free, floor float64
	broken                int
	// claims are the claimable jobs, with the time at which their place was clear.
	claims   map[model.JobID]time.Time
	started  map[model.JobID]time.Time
	finished map[model.JobID]time.Time
	refused  int
	urgent   []float64
	claimMax float64
	claimOwn float64
	// claimsRun counts the claims whose tasks all ran.
	claimsRun int
	// atFrom and atUntil are the work of tasks at the ends of the zone window.
	atFrom     map[*FakeTask]time.Duration
	atUntil    map[*FakeTask]time.Duration
	kept       time.Duration
	lost       time.Duration
	windowOpen bool
}

func newMeter(d *Driver, list List) *meter {
	m := &meter{
		d: d, list: list, claims: map[model.JobID]time.Time{}, started: map[model.JobID]time.Time{},
		finished: map[model.JobID]time.Time{}, atFrom: map[*FakeTask]time.Duration{}, atUntil: map[*FakeTask]time.Duration{},
	}
	d.Hooks.OwnerStepped = m.stepped
	d.Hooks.Ended = m.ended
	d.After(zoneOutAt, m.openWindow)
	d.After(zoneWindowEnd, m.closeWindow)
	d.repeat(fragmentInterval, m.sample)
	d.repeat(invariantInterval, m.check)
	return m
}

func (m *meter) check() {
	if m.d.Owner.Core.CheckInvariants() != nil {
		m.broken++
	}
}

// submitted notes whether a claim's cell is free when it is handed in.
func (m *meter) submitted(t *Truth) {
	if t.Job.Capacity == model.CapacityGuaranteed && m.d.Owner.Core.Claimable(t.Job) {
		m.claims[t.Job.ID] = time.Time{}
	}
}

func (m *meter) stepped(c *scheduler.Core, in scheduler.Input, actions []scheduler.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.Refuse:
			m.refused++
		case scheduler.Send:
			if r, ok := a.Message.(*wire.Reserve); ok {
				m.reserved(r.Job)
			}
		case scheduler.DeleteRows:
			for _, id := range a.Jobs {
				if j, _ := c.Job(id); j.Phase == scheduler.PhaseFinished {
					m.finished[id] = m.d.Now
				}
			}
		}
	}
	if r, ok := in.(scheduler.Receive); ok {
		if t, ok := r.Message.(*wire.TaskReport); ok && t.State == wire.TaskRunning {
			m.running(c, t.Job)
		}
	}
}

func (m *meter) reserved(id model.JobID) {
	if at, ok := m.claims[id]; ok && at.IsZero() {
		m.claims[id] = m.d.Now
	}
}

// running notes the first time that a job's tasks all run.
func (m *meter) running(c *scheduler.Core, id model.JobID) {
	if _, known := m.started[id]; known {
		return
	}
	j, _ := c.Job(id)
	if j.Phase != scheduler.PhaseRunning {
		return
	}
	m.started[id] = m.d.Now
	waited := m.d.Now.Sub(j.Job.Submitted).Seconds()
	if j.Job.Urgent {
		m.urgent = append(m.urgent, waited)
	}
	if cleared, ok := m.claims[id]; ok {
		m.claimsRun++
		m.claimMax = max(m.claimMax, waited)
		m.claimOwn = max(m.claimOwn, m.d.Now.Sub(cleared).Seconds())
	}
}

// sample measures fragmentation.
func (m *meter) sample() {
	if m.d.Now.Sub(replayStart) > listLength {
		return
	}
	free := m.freeCapacity()
	share, floor := 0.0, 0.0
	for _, k := range kinds() {
		share += k.share * (1 - free.usableBy(k.shape))
		each := k.shape.Accelerators()
		floor += k.share * float64(free.total%each) / float64(max(1, free.total))
	}
	if free.total == 0 {
		share = 0
	}
	m.floor += floor * float64(free.total)
	m.unusableShares = append(m.unusableShares, share)
	m.free += float64(free.total)
	m.unusable += share * float64(free.total)
}

// freeCapacity is the free capacity of the fleet at one moment.
type freeCapacity struct {
	workers []model.Worker
	free    []model.Resources
	total   int
}

func (m *meter) freeCapacity() freeCapacity {
	var f freeCapacity
	for _, id := range m.d.order {
		h := m.d.Hosts[id]
		if !h.Alive || m.d.Config.Zones[h.Worker.Zone] == model.ZoneOut {
			continue
		}
		free := h.Worker.Capacity.Sub(h.Member.Held())
		f.workers = append(f.workers, h.Worker)
		f.free = append(f.free, free)
		f.total += free.Accelerators
	}
	return f
}

// usableBy is the share of the free accelerators that gangs of a shape can use.
func (f freeCapacity) usableBy(s model.Shape) float64 {
	if f.total < s.Accelerators() {
		return 0
	}
	index := placement.NewIndex()
	for i, w := range f.workers {
		index.SetWorker(w, f.free[i], true)
	}
	used := 0
	for {
		workers := index.Place(placement.Request{Shape: s})
		if workers == nil {
			return float64(used) / float64(f.total)
		}
		for _, w := range workers {
			index.Reserve(w, s.PerTask)
		}
		used += s.Accelerators()
	}
}

func (m *meter) openWindow() {
	m.windowOpen = true
	m.each(func(t *FakeTask) { m.atFrom[t] = t.done })
}

func (m *meter) closeWindow() {
	m.windowOpen = false
	m.each(func(t *FakeTask) { m.atUntil[t] = t.done })
}

func (m *meter) each(f func(*FakeTask)) {
	for _, id := range m.d.order {
		h := m.d.Hosts[id]
		for _, task := range h.sortedTasks() {
			t := h.Tasks[task]
			h.settle(t)
			h.watchEnd(t)
			f(t)
		}
	}
}

// ended adds the work of a task inside the window, unless it has to be done again.
func (m *meter) ended(t *FakeTask, state wire.TaskState, checkpointed bool) {
	if state != wire.TaskFinished && !checkpointed {
		m.lost += t.done * time.Duration(t.Needs.Accelerators)
		return
	}
	until, closed := m.atUntil[t]
	if !closed && !m.windowOpen {
		return
	}
	if !closed {
		until = t.done
	}
	m.kept += (until - m.atFrom[t]) * time.Duration(t.Needs.Accelerators)
}

// figures sums up a replay.
func (m *meter) figures() Figures {
	f := Figures{Broken: m.broken, Refused: m.refused, ZoneWork: m.kept.Seconds(), WorkLost: m.lost.Seconds(), Claims: m.claimsRun, ClaimMax: m.claimMax, ClaimOwnMax: m.claimOwn}
	var completions, slowdowns, large []float64
	met, deadlines := 0, 0
	for _, a := range m.list.Arrivals {
		id := a.Truth.Job.ID
		if a.Truth.Fails || slices.Contains(m.list.Cancelled, id) || a.Truth.Job.JobClass == "impossible" {
			continue
		}
		end, done := m.finished[id]
		if done {
			f.Finished++
		} else {
			f.Left++
			end = m.d.Now
		}
		took := end.Sub(replayStart.Add(a.At)).Seconds()
		completions = append(completions, took)
		slowdowns = append(slowdowns, took/a.Truth.Run.Seconds())
		if a.Truth.Job.Shape.Accelerators() >= largeAccelerators {
			large = append(large, took/a.Truth.Run.Seconds())
		}
		if !a.Truth.Job.Deadline.IsZero() {
			deadlines++
			if done && !end.After(a.Truth.Job.Deadline) {
				met++
			}
		}
	}
	f.MeanCompletion, f.P95Completion = mean(completions), quantile(completions, 0.95)
	f.MeanSlowdown, f.P95Slowdown = mean(slowdowns), quantile(slowdowns, 0.95)
	f.P95LargeSlowdown = quantile(large, 0.95)
	f.DeadlinesMet = float64(met) / float64(max(1, deadlines))
	f.Fragmentation = m.unusable / max(1, m.free)
	f.FragmentationFloor = m.floor / max(1, m.free)
	f.FragmentationBySample = mean(m.unusableShares)
	f.UrgentP95 = quantile(m.urgent, 0.95)
	f.UrgentMax = quantile(m.urgent, 1)
	return f
}

func mean(xs []float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum / float64(len(xs))
}

// quantile returns the nearest-rank quantile.
func quantile(xs []float64, q float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	sorted := slices.Clone(xs)
	slices.Sort(sorted)
	return sorted[max(0, int(math.Ceil(q*float64(len(sorted))))-1)]
}
