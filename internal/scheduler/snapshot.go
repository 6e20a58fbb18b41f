package scheduler

import (
	"cmp"
	"slices"
	"time"

	"dragonflyyard/internal/estimate"
	"dragonflyyard/internal/guarantee"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/quarantine"
)

// Snapshot is the owner's complete state as written to the object store. Lists
// are sorted by ID or key, except Ended.
type Snapshot struct {
	Epoch        model.Epoch
	Jobs         []JobState
	Workers      []WorkerSnapshot
	Cells        []guarantee.Cell
	Reservations []Reservation
	Estimates    []estimate.Samples
	Quarantine   quarantine.State
	// Ended are the ended jobs, oldest first.
	Ended []model.JobID
	// ZoneOutSince lists the zones that are out and when each was taken out.
	ZoneOutSince []ZoneSince
}

// ZoneSince is a zone and the time at which it was taken out of service.
type ZoneSince struct {
	Zone  model.AvailabilityZoneName
	Since time.Time
}

// WorkerSnapshot is the state of one worker in a snapshot.
type WorkerSnapshot struct {
	Worker      model.Worker
	Up          bool
	LastRequest time.Time
	LastGrant   time.Time
	AvoidUntil  time.Time
}

// Snapshot returns a copy of the core's state.
func (c *Core) Snapshot() *Snapshot {
	s := &Snapshot{Epoch: c.epoch, Estimates: c.predictor.State(), Quarantine: c.tracker.State(), Ended: slices.Clone(c.ended)}
	for _, id := range sortedKeys(c.jobs) {
		s.Jobs = append(s.Jobs, c.jobs[id].clone())
	}
	for _, id := range sortedKeys(c.workers) {
		w := c.workers[id]
		s.Workers = append(s.Workers, WorkerSnapshot{w.Worker, w.Up, w.LastRequest, w.LastGrant, w.AvoidUntil})
	}
	for _, key := range c.ledger.Keys() {
		cell := *c.ledger.Cell(key)
		cell.Workers = slices.Clone(cell.Workers)
		cell.Users = slices.Clone(cell.Users)
		s.Cells = append(s.Cells, cell)
	}
	for _, id := range sortedKeys(c.reservations) {
		s.Reservations = append(s.Reservations, *c.reservations[id])
	}
	for _, zone := range sortedKeys(c.zoneOutSince) {
		s.ZoneOutSince = append(s.ZoneOutSince, ZoneSince{zone, c.zoneOutSince[zone]})
	}
	return s
}

func (j *JobState) clone() JobState {
	out := *j
	out.rank = rank{}
	out.preemptRetryAt = time.Time{}
	out.Tasks = slices.Clone(j.Tasks)
	out.History = slices.Clone(j.History)
	return out
}

// Restore returns a core that resumes from a snapshot as the same owner, for
// instance after a handover between processes without a change of ownership.
func Restore(settings Settings, config *model.ConfigDocument, s *Snapshot) *Core {
	c := New(settings)
	c.owner = true
	c.epoch = s.Epoch
	c.config = config
	c.restoreFromSnapshot(s)
	for _, z := range s.ZoneOutSince {
		c.zoneOutSince[z.Zone] = z.Since
	}
	for _, w := range s.Workers {
		state := c.workers[w.Worker.ID]
		state.Up, state.LastRequest, state.LastGrant, state.AvoidUntil = w.Up, w.LastRequest, w.LastGrant, w.AvoidUntil
		if now := w.LastRequest; c.lastStep.Before(now) {
			c.lastStep = now
		}
	}
	for _, id := range sortedKeys(c.workers) {
		c.refreshWorker(c.lastStep, c.workers[id])
	}
	if config != nil {
		c.ledger.SetGuarantees(config.Guarantees)
	}
	c.ledger.RestoreCells(s.Cells)
	for _, saved := range s.Jobs {
		c.restoreJob(saved)
	}
	c.ended = slices.Clone(s.Ended)
	for _, r := range s.Reservations {
		c.addReservation(&r)
	}
	c.coverDue = false
	for _, key := range c.ledger.Uncovered() {
		c.uncoveredAlarms[key] = c.lastStep
	}
	return c
}

func (c *Core) restoreJob(saved JobState) {
	j := saved.clone()
	c.jobs[j.Job.ID] = &j
	for i, t := range j.Tasks {
		if t.Booked {
			j.Tasks[i].Booked = false
			c.book(&j, i)
		}
	}
	if c.phases[j.Phase] == nil {
		c.phases[j.Phase] = map[model.JobID]struct{}{}
	}
	c.phases[j.Phase][j.Job.ID] = struct{}{}
	if j.Phase == PhaseQueued {
		c.enqueue(&j)
	}
}

func (s *Snapshot) job(id model.JobID) *JobState {
	if s == nil {
		return nil
	}
	at, ok := slices.BinarySearchFunc(s.Jobs, id, func(j JobState, id model.JobID) int {
		return cmp.Compare(j.Job.ID, id)
	})
	if !ok {
		return nil
	}
	return &s.Jobs[at]
}

// restoreFromSnapshot restores what the job rows do not hold. Workers are known
// but not usable until they report.
func (c *Core) restoreFromSnapshot(s *Snapshot) {
	c.predictor = estimate.NewPredictor(s.Estimates)
	c.tracker = quarantine.NewTracker(c.settings.Quarantine, s.Quarantine)
	for _, w := range s.Workers {
		c.workers[w.Worker.ID] = newWorkerState(w.Worker)
		c.capacity.total.SetWorker(w.Worker, w.Worker.Capacity, true)
		c.capacity.free.SetWorker(w.Worker, w.Worker.Capacity, false)
		c.capacity.unreserved.SetWorker(w.Worker, w.Worker.Capacity, false)
	}
}
