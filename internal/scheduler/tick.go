package scheduler

import (
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// tick resends unconfirmed messages and ends phases that exceed their timeouts.
func (c *Core) tick(now time.Time) {
	if !c.recoverUntil.IsZero() && !now.Before(c.recoverUntil) {
		c.finishRecovery(now)
	}
	c.startsLeft = c.settings.MaxStartsPerTick
	c.refreshAvoided(now)
	c.refreshReservations(now)
	c.checkSilence(now)
	c.drain(now)
	for _, j := range c.inPhase(PhaseReserving) {
		c.tickReserving(now, j)
	}
	for _, j := range c.inPhase(PhaseDeciding) {
		if !now.Before(j.ResendAt) {
			c.renewReservations(now, j)
		}
	}
	for _, j := range c.inPhase(PhaseInDoubt) {
		c.tickInDoubt(now, j)
	}
	for _, j := range c.inPhase(PhaseLaunching) {
		c.tickLaunching(now, j)
	}
	for _, j := range c.inPhase(PhaseStopping) {
		if !now.Before(j.ResendAt) {
			c.sendStops(now, j)
		}
		c.checkStopped(now, j)
	}
	c.lastTick = now
	c.scheduleDue = true
}

func (c *Core) tickReserving(now time.Time, j *JobState) {
	if now.Sub(j.PhaseSince) >= c.settings.ReserveTimeout {
		c.abandon(now, j, eventReserveTimedOut, "not all agents answered a reservation")
		return
	}
	if !now.Before(j.ResendAt) {
		c.sendReserves(now, j)
	}
}

func (c *Core) tickInDoubt(now time.Time, j *JobState) {
	if now.Before(j.ResendAt) {
		return
	}
	c.emit(ReadDecision{Job: j.Job.ID, Attempt: j.Attempt})
	c.renewReservations(now, j)
}

// renewReservations requests a gang's reservations again before they expire.
func (c *Core) renewReservations(now time.Time, j *JobState) {
	c.sendReserves(now, j)
	j.ResendAt = c.nextRenewal(now)
}

// nextRenewal is when to renew the reservations of a gang whose decision is
// pending, well before the agents' hold on them expires.
func (c *Core) nextRenewal(now time.Time) time.Time { return now.Add(c.settings.ReservationHold / 3) }

func (c *Core) tickLaunching(now time.Time, j *JobState) {
	if now.Sub(j.PhaseSince) >= c.settings.LaunchTimeout {
		c.endAttempt(now, j, eventLaunchTimedOut, PhaseQueued, wire.StopGangMemberLost, 0, "not all tasks started in time")
		return
	}
	if !now.Before(j.ResendAt) {
		c.sendLaunches(now, j)
	}
}

// checkSilence ends the gangs on workers that have stopped requesting leases.
func (c *Core) checkSilence(now time.Time) {
	ids := make([]model.WorkerID, 0)
	for id, w := range c.workers {
		if c.isSilent(now, w) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		c.loseTasks(now, c.workers[id], "worker "+string(id)+" stopped asking for leases")
	}
}
