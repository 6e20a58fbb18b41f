package membership

import (
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
)

// A host that cannot read the table service continues on the status of the
// members that it relies on. It must not do so while a new member exists that it
// does not know, since the new member might change the configuration or own the
// region. So a new member does neither before it is established. It is
// established once every other member is certain to learn of it before relying on
// any member. This is certain of a member
//
//   - whose status names the new member,
//   - or whose heartbeat row is sealed and names no member, as it relies on none,
//   - or whose heartbeat row is sealed and names a member of which every status
//     that counts names the new member, as it needs the status of that member.
//
// The status of a member that relies on none counts only for a short time after
// that member read the roster (permit.Issuer.Status).
//
// A new member is also established if an established member knows it, since every
// host that learns of the established member requests its status, which names the
// new one. Any other member is waited for until it is removed, RemoveAfter after
// its last heartbeat.

// sealState is what a seal shows of a member whose status does not name this host.
type sealState uint8

const (
	notSealed sealState = iota
	// sealedIndependent is a member that relies on no member.
	sealedIndependent
	// sealedDependent is a member that needs the status of one that names this
	// host, and so learns of this host before it relies on any member.
	sealedDependent
)

// establish marks this host as established if each other member named it in a
// status or is sealed. The read that listed them began after this host's row
// existed.
func (r *Roster) establish() {
	if !r.isListed() {
		return
	}
	for _, other := range r.view.Others {
		if !r.knownBy[other.ID] && r.sealed[other.ID] == notSealed {
			return
		}
	}
	r.view.Established = true
}

// sealSilent seals the heartbeat row of one member whose status does not name
// this host: it rewrites the row with the same value, which changes its version.
// Heartbeats of that member that are in flight fail, and it reads the roster
// before it sends the next one.
func (r *Roster) sealSilent(now time.Time) []RosterAction {
	if !r.isListed() || r.view.Established || now.Sub(r.joinedAt) < r.limits.SealAfter {
		return nil
	}
	if r.lastCommit.kind == commitSeal && !r.lastListStart.After(r.lastCommit.sentAt) {
		return nil
	}
	for _, other := range r.view.Others {
		m := r.members[other.ID]
		seal := r.stateIfSealed(m)
		if r.knownBy[other.ID] || r.sealed[other.ID] != notSealed || seal == notSealed {
			continue
		}
		memberKey, heartbeatKey := rosterMemberPrefix+string(other.ID), rosterHeartbeatPrefix+string(other.ID)
		actions := r.sendCommit(now, commitSeal, storeapi.Transaction{
			Checks: []storeapi.Check{{Key: memberKey, Version: m.memberVersion}, {Key: heartbeatKey, Version: m.heartbeat.Version}},
			Puts:   []storeapi.Put{{Key: heartbeatKey, Value: m.heartbeat.Value}},
		})
		r.lastCommit.sealedMember, r.lastCommit.sealState = other.ID, seal
		return actions
	}
	return nil
}

// stateIfSealed returns the state of a member once its heartbeat row as last read
// is sealed, or notSealed if the member may rely on members that do not know this
// host.
func (r *Roster) stateIfSealed(m *rosterMember) sealState {
	hb, err := decodeHeartbeat(m.heartbeat)
	switch {
	case err != nil:
		return notSealed
	case len(hb.RelyOn) == 0 && m.host.HasPeers:
		return sealedIndependent
	case slices.ContainsFunc(hb.RelyOn, r.reportsThisHost):
		return sealedDependent
	default:
		return notSealed
	}
}

// reportsThisHost reports whether every status of a member that counts names this
// host from now on. A member that is not in the roster has left it and has no
// status that counts; one that joins reads the roster first. Nor has a sealed one
// that relies on no member, unless it read the roster since this host joined.
func (r *Roster) reportsThisHost(id model.EntryID) bool {
	_, member := r.members[id]
	return !member || r.knownBy[id] || r.sealed[id] == sealedIndependent
}
