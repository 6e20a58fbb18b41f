package membership

import (
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/platform"
)

// Roster is one entry host's part in the roster of entry hosts. It writes the
// host's rows, removes those of hosts that fell silent, and decides whether
// the host is established.
//
// A host may rest start permits on the statements of the other members that it
// knows. A new member is unknown to a host that cannot read the table service.
// So a new member writes configuration only once it is established: an
// established member said that it knows the new one, or all other members did.
// From then on any host that asks the roster for statements is told of the new
// member and asks it too.
type Roster struct {
	limits  RosterLimits
	self    EntryHost
	members map[model.EntryID]*rosterMember
	view    RosterView

	lastCall   uint64
	listCall   uint64
	commitCall uint64
	commit     rosterCommit
	nextRead   time.Time
	nextBeat   time.Time
	// joinedAt is when the write of the own row was confirmed.
	joinedAt time.Time
	// listedSince is the start of the last complete read.
	listedSince time.Time
	listStarted time.Time
	knownBy     map[model.EntryID]bool
	stopping    bool
	leaveTries  int
}

// maxLeaveTries bounds how often a stopping host tries to remove its rows.
const maxLeaveTries = 3

// rosterCommit is the outstanding write.
type rosterCommit struct {
	kind   commitKind
	sentAt time.Time
}

type commitKind uint8

const (
	commitJoin commitKind = iota + 1
	commitBeat
	commitRemove
	commitLeave
)

// NewRoster returns the part of a host that is not yet a member.
func NewRoster(limits RosterLimits, self EntryHost) *Roster {
	return &Roster{
		limits:  limits,
		self:    self,
		members: map[model.EntryID]*rosterMember{},
		knownBy: map[model.EntryID]bool{},
	}
}

// View returns what the host knows of the roster.
func (r *Roster) View() RosterView { return r.view }

// Step takes one input and returns the actions to do, in order.
func (r *Roster) Step(now time.Time, in RosterInput) []RosterAction {
	before := r.view
	switch in := in.(type) {
	case RosterListed:
		r.onListed(now, in)
	case RosterCommitted:
		r.onCommitted(now, in)
	case PeerStated:
		r.onPeerStated(in)
	case RosterStop:
		r.stopping = true
		r.view.Established = false
	}
	r.establish()
	r.giveUpCalls(now)
	actions := r.next(now)
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
	if in.Result != RosterOK {
		return
	}
	members := decodeRoster(in.Rows)
	for id, m := range members {
		m.stable = now
		if old := r.members[id]; old != nil && old.row == m.row && old.beat == m.beat {
			m.stable = old.stable
		}
	}
	r.members = members
	r.listedSince = r.listStarted
	r.view.Others = sortedHosts(members, r.self.ID)
	r.noticeRemoval()
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
	r.view.Check = platform.Check{}
	r.view.ConfirmedAt = time.Time{}
	r.knownBy = map[model.EntryID]bool{}
}

func (r *Roster) onPeerStated(in PeerStated) {
	if !r.view.Member || in.AskedAt.Before(r.joinedAt) || !slices.Contains(in.Roster, r.self.ID) {
		return
	}
	r.knownBy[in.Peer] = true
	if _, member := r.members[in.Peer]; member && in.Established && !r.stopping {
		r.view.Established = true
	}
}

// establish decides whether enough members know this host. The read that listed
// them began after this host's own row existed.
func (r *Roster) establish() {
	if !r.view.Member || r.stopping || r.listedSince.Before(r.joinedAt) {
		return
	}
	var silent []EntryHost
	for _, other := range r.view.Others {
		if !r.knownBy[other.ID] {
			silent = append(silent, other)
		}
	}
	if len(silent) == 0 || r.canPassOver(silent) {
		r.view.Established = true
	}
}

// canPassOver reports whether this host can be established without the word of
// the silent members. A single one can be passed over: whatever other members
// it knows, each of them said that it knows this host, so it learns of this
// host before it relies on them. A silent member that could rely on nobody but
// itself cannot be passed over, nor can two that may know only each other.
func (r *Roster) canPassOver(silent []EntryHost) bool {
	return len(silent) == 1 && len(r.view.Others) > 1 && silent[0].HasPeers
}

func (r *Roster) onCommitted(now time.Time, in RosterCommitted) {
	if r.commitCall == 0 || in.Call != r.commitCall {
		return
	}
	r.commitCall = 0
	if in.Result != RosterOK {
		r.nextRead = now
		return
	}
	switch r.commit.kind {
	case commitJoin:
		r.view.Member, r.joinedAt = true, now
		r.view.Check = platform.Check{Key: rosterMemberPrefix + string(r.self.ID), Version: in.Versions[0]}
		r.view.ConfirmedAt = r.commit.sentAt
		r.nextBeat = r.commit.sentAt.Add(r.limits.BeatEvery)
		r.nextRead = now
	case commitBeat:
		r.view.ConfirmedAt = r.commit.sentAt
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
		r.commitCall = 0
	}
}

// next returns the calls that are due.
func (r *Roster) next(now time.Time) []RosterAction {
	var actions []RosterAction
	if r.commitCall == 0 {
		actions = r.nextCommit(now)
	}
	if r.listCall == 0 && !r.view.Left && !now.Before(r.nextRead) {
		r.nextRead = now.Add(r.limits.ReadEvery)
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
	case !now.Before(r.nextBeat):
		return r.beat(now)
	default:
		return r.removeSilent(now)
	}
}

// join writes the own rows, in place of those of a former life, but never of a
// later one. After a failed try it waits for the next read.
func (r *Roster) join(now time.Time) []RosterAction {
	if !r.listedSince.After(r.commit.sentAt) && r.commit.kind == commitJoin {
		return nil
	}
	var present platform.RowVersion
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
	return r.send(now, commitJoin, platform.Transaction{
		Checks: []platform.Check{{Key: key, Version: present}},
		Puts:   []platform.Put{{Key: key, Value: value}, {Key: rosterBeatPrefix + string(r.self.ID)}},
	})
}

func (r *Roster) beat(now time.Time) []RosterAction {
	r.nextBeat = now.Add(r.limits.BeatEvery)
	return r.send(now, commitBeat, platform.Transaction{
		Checks: []platform.Check{r.view.Check},
		Puts:   []platform.Put{{Key: rosterBeatPrefix + string(r.self.ID)}},
	})
}

// leave removes the own rows. After a few failed tries the rows are left to the
// other members, who remove them once they did not change for long.
func (r *Roster) leave(now time.Time) []RosterAction {
	if !r.view.Member || r.leaveTries >= maxLeaveTries {
		r.view.Left = true
		return nil
	}
	if r.commit.kind == commitLeave && now.Sub(r.commit.sentAt) < r.limits.ReadEvery {
		return nil
	}
	r.leaveTries++
	return r.send(now, commitLeave, platform.Transaction{
		Checks:  []platform.Check{r.view.Check},
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
		m.stable = now
		member, beat := rosterMemberPrefix+string(other.ID), rosterBeatPrefix+string(other.ID)
		return r.send(now, commitRemove, platform.Transaction{
			Checks:  []platform.Check{{Key: member, Version: m.row}, {Key: beat, Version: m.beat}},
			Deletes: []string{member, beat},
		})
	}
	return nil
}

func (r *Roster) send(now time.Time, kind commitKind, tx platform.Transaction) []RosterAction {
	r.commit = rosterCommit{kind: kind, sentAt: now}
	r.commitCall = r.newCall()
	return []RosterAction{CommitRoster{Call: r.commitCall, Transaction: tx}}
}

func (r *Roster) newCall() uint64 {
	r.lastCall++
	return r.lastCall
}
