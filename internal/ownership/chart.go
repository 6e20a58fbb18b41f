package ownership

import "dragonflyyard/internal/statechart"

// leaseChart is the state chart of a candidate.
var leaseChart = statechart.MustLoad("lease")

// Events of the lease chart.
var (
	candidateDue     = leaseChart.MustEvent("candidate_due")
	acquired         = leaseChart.MustEvent("acquired")
	renewalDue       = leaseChart.MustEvent("renewal_due")
	renewed          = leaseChart.MustEvent("renewed")
	otherOwner       = leaseChart.MustEvent("other_owner")
	validityPassed   = leaseChart.MustEvent("validity_passed")
	storeDown        = leaseChart.MustEvent("store_down")
	checkFailed      = leaseChart.MustEvent("check_failed")
	writeInDoubt     = leaseChart.MustEvent("write_in_doubt")
	stopOrdered      = leaseChart.MustEvent("stop_ordered")
	stoppedIdle      = leaseChart.MustEvent("stopped_idle")
	releaseConfirmed = leaseChart.MustEvent("release_confirmed")
	givenUp          = leaseChart.MustEvent("given_up")
)

// States of the lease chart.
var (
	chartAcquiring   = leaseChart.MustState("acquiring")
	chartHeld        = leaseChart.MustState("held")
	chartRenewing    = leaseChart.MustState("renewing")
	chartHandingOver = leaseChart.MustState("handing_over")
	chartReleased    = leaseChart.MustState("released")
)

// stateOf maps a state of the chart to the state that State reports. A held lease
// that is being renewed is StateHolding.
func stateOf(s statechart.State) State {
	switch s {
	case chartHeld, chartRenewing:
		return StateHolding
	case chartAcquiring:
		return StateAcquiring
	case chartHandingOver:
		return StateHandingOver
	case chartReleased:
		return StateStopped
	default:
		return StateFollowing
	}
}

// fire applies an event. An event without a transition from the current state is
// ignored, such as the late result of a write after the lease has expired.
func (c *Candidate) fire(e statechart.Event) {
	transition, outcome := c.machine.Fire(e)
	if outcome == statechart.Moved && c.trace != nil {
		c.trace(transition)
	}
}
