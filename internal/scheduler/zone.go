package scheduler

import (
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// configure applies a newer configuration.
func (c *Core) configure(now time.Time, doc *model.ConfigDocument) {
	if doc == nil || c.config != nil && doc.Version <= c.config.Version {
		return
	}
	var old map[model.AvailabilityZoneName]model.ZoneState
	if c.config != nil {
		old = c.config.Zones
	}
	c.config = doc
	c.ledger.SetGuarantees(doc.Guarantees)
	c.coverDue = true
	c.changeZones(now, old)
	c.capacityGrew()
}

// changeZones records when zones were taken out of service and refreshes the
// workers of zones whose state changed.
func (c *Core) changeZones(now time.Time, old map[model.AvailabilityZoneName]model.ZoneState) {
	changed := map[model.AvailabilityZoneName]bool{}
	for zone, state := range c.config.Zones {
		if (state == model.ZoneOut) != (old[zone] == model.ZoneOut) {
			changed[zone] = true
		}
	}
	for zone, state := range old {
		if _, still := c.config.Zones[zone]; !still && state == model.ZoneOut {
			changed[zone] = true
		}
	}
	for zone := range changed {
		delete(c.zoneOutSince, zone)
		if c.zoneIsOut(zone) {
			c.zoneOutSince[zone] = now
		}
	}
	for _, id := range sortedKeys(c.workers) {
		if w := c.workers[id]; changed[w.Worker.Zone] {
			c.refreshWorker(now, w)
		}
	}
}

// drain moves gangs out of zones that are out of service.
func (c *Core) drain(now time.Time) {
	if len(c.zoneOutSince) == 0 {
		return
	}
	var ranks []rank
	for _, p := range []Phase{PhaseClearing, PhaseReserving, PhaseLaunching, PhaseRunning} {
		for _, j := range c.inPhase(p) {
			if since, out := c.outSince(j); out {
				c.drainJob(now, j, since, &ranks)
			}
		}
	}
	slices.SortFunc(ranks, compareRank)
	for _, r := range ranks {
		c.moveWhenPlaced(now, c.jobs[r.job])
	}
}

// outSince returns when the first zone with a live task of the job was taken
// out; false if none is out.
func (c *Core) outSince(j *JobState) (time.Time, bool) {
	var first time.Time
	for _, t := range j.Tasks {
		w := c.workers[t.Worker]
		if since, out := c.zoneOutSince[w.Worker.Zone]; out && !isEnded(t.State) {
			if first.IsZero() || since.Before(first) {
				first = since
			}
		}
	}
	return first, !first.IsZero()
}

// drainJob handles one gang with a task in a zone that is out. A gang that has
// not started is released. A gang that cannot checkpoint may run to its end
// until the drain time is over. A gang that can checkpoint moves at once if the
// completion-time weight is at least the weight of work during zone changes;
// otherwise it runs until its new placement is free or the drain time is nearly
// over.
func (c *Core) drainJob(now time.Time, j *JobState, since time.Time, ranks *[]rank) {
	deadline := since.Add(c.settings.ZoneDrainTime)
	switch {
	case j.Phase == PhaseClearing || j.Phase == PhaseReserving:
		c.endAttempt(now, j, eventZoneOut, PhaseQueued, wire.StopZoneOut, 0, "a zone of its place was taken out")
	case !j.Job.CanCheckpoint:
		if !now.Before(deadline) {
			c.moveOut(now, j)
		}
	case !now.Before(deadline.Add(-c.settings.CheckpointGrace)):
		c.moveOut(now, j)
	case c.weights().CompletionTime >= c.weights().WorkInZoneChange:
		c.moveOut(now, j)
	default:
		*ranks = append(*ranks, c.rankOf(j))
	}
}

// moveWhenPlaced moves a gang if a new placement is already free for it, and
// reserves that placement.
func (c *Core) moveWhenPlaced(now time.Time, j *JobState) {
	place := c.capacity.unreserved.Place(c.request(j))
	if place == nil {
		return
	}
	c.moveOut(now, j)
	if !c.settings.Policy.NoReservations && j.Phase == PhaseStopping {
		c.dropReservation(j.Job.ID)
		c.addReservation(&Reservation{Job: j.Job.ID, Workers: place, Shadow: now.Add(c.settings.CheckpointGrace), Since: now, Made: now, ForMove: true})
	}
}

func (c *Core) moveOut(now time.Time, j *JobState) {
	j.Moved = true
	c.endAttempt(now, j, eventZoneOut, PhaseQueued, wire.StopZoneOut, c.settings.CheckpointGrace, "moved out of a zone that is out of service")
}
