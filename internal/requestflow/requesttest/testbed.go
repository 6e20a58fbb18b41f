// Package requesttest joins real request path cores of several entry hosts and
// agents by a bag of messages under a simulated clock, so that tests can drop,
// duplicate, reorder, delay, kill and pause at any step. It checks the promises
// of the request path while it runs. Only tests import it.
package requesttest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dragonflyyard/internal/executor"
	"dragonflyyard/internal/membership"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/requestflow"
	"dragonflyyard/internal/simclock"
	"dragonflyyard/internal/wire"
)

// Times of the simulated system.
const (
	// Latency is the one-way delay of a message.
	Latency = time.Millisecond
	// HeartbeatTimeout is when an end declares a silent connection dead.
	HeartbeatTimeout = time.Second
	// ReconnectDelay is how long a lost connection takes to be opened again.
	ReconnectDelay = 50 * time.Millisecond
	// PermitValidity is the longest permit, and HeadFreshness how old an entry
	// host's view of the assignment may be when it issues one.
	PermitValidity = 2 * time.Second
	HeadFreshness  = time.Second
	// SkewBound is the largest difference between two clocks.
	SkewBound = 200 * time.Millisecond

	// settleTime is from the plan of an assignment to the start of moved ranges:
	// the longest permit and the time until every process has the assignment.
	settleTime = HeadFreshness + PermitValidity + SkewBound

	// maxSpread is the longest time until a process has a new assignment.
	maxSpread = 300 * time.Millisecond

	permitInterval   = 500 * time.Millisecond
	reassignInterval = time.Second
	tickInterval     = 20 * time.Millisecond
)

// Epoch is when each simulation begins.
var Epoch = time.UnixMilli(1_800_000_000_000)

// Options say what a Testbed holds.
type Options struct {
	Seed            uint64
	Entries, Agents int
	// Drop, Duplicate and Reorder are probabilities for each message.
	Drop, Duplicate, Reorder float64
	// Service returns how long a request takes on a backend server; nil means 20 ms.
	Service func(r *rand.Rand) time.Duration
	// Skew gives each process a clock offset inside SkewBound.
	Skew bool
}

// Direction says which way a message goes.
type Direction uint8

// Directions of a message.
const (
	ToAgent Direction = iota + 1
	ToEntry
)

// Message is a message on its way.
type Message struct {
	Direction Direction
	Entry     int
	Agent     int
	Body      wire.Message
}

// Verdict is what happens to a message. The zero Verdict delivers it.
type Verdict struct {
	Drop      bool
	Duplicate bool
	Delay     time.Duration
}

// Testbed is the simulated system.
type Testbed struct {
	Random *rand.Rand
	// Filter, if set, decides about each message.
	Filter func(Message) Verdict
	// OnTransition, if set, is told each transition of a chart on an entry host.
	OnTransition func(entry int, step requestflow.TraceStep)
	// Result, if set, says how a backend server ends a request; nil means an answer.
	Result func(agent int, r model.Request) executor.BackendResult
	// Retries counts the dispatches of requests that a backend server may have
	// run before.
	Retries int
	// Violations lists each broken promise.
	Violations []string
	// Log lists what happened, for the report of a failure.
	Log []string

	options     Options
	clock       *simclock.Clock
	entries     []*entryHost
	agents      []*agentHost
	conns       map[[2]int]*conn
	partedUntil map[[2]int]time.Time
	nextConn    uint64
	assignment  wire.Assignment
	former      wire.Assignment
	storeDown   time.Time
	ownerDown   time.Time
	readDown    time.Time
	// acceptDelay is how long the next assignment takes from its plan to its effect.
	acceptDelay time.Duration
	ledger      ledger
	minted      uint64
}

// New returns a bag whose processes are up and connected.
func New(o Options) *Testbed {
	b := &Testbed{
		Random: rand.New(rand.NewPCG(o.Seed, 1)), options: o, clock: simclock.New(Epoch),
		conns: map[[2]int]*conn{}, partedUntil: map[[2]int]time.Time{}, ledger: newLedger(),
	}
	for i := range o.Agents {
		b.agents = append(b.agents, &agentHost{index: i, offset: b.offset()})
		b.startAgent(i)
	}
	b.assignment = b.firstAssignment()
	for i := range o.Entries {
		b.entries = append(b.entries, &entryHost{index: i, offset: b.offset()})
		b.startEntry(i)
	}
	for i := range o.Agents {
		b.giveAssignmentToAgent(i)
	}
	for e := range o.Entries {
		for a := range o.Agents {
			b.connect(e, a)
		}
	}
	b.At(reassignInterval, b.reassign)
	b.Run(100 * time.Millisecond)
	return b
}

func (b *Testbed) offset() time.Duration {
	if !b.options.Skew {
		return 0
	}
	return time.Duration(b.Random.Int64N(int64(SkewBound))) - SkewBound/2
}

// Now returns the simulated time.
func (b *Testbed) Now() time.Time { return b.clock.Now() }

// Run lets simulated time pass.
func (b *Testbed) Run(d time.Duration) { b.clock.Run(d) }

// At runs a function after a delay.
func (b *Testbed) At(delay time.Duration, run func()) { b.clock.At(delay, run) }

func (b *Testbed) logf(format string, args ...any) {
	const maxLog = 4000
	if len(b.Log) < maxLog {
		b.Log = append(b.Log, fmt.Sprintf("%8.3fs ", b.Now().Sub(Epoch).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (b *Testbed) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.logf("VIOLATION %s", text)
	b.Violations = append(b.Violations, text)
}

func (b *Testbed) firstAssignment() wire.Assignment {
	first, _ := membership.PlanHomes(wire.Assignment{}, b.members(), b.Now().Add(-time.Minute).UnixMilli(), 0)
	return first
}

// members returns the agents as the owner of the assignment sees them.
func (b *Testbed) members() []membership.HomeAgent {
	var members []membership.HomeAgent
	for _, a := range b.agents {
		if a.core != nil && !a.suspected {
			members = append(members, membership.HomeAgent{ID: a.id(), Incarnation: a.incarnation, Leaving: a.leaving})
		}
	}
	return members
}

// reassign acts as the owner of the home assignment.
func (b *Testbed) reassign() {
	b.At(reassignInterval, b.reassign)
	if b.Now().Before(b.storeDown) || b.Now().Before(b.ownerDown) {
		return
	}
	next, changed := membership.PlanHomes(b.assignment, b.members(), b.Now().UnixMilli(), settleTime)
	if !changed {
		return
	}
	if b.acceptDelay > 0 {
		delay := b.acceptDelay
		b.acceptDelay = 0
		b.storeDown = b.Now().Add(delay)
		b.logf("assignment version %d is planned and takes effect in %s", next.Version, delay)
		b.At(delay, func() { b.accept(next) })
		return
	}
	b.accept(next)
}

// accept makes an assignment the current one and tells all processes.
func (b *Testbed) accept(next wire.Assignment) {
	b.former = b.assignment
	b.assignment = next
	b.logf("assignment version %d", next.Version)
	for i := range b.entries {
		b.At(time.Duration(b.Random.Int64N(int64(maxSpread))), func() { b.giveAssignmentToEntry(i) })
	}
	for i := range b.agents {
		b.At(time.Duration(b.Random.Int64N(int64(maxSpread))), func() { b.giveAssignmentToAgent(i) })
	}
}

// StopStore keeps the table service down for a while: the assignment cannot
// change, and entry hosts go on issuing permits for it.
func (b *Testbed) StopStore(d time.Duration) { b.storeDown = b.Now().Add(d) }

// SetZoneOut takes the zone of an agent out, or brings it back. The agent learns
// of it with its next permits.
func (b *Testbed) SetZoneOut(agent int, out bool) {
	b.logf("zone of agent %d is out: %v", agent, out)
	a := b.agents[agent]
	if out && !a.zoneOut {
		a.zoneOutSince = b.Now()
	}
	a.zoneOut = out
}

// StopOwner leaves the assignment without an owner for a while.
func (b *Testbed) StopOwner(d time.Duration) { b.ownerDown = b.Now().Add(d) }

// WithholdAssignments lets an entry host and an agent hear of no new assignment for a while.
func (b *Testbed) WithholdAssignments(entry, agent int, d time.Duration) {
	b.logf("entry %d and agent %d hear of no assignment for %s", entry, agent, d)
	b.entries[entry].staleUntil = b.Now().Add(d)
	b.agents[agent].staleUntil = b.Now().Add(d)
}

// DelayNextAssignment makes the write of the next assignment take effect long
// after it was planned, as by a table service that was frozen.
func (b *Testbed) DelayNextAssignment(d time.Duration) { b.acceptDelay = d }

// BlockAssignmentReads lets writes of the assignment take effect while entry hosts cannot
// read it back: they issue no permits meanwhile.
func (b *Testbed) BlockAssignmentReads(d time.Duration) { b.readDown = b.Now().Add(d) }

// ResendFormerAssignment delivers the assignment before the current one again,
// as a deposed owner would.
func (b *Testbed) ResendFormerAssignment() {
	if b.former.Version == 0 {
		return
	}
	for i, e := range b.entries {
		b.stepEntry(i, e.core, requestflow.AssignmentUpdate{Assignment: b.former})
	}
	for i, a := range b.agents {
		b.stepAgent(i, a.core, executor.AssignmentUpdate{Assignment: b.former})
	}
}
