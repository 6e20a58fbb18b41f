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

// Roster is one entry host's part in the roster of entry hosts. It writes the
// host's rows, removes those of hosts that fell silent, and decides whether
// the host is established, and on whose statements it may rely.
type Roster struct {
	limits  RosterLimits
	self    EntryHost
	members map[model.EntryID]*rosterMember
	view    RosterView

	lastCall uint64
	// listCall and commitCall number the outstanding read and write, zero for none.
	listCall   uint64
	commitCall uint64
	// commit is the last write that was sent.
	commit rosterCommit
	// commitEnded is when the result of the last write came.
	commitEnded time.Time
	// nextRead and nextBeat are when the next read and the next beat are due.
	nextRead time.Time
	nextBeat time.Time
	// joinedAt is when the write of the own row was confirmed.
	joinedAt time.Time
	// listedSince is the start of the last complete read.
	listedSince time.Time
	// listStarted is the start of the last read, complete or not.
	listStarted time.Time
	// knownBy holds the members that said that they know this host.
	knownBy map[model.EntryID]bool
	// sealed holds the members that cannot rely on anybody who does not know
	// this host (see canSeal).
	sealed   map[model.EntryID]sealState
	reliance reliance
	stopping bool
	// leaveTries counts the tries to remove the own rows.
	leaveTries int
}

// maxLeaveTries bounds how often a stopping host tries to remove its rows.
const maxLeaveTries = 3

// rosterCommit is a write of the roster's rows.
type rosterCommit struct {
	kind   commitKind
	sentAt time.Time
	// sealing is the member whose row a seal writes, and seal what it shows.
	sealing model.EntryID
	seal    sealState
}

type commitKind uint8

const (
	commitJoin commitKind = iota + 1
	commitBeat
	commitRemove
	commitLeave
	commitSeal
)

// NewRoster returns the part of a host that is not yet a member.
func NewRoster(limits RosterLimits, self EntryHost) *Roster {
	return &Roster{
		limits:  limits,
		self:    self,
		members: map[model.EntryID]*rosterMember{},
		knownBy: map[model.EntryID]bool{},
		sealed:  map[model.EntryID]sealState{},
	}
}

// View returns what the host knows of the roster.
func (r *Roster) View() RosterView { return r.view }

// LastListStart returns the start of the last complete read of the roster.
func (r *Roster) LastListStart() time.Time { return r.listedSince }

// Step takes one input and returns the actions to do, in order.
func (r *Roster) Step(now time.Time, in RosterInput) []RosterAction {
	before := r.view
	switch in := in.(type) {
	case RosterListed:
		r.onListed(now, in)
	case RosterCommitted:
		r.onCommitted(now, in)
	case PeerStatus:
		r.onPeerStated(in)
	case RosterStop:
		r.stopping = true
		r.view.Established = false
	}
	r.establish()
	r.giveUpCalls(now)
	actions := r.next(now)
	r.viewReliance()
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
		m.stable = now
		if old := r.members[id]; old != nil && m.sameAs(old) {
			m.stable = old.stable
		}
	}
	r.members = members
	r.listedSince = r.listStarted
	r.view.Others = sortedHosts(members, r.self.ID)
	r.noticeRemoval()
	r.noticeSeal(now)
}

// noticeRemoval ends the membership of a host whose row was removed or taken
// over by a later incarnation.
func (r *Roster) noticeRemoval() {
	if !r.view.Member || r.listedSince.Before(r.joinedAt) {
		return
	}
	own := r.members[r.self.ID]
	if own != nil && own.row == r.view.Check.Version {
		return
	}
	r.view.Member, r.view.Established = false, false
	r.view.Check = storeapi.Check{}
	r.view.ConfirmedAt = time.Time{}
	r.knownBy = map[model.EntryID]bool{}
	r.sealed = map[model.EntryID]sealState{}
	r.reliance = reliance{}
}

func (r *Roster) onPeerStated(in PeerStatus) {
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
	r.commitCall, r.commitEnded = 0, now
	if in.Result != storeapi.ResultOK {
		r.nextRead = now
		if r.commit.kind == commitBeat {
			r.nextBeat = now.Add(r.limits.ReadInterval)
		}
		return
	}
	switch r.commit.kind {
	case commitJoin:
		r.view.Member, r.joinedAt = true, now
		r.view.Check = storeapi.Check{Key: rosterMemberPrefix + string(r.self.ID), Version: in.Versions[0]}
		r.view.ConfirmedAt = r.commit.sentAt
		r.reliance = reliance{beatRow: in.Versions[1]}
		r.nextBeat = r.commit.sentAt.Add(r.limits.HeartbeatInterval)
		r.nextRead = now
	case commitBeat:
		r.view.ConfirmedAt = r.commit.sentAt
		r.reliance.confirm(in.Versions[0])
	case commitSeal:
		r.sealed[r.commit.sealing] = r.commit.seal
		r.nextRead = now
	case commitRemove:
		r.nextRead = now
	case commitLeave:
		r.view.Member, r.view.Left = false, true
	}
}

// callLimit is how long a roster waits for the result of a call. It is far
// longer than the deadline of any call.
const callLimit = 10 * time.Second

// giveUpCalls ends calls whose results never came.
func (r *Roster) giveUpCalls(now time.Time) {
	if r.listCall != 0 && now.Sub(r.listStarted) >= callLimit {
		r.listCall = 0
	}
	if r.commitCall != 0 && now.Sub(r.commit.sentAt) >= callLimit {
		r.commitCall, r.commitEnded = 0, now
	}
}

// next returns the calls that are due.
func (r *Roster) next(now time.Time) []RosterAction {
	var actions []RosterAction
	if r.commitCall == 0 {
		actions = r.nextCommit(now)
	}
	if r.listCall == 0 && !r.view.Left && !now.Before(r.nextRead) {
		r.nextRead = now.Add(r.limits.ReadInterval)
		r.listCall, r.listStarted = r.newCall(), now
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
	case r.listedSince.IsZero():
		return nil
	case !r.view.Member:
		return r.join(now)
	case r.beatIsDue(now):
		return r.beat(now)
	default:
		if actions := r.sealSilent(now); actions != nil {
			return actions
		}
		return r.removeSilent(now)
	}
}

// join writes the own rows, in place of those of an earlier incarnation, but
// never of a later one. After a failed try it waits for the next read.
func (r *Roster) join(now time.Time) []RosterAction {
	if !r.listedSince.After(r.commit.sentAt) && r.commit.kind == commitJoin {
		return nil
	}
	var present storeapi.RowVersion
	if own := r.members[r.self.ID]; own != nil {
		if own.host.Incarnation > r.self.Incarnation {
			return nil
		}
		present = own.row
	}
	value, err := json.Marshal(r.self)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode roster row"))
	}
	key := rosterMemberPrefix + string(r.self.ID)
	return r.send(now, commitJoin, storeapi.Transaction{
		Checks: []storeapi.Check{{Key: key, Version: present}},
		Puts: []storeapi.Put{
			{Key: key, Value: value},
			{Key: rosterBeatPrefix + string(r.self.ID), Value: encodeBeat(beat{})},
		},
	})
}

// leave removes the own rows. After a few failed tries the rows are left to the
// other members, who remove them once they did not change for long.
func (r *Roster) leave(now time.Time) []RosterAction {
	if !r.view.Member || r.leaveTries >= maxLeaveTries {
		r.view.Left = true
		return nil
	}
	if r.commit.kind == commitLeave && now.Sub(r.commit.sentAt) < r.limits.ReadInterval {
		return nil
	}
	r.leaveTries++
	return r.send(now, commitLeave, storeapi.Transaction{
		Checks:  []storeapi.Check{r.view.Check},
		Deletes: []string{r.view.Check.Key, rosterBeatPrefix + string(r.self.ID)},
	})
}

// removeSilent removes one member whose beat did not change for long.
func (r *Roster) removeSilent(now time.Time) []RosterAction {
	for _, other := range r.view.Others {
		m := r.members[other.ID]
		if now.Sub(m.stable) < r.limits.RemoveAfter {
			continue
		}
		// A failed try is made again after the next reads.
		m.stable = now.Add(2*r.limits.ReadInterval - r.limits.RemoveAfter)
		member, beat := rosterMemberPrefix+string(other.ID), rosterBeatPrefix+string(other.ID)
		return r.send(now, commitRemove, storeapi.Transaction{
			Checks:  []storeapi.Check{{Key: member, Version: m.row}, {Key: beat, Version: m.beat.Version}},
			Deletes: []string{member, beat},
		})
	}
	return nil
}

func (r *Roster) send(now time.Time, kind commitKind, tx storeapi.Transaction) []RosterAction {
	r.commit = rosterCommit{kind: kind, sentAt: now}
	r.commitCall = r.newCall()
	return []RosterAction{CommitRoster{Call: r.commitCall, Transaction: tx}}
}

func (r *Roster) newCall() uint64 {
	r.lastCall++
	return r.lastCall
}
