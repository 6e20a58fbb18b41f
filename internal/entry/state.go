package entry

import (
	"context"
	"sync/atomic"
	"time"

	"dragonflyyard/internal/configstore"
	"dragonflyyard/internal/dedup"
	"dragonflyyard/internal/link"
	"dragonflyyard/internal/membership"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/ownership"
	"dragonflyyard/internal/permit"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/wire"
)

// stateTick is the longest time between two steps of the state duty.
const stateTick = 50 * time.Millisecond

// stateInput is one input of the state duty; exactly one field is set.
type stateInput struct {
	config    configstore.Input
	owner     ownership.Input
	roster    membership.RosterInput
	submit    *changeSubmit
	lookup    *changeLookup
	link      *linkChange
	message   *linkMessage
	stopOwner bool
}

// linkChange is a connection that came up (lost is false) or was lost.
type linkChange struct {
	conn *link.Conn
	lost bool
}

// linkMessage is a message that was received at an instant.
type linkMessage struct {
	conn *link.Conn
	at   time.Time
	body wire.Message
}

// ownerView is what the state duty last knew of the region's scheduler lease.
// The owner checks ValidUntil before each act, since its process may have been
// paused.
type ownerView struct {
	Owner model.EntryID
	Epoch model.Epoch
	// Mine is set while this entry host holds the lease, until ValidUntil.
	Mine       bool
	ValidUntil time.Time
	// Outage is set while the lease itself lapsed since the table service was
	// out of reach, and the roster's agreement takes its place.
	Outage bool
}

// State is the duty that owns configuration, membership, the region lease and
// the start permits of an entry host.
type State struct {
	p      *Process
	calls  *platformCalls
	inputs *ring.Ring[stateInput]

	config *configstore.Core
	owner  *ownership.Candidate
	roster *membership.Roster
	issuer *permit.Issuer
	limits permit.Limits

	agents *agentBook
	// homes are the last versions of the home assignment, and peerHomes the
	// versions that the other entry hosts stated, by process name.
	homes     dedup.History
	peerHomes map[string]uint64
	// statuses are what this host last stated to the other entry hosts.
	statuses statusBook
	// pending holds configuration that the request core's ring had no room for.
	pending   pendingUpdates
	waiters   map[uint64]chan configstore.Answer
	nextToken uint64
	// ownerAt is when this host became the owner, nextPlan when it may plan
	// homes again.
	ownerAt  time.Time
	nextPlan time.Time
	// ownEpoch is the epoch of this host's lease, also after it lapsed while no
	// later owner was known; zero while there is none.
	ownEpoch model.Epoch
	// permitRefused is why the last permit was refused.
	permitRefused permit.Reason
	leftRoster    bool
	// onRoster is told the roster's size and whether this host is a member.
	onRoster  func(size int, confirmed bool)
	handedOff chan struct{}
	rosterOff chan struct{}

	// The fields below are read by other duties. document is the configuration in
	// force, and ready is set once one was read.
	document atomic.Pointer[model.ConfigDocument]
	ready    atomic.Bool
	// needsStatus is read by the links for each heartbeat.
	needsStatus atomic.Bool
	ownerNow    atomic.Pointer[ownerView]
	// check is the precondition of writes under this host's last lease.
	check atomic.Pointer[ownerCheck]
}

func newState(p *Process, calls *platformCalls) *State {
	s := p.Config.Settings
	self := membership.EntryHost{
		ID: s.ID, Incarnation: p.Incarnation, Address: p.LinkAddress(), HasPeers: len(s.Peers) > 0,
	}
	limits := permit.DefaultLimits()
	limits.Validity = min(limits.Validity, s.Timeouts.Permit)
	configLimits := configstore.DefaultLimits()
	configLimits.PollEvery = s.Timeouts.HeadRead
	leaseLimits := ownership.DefaultLimits()
	leaseLimits.Duration = s.Timeouts.Lease
	state := &State{
		p: p, calls: calls,
		inputs:    ring.New[stateInput]("state", s.Process.RingCapacity, p.Metrics),
		owner:     ownership.NewCandidate(leaseLimits, s.Region, s.ID, p.Incarnation),
		roster:    membership.NewRoster(membership.DefaultRosterLimits(), self),
		issuer:    permit.NewIssuer(limits, s.ID),
		limits:    limits,
		agents:    newAgentBook(),
		statuses:  statusBook{},
		peerHomes: map[string]uint64{},
		waiters:   map[uint64]chan configstore.Answer{},
		handedOff: make(chan struct{}),
		rosterOff: make(chan struct{}),
		onRoster:  func(int, bool) {},
	}
	state.needsStatus.Store(true)
	state.owner.SetEligibility(false, storeapi.Check{})
	state.config = configstore.New(configLimits, s.Region, state.validateGuarantee)
	state.document.Store(state.config.Document())
	state.ownerNow.Store(&ownerView{})
	state.check.Store(&ownerCheck{})
	state.register()
	return state
}

// register connects the duty to links, routes and the graceful stop.
func (s *State) register() {
	hub := s.p.Hub
	for _, role := range []wire.Role{wire.RoleAgent, wire.RoleEntry} {
		hub.OnState(role, s.noteLink)
		hub.Handle(role, wire.TypeHeartbeat, s.noteMessage)
	}
	hub.Handle(wire.RoleAgent, wire.TypeConfigAck, s.noteMessage)
	hub.Handle(wire.RoleAgent, wire.TypeLeaving, s.noteMessage)
	hub.Handle(wire.RoleEntry, wire.TypeStoreStatus, s.noteMessage)
	hub.Handle(wire.RoleEntry, wire.TypeOwnershipNotice, s.noteMessage)
	hub.Handle(wire.RoleEntry, wire.TypeConfigUpdate, s.noteMessage)
}

func (s *State) noteLink(c *link.Conn, cause error) bool {
	return s.inputs.TryPush(stateInput{link: &linkChange{conn: c, lost: cause != nil}})
}

func (s *State) noteMessage(c *link.Conn, m wire.Message) bool {
	return s.inputs.TryPush(stateInput{message: &linkMessage{conn: c, at: s.p.Now(), body: m}})
}

// run is the duty.
func (s *State) run(ctx context.Context) error {
	ticker := time.NewTicker(stateTick)
	defer ticker.Stop()
	for {
		select {
		case in := <-s.inputs.Out():
			s.take(s.p.Now(), in)
		case <-ticker.C:
			s.tick(s.p.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

// tick lets time pass in each core.
func (s *State) tick(now time.Time) {
	s.stepConfig(now, configstore.Tick{})
	s.stepOwner(now, ownership.Tick{})
	s.stepRoster(now, membership.RosterTick{})
	s.agents.tick(now)
	s.extendOwnership(now)
	s.needsStatus.Store(s.standing().restsOnStatus(now))
	s.planHomes(now)
	s.pending.flush(s.p.Requests)
}

func (s *State) take(now time.Time, in stateInput) {
	switch {
	case in.config != nil:
		s.stepConfig(now, in.config)
	case in.owner != nil:
		s.stepOwner(now, in.owner)
	case in.roster != nil:
		s.stepRoster(now, in.roster)
	case in.submit != nil:
		s.submitChange(now, *in.submit)
	case in.lookup != nil:
		s.lookUpChange(*in.lookup)
	case in.link != nil:
		s.takeLink(now, *in.link)
	case in.message != nil:
		s.takeMessage(now, *in.message)
	case in.stopOwner:
		s.stepOwner(now, ownership.Stop{})
		s.stepRoster(now, membership.RosterStop{})
	}
}

// Document returns the configuration in force, and false until one was read.
func (s *State) Document() (*model.ConfigDocument, bool) {
	return s.document.Load(), s.ready.Load()
}

// lastOwner returns the region lease as last known.
func (s *State) lastOwner() ownerView { return *s.ownerNow.Load() }

// holdsLease reports whether this entry host may act as the owner now.
func (s *State) holdsLease(now time.Time) (model.Epoch, bool) {
	view := s.lastOwner()
	return view.Epoch, view.Mine && now.Before(view.ValidUntil)
}

// isDormant reports whether this entry host was the last known owner and must
// not act at this moment: its lease ended, and the roster's agreement is not
// fresh.
func (s *State) isDormant(now time.Time) bool {
	view := s.lastOwner()
	return view.Mine && !now.Before(view.ValidUntil)
}

// handOverLimit bounds the time for which a stopping entry host tries to give
// its lease and its roster row back. After that the lease lapses by itself.
const handOverLimit = 4 * time.Second

// handOver gives the region lease and the roster row back.
func (s *State) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverLimit)
	defer cancel()
	s.inputs.Push(ctx, stateInput{stopOwner: true})
	for _, done := range []chan struct{}{s.handedOff, s.rosterOff} {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}
