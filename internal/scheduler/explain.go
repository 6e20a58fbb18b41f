package scheduler

import (
	"fmt"
	"strings"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/placement"
)

// Explain returns the recorded decisions about a job, oldest first, followed by
// the reason why it waits, if it does; false if the job is unknown.
func (c *Core) Explain(now time.Time, id model.JobID) ([]string, bool) {
	j := c.jobs[id]
	if j == nil {
		return nil, false
	}
	var out []string
	for _, e := range j.History {
		out = append(out, e.Time.UTC().Format(time.RFC3339)+" "+e.Text)
	}
	if why := c.whyWaiting(now, j); why != "" {
		out = append(out, why)
	}
	return out, true
}

// Job returns a shallow copy of a job's state; false if the job is unknown.
func (c *Core) Job(id model.JobID) (JobState, bool) {
	j := c.jobs[id]
	if j == nil {
		return JobState{}, false
	}
	return *j, true
}

func (c *Core) whyWaiting(now time.Time, j *JobState) string {
	switch j.Phase {
	case PhaseClearing:
		return "it waits until the tasks in its place have checkpointed and ended"
	case PhaseReserving:
		return "it waits for its agents to confirm their reservations"
	case PhaseDeciding, PhaseInDoubt:
		return "it waits for the table service to confirm its decision row"
	case PhaseRecovering:
		return "it waits for its agents to report to the new scheduler owner"
	case PhaseQueued:
		return "it waits: " + c.whyQueued(now, j)
	default:
		return ""
	}
}

func (c *Core) whyQueued(now time.Time, j *JobState) string {
	if now.Before(j.NotBefore) {
		return fmt.Sprintf("its last attempt was refused; the next one is in %s", j.NotBefore.Sub(now).Round(time.Millisecond))
	}
	if !c.recoverUntil.IsZero() {
		return "the scheduler owner changed and waits for the agents' reports"
	}
	if why := c.whyStoreUnavailable(now); why != "" {
		return why
	}
	if place := c.whyFleetTooSmall(j); place != "" {
		return place
	}
	if j.Job.Capacity == model.CapacityGuaranteed {
		return c.whyNoCell(j)
	}
	if why := c.whyStartLimit(j); why != "" {
		return why
	}
	if r := c.reservations[j.Job.ID]; r != nil {
		return fmt.Sprintf("capacity on %s is held back for it, expected to be free at %s", workerList(r.Workers), r.Shadow.UTC().Format(time.RFC3339))
	}
	return fmt.Sprintf("no place for %s is free; account %s holds %d borrowed accelerators at weight %d",
		describeShape(j.Job.Shape), j.Job.Account, c.account(j.Job.Account).Borrowed, c.weight(j.Job.Account))
}

// whyStartLimit reports that a placement for the job is free and only the limit
// on attempts per tick delays it; empty otherwise.
func (c *Core) whyStartLimit(j *JobState) string {
	if c.startsLeft > 0 {
		return ""
	}
	index := c.capacity.unreserved
	if c.reservations[j.Job.ID] != nil || c.yieldsToLarge(j) {
		index = c.capacity.free
	}
	if place, _ := c.bestPlace(index, j); place == nil {
		return ""
	}
	return fmt.Sprintf("a place for %s is free, but %d attempts have begun since the last tick, as many as may; it is tried again with the next",
		describeShape(j.Job.Shape), c.settings.MaxStartsPerTick)
}

// whyFleetTooSmall reports that a job fits only after zones or workers have
// returned to service; empty if it fits the fleet in service.
func (c *Core) whyFleetTooSmall(j *JobState) string {
	now := placement.NewIndex()
	for _, id := range sortedKeys(c.workers) {
		w := c.workers[id]
		now.SetWorker(w.Worker, w.Worker.Capacity, w.Up && !c.zoneIsOut(w.Worker.Zone))
	}
	if now.Place(placement.Request{Shape: j.Job.Shape}) != nil {
		return ""
	}
	var zones []string
	for _, zone := range sortedKeys(c.zoneOutSince) {
		zones = append(zones, string(zone))
	}
	if len(zones) > 0 {
		return describeShape(j.Job.Shape) + " fit only when these zones are back in service: " + strings.Join(zones, ", ")
	}
	return describeShape(j.Job.Shape) + " fit only when workers that are lost come back"
}

func (c *Core) whyNoCell(j *JobState) string {
	var used []string
	for _, key := range c.ledger.Keys() {
		cell := c.ledger.Cell(key)
		if cell.Account != j.Job.Account {
			continue
		}
		if why := c.ledger.UncoveredReason(key); why != "" {
			return why
		}
		used = append(used, key)
	}
	return "all guaranteed cells of its account that could take it are in use: " + strings.Join(used, ", ")
}

func describeShape(s model.Shape) string {
	text := fmt.Sprintf("%d tasks of %d accelerators", s.Tasks, s.PerTask.Accelerators)
	if s.Topology == model.TopologyAny {
		return text
	}
	return text + " within one " + string(s.Topology)
}

func workerList(workers []model.WorkerID) string {
	var names []string
	for _, w := range workers {
		if len(names) == 0 || names[len(names)-1] != string(w) {
			names = append(names, string(w))
		}
	}
	const shown = 8
	if len(names) > shown {
		return strings.Join(names[:shown], ", ") + fmt.Sprintf(" and %d more", len(names)-shown)
	}
	return strings.Join(names, ", ")
}
