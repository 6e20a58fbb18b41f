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
	// overdueFactor is the multiple of the expected service time after which an
	// unanswered request counts as a failure of its backend server.
	overdueFactor = 3
	// holdTimeout is how long the slots of an abandoned request count as in use if
	// its executor does not report the end earlier.
	holdTimeout = 30 * time.Second
	// previousIncarnationTimeout is how long the previous incarnation of an agent is
	// kept after its last message.
	previousIncarnationTimeout = time.Minute
)

func (c *Core) linkUp(now time.Time, in LinkUp) {
	old := c.links[in.Backend.ID]
	if old != nil && old.incarnation > in.Incarnation {
		return
	}
	if old != nil {
		c.dropLink(now, old)
	}
	l := &link{backend: in.Backend, incarnation: in.Incarnation, connection: in.Connection, lastHeard: now}
	c.links[in.Backend.ID] = l
	c.table.LinkUp(in.Backend, in.Leaving)
	needsLookup := func(f *flight) bool { return f.executor == in.Backend.ID && f.phase == phaseLookup }
	for _, f := range c.flightsWhere(needsLookup) {
		c.resumeLookup(now, f, l)
		c.schedule(f)
	}
	c.unpark(now)
}

// resumeLookup looks a request up over its executor's new connection. A restarted
// executor has lost the request.
func (c *Core) resumeLookup(now time.Time, f *flight, l *link) {
	if f.query || f.executorIncarnation == 0 {
		f.executorIncarnation = l.incarnation
	}
	if l.incarnation != f.executorIncarnation {
		c.retryOrFinish(now, f, false, model.ReasonExecutorLost)
		return
	}
	if !f.dispatchedElsewhere {
		f.holdConnection = l.connection
		c.table.Acquire(f.executor, f.request.Slots)
	}
	f.waitUntil = now.Add(c.config.ResolveTimeout)
	c.sendLookup(now, f)
}

// markResponsive records the arrival of a message from an agent and clears its
// suspect mark.
func (c *Core) markResponsive(now time.Time, l *link) {
	l.lastHeard = now
	if !l.suspect {
		return
	}
	l.suspect = false
	c.table.SetSuspect(l.backend.ID, false)
	c.unpark(now)
}

// suspectSilent marks an agent suspect that has sent no message since it was asked.
// A suspect agent gets no new requests, and requests whose home it is wait without
// holding slots, until a message arrives or the connection is declared lost.
func (c *Core) suspectSilent(id model.BackendServerID, askedAt time.Time) {
	l := c.links[id]
	if l == nil || !l.lastHeard.Before(askedAt) {
		return
	}
	c.suspect(l)
}

// linkOverdue marks an agent suspect whose heartbeat is overdue, even if no claim
// or look-up is unanswered.
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
	c.previousIncarnations[id] = previousIncarnation{incarnation: l.incarnation, lastHeard: l.lastHeard}
	for request, h := range c.holds {
		if h.executor == id {
			delete(c.holds, request)
		}
	}
	for _, f := range c.flightsWhere(func(f *flight) bool { return f.executor == id }) {
		if f.machine.State() == stateClaiming {
			// The home's reply to the claim decides what follows; a granted claim is
			// moved to another executor.
			f.holdConnection = 0
			continue
		}
		if !f.isWaitingForExecutor() {
			continue
		}
		f.holdConnection = 0
		f.phase = phaseLookup
		f.answer = answerAssembly{}
		f.nextProbe = time.Time{}
		f.waitUntil = now.Add(c.resolveTimeout(f))
		c.fire(f, eventConnectionLost)
		c.schedule(f)
	}
}

// createHold counts the slots of an abandoned request as in use until its executor
// reports the end, at most for holdTimeout.
func (c *Core) createHold(now time.Time, f *flight) {
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

func (c *Core) expirePreviousIncarnations(now time.Time) {
	for id, previous := range c.previousIncarnations {
		if !now.Before(previous.lastHeard.Add(previousIncarnationTimeout)) {
			delete(c.previousIncarnations, id)
		}
	}
}

// sendDemands sends each agent the number of slots that queued requests could use,
// if it has changed.
func (c *Core) sendDemands(now time.Time) {
	if now.Before(c.nextDemandAt) {
		return
	}
	c.nextDemandAt = now.Add(demandInterval)
	c.table.Servers(func(id model.BackendServerID, inUse int, reservedFor model.RequestID) {
		l := c.links[id]
		if l == nil {
			return
		}
		if l.suspect {
			// Any reply clears the suspect mark; a look-up without an ID has no effect.
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
