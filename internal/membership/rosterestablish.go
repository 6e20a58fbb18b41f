package membership

import (
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
)

// A host that cannot read the table service goes on by the statements of the
// members that it relies on. It must not do so beside a new member of which it
// does not know, since that one may change the configuration or own the region.
// So a new member does neither before it is established, which is when each
// other member learns of it before it relies on anybody. That holds for a
// member
//
//   - that stated that it knows the new one,
//   - or whose beat row is sealed and names nobody, as it relies on nobody,
//   - or whose beat row is sealed and names a member of which all statements that
//     count name the new one, as it needs the statement of that member.
//
// Statements of a member that relies on nobody count only for a short time
// after it read the roster (permit.Issuer.Status).
//
// It holds too for a host that an established member knows, as whoever learns
// of the latter asks it and is told of the former. All others are waited for
// until they are removed, RemoveAfter after their last beat.

// sealState says what is known of a member that did not state that it knows
// this host.
type sealState uint8

const (
	notSealed sealState = iota
	// sealedIdle is a member that relies on nobody.
	sealedIdle
	// sealedRelying is one that learns of this host before it relies on anybody.
	sealedRelying
)

// establish decides whether enough is known of the other members. The read that
// listed them began after this host's own row existed.
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

// sealSilent seals the beat row of one member that did not state that it knows
// this host: it writes the row with the same value, which gives it another
// version. Beats of that member that were already sent fail, and it reads the
// roster before it sends the next one.
func (r *Roster) sealSilent(now time.Time) []RosterAction {
	if !r.isListed() || r.view.Established || now.Sub(r.joinedAt) < r.limits.SealAfter {
		return nil
	}
	if r.commit.kind == commitSeal && !r.listedSince.After(r.commit.sentAt) {
		return nil
	}
	for _, other := range r.view.Others {
		m := r.members[other.ID]
		seal := r.sealOf(m)
		if r.knownBy[other.ID] || r.sealed[other.ID] != notSealed || seal == notSealed {
			continue
		}
		member, beat := rosterMemberPrefix+string(other.ID), rosterBeatPrefix+string(other.ID)
		actions := r.send(now, commitSeal, storeapi.Transaction{
			Checks: []storeapi.Check{{Key: member, Version: m.row}, {Key: beat, Version: m.beat.Version}},
			Puts:   []storeapi.Put{{Key: beat, Value: m.beat.Value}},
		})
		r.commit.sealing, r.commit.seal = other.ID, seal
		return actions
	}
	return nil
}

// sealOf returns what a seal of a member's beat row would show, as long as it
// sent no further beat; notSealed if it may rely on members that do not know
// this host.
func (r *Roster) sealOf(m *rosterMember) sealState {
	stated, err := decodeBeat(m.beat)
	switch {
	case err != nil:
		return notSealed
	case len(stated.RelyOn) == 0 && m.host.HasPeers:
		return sealedIdle
	case slices.ContainsFunc(stated.RelyOn, r.tellsOfThisHost):
		return sealedRelying
	default:
		return notSealed
	}
}

// tellsOfThisHost reports whether all statements that a member makes from now
// on, and that count, name this host. A member that is not in the roster left
// it, and makes none; one that joins reads the roster first. One that relies on
// nobody makes none either, unless it read the roster since this host joined.
func (r *Roster) tellsOfThisHost(id model.EntryID) bool {
	_, member := r.members[id]
	return !member || r.knownBy[id] || r.sealed[id] == sealedIdle
}
