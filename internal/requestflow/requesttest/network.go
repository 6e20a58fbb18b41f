package requesttest

import (
	"time"

	"dragonflyyard/internal/executor"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/requestflow"
	"dragonflyyard/internal/wire"
)

// conn is one connection between an entry host and an agent. entryUp and agentUp
// are cleared when that end notices the loss; silent connections deliver nothing.
type conn struct {
	id      uint64
	entry   int
	agent   int
	silent  bool
	entryUp bool
	agentUp bool
}

// connect opens a new connection if both ends are up and none is open. It waits
// for the end of a partition or pause.
func (b *Testbed) connect(entry, agent int) {
	e, a := b.entries[entry], b.agents[agent]
	key := [2]int{entry, agent}
	if e.core == nil || a.core == nil || a.stopped {
		return
	}
	if old := b.conns[key]; old != nil && old.entryUp && old.agentUp {
		return
	}
	if until := b.partitionedUntil[key]; b.Now().Before(until) {
		b.At(until.Sub(b.Now()), func() { b.connect(entry, agent) })
		return
	}
	pausedUntil := e.pausedUntil
	if a.pausedUntil.After(pausedUntil) {
		pausedUntil = a.pausedUntil
	}
	if b.Now().Before(pausedUntil) {
		b.At(pausedUntil.Sub(b.Now())+time.Millisecond, func() { b.connect(entry, agent) })
		return
	}
	b.nextConn++
	c := &conn{id: b.nextConn, entry: entry, agent: agent, entryUp: true, agentUp: true}
	b.conns[key] = c
	delete(a.credits, entry)
	b.stepAgent(agent, a.core, executor.LinkUp{Entry: e.id(), Incarnation: e.incarnation, Connection: c.id})
	b.stepEntry(entry, e.core, requestflow.LinkUp{
		Backend:     model.BackendServer{ID: a.id(), Zone: zoneOf(agent), Slots: Slots, Connections: Connections},
		Incarnation: a.incarnation, Connection: c.id, Leaving: a.leaving,
	})
}

func (b *Testbed) transmit(d Direction, entry, agent int, connection uint64, m wire.Message) {
	c := b.conns[[2]int{entry, agent}]
	if c == nil || c.id != connection || c.silent {
		return
	}
	verdict := b.verdict(Message{Direction: d, Entry: entry, Agent: agent, Body: m})
	if verdict.Drop {
		b.logf("drop %T %s entry %d agent %d", m, RequestOf(m), entry, agent)
		return
	}
	entryCore, agentCore := b.entries[entry].core, b.agents[agent].core
	deliver := func() {
		if c.silent {
			return
		}
		if d == ToAgent {
			b.stepAgent(agent, agentCore, executor.Receive{From: b.entries[entry].id(), Connection: connection, Message: m})
			return
		}
		b.stepEntry(entry, entryCore, requestflow.Receive{From: AgentID(agent), Connection: connection, Message: m})
	}
	b.At(Latency+verdict.Delay, deliver)
	if verdict.Duplicate {
		b.logf("duplicate %T %s entry %d agent %d", m, RequestOf(m), entry, agent)
		b.At(Latency+verdict.Delay+time.Duration(b.Random.Int64N(int64(30*time.Millisecond))), deliver)
	}
}

// verdict applies the filter, and then the random faults of Options to messages
// that concern a request.
func (b *Testbed) verdict(m Message) Verdict {
	var v Verdict
	if b.Filter != nil {
		v = b.Filter(m)
	}
	if RequestOf(m.Body) == "" {
		return v
	}
	v.Drop = v.Drop || b.chance(b.options.Drop)
	v.Duplicate = v.Duplicate || b.chance(b.options.Duplicate)
	if b.chance(b.options.Reorder) {
		v.Delay += time.Duration(b.Random.Int64N(int64(20 * time.Millisecond)))
	}
	return v
}

func (b *Testbed) chance(p float64) bool { return p > 0 && b.Random.Float64() < p }

// RequestOf returns the ID of the request that a message concerns, or "" if none.
func RequestOf(m wire.Message) model.RequestID {
	switch m := m.(type) {
	case *wire.Claim:
		return m.Request
	case *wire.ClaimReply:
		return m.Request
	case *wire.Dispatch:
		return m.Request
	case *wire.Lookup:
		return m.Request
	case *wire.LookupReply:
		return m.Request
	case *wire.AnswerPart:
		return m.Request
	default:
		return ""
	}
}

// Cut closes a connection. Both ends notice at once, and a new one is opened after
// ReconnectDelay.
func (b *Testbed) Cut(entry, agent int) {
	b.logf("cut entry %d agent %d", entry, agent)
	c := b.conns[[2]int{entry, agent}]
	if c == nil {
		return
	}
	b.closeConn(c)
	b.At(ReconnectDelay, func() { b.connect(entry, agent) })
}

// Partition closes a connection and prevents a new one for the given time.
func (b *Testbed) Partition(entry, agent int, d time.Duration) {
	b.partitionedUntil[[2]int{entry, agent}] = b.Now().Add(d)
	b.Cut(entry, agent)
}

func (b *Testbed) closeConn(c *conn) {
	c.silent = true
	b.linkDownAtEntry(c)
	b.linkDownAtAgent(c)
}

func (b *Testbed) linkDownAtEntry(c *conn) {
	if !c.entryUp {
		return
	}
	c.entryUp = false
	b.stepEntry(c.entry, b.entries[c.entry].core, requestflow.LinkDown{Backend: AgentID(c.agent), Connection: c.id})
}

func (b *Testbed) linkDownAtAgent(c *conn) {
	if !c.agentUp {
		return
	}
	c.agentUp = false
	a := b.agents[c.agent]
	if b.conns[[2]int{c.entry, c.agent}] == c {
		delete(a.credits, c.entry)
	}
	b.stepAgent(c.agent, a.core, executor.LinkDown{Entry: b.entries[c.entry].id(), Connection: c.id})
}

// Silence drops all messages on a connection. Each end notices by itself after the
// heartbeat timeout; then a new connection is opened.
func (b *Testbed) Silence(entry, agent int) {
	b.logf("silence entry %d agent %d", entry, agent)
	c := b.conns[[2]int{entry, agent}]
	if c == nil || c.silent {
		return
	}
	c.silent = true
	jitter := time.Duration(b.Random.Int64N(int64(200 * time.Millisecond)))
	b.At(HeartbeatTimeout, func() { b.linkDownAtEntry(c) })
	b.At(HeartbeatTimeout+jitter, func() { b.linkDownAtAgent(c) })
	b.At(HeartbeatTimeout+jitter+ReconnectDelay, func() { b.connect(entry, agent) })
}

// KillEntry kills an entry host. Its callers get no outcome any more.
func (b *Testbed) KillEntry(i int) {
	b.logf("kill entry %d", i)
	b.entries[i].core = nil
	b.ledger.markEntryLost(i)
	for a := range b.agents {
		if c := b.conns[[2]int{i, a}]; c != nil {
			b.closeConn(c)
		}
	}
}

// KillAgent kills an agent. Its backend server completes the requests that it has
// started, but their results are lost.
func (b *Testbed) KillAgent(i int) {
	b.logf("kill agent %d", i)
	a := b.agents[i]
	a.core = nil
	for e := range b.entries {
		if c := b.conns[[2]int{e, i}]; c != nil {
			b.closeConn(c)
		}
	}
}

// exitAgent ends an agent that is ready to stop, unless it has restarted since.
func (b *Testbed) exitAgent(i int, core *executor.Core) {
	if b.agents[i].core == core {
		b.KillAgent(i)
	}
}

// RestartEntry starts a new incarnation of an entry host that is down.
func (b *Testbed) RestartEntry(i int) {
	if b.entries[i].core != nil {
		return
	}
	b.logf("restart entry %d", i)
	b.startEntry(i)
	for a := range b.agents {
		b.connect(i, a)
	}
}

// RestartAgent starts a new incarnation of an agent that is down.
func (b *Testbed) RestartAgent(i int) {
	if b.agents[i].core != nil {
		return
	}
	b.logf("restart agent %d", i)
	b.startAgent(i)
	for e := range b.entries {
		b.connect(e, i)
	}
}

// PauseEntry suspends an entry host for d. Its agents close its connections if the
// pause is longer than the heartbeat timeout.
func (b *Testbed) PauseEntry(i int, d time.Duration) {
	b.logf("pause entry %d for %s", i, d)
	b.entries[i].pausedUntil = b.Now().Add(d)
	for a := range b.agents {
		b.pauseConn(b.conns[[2]int{i, a}], d, func(c *conn) { b.linkDownAtAgent(c) })
	}
}

// PauseAgent suspends an agent for d. Its entry hosts close its connections, and the
// owner suspects it, if the pause is longer than the heartbeat timeout.
func (b *Testbed) PauseAgent(i int, d time.Duration) {
	b.logf("pause agent %d for %s", i, d)
	a := b.agents[i]
	a.pausedUntil = b.Now().Add(d)
	for e := range b.entries {
		b.pauseConn(b.conns[[2]int{e, i}], d, func(c *conn) { b.linkDownAtEntry(c) })
	}
	if d > HeartbeatTimeout {
		b.At(HeartbeatTimeout, func() { a.suspected = true })
		b.At(d+ReconnectDelay, func() { a.suspected = false })
	}
}

func (b *Testbed) pauseConn(c *conn, d time.Duration, first func(*conn)) {
	if c == nil || d <= HeartbeatTimeout {
		return
	}
	b.At(HeartbeatTimeout, func() { first(c) })
	b.At(d, func() { b.closeConn(c) })
	b.At(d+ReconnectDelay, func() { b.connect(c.entry, c.agent) })
}

// StopAgent begins the graceful stop of an agent.
func (b *Testbed) StopAgent(i int) {
	b.logf("stop agent %d", i)
	a := b.agents[i]
	a.leaving = true
	a.leftAt = b.Now()
	b.stepAgent(i, a.core, executor.Stop{})
}

// StopEntry begins the graceful stop of an entry host.
func (b *Testbed) StopEntry(i int) {
	b.logf("stop entry %d", i)
	b.stepEntry(i, b.entries[i].core, requestflow.Stop{})
}

// IsStopped reports whether an agent, or entry host, is ready to stop.
func (b *Testbed) IsStopped(entry bool, i int) bool {
	if entry {
		return b.entries[i].stopped
	}
	return b.agents[i].stopped
}
