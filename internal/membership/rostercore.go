package membership

import (
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
)

// Roster maintains one entry host's membership in the roster of entry hosts. It
// writes the host's rows, removes those of silent hosts, and decides whether the
// host is established, and on the status of which members it may rely.
type Roster struct {
	limits  RosterLimits
	self    EntryHost
	members map[model.EntryID]*rosterMember
	view    RosterView

	lastCall uint64
	// listCall and commitCall are the numbers of the pending read and write, zero
	// for none.
	listCall   uint64
	commitCall uint64
	// lastCommit is the last write that was sent.
	lastCommit rosterCommit
	// lastCommitEnd is when the last write had its result or was abandoned.
	lastCommitEnd time.Time
	// nextReadAt and nextHeartbeatAt are when the next read and heartbeat are due.
	nextReadAt      time.Time
	nextHeartbeatAt time.Time
	// joinedAt is when the write of this host's rows was confirmed.
	joinedAt time.Time
	// lastListStart is when the last successful read was sent.
	lastListStart time.Time
	// listSentAt is when the last read was sent, successful or not.
	listSentAt time.Time
	// knownBy holds the members whose status named this host.
	knownBy map[model.EntryID]bool
	// sealed holds the members whose heartbeat row this host sealed: none of them
	// relies on members that do not know this host (see stateIfSealed).
	sealed   map[model.EntryID]sealState
	reliance reliance
	stopping bool
	// leaveAttempts counts the attempts to remove this host's rows.
	leaveAttempts int
}

// maxLeaveAttempts bounds the attempts of a stopping host to remove its rows.
const maxLeaveAttempts = 3

// rosterCommit is a write of the roster's rows.
type rosterCommit struct {
	kind   commitKind
	sentAt time.Time
	// sealedMember is the member whose row a seal writes, and sealState the state
	// that the member has once the seal is confirmed.
	sealedMember model.EntryID
	sealState    sealState
}

type commitKind uint8

const (
	commitJoin commitKind = iota + 1
	commitHeartbeat
	commitRemove
	commitLeave
	commitSeal
)

// NewRoster returns the roster of a host that is not yet a member.
func NewRoster(limits RosterLimits, self EntryHost) *Roster {
	return &Roster{
		limits:  limits,
		self:    self,
		members: map[model.EntryID]*rosterMember{},
		knownBy: map[model.EntryID]bool{},
		sealed:  map[model.EntryID]sealState{},
	}
}

// View returns the roster as of the last input.
func (r *Roster) View() RosterView { return r.view }

// LastListStart returns when the last successful read of the roster was sent, or
// the zero time if there was none.
func (r *Roster) LastListStart() time.Time { return r.lastListStart }

// Step handles one input and returns the actions to perform, in order.
func (r *Roster) Step(now time.Time, in RosterInput) []RosterAction {
	before := r.view
	switch in := in.(type) {
	case RosterListed:
		r.onListed(now, in)
	case RosterCommitted:
		r.onCommitted(now, in)
	case PeerStatus:
		r.onPeerStatus(in)
	case RosterStop:
		r.stopping = true
		r.view.Established = false
	}
	r.establish()
	r.expireCalls(now)
	actions := r.next(now)
	r.updateReliance()
	if !reflect.DeepEqual(before, r.view) {
		actions = append([]RosterAction{RosterChanged{View: r.view}}, actions...)
	}
	return actions
}

func (r *Roster) onListed(now time.Time, in RosterListed) {
	if r.listCall == 0 || in.Call != r.listCall {
		return
	}
	r.listCall = 0
	if in.Result != storeapi.ResultOK {
		return
	}
	members := decodeRoster(in.Rows)
	for id, m := range members {
		m.unchangedSince = now
		if old := r.members[id]; old != nil && m.hasSameRows(old) {
			m.unchangedSince = old.unchangedSince
		}
	}
	r.members = members
	r.lastListStart = r.listSentAt
	r.view.Others = sortedHosts(members, r.self.ID)
	r.detectRemoval()
	r.detectSeal(now)
}

// detectRemoval ends this host's membership if its row was removed or replaced by
// a later incarnation.
func (r *Roster) detectRemoval() {
	if !r.view.Member || r.lastListStart.Before(r.joinedAt) {
		return
	}
	own := r.members[r.self.ID]
	if own != nil && own.memberVersion == r.view.Check.Version {
		return
	}
	r.view.Member, r.view.Established = false, false
	r.view.Check = storeapi.Check{}
	r.view.ConfirmedAt = time.Time{}
	r.knownBy = map[model.EntryID]bool{}
	r.sealed = map[model.EntryID]sealState{}
	r.reliance = reliance{}
}

func (r *Roster) onPeerStatus(in PeerStatus) {
	if !r.view.Member || in.AskedAt.Before(r.joinedAt) || !slices.Contains(in.Roster, r.self.ID) {
		return
	}
	r.knownBy[in.Peer] = true
	if _, member := r.members[in.Peer]; member && in.Established && !r.stopping {
		r.view.Established = true
	}
}

func (r *Roster) onCommitted(now time.Time, in RosterCommitted) {
	if r.commitCall == 0 || in.Call != r.commitCall {
		return
	}
	r.commitCall, r.lastCommitEnd = 0, now
	if in.Result != storeapi.ResultOK {
		r.nextReadAt = now
		if r.lastCommit.kind == commitHeartbeat {
			r.nextHeartbeatAt = now.Add(r.limits.ReadInterval)
		}
		return
	}
	switch r.lastCommit.kind {
	case commitJoin:
		r.view.Member, r.joinedAt = true, now
		r.view.Check = storeapi.Check{Key: rosterMemberPrefix + string(r.self.ID), Version: in.Versions[0]}
		r.view.ConfirmedAt = r.lastCommit.sentAt
		r.reliance = reliance{heartbeatVersion: in.Versions[1]}
		r.nextHeartbeatAt = r.lastCommit.sentAt.Add(r.limits.HeartbeatInterval)
		r.nextReadAt = now
	case commitHeartbeat:
		r.view.ConfirmedAt = r.lastCommit.sentAt
		r.reliance.recordConfirmed(in.Versions[0])
	case commitSeal:
		r.sealed[r.lastCommit.sealedMember] = r.lastCommit.sealState
		r.nextReadAt = now
	case commitRemove:
		r.nextReadAt = now
	case commitLeave:
		r.view.Member, r.view.Left = false, true
	}
}

// callTimeout is how long a roster waits for the result of a call before it makes
// another one. It is far longer than the deadline of any call.
const callTimeout = 10 * time.Second

// expireCalls abandons pending calls after callTimeout.
func (r *Roster) expireCalls(now time.Time) {
	if r.listCall != 0 && now.Sub(r.listSentAt) >= callTimeout {
		r.listCall = 0
	}
	if r.commitCall != 0 && now.Sub(r.lastCommit.sentAt) >= callTimeout {
		r.commitCall, r.lastCommitEnd = 0, now
	}
}

// next returns the reads and writes that are due.
func (r *Roster) next(now time.Time) []RosterAction {
	var actions []RosterAction
	if r.commitCall == 0 {
		actions = r.nextCommit(now)
	}
	if r.listCall == 0 && !r.view.Left && !now.Before(r.nextReadAt) {
		r.nextReadAt = now.Add(r.limits.ReadInterval)
		r.listCall, r.listSentAt = r.newCall(), now
		actions = append(actions, ListRoster{Call: r.listCall})
	}
	return actions
}

func (r *Roster) nextCommit(now time.Time) []RosterAction {
	switch {
	case r.view.Left:
		return nil
	case r.stopping:
		return r.leave(now)
	case r.lastListStart.IsZero():
		return nil
	case !r.view.Member:
		return r.join(now)
	case r.heartbeatDue(now):
		return r.sendHeartbeat(now)
	default:
		if actions := r.sealSilent(now); actions != nil {
			return actions
		}
		return r.removeSilent(now)
	}
}

// join writes this host's rows. They replace those of an earlier incarnation, but
// never those of a later one. After a failed attempt it waits for the next read.
func (r *Roster) join(now time.Time) []RosterAction {
	if !r.lastListStart.After(r.lastCommit.sentAt) && r.lastCommit.kind == commitJoin {
		return nil
	}
	var currentVersion storeapi.RowVersion
	if own := r.members[r.self.ID]; own != nil {
		if own.host.Incarnation > r.self.Incarnation {
			return nil
		}
		currentVersion = own.memberVersion
	}
	value, err := json.Marshal(r.self)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode roster row"))
	}
	key := rosterMemberPrefix + string(r.self.ID)
	return r.sendCommit(now, commitJoin, storeapi.Transaction{
		Checks: []storeapi.Check{{Key: key, Version: currentVersion}},
		Puts: []storeapi.Put{
			{Key: key, Value: value},
			{Key: rosterHeartbeatPrefix + string(r.self.ID), Value: encodeHeartbeat(heartbeat{})},
		},
	})
}

// leave removes this host's rows. After maxLeaveAttempts the other members remove
// the rows once they have been unchanged for RemoveAfter.
func (r *Roster) leave(now time.Time) []RosterAction {
	if !r.view.Member || r.leaveAttempts >= maxLeaveAttempts {
		r.view.Left = true
		return nil
	}
	if r.lastCommit.kind == commitLeave && now.Sub(r.lastCommit.sentAt) < r.limits.ReadInterval {
		return nil
	}
	r.leaveAttempts++
	return r.sendCommit(now, commitLeave, storeapi.Transaction{
		Checks:  []storeapi.Check{r.view.Check},
		Deletes: []string{r.view.Check.Key, rosterHeartbeatPrefix + string(r.self.ID)},
	})
}

// removeSilent removes one member whose rows have been unchanged for RemoveAfter.
func (r *Roster) removeSilent(now time.Time) []RosterAction {
	for _, other := range r.view.Others {
		m := r.members[other.ID]
		if now.Sub(m.unchangedSince) < r.limits.RemoveAfter {
			continue
		}
		// A failed attempt is repeated after two read intervals.
		m.unchangedSince = now.Add(2*r.limits.ReadInterval - r.limits.RemoveAfter)
		memberKey, heartbeatKey := rosterMemberPrefix+string(other.ID), rosterHeartbeatPrefix+string(other.ID)
		return r.sendCommit(now, commitRemove, storeapi.Transaction{
			Checks:  []storeapi.Check{{Key: memberKey, Version: m.memberVersion}, {Key: heartbeatKey, Version: m.heartbeat.Version}},
			Deletes: []string{memberKey, heartbeatKey},
		})
	}
	return nil
}

func (r *Roster) sendCommit(now time.Time, kind commitKind, tx storeapi.Transaction) []RosterAction {
	r.lastCommit = rosterCommit{kind: kind, sentAt: now}
	r.commitCall = r.newCall()
	return []RosterAction{CommitRoster{Call: r.commitCall, Transaction: tx}}
}

func (r *Roster) newCall() uint64 {
	r.lastCall++
	return r.lastCall
}
