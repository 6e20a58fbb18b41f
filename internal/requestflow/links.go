package requestflow

import (
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/routing"
	"dragonflyyard/internal/wire"
)

const (
	// demandInterval is the shortest time between two Demand messages to an agent.
	demandInterval = 100 * time.Millisecond
	// overdueFactor times the expected service time is when an unanswered
	// request counts against its backend server.
	overdueFactor = 3
	// holdTimeout is how long slots of a request that was given up are counted
	// as in use, unless its executor reports the end before.
	holdTimeout = 30 * time.Second
	// formerLifeTimeout is how long the former life of an agent is remembered.
	formerLifeTimeout = time.Minute
)

func (c *Core) linkUp(now time.Time, in LinkUp) {
	old := c.links[in.Backend.ID]
	if old != nil && old.incarnation > in.Incarnation {
		return
	}
	if old != nil {
		c.dropLink(now, old)
	}
	l := &link{backend: in.Backend, incarnation: in.Incarnation, connection: in.Connection, heard: now}
	c.links[in.Backend.ID] = l
	c.table.LinkUp(in.Backend, in.Leaving)
	waits := func(f *flight) bool { return f.executor == in.Backend.ID && f.phase == phaseAsking }
	for _, f := range c.ordered(waits) {
		c.askAgain(now, f, l)
		c.schedule(f)
	}
	c.unpark(now)
}

// askAgain resolves a request over its executor's new connection.
func (c *Core) askAgain(now time.Time, f *flight, l *link) {
	if f.query || f.executorLife == 0 {
		f.executorLife = l.incarnation
	}
	if l.incarnation != f.executorLife {
		c.again(now, f, false, model.ReasonExecutorLost)
		return
	}
	if !f.foreign {
		f.holdConnection = l.connection
		c.table.Acquire(f.executor, f.request.Slots)
	}
	f.waitUntil = now.Add(c.config.ResolveTimeout)
	c.sendLookup(now, f)
}

// heardFrom notes a message of an agent, which ends any suspicion.
func (c *Core) heardFrom(now time.Time, l *link) {
	l.heard = now
	if !l.suspect {
		return
	}
	l.suspect = false
	c.table.SetSuspect(l.backend.ID, false)
	c.unpark(now)
}

// suspectSilent suspects an agent that was asked and has sent nothing since. A
// suspect agent gets no new requests, and requests whose home it is wait without
// holding slots, until a message comes or the connection is declared lost.
func (c *Core) suspectSilent(id model.BackendServerID, askedAt time.Time) {
	l := c.links[id]
	if l == nil || !l.heard.Before(askedAt) {
		return
	}
	c.suspect(l)
}

// linkOverdue suspects an agent whose heartbeats are overdue, also where it was
// asked nothing.
func (c *Core) linkOverdue(in LinkOverdue) {
	if l := c.links[in.Backend]; l != nil && l.connection == in.Connection {
		c.suspect(l)
	}
}

func (c *Core) suspect(l *link) {
	l.suspect = true
	c.table.SetSuspect(l.backend.ID, true)
}

func (c *Core) linkDown(now time.Time, in LinkDown) {
	l := c.links[in.Backend]
	if l == nil || l.connection != in.Connection {
		return
	}
	c.dropLink(now, l)
	delete(c.links, in.Backend)
	c.table.LinkDown(in.Backend)
}

// dropLink moves the requests of a closed connection to the state "resolving".
func (c *Core) dropLink(now time.Time, l *link) {
	id := l.backend.ID
	c.formerLives[id] = formerLife{incarnation: l.incarnation, heard: l.heard}
	for request, h := range c.holds {
		if h.executor == id {
			delete(c.holds, request)
		}
	}
	for _, f := range c.ordered(func(f *flight) bool { return f.executor == id }) {
		if f.machine.State() == stateClaiming {
			// The claim's reply decides; a granted claim is then moved.
			f.holdConnection = 0
			continue
		}
		if !f.isWaitingForExecutor() {
			continue
		}
		f.holdConnection = 0
		f.phase = phaseAsking
		f.answer = answerAssembly{}
		f.nextProbe = time.Time{}
		f.waitUntil = now.Add(c.resolveTimeout(f))
		c.fire(f, eventConnectionLost)
		c.schedule(f)
	}
}

// keepHold counts the slots of a request that is given up as in use until its
// executor reports the end.
func (c *Core) keepHold(now time.Time, f *flight) {
	if f.holdConnection == 0 {
		return
	}
	result := routing.ResultRejected
	expected, _ := c.controller.ServiceTime(f.request.Account, f.request.Slots)
	if now.Sub(f.dispatchedAt) > overdueFactor*expected {
		result = routing.ResultFailed
	}
	c.table.Observe(now, f.executor, result, 0, 0)
	c.holds[f.request.ID] = hold{
		executor: f.executor, connection: f.holdConnection, slots: f.request.Slots, expires: now.Add(holdTimeout),
	}
	f.holdConnection = 0
}

func (c *Core) releaseHold(id model.RequestID, l *link) {
	h, ok := c.holds[id]
	if !ok || h.executor != l.backend.ID || h.connection != l.connection {
		return
	}
	delete(c.holds, id)
	c.table.Release(h.executor, h.slots)
}

func (c *Core) expireHolds(now time.Time) {
	for id, h := range c.holds {
		if now.Before(h.expires) {
			continue
		}
		delete(c.holds, id)
		if l := c.links[h.executor]; l != nil && l.connection == h.connection {
			c.table.Release(h.executor, h.slots)
		}
	}
}

func (c *Core) expireFormerLives(now time.Time) {
	for id, former := range c.formerLives {
		if !now.Before(former.heard.Add(formerLifeTimeout)) {
			delete(c.formerLives, id)
		}
	}
}

// sendDemands tells the agents how many slots waiting requests could use.
func (c *Core) sendDemands(now time.Time) {
	if now.Before(c.demandDue) {
		return
	}
	c.demandDue = now.Add(demandInterval)
	c.table.Servers(func(id model.BackendServerID, inUse int, reservedFor model.RequestID) {
		l := c.links[id]
		if l == nil {
			return
		}
		if l.suspect {
			// Any reply ends the suspicion; a look-up without an ID changes nothing.
			c.send(l, &wire.Lookup{})
		}
		demand := wire.Demand{}
		if c.queuedSlots > 0 {
			demand.Slots = min(l.backend.Slots, inUse+c.queuedSlots)
		}
		if f := c.flights[reservedFor]; f != nil {
			demand.Largest = f.request.Slots
		}
		if demand.Slots == l.demand.Slots && demand.Largest == l.demand.Largest {
			return
		}
		l.demandSeq++
		demand.Seq = l.demandSeq
		l.demand = demand
		c.send(l, &demand)
	})
}
