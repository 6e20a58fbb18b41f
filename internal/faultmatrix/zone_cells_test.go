package faultmatrix

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"dragonflyyard/internal/configstore"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/permit"
)

// Sizes and times of a run of zones.
const (
	zoneAgents = 2
	// zoneName is the zone that operators take out and bring back.
	zoneName       = model.AvailabilityZoneName("z")
	zoneHeartbeat  = 500 * time.Millisecond
	zoneLinkSilent = 2 * time.Second
	// lastStart is the promised time after which no task starts in a zone that
	// was taken out; workResumes that after which tasks start again.
	lastStart   = 3 * time.Second
	workResumes = 7 * time.Second
	zonePause   = 6 * time.Second
	zoneSeeds   = 30
	// zoneOutage is longer than any permit and the time to notice an outage.
	zoneOutage = 15 * time.Second
)

func init() {
	registerEach("zone", []Promise{PromiseZoneOut, PromiseStore}, allSteps("zone"), zoneFaults(), runZoneCell)
	registerImpossibleRows("zone", PromiseZoneOut, "every entry host gives permits; the scheduler's owner takes no part in a step of this chart",
		OwnerKilled, OwnerDeposed)
}

// zoneFaults are the faults of the zone's rows.
func zoneFaults() []Fault {
	return []Fault{
		HostKilled, ProcessFrozen, ConnectionSilent, ConnectionCut, ConnectionSlow, MessageDuplicated, MessageReordered,
		MessageLost, TableDown, TableSlow, TableAnswerLost, LeaseLapsed, EntryKilled, AgentKilled, OperatorsRacing,
		ObjectStoreDown, SecondFault,
	}
}

// tick lets the agents try to start tasks and checks each start.
func (w *zoneWorld) tick() {
	w.configWorld.tick()
	w.readTable()
	for _, a := range w.agents {
		if a.dead || w.now.Before(a.pausedUntil) || a.holder.CheckTaskStart(w.now, 1) != permit.ReasonNone {
			continue
		}
		w.lastStarted = w.now
		if !w.outSince.IsZero() && w.now.Sub(w.outSince) > lastStart {
			w.fail("agent %d starts a task %s after its zone was taken out", a.id, w.now.Sub(w.outSince))
		}
	}
}

// readTable notes when the zone was taken out or brought back in the table.
func (w *zoneWorld) readTable() {
	for {
		change := w.row(w.seen + 1)
		if change.ID == "" {
			return
		}
		w.seen++
		switch {
		case change.Zone == model.ZoneOut && w.outSince.IsZero():
			w.outSince, w.inSince = w.now, time.Time{}
		case change.Zone == model.ZoneIn:
			w.outSince, w.inSince = time.Time{}, w.now
		}
	}
}

// order takes the zone out or brings it back through a host.
func (w *zoneWorld) order(h *configHost, state model.ZoneState) {
	if h.dead {
		return
	}
	w.lastID++
	w.submit(h, model.ConfigChange{ID: model.ChangeID(fmt.Sprintf("z%d", w.lastID)), Object: "zone/" + string(zoneName),
		Zone: state, ExpectedVersion: h.core.Document().ObjectVersions["zone/"+string(zoneName)]})
}

func (w *zoneWorld) orderOpposite(h *configHost) {
	state := model.ZoneOut
	if h.core.Document().Zones[zoneName] == model.ZoneOut {
		state = model.ZoneIn
	}
	w.order(h, state)
}

// put applies a fault to the entry host that took the step, to its links or to
// an agent in the zone.
func (w *zoneWorld) put(h *configHost, f Fault) {
	w.notef("fault %s at host %d", f, h.index)
	if w.putOnStore(f) || w.putOnLinks(h, f) {
		return
	}
	switch f {
	case HostKilled:
		w.killAgent(w.agents[0], false)
	case AgentKilled:
		w.killAgent(w.agents[0], true)
	case LeaseLapsed:
		w.agents[1].pausedUntil = w.now.Add(zonePause)
	case OperatorsRacing:
		other := w.hosts[(h.index+1)%len(w.hosts)]
		w.order(h, model.ZoneOut)
		w.order(other, model.ZoneIn)
	case SecondFault:
		w.putOnLinks(h, ConnectionSilent)
		w.agents[1].pausedUntil = w.now.Add(zonePause / 2)
		w.after(300*time.Millisecond, func() { w.configWorld.put(h, EntryKilled) })
		w.after(time.Second, func() { w.putOnStore(TableDown) })
	default:
		w.configWorld.put(h, f)
	}
}

// putOnLinks applies a fault of an entry host's links. It returns false for others.
func (w *zoneWorld) putOnLinks(h *configHost, f Fault) bool {
	l := w.links[h.index]
	until := w.now.Add(zonePause)
	switch f {
	case ConnectionSilent:
		l.silentUntil = w.now.Add(zoneLinkSilent)
		w.after(zoneLinkSilent, func() { w.reconnect(h.index) })
	case ConnectionCut:
		w.reconnect(h.index)
	case ConnectionSlow:
		l.slowUntil = until
	case MessageDuplicated:
		l.duplicateUntil = until
	case MessageReordered:
		l.reorderUntil = until
	case MessageLost:
		l.loseNext = 12
	default:
		return false
	}
	return true
}

func (w *zoneWorld) killAgent(a *zoneAgent, comesBack bool) {
	a.dead = true
	if comesBack {
		w.after(configPause, func() { a.begin() })
	}
}

func (a *zoneAgent) begin() {
	a.life++
	a.dead, a.pausedUntil, a.holder = false, time.Time{}, permit.NewHolder(permit.DefaultLimits())
}

// storm lets operators move the zone until the step was taken and the fault
// has played out.
func (w *zoneWorld) storm(isHit func() bool) {
	w.run(configWarmUp, w.tick)
	end := w.now.Add(configStorm)
	for w.now.Before(end) && !isHit() {
		w.run(worldTick, func() {
			if w.random.IntN(14) == 0 {
				w.disturb()
			}
			if w.random.IntN(60) == 0 {
				w.isolate()
			}
			if w.random.IntN(60) == 0 {
				w.doubtThenDown()
			}
			w.work()
		})
	}
}

// playOut lets the fault at the step play out, and then meets take-outs and
// isolation with the same fault at the entry host that one agent depends on.
func (w *zoneWorld) playOut(f Fault) {
	attacks := []func(){
		w.isolate,
		w.doubtThenDown,
		func() {
			w.isolate()
			w.pauseOnIssue = w.between(time.Second, zonePause)
		},
	}
	w.run(configFaultLength, w.work)
	for _, attack := range attacks {
		w.order(w.hosts[1], model.ZoneIn)
		w.run(2*time.Second, w.tick)
		attack()
		w.run(configFaultLength, w.tick)
		w.put(w.hosts[0], f)
	}
}

func (w *zoneWorld) work() {
	if w.random.IntN(20) == 0 {
		w.orderOpposite(w.hosts[w.random.IntN(len(w.hosts))])
	}
	if w.random.IntN(60) == 0 {
		w.operate()
	}
	w.tick()
}

// zoneHits finds the seeds of all steps.
var zoneHits = sync.OnceValue(func() hits[step] {
	found := hits[step]{}
	for seed := uint64(1); seed <= zoneSeeds; seed++ {
		w := newZoneWorld(nil, seed)
		w.trace = func(_ *configHost, chart string, taken step) {
			if chart == "zone" {
				found.add(taken, seed, w.now.Sub(w.start))
			}
		}
		w.storm(func() bool { return false })
	}
	return found
})

// runZoneCell storms until the step is taken, puts the fault there and lets it
// play out. After healing it brings the zone back and wants work to resume,
// takes it out and wants it to stop.
func runZoneCell(t *testing.T, s step, f Fault) {
	first, found := zoneHits()[s]
	if !found {
		t.Fatalf("no run of %d seeds takes %s on %s", zoneSeeds, s.from, s.event)
	}
	w := newZoneWorld(t, first.seed)
	hit := false
	w.trace = func(h *configHost, chart string, taken step) {
		if !hit && chart == "zone" && taken == s {
			hit = true
			w.after(0, func() { w.put(h, f) })
		}
	}
	w.storm(func() bool { return hit })
	if !hit {
		t.Fatalf("seed %d does not take %s on %s again", first.seed, s.from, s.event)
	}
	w.playOut(f)
	w.checkZoneEnd()
}

// checkZoneEnd heals all faults, checks the changes, and wants work to resume
// in the zone and to stop there.
func (w *zoneWorld) checkZoneEnd() {
	w.healAll()
	w.run(configInForce, w.tick)
	w.checkEnd()
	w.checkWork(model.ZoneIn, workResumes, true)
	w.checkOutage()
	w.checkWork(model.ZoneOut, lastStart, false)
}

// checkOutage takes the table service down among healthy processes and wants
// tasks to start until it is back.
func (w *zoneWorld) checkOutage() {
	w.storeDown = w.now.Add(zoneOutage)
	w.run(zoneOutage, func() {
		w.tick()
		if since := w.now.Sub(w.lastStarted); since > time.Second {
			w.fail("no task started for %s while the table service is down", since)
			w.lastStarted = w.now
		}
	})
	w.run(time.Second, w.tick)
}

func (w *zoneWorld) healAll() {
	w.heal()
	for _, a := range w.agents {
		if a.dead {
			a.begin()
		}
		a.pausedUntil = time.Time{}
	}
	for index, l := range w.links {
		*l = zoneLinks{epoch: l.epoch, seq: l.seq}
		w.reconnect(index)
	}
}

// checkWork moves the zone and wants tasks to start, or none to, after a time.
func (w *zoneWorld) checkWork(state model.ZoneState, within time.Duration, starts bool) {
	w.order(w.hosts[0], state)
	w.run(within, w.tick)
	since := w.now
	w.run(time.Second, w.tick)
	if started := w.lastStarted.After(since); started != starts {
		w.fail("zone %s for %s: tasks start: %v", state, within, started)
	}
	if s := w.tokens[w.lastToken]; s.verdict != configstore.VerdictAccepted && s.verdict != configstore.VerdictConflict {
		w.fail("order to put the zone %s: %q", state, s.verdict)
	}
}
