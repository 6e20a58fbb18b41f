// Package requesttest simulates a system of several entry hosts and agents. It
// connects the real cores of their request path by a simulated network under a
// simulated clock, so that tests can drop, duplicate, reorder and delay messages,
// and kill and pause processes at any step. It checks the guarantees of the request
// path while it runs. Only tests import it.
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
	// HeartbeatTimeout is the silence after which an end declares a connection lost.
	HeartbeatTimeout = time.Second
	// ReconnectDelay is the time from the loss of a connection to the next one.
	ReconnectDelay = 50 * time.Millisecond
	// PermitValidity is the longest validity of a permit. HeadFreshness is the
	// largest age of an entry host's view of the assignment when it issues one.
	PermitValidity = 2 * time.Second
	HeadFreshness  = time.Second
	// SkewBound is the largest difference between two clocks.
	SkewBound = 200 * time.Millisecond

	// settleTime is the time from the planning of an assignment until its moved
	// ranges take effect: after it, every permit of the former home has expired and
	// every process has the assignment.
	settleTime = HeadFreshness + PermitValidity + SkewBound

	// maxAssignmentDelay is the longest delay until a process receives a new
	// assignment.
	maxAssignmentDelay = 300 * time.Millisecond

	permitInterval   = 500 * time.Millisecond
	reassignInterval = time.Second
	tickInterval     = 20 * time.Millisecond
)

// Epoch is the simulated time at which each simulation starts.
var Epoch = time.UnixMilli(1_800_000_000_000)

// Options configure a Testbed.
type Options struct {
	Seed            uint64
	Entries, Agents int
	// Drop, Duplicate and Reorder are probabilities for each message.
	Drop, Duplicate, Reorder float64
	// Service returns the service time of a request on a backend server; nil means
	// 20 ms.
	Service func(r *rand.Rand) time.Duration
	// Skew gives each process a random clock offset, with differences within SkewBound.
	Skew bool
}

// Direction is the direction of a message.
type Direction uint8

// Directions of a message: to an agent or to an entry host.
const (
	ToAgent Direction = iota + 1
	ToEntry
)

// Message is a message in transit between an entry host and an agent, which are
// given by their indexes.
type Message struct {
	Direction Direction
	Entry     int
	Agent     int
	Body      wire.Message
}

// Verdict is the network's treatment of a message. The zero Verdict delivers it
// once, after Latency.
type Verdict struct {
	Drop      bool
	Duplicate bool
	Delay     time.Duration
}

// Testbed is the simulated system: its processes, connections and clock.
type Testbed struct {
	Random *rand.Rand
	// Filter, if set, returns the verdict on each message. Random faults of Options
	// come on top.
	Filter func(Message) Verdict
	// OnTransition, if set, is called with each chart transition on an entry host.
	OnTransition func(entry int, step requestflow.TraceStep)
	// Result, if set, returns the result of a request on a backend server; nil means
	// that each request is answered.
	Result func(agent int, r model.Request) executor.BackendResult
	// Retries counts the dispatches of requests that a backend server may already
	// have run.
	Retries int
	// Violations lists each violated guarantee. Most entries begin with a request ID.
	Violations []string
	// Log lists the events of the simulation, for failure reports.
	Log []string

	options           Options
	clock             *simclock.Clock
	entries           []*entryHost
	agents            []*agentHost
	conns             map[[2]int]*conn
	partitionedUntil  map[[2]int]time.Time
	nextConn          uint64
	assignment        wire.Assignment
	former            wire.Assignment
	storeDownUntil    time.Time
	ownerDownUntil    time.Time
	readsBlockedUntil time.Time
	// acceptDelay is the time from the planning of the next assignment to its
	// acceptance by the table service.
	acceptDelay time.Duration
	ledger      ledger
	minted      uint64
}

// New returns a testbed whose processes are up and connected, after 100 ms of
// simulated time.
func New(o Options) *Testbed {
	b := &Testbed{
		Random: rand.New(rand.NewPCG(o.Seed, 1)), options: o, clock: simclock.New(Epoch),
		conns: map[[2]int]*conn{}, partitionedUntil: map[[2]int]time.Time{}, ledger: newLedger(),
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
		b.deliverAssignmentToAgent(i)
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

// Run advances the simulated time by d.
func (b *Testbed) Run(d time.Duration) { b.clock.Run(d) }

// At schedules a function after a delay in simulated time.
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

// members returns the agents that the owner of the assignment considers alive.
func (b *Testbed) members() []membership.HomeAgent {
	var members []membership.HomeAgent
	for _, a := range b.agents {
		if a.core != nil && !a.suspected {
			members = append(members, membership.HomeAgent{ID: a.id(), Incarnation: a.incarnation, Leaving: a.leaving})
		}
	}
	return members
}

// reassign plans the home assignment in place of its owner, every reassignInterval.
func (b *Testbed) reassign() {
	b.At(reassignInterval, b.reassign)
	if b.Now().Before(b.storeDownUntil) || b.Now().Before(b.ownerDownUntil) {
		return
	}
	next, changed := membership.PlanHomes(b.assignment, b.members(), b.Now().UnixMilli(), settleTime)
	if !changed {
		return
	}
	if b.acceptDelay > 0 {
		delay := b.acceptDelay
		b.acceptDelay = 0
		b.storeDownUntil = b.Now().Add(delay)
		b.logf("assignment version %d is planned and takes effect in %s", next.Version, delay)
		b.At(delay, func() { b.accept(next) })
		return
	}
	b.accept(next)
}

// accept makes an assignment the current one and delivers it to each process after
// a random delay of up to maxAssignmentDelay.
func (b *Testbed) accept(next wire.Assignment) {
	b.former = b.assignment
	b.assignment = next
	b.logf("assignment version %d", next.Version)
	for i := range b.entries {
		b.At(time.Duration(b.Random.Int64N(int64(maxAssignmentDelay))), func() { b.deliverAssignmentToEntry(i) })
	}
	for i := range b.agents {
		b.At(time.Duration(b.Random.Int64N(int64(maxAssignmentDelay))), func() { b.deliverAssignmentToAgent(i) })
	}
}

// StopStore makes the table service unavailable for the given time: the assignment
// cannot change, and entry hosts continue to issue permits for it.
func (b *Testbed) StopStore(d time.Duration) { b.storeDownUntil = b.Now().Add(d) }

// SetZoneOut takes the zone of an agent out of service, or brings it back. The agent
// learns of the change with its next permits.
func (b *Testbed) SetZoneOut(agent int, out bool) {
	b.logf("zone of agent %d is out: %v", agent, out)
	a := b.agents[agent]
	if out && !a.zoneOut {
		a.zoneOutSince = b.Now()
	}
	a.zoneOut = out
}

// StopOwner leaves the assignment without an owner for the given time, in which it
// does not change.
func (b *Testbed) StopOwner(d time.Duration) { b.ownerDownUntil = b.Now().Add(d) }

// WithholdAssignments keeps new assignments from an entry host and an agent for the
// given time.
func (b *Testbed) WithholdAssignments(entry, agent int, d time.Duration) {
	b.logf("entry %d and agent %d receive no assignment for %s", entry, agent, d)
	b.entries[entry].staleUntil = b.Now().Add(d)
	b.agents[agent].staleUntil = b.Now().Add(d)
}

// DelayNextAssignment makes the write of the next assignment take effect with a
// delay after its planning, like a table service that was suspended meanwhile.
func (b *Testbed) DelayNextAssignment(d time.Duration) { b.acceptDelay = d }

// BlockAssignmentReads makes reads of the assignment by entry hosts fail for the
// given time, while writes take effect. The entry hosts issue no permits meanwhile.
func (b *Testbed) BlockAssignmentReads(d time.Duration) { b.readsBlockedUntil = b.Now().Add(d) }

// ResendFormerAssignment delivers the assignment before the current one again to
// all processes, as a deposed owner would.
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
