package requesttest

import (
	"fmt"
	"time"

	"dragonflyyard/internal/executor"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/requestflow"
	"dragonflyyard/internal/wire"
)

// Slots and Connections are the capacity of each simulated backend server.
const (
	Slots       = 8
	Connections = 64
)

// entryHost is one entry host; core is nil while it is down.
type entryHost struct {
	index       int
	offset      time.Duration
	core        *requestflow.Core
	incarnation model.Incarnation
	pausedUntil time.Time
	version     uint64
	// staleUntil is the time until which the entry host reads no assignment and so
	// issues no permits.
	staleUntil time.Time
	stopped    bool
	dispatches *dispatches
}

// agentHost is one agent with its backend server; core is nil while it is down.
type agentHost struct {
	index       int
	offset      time.Duration
	core        *executor.Core
	incarnation model.Incarnation
	pausedUntil time.Time
	suspected   bool
	staleUntil  time.Time
	leaving     bool
	// zoneOut is the state of the agent's zone that permits carry.
	zoneOut      bool
	zoneOutSince time.Time
	leftAt       time.Time
	stopped      bool
	running      map[model.RequestID]int
	credits      map[int]wire.Credit
}

func (e *entryHost) id() model.EntryID         { return model.EntryID(fmt.Sprintf("entry-%d", e.index)) }
func (a *agentHost) id() model.BackendServerID { return AgentID(a.index) }

// AgentID returns the ID of an agent by its index.
func AgentID(index int) model.BackendServerID {
	return model.BackendServerID(fmt.Sprintf("backend-%d", index))
}

func (b *Testbed) startEntry(i int) {
	e := b.entries[i]
	e.incarnation = model.Incarnation(b.Now().UnixMilli())
	e.pausedUntil, e.stopped, e.version, e.dispatches = time.Time{}, false, 0, newDispatches()
	e.core = requestflow.New(requestflow.Config{
		Entry: e.id(), Incarnation: e.incarnation, Zone: zoneOf(i), ClockSkewBound: SkewBound,
		Seed: b.options.Seed + uint64(i), ProbeInterval: 300 * time.Millisecond,
		Trace: func(step requestflow.TraceStep) { b.traced(i, step) },
	})
	b.deliverAssignmentToEntry(i)
	b.tickEntry(i, e.core)
	b.issuePermits(i, e.core)
}

func (b *Testbed) traced(entry int, step requestflow.TraceStep) {
	if b.OnTransition != nil {
		b.OnTransition(entry, step)
	}
}

func (b *Testbed) startAgent(i int) {
	a := b.agents[i]
	a.incarnation = model.Incarnation(b.Now().UnixMilli())
	a.pausedUntil, a.stopped, a.leaving, a.suspected = time.Time{}, false, false, false
	a.running = map[model.RequestID]int{}
	a.credits = map[int]wire.Credit{}
	a.core = executor.New(executor.Config{
		ID: a.id(), Incarnation: a.incarnation, Started: b.Now().Add(a.offset), Slots: Slots, Connections: Connections,
		ClockSkewBound: SkewBound, LongestPermit: PermitValidity,
	})
	b.deliverAssignmentToAgent(i)
	b.tickAgent(i, a.core)
}

func zoneOf(i int) model.AvailabilityZoneName {
	return model.AvailabilityZoneName(fmt.Sprintf("zone-%d", i%3))
}

func (b *Testbed) tickEntry(i int, core *requestflow.Core) {
	e := b.entries[i]
	if e.core != core {
		return
	}
	b.At(tickInterval, func() { b.tickEntry(i, core) })
	b.stepEntry(i, core, requestflow.Tick{})
}

func (b *Testbed) tickAgent(i int, core *executor.Core) {
	if b.agents[i].core != core {
		return
	}
	b.At(tickInterval, func() { b.tickAgent(i, core) })
	b.stepAgent(i, core, executor.Tick{})
}

// stepEntry passes an input to an entry host, or postpones it while the host is
// paused. Ticks of that time are dropped.
func (b *Testbed) stepEntry(i int, core *requestflow.Core, in requestflow.Input) {
	e := b.entries[i]
	if e.core != core || core == nil {
		return
	}
	if b.Now().Before(e.pausedUntil) {
		if _, isTick := in.(requestflow.Tick); !isTick {
			b.At(e.pausedUntil.Sub(b.Now()), func() { b.stepEntry(i, core, in) })
		}
		return
	}
	b.trackReply(i, in)
	for _, action := range core.Step(b.Now().Add(e.offset), in) {
		b.performEntry(i, action)
	}
}

func (b *Testbed) performEntry(i int, action requestflow.Action) {
	switch action := action.(type) {
	case requestflow.Send:
		b.trackSend(i, action)
		b.transmit(ToAgent, i, agentIndex(action.To), action.Connection, action.Message)
	case requestflow.Finish:
		delete(b.entries[i].dispatches.last, action.Request)
		b.finished(i, action)
	case requestflow.ReadyToStop:
		b.entries[i].stopped = true
		b.logf("entry %d ready to stop", i)
	}
}

// stepAgent passes an input to an agent, or postpones it while the agent is paused.
// Ticks of that time are dropped.
func (b *Testbed) stepAgent(i int, core *executor.Core, in executor.Input) {
	a := b.agents[i]
	if a.core != core || core == nil {
		return
	}
	if b.Now().Before(a.pausedUntil) {
		if _, isTick := in.(executor.Tick); !isTick {
			b.At(a.pausedUntil.Sub(b.Now()), func() { b.stepAgent(i, core, in) })
		}
		return
	}
	for _, action := range core.Step(b.Now().Add(a.offset), in) {
		b.performAgent(i, core, action)
	}
}

func (b *Testbed) performAgent(i int, core *executor.Core, action executor.Action) {
	a := b.agents[i]
	switch action := action.(type) {
	case executor.Send:
		entry := entryIndex(action.To)
		if credit, ok := action.Message.(*wire.Credit); ok {
			b.checkCredit(i, entry, *credit)
		}
		b.transmit(ToEntry, entry, i, action.Connection, action.Message)
	case executor.StartBackend:
		b.backendStarted(i, core, action.Request)
	case executor.ReadyToStop:
		if len(a.running) > 0 {
			b.violate("agent %d is ready to stop while %d requests run", i, len(a.running))
		}
		a.stopped = true
		b.logf("agent %d ready to stop", i)
		b.At(0, func() { b.exitAgent(i, core) })
	}
}

// issuePermits issues the entry host's permits every permitInterval, until its core
// is replaced.
func (b *Testbed) issuePermits(i int, core *requestflow.Core) {
	e := b.entries[i]
	if e.core != core {
		return
	}
	b.At(permitInterval, func() { b.issuePermits(i, core) })
	if b.Now().Before(e.pausedUntil) || b.Now().Before(b.readsBlockedUntil) || b.Now().Before(e.staleUntil) {
		return
	}
	b.refreshAssignment(i)
	for a := range b.agents {
		c := b.conns[[2]int{i, a}]
		if c == nil || c.silent || !c.agentUp {
			continue
		}
		agent := b.agents[a]
		until := b.Now().Add(agent.offset + PermitValidity)
		version, agentCore, zoneOut := e.version, agent.core, agent.zoneOut
		delay := Latency + time.Duration(b.Random.Int64N(int64(50*time.Millisecond)))
		b.At(delay, func() {
			b.stepAgent(a, agentCore, executor.PermitGranted{Assignment: version, ValidUntil: until, ZoneOut: zoneOut})
		})
	}
}

// refreshAssignment reads the assignment row, since an entry host never issues
// permits on a view older than HeadFreshness.
func (b *Testbed) refreshAssignment(i int) {
	if b.entries[i].version < b.assignment.Version {
		b.deliverAssignmentToEntry(i)
	}
}

func (b *Testbed) deliverAssignmentToEntry(i int) {
	e := b.entries[i]
	if e.core == nil || b.Now().Before(e.pausedUntil) || b.Now().Before(b.readsBlockedUntil) || b.Now().Before(e.staleUntil) {
		return
	}
	e.version = max(e.version, b.assignment.Version)
	b.stepEntry(i, e.core, requestflow.AssignmentUpdate{Assignment: b.assignment})
}

func (b *Testbed) deliverAssignmentToAgent(i int) {
	a := b.agents[i]
	if b.Now().Before(a.staleUntil) {
		b.At(a.staleUntil.Sub(b.Now()), func() { b.deliverAssignmentToAgent(i) })
		return
	}
	b.stepAgent(i, a.core, executor.AssignmentUpdate{Assignment: b.assignment})
}

func agentIndex(id model.BackendServerID) int {
	var i int
	_, _ = fmt.Sscanf(string(id), "backend-%d", &i)
	return i
}

func entryIndex(id model.EntryID) int {
	var i int
	_, _ = fmt.Sscanf(string(id), "entry-%d", &i)
	return i
}
