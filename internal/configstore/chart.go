package configstore

import (
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/statechart"
)

// State charts of configuration changes and availability zones.
var (
	changeChart = statechart.MustLoad("configchange")
	zoneChart   = statechart.MustLoad("zone")
)

// Events of the change chart.
var (
	valid         = changeChart.MustEvent("valid")
	changeInvalid = changeChart.MustEvent("invalid")
	stale         = changeChart.MustEvent("stale")
	alreadyMade   = changeChart.MustEvent("already_made")
	notReady      = changeChart.MustEvent("not_ready")
	expired       = changeChart.MustEvent("expired")
	committed     = changeChart.MustEvent("committed")
	checkFailed   = changeChart.MustEvent("check_failed")
	storeDown     = changeChart.MustEvent("store_down")
	answerLost    = changeChart.MustEvent("answer_lost")
	found         = changeChart.MustEvent("found")
	absent        = changeChart.MustEvent("absent")
	judgedAnew    = changeChart.MustEvent("judged_anew")
	idReused      = changeChart.MustEvent("id_reused")
	unreadable    = changeChart.MustEvent("unreadable")
)

// States of the change chart.
var (
	changeWriting  = changeChart.MustState("writing")
	changeInDoubt  = changeChart.MustState("in_doubt")
	changeAccepted = changeChart.MustState("accepted")
	changeRefused  = changeChart.MustState("refused")
	changeProposed = changeChart.MustState("proposed")
)

// Events and states of the availability zone chart.
var (
	takeOutOrdered   = zoneChart.MustEvent("take_out_ordered")
	bringBackOrdered = zoneChart.MustEvent("bring_back_ordered")
	writeAccepted    = zoneChart.MustEvent("write_accepted")
	writeRefused     = zoneChart.MustEvent("write_refused")
	writeInDoubt     = zoneChart.MustEvent("write_in_doubt")

	zoneIn      = zoneChart.MustState("in")
	zoneLeaving = zoneChart.MustState("leaving")
	zoneOut     = zoneChart.MustState("out")
)

// fire applies an event to the state machine of the pending change and to that
// of the zone whose state it changes. Home assignments are not submitted by
// operators and have no chart.
func (c *Core) fire(w *pendingWrite, e statechart.Event) {
	if w.assignment != nil {
		return
	}
	step, outcome := w.machine.Fire(e)
	if outcome != statechart.Moved {
		return
	}
	if c.trace != nil {
		c.trace(changeChart, step)
	}
	c.advanceZone(w, step)
}

// advanceZone applies the transition of a change to its zone's state machine.
func (c *Core) advanceZone(w *pendingWrite, step statechart.Transition) {
	switch step.To {
	case changeWriting:
		c.startZoneMove(w)
	case changeAccepted:
		c.fireZone(w, writeAccepted)
	case changeInDoubt:
		c.fireZone(w, writeInDoubt)
	case changeRefused, changeProposed:
		c.fireZone(w, writeRefused)
	}
}

// startZoneMove starts the zone's state machine when the change is sent.
func (c *Core) startZoneMove(w *pendingWrite) {
	isOut := c.document.Zones[w.zoneName()] == model.ZoneOut
	w.movesZone = w.change.Zone != "" && isOut != (w.change.Zone == model.ZoneOut)
	if isOut {
		w.zone = zoneChart.MachineAt(zoneOut)
		c.fireZone(w, bringBackOrdered)
		return
	}
	w.zone = zoneChart.MachineAt(zoneIn)
	c.fireZone(w, takeOutOrdered)
}

func (c *Core) fireZone(w *pendingWrite, e statechart.Event) {
	if !w.movesZone {
		return
	}
	step, outcome := w.zone.Fire(e)
	if outcome == statechart.Moved && c.trace != nil {
		c.trace(zoneChart, step)
	}
}

// isTakingOut reports whether the write takes a zone out of service and is not
// known to have failed. Such a zone is treated as out.
func (w *pendingWrite) isTakingOut() bool {
	return w.movesZone && w.zone.State() == zoneLeaving
}

// zoneName returns the zone name from the object key of the change.
func (w *pendingWrite) zoneName() model.AvailabilityZoneName {
	_, name := splitObject(w.change.Object)
	return model.AvailabilityZoneName(name)
}
