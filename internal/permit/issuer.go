package permit

import (
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// State is what an entry host knows of the state that permits name.
type State struct {
	// Ready is false until the entry host has read the head rows once.
	Ready      bool
	Config     model.ConfigVersion
	Assignment uint64
	OwnerEpoch model.Epoch
	// CurrentSince is the start of the last read that showed Config and
	// Assignment to be the latest.
	CurrentSince time.Time
	// RosterSince is the start of the last complete read of the roster.
	RosterSince time.Time
	// ZonesOut lists the zones that are out, or whose take-out is in doubt.
	ZonesOut []model.AvailabilityZoneName
	// InDoubt is set while a home assignment is being written or is in doubt.
	InDoubt bool
}

// statement is the last status that another entry host gave.
type statement struct {
	askedAt time.Time
	status  wire.StoreStatus
}

// Issuer issues an entry host's permits.
type Issuer struct {
	limits Limits
	self   model.EntryID
	state  State
	roster Roster
	// asked holds the heartbeats sent to each other entry host, which answers
	// them with its status.
	asked      map[model.EntryID]sentHeartbeats
	statements map[model.EntryID]statement
	lastSeq    uint64
}

// NewIssuer returns an issuer that knows nothing and issues nothing.
func NewIssuer(limits Limits, self model.EntryID) *Issuer {
	return &Issuer{
		limits:     limits,
		self:       self,
		asked:      map[model.EntryID]sentHeartbeats{},
		statements: map[model.EntryID]statement{},
	}
}

// rosterIsRecent reports whether this host's row was confirmed lately enough to
// rely on the statements of others, and for others to rely on its own.
func (i *Issuer) rosterIsRecent(now time.Time) bool {
	return now.Sub(i.roster.ConfirmedAt) < i.limits.OutageLimit
}

// SetState takes in what the entry host knows now. It is called after each
// change and before each batch of permits.
func (i *Issuer) SetState(state State) { i.state = state }

// SetRoster takes in what this host knows of the roster now.
func (i *Issuer) SetRoster(roster Roster) {
	i.roster = roster
	for peer := range i.statements {
		if !slices.Contains(roster.RelyOn, peer) && !slices.Contains(roster.Others, peer) {
			delete(i.statements, peer)
			delete(i.asked, peer)
		}
	}
}

// HeartbeatSent records that a heartbeat was sent to another entry host, which answers
// it with its StoreStatus.
func (i *Issuer) HeartbeatSent(now time.Time, peer model.EntryID, seq uint64) {
	i.asked[peer] = i.asked[peer].add(now, seq)
}

// Disconnected forgets the heartbeats sent on a lost connection.
func (i *Issuer) Disconnected(peer model.EntryID) { delete(i.asked, peer) }

// StatusReceived takes in another entry host's status. A status that answers no
// question of the present connection, or an older one, is ignored.
func (i *Issuer) StatusReceived(peer model.EntryID, status wire.StoreStatus) {
	waiting := i.asked[peer]
	answered := waiting.index(status.Seq)
	if answered < 0 {
		return
	}
	i.statements[peer] = statement{askedAt: waiting[answered].at, status: status}
	i.asked[peer] = slices.Clone(waiting[answered+1:])
}

// Status returns this entry host's own status, in answer to a heartbeat. A
// host without a configuration says that it is in doubt, so that no permit
// rests on it.
func (i *Issuer) Status(now time.Time, seq uint64) wire.StoreStatus {
	return wire.StoreStatus{
		Reachable:   i.state.Ready && now.Sub(i.state.CurrentSince) < i.limits.Validity/2,
		InDoubt:     i.state.InDoubt || !i.state.Ready,
		Config:      i.state.Config,
		OwnerEpoch:  i.state.OwnerEpoch,
		Seq:         seq,
		Assignment:  i.state.Assignment,
		ZonesOut:    slices.Clone(i.state.ZonesOut),
		Roster:      append(slices.Clone(i.roster.Others), i.self),
		Established: i.roster.Established,
		Counts:      i.statementsCount(now),
	}
}

// statementsCount reports whether others may rely on this host's statements. A
// new member may pass over a silent host that relies on nobody, so the
// statements of such a host count only while it knows all members that joined
// more than Validity ago.
func (i *Issuer) statementsCount(now time.Time) bool {
	if !i.roster.Listed || !i.rosterIsRecent(now) {
		return false
	}
	return i.roster.MayRely || now.Sub(i.state.RosterSince) < i.limits.Validity
}

// Issue returns the permit that answers an agent's heartbeat, or why there is
// none. receivedAt is when the heartbeat was received, heartbeat its number.
func (i *Issuer) Issue(now, receivedAt time.Time, heartbeat uint64, zone model.AvailabilityZoneName) (wire.Permit, Reason) {
	if !i.state.Ready {
		return wire.Permit{}, ReasonNotReady
	}
	basis, zoneOut, reason := i.basis(now, zone)
	if reason != ReasonNone {
		return wire.Permit{}, reason
	}
	// The agent counts from when it sent the heartbeat, which is before
	// receivedAt, so the permit ends before basis plus Validity.
	valid := min(i.limits.Validity, basis.Add(i.limits.Validity).Sub(receivedAt))
	if valid < i.limits.MinValidity {
		return wire.Permit{}, ReasonStale
	}
	i.lastSeq++
	return wire.Permit{
		Seq:               i.lastSeq,
		ValidMS:           valid.Milliseconds(),
		AnsweredHeartbeat: heartbeat,
		Config:            i.state.Config,
		ZoneOut:           zoneOut,
		OwnerEpoch:        i.state.OwnerEpoch,
		Assignment:        i.state.Assignment,
	}, ReasonNone
}

// basis returns the later of the two instants that a permit can rest on, and
// whether the zone is out.
func (i *Issuer) basis(now time.Time, zone model.AvailabilityZoneName) (time.Time, bool, Reason) {
	zoneOut := slices.Contains(i.state.ZonesOut, zone)
	read := i.state.CurrentSince
	if now.Sub(read) < i.limits.Validity/2 {
		return read, zoneOut, ReasonNone
	}
	agreed, peerOut, reason := i.agreement(now, zone)
	if reason != ReasonNone {
		return time.Time{}, false, reason
	}
	return agreed, zoneOut || peerOut, ReasonNone
}

// agreement returns the instant since which the whole roster stated that it
// accepted nothing that this host does not know, and whether a member treats
// the zone as out.
func (i *Issuer) agreement(now time.Time, zone model.AvailabilityZoneName) (time.Time, bool, Reason) {
	if i.state.InDoubt {
		return time.Time{}, false, ReasonInDoubt
	}
	zoneOut := false
	oldest, reason := i.oldestStatement(now, func(status wire.StoreStatus) Reason {
		zoneOut = zoneOut || slices.Contains(status.ZonesOut, zone)
		return i.judge(status)
	})
	if reason != ReasonNone {
		return time.Time{}, false, reason
	}
	return oldest, zoneOut, ReasonNone
}

// oldestStatement returns when the oldest statement of the members that this
// host relies on was asked for, or why there is no agreement: this host may not
// rely on statements, a member gave none, or one does not pass the judgement.
func (i *Issuer) oldestStatement(now time.Time, judge func(wire.StoreStatus) Reason) (time.Time, Reason) {
	if !i.roster.MayRely || !i.rosterIsRecent(now) {
		return time.Time{}, ReasonStale
	}
	oldest := now
	for _, peer := range i.roster.RelyOn {
		stated, given := i.statements[peer]
		if !given {
			return time.Time{}, ReasonStale
		}
		if reason := judge(stated.status); reason != ReasonNone {
			return time.Time{}, reason
		}
		if stated.askedAt.Before(oldest) {
			oldest = stated.askedAt
		}
	}
	return oldest, ReasonNone
}

// judge reports why a statement does not support a permit.
func (i *Issuer) judge(status wire.StoreStatus) Reason {
	switch {
	case !status.Counts:
		return ReasonStale
	case status.InDoubt:
		return ReasonInDoubt
	case status.Config > i.state.Config, status.Assignment > i.state.Assignment:
		return ReasonBehind
	}
	if !i.knowsMembers(status.Roster) {
		return ReasonBehind
	}
	return ReasonNone
}

// knowsMembers reports whether this host asks all members of another host's
// roster, but for itself.
func (i *Issuer) knowsMembers(members []model.EntryID) bool {
	for _, member := range members {
		if member != i.self && !slices.Contains(i.roster.RelyOn, member) {
			return false
		}
	}
	return true
}
