package scheduler

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
)

// gangChart is the state chart of a job. Its states are the job's phases.
var gangChart = statechart.MustLoad("gang")

// Events of the state chart.
var (
	eventPlaced           = gangChart.MustEvent("placed")
	eventCleared          = gangChart.MustEvent("cleared")
	eventAllReserved      = gangChart.MustEvent("all_reserved")
	eventReserveRefused   = gangChart.MustEvent("reserve_refused")
	eventReserveTimedOut  = gangChart.MustEvent("reserve_timed_out")
	eventDecisionAccepted = gangChart.MustEvent("decision_accepted")
	eventDecisionRefused  = gangChart.MustEvent("decision_refused")
	eventDecisionInDoubt  = gangChart.MustEvent("decision_in_doubt")
	eventAllStarted       = gangChart.MustEvent("all_started")
	eventLaunchTimedOut   = gangChart.MustEvent("launch_timed_out")
	eventMemberLost       = gangChart.MustEvent("member_lost")
	eventMemberFailed     = gangChart.MustEvent("member_failed")
	eventAllFinished      = gangChart.MustEvent("all_finished")
	eventCancelled        = gangChart.MustEvent("cancelled")
	eventReclaimed        = gangChart.MustEvent("reclaimed")
	eventZoneOut          = gangChart.MustEvent("zone_out")
	eventRowFound         = gangChart.MustEvent("row_found")
	eventOwnerChanged     = gangChart.MustEvent("owner_changed")
	eventStoppedForRetry  = gangChart.MustEvent("stopped_for_retry")
	eventStoppedForGood   = gangChart.MustEvent("stopped_for_good")
	eventStoppedAndParked = gangChart.MustEvent("stopped_and_parked")
)

// fire applies an event of the state chart to a job. It reports false and
// changes nothing if the job's phase does not accept the event.
func (c *Core) fire(now time.Time, j *JobState, e statechart.Event) bool {
	state, known := gangChart.State(string(j.Phase))
	if !known {
		return false
	}
	machine := gangChart.MachineAt(state)
	step, outcome := machine.Fire(e)
	if outcome != statechart.Moved {
		return false
	}
	if step.To != step.From {
		c.enter(now, j, Phase(gangChart.StateName(step.To)))
	}
	return true
}

// enter sets a job's phase and updates the phase index and the queues. It is
// called by fire and for jobs that are submitted or restored.
func (c *Core) enter(now time.Time, j *JobState, p Phase) {
	delete(c.phases[j.Phase], j.Job.ID)
	if j.Phase == PhaseQueued {
		c.dequeue(j)
	}
	if c.phases[p] == nil {
		c.phases[p] = map[model.JobID]struct{}{}
	}
	c.phases[p][j.Job.ID] = struct{}{}
	j.Phase = p
	j.PhaseSince = now
	j.ResendAt = now
	if p == PhaseQueued {
		c.enqueue(j)
		c.scheduleDue = true
	}
}
