package wire

import "dragonflyyard/internal/model"

// SinceFirstAssignment is the start of the ranges of a region's first home
// assignment. No agent granted a claim before it, so its homes know all requests.
const SinceFirstAssignment = 0

// HomeRange gives the home agent of one range of the request key space. The
// range ends where the next one of the list begins.
type HomeRange struct {
	// FirstHash is the first request hash of the range.
	FirstHash uint64
	Home      model.BackendServerID
	// Incarnation is the life of the home agent that holds the range.
	Incarnation model.Incarnation
	// SinceUnixMS is when the home took the range over.
	SinceUnixMS int64
	// PreviousHome held the range before. It keeps the requests minted before
	// SinceUnixMS plus twice the clock skew bound, as long as it lives.
	PreviousHome        model.BackendServerID
	PreviousIncarnation model.Incarnation
	PreviousSinceUnixMS int64
}

// Assignment is the versioned table of home ranges, sorted by FirstHash.
type Assignment struct {
	Version uint64
	Ranges  []HomeRange
}

// AssignmentDelta holds the ranges in which a version of the assignment differs
// from an earlier one. Both are cut into the same ranges.
type AssignmentDelta struct {
	From uint64
	To   uint64
	// Count is the number of ranges of either version.
	Count int
	// Ranges are those that differ, as they are in To, sorted by FirstHash.
	Ranges []HomeRange
}

// Permit lets an agent start tasks and non-idempotent requests for a short
// time, under the state that it names.
type Permit struct {
	// Seq grows with each permit of the sending entry host.
	Seq uint64
	// ValidMS is how long the permit holds after the heartbeat that the agent
	// sent with number AnsweredHeartbeat, in milliseconds.
	ValidMS           int64
	AnsweredHeartbeat uint64
	Config            model.ConfigVersion
	// ZoneOut is set while the agent's availability zone is out.
	ZoneOut bool
	// OwnerEpoch is the highest scheduler epoch that the sender knows.
	OwnerEpoch model.Epoch
	Assignment uint64
}

// ConfigUpdate carries configuration down: a whole document, the changes since
// From, or a new assignment, whole or as a delta.
type ConfigUpdate struct {
	From       model.ConfigVersion
	To         model.ConfigVersion
	Document   *model.ConfigDocument
	Changes    []model.ConfigChange
	Assignment *Assignment
	// Delta is sent only to a process that acknowledged Delta.From.
	Delta *AssignmentDelta
}

// ConfigAck tells which versions of the configuration and of the assignment
// the sender acts on.
type ConfigAck struct {
	Version model.ConfigVersion
	// Assignment is zero also for a sender that reads no AssignmentDelta.
	Assignment uint64
}

// StoreStatus is exchanged between entry hosts: whether the sender reaches the
// table service, and the state that it last read or wrote there.
type StoreStatus struct {
	Reachable bool
	// InDoubt is set while the sender has a write whose effect is not known.
	InDoubt    bool
	Config     model.ConfigVersion
	OwnerEpoch model.Epoch
	// Seq is the Heartbeat number that the status answers.
	Seq uint64
	// Assignment is the version of the home assignment that the sender knows.
	Assignment uint64
	// ZonesOut lists the zones that the sender treats as out, those with a
	// take-out in doubt included. Such a take-out does not set InDoubt.
	ZonesOut []model.AvailabilityZoneName
	// Roster lists the entry hosts that the sender knows as members.
	Roster []model.EntryID
	// Established is set while the sender may write configuration.
	Established bool
	// Counts is set while others may rely on this status in a store outage: the
	// sender is a member of the roster that has read it since it joined, is not
	// stopping, and had its row confirmed lately; and it read the roster lately or
	// relies on others itself.
	Counts bool
}

// OwnershipNotice tells who owns the region's scheduler.
type OwnershipNotice struct {
	Owner model.EntryID
	Epoch model.Epoch
}

// RosterNotice tells an agent the link addresses (IP:port) of all entry hosts.
type RosterNotice struct {
	Addresses []string
}

// OperatorCall forwards an operator's HTTP call to the scheduler's owner.
type OperatorCall struct {
	Call   uint64
	Method string
	Path   string
	Body   []byte
}

// OperatorReply answers OperatorCall.
type OperatorReply struct {
	Call   uint64
	Status int
	Body   []byte
	// RetryAfterMS is set when the call was refused for now.
	RetryAfterMS int64
}

// WireType implements Message.
func (*Permit) WireType() Type { return TypePermit }

// WireType implements Message.
func (*ConfigUpdate) WireType() Type { return TypeConfigUpdate }

// WireType implements Message.
func (*ConfigAck) WireType() Type { return TypeConfigAck }

// WireType implements Message.
func (*StoreStatus) WireType() Type { return TypeStoreStatus }

// WireType implements Message.
func (*OwnershipNotice) WireType() Type { return TypeOwnershipNotice }

// WireType implements Message.
func (*RosterNotice) WireType() Type { return TypeRosterNotice }

// WireType implements Message.
func (*OperatorCall) WireType() Type { return TypeOperatorCall }

// WireType implements Message.
func (*OperatorReply) WireType() Type { return TypeOperatorReply }
