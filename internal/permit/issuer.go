package permit

import (
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// State is an entry host's view of the state that its permits carry.
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
	// ZonesOut lists the zones that are out or whose take-out is in doubt.
	ZonesOut []model.AvailabilityZoneName
	// InDoubt is set while the write of a home assignment is pending or in doubt.
	InDoubt bool
}

// peerStatus is the last status received from another entry host, with the send
// time of the heartbeat that it answers.
type peerStatus struct {
	sentAt time.Time
	status wire.StoreStatus
}

// Issuer issues an entry host's permits.
type Issuer struct {
	limits Limits
	self   model.EntryID
	state  State
	roster Roster
	// sent holds the heartbeats sent to each other entry host, which answers
	// each with its status.
	sent         map[model.EntryID]sentHeartbeats
	peerStatuses map[model.EntryID]peerStatus
	lastSeq      uint64
}

// NewIssuer returns an issuer without a state; it issues no permits until
// SetState is called with a ready one.
func NewIssuer(limits Limits, self model.EntryID) *Issuer {
	return &Issuer{
		limits:       limits,
		self:         self,
		sent:         map[model.EntryID]sentHeartbeats{},
		peerStatuses: map[model.EntryID]peerStatus{},
	}
}

// rosterIsRecent reports whether this host's row was confirmed recently enough
// for this host to rely on the status of others, and for others to rely on its own.
func (i *Issuer) rosterIsRecent(now time.Time) bool {
	return now.Sub(i.roster.ConfirmedAt) < i.limits.OutageLimit
}

// SetState replaces the entry host's view of the state. It must be called after
// each change and before each batch of permits.
func (i *Issuer) SetState(state State) { i.state = state }

// SetRoster replaces this host's view of the roster and discards the status of
// hosts that are no longer members.
func (i *Issuer) SetRoster(roster Roster) {
	i.roster = roster
	for peer := range i.peerStatuses {
		if !slices.Contains(roster.RelyOn, peer) && !slices.Contains(roster.Others, peer) {
			delete(i.peerStatuses, peer)
			delete(i.sent, peer)
		}
	}
}

// HeartbeatSent records that a heartbeat was sent to another entry host, which
// answers it with its StoreStatus.
func (i *Issuer) HeartbeatSent(now time.Time, peer model.EntryID, seq uint64) {
	i.sent[peer] = i.sent[peer].add(now, seq)
}

// Disconnected discards the heartbeats sent on a lost connection.
func (i *Issuer) Disconnected(peer model.EntryID) { delete(i.sent, peer) }

// StatusReceived stores another entry host's status. It ignores a status that
// answers no heartbeat of the current connection, or an older heartbeat than one
// that was already answered.
func (i *Issuer) StatusReceived(peer model.EntryID, status wire.StoreStatus) {
	waiting := i.sent[peer]
	answered := waiting.index(status.Seq)
	if answered < 0 {
		return
	}
	i.peerStatuses[peer] = peerStatus{sentAt: waiting[answered].at, status: status}
	i.sent[peer] = slices.Clone(waiting[answered+1:])
}

// Status returns this entry host's own status in answer to a heartbeat. A host
// without a configuration reports itself in doubt, so that no permit is based
// on its status.
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
		Counts:      i.statusCounts(now),
	}
}

// statusCounts reports whether others may rely on this host's status. A new
// member may become established without hearing from a silent host that relies
// on no other host, so the status of such a host counts only while it knows all
// members that joined more than Validity ago.
func (i *Issuer) statusCounts(now time.Time) bool {
	if !i.roster.Listed || !i.rosterIsRecent(now) {
		return false
	}
	return i.roster.MayRely || now.Sub(i.state.RosterSince) < i.limits.Validity
}

// Issue returns the permit that answers an agent's heartbeat, or the reason why
// none is issued. receivedAt is when the heartbeat was received, heartbeat is
// its sequence number.
func (i *Issuer) Issue(now, receivedAt time.Time, heartbeat uint64, zone model.AvailabilityZoneName) (wire.Permit, Reason) {
	if !i.state.Ready {
		return wire.Permit{}, ReasonNotReady
	}
	basis, zoneOut, reason := i.basis(now, zone)
	if reason != ReasonNone {
		return wire.Permit{}, reason
	}
	// The agent measures the validity from when it sent the heartbeat, which is
	// before receivedAt, so the permit expires before basis plus Validity.
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

// basis returns the basis of a permit, which must expire within Validity after this
// instant, and whether the zone is out. The basis is the start of the last read of
// the head rows if that is recent, else the result of rosterBasis.
func (i *Issuer) basis(now time.Time, zone model.AvailabilityZoneName) (time.Time, bool, Reason) {
	zoneOut := slices.Contains(i.state.ZonesOut, zone)
	read := i.state.CurrentSince
	if now.Sub(read) < i.limits.Validity/2 {
		return read, zoneOut, ReasonNone
	}
	agreed, peerOut, reason := i.rosterBasis(now, zone)
	if reason != ReasonNone {
		return time.Time{}, false, reason
	}
	return agreed, zoneOut || peerOut, ReasonNone
}

// rosterBasis returns the instant up to which no member of the roster had
// accepted a change that this host does not know, and whether a member treats
// the zone as out.
func (i *Issuer) rosterBasis(now time.Time, zone model.AvailabilityZoneName) (time.Time, bool, Reason) {
	if i.state.InDoubt {
		return time.Time{}, false, ReasonInDoubt
	}
	zoneOut := false
	oldest, reason := i.oldestStatus(now, func(status wire.StoreStatus) Reason {
		zoneOut = zoneOut || slices.Contains(status.ZonesOut, zone)
		return i.checkStatus(status)
	})
	if reason != ReasonNone {
		return time.Time{}, false, reason
	}
	return oldest, zoneOut, ReasonNone
}

// oldestStatus returns the earliest send time of the heartbeats that were answered
// by the last status of each member that this host relies on, or now if it relies on
// none. It returns a reason if this host may not rely on the status of others, a
// member sent none, or one fails the check.
func (i *Issuer) oldestStatus(now time.Time, check func(wire.StoreStatus) Reason) (time.Time, Reason) {
	if !i.roster.MayRely || !i.rosterIsRecent(now) {
		return time.Time{}, ReasonStale
	}
	oldest := now
	for _, peer := range i.roster.RelyOn {
		last, received := i.peerStatuses[peer]
		if !received {
			return time.Time{}, ReasonStale
		}
		if reason := check(last.status); reason != ReasonNone {
			return time.Time{}, reason
		}
		if last.sentAt.Before(oldest) {
			oldest = last.sentAt
		}
	}
	return oldest, ReasonNone
}

// checkStatus returns why a permit cannot be based on a member's status, or
// ReasonNone.
func (i *Issuer) checkStatus(status wire.StoreStatus) Reason {
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

// knowsMembers reports whether this host relies on every member of another
// host's roster, except itself.
func (i *Issuer) knowsMembers(members []model.EntryID) bool {
	for _, member := range members {
		if member != i.self && !slices.Contains(i.roster.RelyOn, member) {
			return false
		}
	}
	return true
}
