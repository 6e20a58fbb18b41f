package faultmatrix

import (
	"fmt"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/permit"
	"dragonflyyard/internal/wire"
)

// zoneWorld adds permits to the writers of configuration: each entry host has
// an issuer, each agent in the zone a holder.
type zoneWorld struct {
	*configWorld
	issuers []*permit.Issuer
	links   []*zoneLinks
	agents  []*zoneAgent
	// outSince is when the table's configuration took the zone out; zero while
	// it is in. seen is the version up to which the table was read.
	outSince, inSince time.Time
	seen              model.ConfigVersion
	lastStarted       time.Time
	// pauseOnIssue pauses an agent while its next permit is on the way.
	pauseOnIssue time.Duration
}

// zoneLinks are the links of one entry host, with their faults.
type zoneLinks struct {
	// epoch numbers the connections; what was sent on an earlier one is dropped.
	epoch                                                int
	silentUntil, slowUntil, duplicateUntil, reorderUntil time.Time
	loseNext                                             int
	seq                                                  uint64
	// isolatedUntil parts the entry host from the others and from the table
	// service, while its agents hear it.
	isolatedUntil time.Time
}

// zoneAgent is an agent in the zone that tries to start a task at each tick.
type zoneAgent struct {
	id int
	// only is the entry host that the agent is connected to; -1 for all.
	only        int
	life        int
	holder      *permit.Holder
	dead        bool
	pausedUntil time.Time
}

func newZoneWorld(t reporter, seed uint64) *zoneWorld {
	w := &zoneWorld{configWorld: newConfigWorld(t, seed)}
	for i, h := range w.hosts {
		w.issuers = append(w.issuers, nil)
		w.links = append(w.links, &zoneLinks{})
		h.begun = func() { w.beginIssuer(i) }
		h.stepped = func() { w.setState(i) }
		w.beginIssuer(i)
	}
	for i := range zoneAgents {
		w.agents = append(w.agents, &zoneAgent{id: i, only: i - 1, holder: permit.NewHolder(permit.DefaultLimits())})
	}
	w.told, w.reaches = w.tellAgents, w.canReach
	w.heartbeats()
	return w
}

func hostID(index int) model.EntryID { return model.EntryID(fmt.Sprintf("entry-%d", index)) }

func (w *zoneWorld) beginIssuer(index int) {
	w.issuers[index] = permit.NewIssuer(permit.DefaultLimits(), hostID(index))
	w.reconnect(index)
}

// reconnect replaces all connections of an entry host.
func (w *zoneWorld) reconnect(index int) {
	w.links[index].epoch++
	for other, issuer := range w.issuers {
		if other != index && issuer != nil {
			issuer.Disconnected(hostID(index))
			w.issuers[index].Disconnected(hostID(other))
		}
	}
	for _, a := range w.agents {
		a.holder.Disconnected(hostID(index))
	}
}

// setState hands the issuer what the host's core knows.
func (w *zoneWorld) setState(index int) {
	view := w.hosts[index].core.View()
	w.issuers[index].SetState(permit.State{
		Ready: view.Ready, Config: view.Config, Assignment: view.Assignment, OwnerEpoch: 1,
		CurrentSince: view.CurrentSince, RosterSince: w.now, ZonesOut: view.ZonesOut, InDoubt: view.AssignmentInDoubt,
	})
}

// send delivers a message over the links of an entry host.
func (w *zoneWorld) send(index int, deliver func()) {
	l := w.links[index]
	epoch := l.epoch
	if w.now.Before(l.silentUntil) {
		return
	}
	if l.loseNext > 0 {
		l.loseNext--
		return
	}
	arrive := func() {
		if l.epoch == epoch {
			deliver()
		}
	}
	delay := w.between(time.Millisecond, 5*time.Millisecond)
	if w.now.Before(l.slowUntil) {
		delay += w.between(300*time.Millisecond, 900*time.Millisecond)
	}
	if w.now.Before(l.reorderUntil) {
		delay += w.between(0, 2*zoneHeartbeat)
	}
	w.after(delay, arrive)
	if w.now.Before(l.duplicateUntil) {
		w.after(2*delay, arrive)
	}
}

// onHost does something at an entry host, once it is awake.
func (w *zoneWorld) onHost(index int, do func()) {
	h := w.hosts[index]
	life := h.life
	if h.dead {
		return
	}
	if w.now.Before(h.pausedUntil) {
		w.after(h.pausedUntil.Sub(w.now), func() {
			if h.life == life {
				w.onHost(index, do)
			}
		})
		return
	}
	do()
}

// onAgent does something at an agent, once it is awake.
func (w *zoneWorld) onAgent(a *zoneAgent, do func()) {
	life := a.life
	if a.dead {
		return
	}
	if w.now.Before(a.pausedUntil) {
		w.after(a.pausedUntil.Sub(w.now), func() {
			if a.life == life {
				w.onAgent(a, do)
			}
		})
		return
	}
	do()
}

// heartbeats lets agents and entry hosts send their heartbeats, again and again.
func (w *zoneWorld) heartbeats() {
	for index := range w.hosts {
		for _, a := range w.agents {
			if a.hears(index) && !a.dead && !w.now.Before(a.pausedUntil) {
				w.heartbeatOfAgent(a, index)
			}
		}
		w.onHost(index, func() { w.askPeers(index) })
	}
	w.after(zoneHeartbeat, w.heartbeats)
}

// heartbeatOfAgent sends a heartbeat, which a permit answers.
func (w *zoneWorld) heartbeatOfAgent(a *zoneAgent, index int) {
	w.links[index].seq++
	seq, life := w.links[index].seq, a.life
	a.holder.HeartbeatSent(w.now, hostID(index), seq)
	w.send(index, func() {
		receivedAt := w.now
		w.onHost(index, func() {
			w.setState(index)
			issued, reason := w.issuers[index].Issue(w.now, receivedAt, seq, zoneName)
			if reason != permit.ReasonNone {
				return
			}
			if a.only >= 0 && w.pauseOnIssue > 0 {
				a.pausedUntil, w.pauseOnIssue = w.now.Add(w.pauseOnIssue), 0
			}
			w.send(index, func() {
				w.onAgent(a, func() {
					if a.life == life {
						a.holder.Received(w.now, hostID(index), issued)
					}
				})
			})
		})
	})
}

// askPeers sends heartbeats to the other entry hosts, which their statuses answer.
func (w *zoneWorld) askPeers(index int) {
	var others []model.EntryID
	for other := range w.hosts {
		if other != index {
			others = append(others, hostID(other))
		}
	}
	w.issuers[index].SetRoster(permit.Roster{
		Others: others, ConfirmedAt: w.now, Established: true, Listed: true, MayRely: true, RelyOn: others,
	})
	for other := range w.hosts {
		if other == index {
			continue
		}
		w.links[index].seq++
		seq, asker := w.links[index].seq, w.issuers[index]
		asker.HeartbeatSent(w.now, hostID(other), seq)
		if !w.canReach(index, other) {
			continue
		}
		w.send(index, func() {
			w.onHost(other, func() {
				w.setState(other)
				status := w.issuers[other].Status(w.now, seq)
				w.send(other, func() {
					w.onHost(index, func() { w.answeredStatus(index, other, asker, status) })
				})
			})
		})
	}
}

// hears reports whether the agent is connected to an entry host.
func (a *zoneAgent) hears(index int) bool { return a.only < 0 || a.only == index }

// canReach reports whether two entry hosts hear each other.
func (w *zoneWorld) canReach(from, to int) bool {
	return !w.now.Before(w.links[from].isolatedUntil) && !w.now.Before(w.links[to].isolatedUntil)
}

// isolate parts the entry host that one of the agents depends on from the
// others and from the table service, and has the zone moved meanwhile.
func (w *zoneWorld) isolate() {
	length := w.between(3*time.Second, 5*time.Second)
	h := w.hosts[0]
	w.notef("host 0 is isolated for %s", length)
	w.links[0].isolatedUntil = w.now.Add(length)
	h.path.silentUntil = w.now.Add(length)
	w.after(w.between(0, 800*time.Millisecond), func() { w.orderOpposite(w.hosts[1]) })
}

// doubtThenDown has the zone moved, loses the answer after the write took
// effect and lets the table service go down right after.
func (w *zoneWorld) doubtThenDown() {
	const effectAt = 25 * time.Millisecond
	w.notef("the table service goes down after a write")
	w.answersLost = w.now.Add(effectAt)
	w.orderOpposite(w.hosts[1])
	w.after(effectAt, func() { w.storeDown = w.now.Add(w.between(time.Second, zonePause)) })
}

func (w *zoneWorld) answeredStatus(index, other int, asker *permit.Issuer, status wire.StoreStatus) {
	if w.issuers[index] == asker {
		asker.StatusReceived(hostID(other), status)
	}
}

// tellAgents passes an accepted configuration on to the agents.
func (w *zoneWorld) tellAgents(h *configHost) {
	document := h.core.Document()
	for _, a := range w.agents {
		if !a.hears(h.index) {
			continue
		}
		w.send(h.index, func() {
			w.onAgent(a, func() { a.holder.ObserveConfig(document.Version, document.Zones[zoneName] == model.ZoneOut) })
		})
	}
}
