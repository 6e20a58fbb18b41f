package membership

import (
	"bytes"
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
)

// Keys of the roster's rows. Both prefixes are followed by the entry host's ID.
const (
	RosterPrefix = "roster/"

	rosterMemberPrefix = RosterPrefix + "member/"
	rosterBeatPrefix   = RosterPrefix + "beat/"
)

// ErrMalformedRow means that a roster row does not hold an entry host.
var ErrMalformedRow = errors.New("malformed roster row")

// RosterLimits are the times of the roster.
type RosterLimits struct {
	// ReadInterval is the interval of reads of the roster.
	ReadInterval time.Duration
	// HeartbeatInterval is the interval at which a member renews its beat row.
	HeartbeatInterval time.Duration
	// RemoveAfter is how long a beat row stays unchanged until its member is
	// removed. It is longer than the time for which a member may rest start
	// permits on the statements of others after its last confirmed beat.
	RemoveAfter time.Duration
	// SealAfter is how long a new member waits for another one to state that it
	// knows the new one, until it seals that member's beat row (see sealSilent). It
	// is longer than the validity of a permit.
	SealAfter time.Duration
}

// DefaultRosterLimits returns the limits of the product.
func DefaultRosterLimits() RosterLimits {
	return RosterLimits{
		ReadInterval:      time.Second,
		HeartbeatInterval: 30 * time.Second,
		RemoveAfter:       11 * time.Minute,
		SealAfter:         3 * time.Second,
	}
}

// EntryHost is one member of the roster.
type EntryHost struct {
	ID          model.EntryID     `json:"id"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Address is the IP:port that agents and other entry hosts connect to.
	Address string `json:"address"`
	// HasPeers says that the host's settings name other entry hosts. Such a host
	// relies on nobody while it knows no other member.
	HasPeers bool `json:"has_peers"`
}

// RosterInput is one of RosterTick, RosterListed, RosterCommitted, PeerStated and RosterStop.
type RosterInput interface{ isRosterInput() }

// RosterTick tells that time has passed.
type RosterTick struct{}

// RosterListed is the result of ListRoster.
type RosterListed struct {
	Call   uint64
	Result storeapi.Result
	Rows   []storeapi.Row
}

// RosterCommitted is the result of CommitRoster.
type RosterCommitted struct {
	Call     uint64
	Result   storeapi.Result
	Versions []storeapi.RowVersion
}

// PeerStatus is what another entry host said in answer to a question that was
// asked at AskedAt: the members that it knows, and whether it is established.
type PeerStatus struct {
	Peer        model.EntryID
	AskedAt     time.Time
	Roster      []model.EntryID
	Established bool
}

// RosterStop tells that the process is stopping.
type RosterStop struct{}

func (RosterTick) isRosterInput()      {}
func (RosterListed) isRosterInput()    {}
func (RosterCommitted) isRosterInput() {}
func (PeerStatus) isRosterInput()      {}
func (RosterStop) isRosterInput()      {}

// RosterAction is one of ListRoster, CommitRoster and RosterChanged.
type RosterAction interface{ isRosterAction() }

// ListRoster asks for all rows under RosterPrefix; the answer is RosterListed.
type ListRoster struct{ Call uint64 }

// CommitRoster asks for a transaction; the answer is RosterCommitted.
type CommitRoster struct {
	Call        uint64
	Transaction storeapi.Transaction
}

// RosterChanged tells that the roster's view is another one.
type RosterChanged struct{ View RosterView }

func (ListRoster) isRosterAction()    {}
func (CommitRoster) isRosterAction()  {}
func (RosterChanged) isRosterAction() {}

// RosterView is what an entry host knows of the roster.
type RosterView struct {
	// Others are the other members, sorted by ID.
	Others []EntryHost
	// Member is set while this host's own row exists, as last read or written.
	Member bool
	// Check is the precondition that this host's row still exists.
	Check storeapi.Check
	// ConfirmedAt is when the last confirmed write of this host's beat was sent.
	ConfirmedAt time.Time
	// Established is set while this host may write configuration.
	Established bool
	// Listed is set while this host is a member, is not stopping, and has read
	// the roster since it joined. Others may rely on its statements only then.
	Listed bool
	// MayRely is set while this host may rely on the statements of the members
	// in RelyOn, all of them, in place of a read of the table service.
	MayRely bool
	// RelyOn lists the members that MayRely speaks of, sorted.
	RelyOn []model.EntryID
	// Left is set when a stopping host's rows are gone, or were given up.
	Left bool
}

// rosterMember is one member as its rows were last read.
type rosterMember struct {
	host EntryHost
	row  storeapi.RowVersion
	beat storeapi.Row
	// stable is when the rows were first seen as they are. A seal changes the
	// version of the beat row only, not its value.
	stable time.Time
}

func (m *rosterMember) sameAs(old *rosterMember) bool {
	return m.row == old.row && bytes.Equal(m.beat.Value, old.beat.Value)
}

func decodeMember(row storeapi.Row) (EntryHost, error) {
	var host EntryHost
	if err := json.Unmarshal(row.Value, &host); err != nil {
		return EntryHost{}, errors.CombineErrors(ErrMalformedRow, err)
	}
	if string(host.ID) != strings.TrimPrefix(row.Key, rosterMemberPrefix) {
		return EntryHost{}, errors.Wrapf(ErrMalformedRow, "row %q holds %q", row.Key, host.ID)
	}
	return host, nil
}

// decodeRoster returns the members of the roster's rows. A member whose row
// cannot be decoded is known by its ID alone, and is removed like a silent one.
func decodeRoster(rows []storeapi.Row) map[model.EntryID]*rosterMember {
	members := map[model.EntryID]*rosterMember{}
	for _, row := range rows {
		if !strings.HasPrefix(row.Key, rosterMemberPrefix) {
			continue
		}
		id := model.EntryID(strings.TrimPrefix(row.Key, rosterMemberPrefix))
		host, err := decodeMember(row)
		if err != nil {
			host = EntryHost{ID: id}
		}
		members[id] = &rosterMember{host: host, row: row.Version}
	}
	for _, row := range rows {
		id := model.EntryID(strings.TrimPrefix(row.Key, rosterBeatPrefix))
		if m := members[id]; m != nil && strings.HasPrefix(row.Key, rosterBeatPrefix) {
			m.beat = row
		}
	}
	return members
}

func sortedHosts(members map[model.EntryID]*rosterMember, without model.EntryID) []EntryHost {
	var hosts []EntryHost
	for id, m := range members {
		if id != without {
			hosts = append(hosts, m.host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return hosts
}
