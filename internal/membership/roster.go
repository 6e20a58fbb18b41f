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

const (
	// RosterPrefix is the key prefix of all roster rows. An entry host has a
	// member row and a heartbeat row, whose prefixes are followed by its ID.
	RosterPrefix = "roster/"

	rosterMemberPrefix    = RosterPrefix + "member/"
	rosterHeartbeatPrefix = RosterPrefix + "beat/"
)

// ErrMalformedRow means that a member row or heartbeat row cannot be decoded, or
// that a member row holds another host's ID.
var ErrMalformedRow = errors.New("malformed roster row")

// RosterLimits are the intervals and timeouts of the roster.
type RosterLimits struct {
	// ReadInterval is the interval of reads of the roster.
	ReadInterval time.Duration
	// HeartbeatInterval is the interval at which a member writes its heartbeat row.
	HeartbeatInterval time.Duration
	// RemoveAfter is how long a heartbeat row stays unchanged until its member is
	// removed. It is longer than the time for which a member may issue permits on
	// the basis of its peers' status after its last confirmed heartbeat.
	RemoveAfter time.Duration
	// SealAfter is how long a new member waits for the status of another member
	// that knows the new one, until it seals that member's heartbeat row (see
	// sealSilent). It is longer than the validity of a permit.
	SealAfter time.Duration
}

// DefaultRosterLimits returns the limits that entry hosts run with.
func DefaultRosterLimits() RosterLimits {
	return RosterLimits{
		ReadInterval:      time.Second,
		HeartbeatInterval: 30 * time.Second,
		RemoveAfter:       11 * time.Minute,
		SealAfter:         3 * time.Second,
	}
}

// EntryHost is one member of the roster, and the value of its member row.
type EntryHost struct {
	ID          model.EntryID     `json:"id"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Address is the IP:port that agents and other entry hosts connect to.
	Address string `json:"address"`
	// HasPeers is set if the host's settings name other entry hosts. While such a
	// host knows no other member, its MayRely stays unset.
	HasPeers bool `json:"has_peers"`
}

// RosterInput is one of RosterTick, RosterListed, RosterCommitted, PeerStatus and RosterStop.
type RosterInput interface{ isRosterInput() }

// RosterTick lets the roster act on the time that has passed.
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

// PeerStatus is the status of another entry host that was requested at AskedAt:
// the members that it knows, itself included, and whether it is established.
type PeerStatus struct {
	Peer        model.EntryID
	AskedAt     time.Time
	Roster      []model.EntryID
	Established bool
}

// RosterStop makes the host leave the roster because its process is stopping.
type RosterStop struct{}

func (RosterTick) isRosterInput()      {}
func (RosterListed) isRosterInput()    {}
func (RosterCommitted) isRosterInput() {}
func (PeerStatus) isRosterInput()      {}
func (RosterStop) isRosterInput()      {}

// RosterAction is one of ListRoster, CommitRoster and RosterChanged.
type RosterAction interface{ isRosterAction() }

// ListRoster requests all rows under RosterPrefix; its result is RosterListed.
type ListRoster struct{ Call uint64 }

// CommitRoster requests a transaction; its result is RosterCommitted.
type CommitRoster struct {
	Call        uint64
	Transaction storeapi.Transaction
}

// RosterChanged reports a change of the roster's view.
type RosterChanged struct{ View RosterView }

func (ListRoster) isRosterAction()    {}
func (CommitRoster) isRosterAction()  {}
func (RosterChanged) isRosterAction() {}

// RosterView is the roster as one entry host knows it, and that host's standing.
type RosterView struct {
	// Others are the other members, sorted by ID.
	Others []EntryHost
	// Member is set while this host's member row exists, as last read or written.
	Member bool
	// Check is the precondition that this host's member row still exists.
	Check storeapi.Check
	// ConfirmedAt is when this host sent its last confirmed heartbeat, or its join.
	ConfirmedAt time.Time
	// Established is set while this host may write configuration.
	Established bool
	// Listed is set while this host is a member, is not stopping, and has read
	// the roster since it joined. Others may rely on its status only then.
	Listed bool
	// MayRely is set while this host may rely on the status of all members in
	// RelyOn in place of a read of the table service.
	MayRely bool
	// RelyOn lists the members whose status this host needs, sorted. It is empty
	// unless MayRely is set.
	RelyOn []model.EntryID
	// Left is set once a stopping host has removed its rows, or will not try again.
	Left bool
}

// rosterMember holds the rows of one member as last read.
type rosterMember struct {
	host          EntryHost
	memberVersion storeapi.RowVersion
	heartbeat     storeapi.Row
	// unchangedSince is when these rows were first read. A seal changes only the
	// version of the heartbeat row, which does not count as a change.
	unchangedSince time.Time
}

func (m *rosterMember) hasSameRows(old *rosterMember) bool {
	return m.memberVersion == old.memberVersion && bytes.Equal(m.heartbeat.Value, old.heartbeat.Value)
}

func decodeMember(row storeapi.Row) (EntryHost, error) {
	var host EntryHost
	if err := json.Unmarshal(row.Value, &host); err != nil {
		return EntryHost{}, errors.CombineErrors(ErrMalformedRow, err)
	}
	if string(host.ID) != strings.TrimPrefix(row.Key, rosterMemberPrefix) {
		return EntryHost{}, errors.Wrapf(ErrMalformedRow, "row %q holds host ID %q", row.Key, host.ID)
	}
	return host, nil
}

// decodeRoster returns the members of the roster's rows. A member whose row
// cannot be decoded has its ID only, and is removed once it is silent.
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
		members[id] = &rosterMember{host: host, memberVersion: row.Version}
	}
	for _, row := range rows {
		id := model.EntryID(strings.TrimPrefix(row.Key, rosterHeartbeatPrefix))
		if m := members[id]; m != nil && strings.HasPrefix(row.Key, rosterHeartbeatPrefix) {
			m.heartbeat = row
		}
	}
	return members
}

func sortedHosts(members map[model.EntryID]*rosterMember, except model.EntryID) []EntryHost {
	var hosts []EntryHost
	for id, m := range members {
		if id != except {
			hosts = append(hosts, m.host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return hosts
}
