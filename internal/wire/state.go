package wire

import "dragonflyyard/internal/model"

// SinceFirstAssignment is SinceUnixMS of the ranges in a region's first home
// assignment. No agent granted a claim before that assignment, so its homes have
// the records of all requests.
const SinceFirstAssignment = 0

// HomeRange assigns one range of the request hash space to a home agent. The
// range ends where the next one in the list begins.
type HomeRange struct {
	// FirstHash is the first request hash of the range.
	FirstHash uint64
	Home      model.BackendServerID
	// Incarnation is the process incarnation of the home agent that holds the range.
	Incarnation model.Incarnation
	// SinceUnixMS is when the home took over the range, in milliseconds since
	// the Unix epoch.
	SinceUnixMS int64
	// PreviousHome held the range before Home. While PreviousIncarnation is
	// alive, it remains the home of requests that were minted before
	// SinceUnixMS plus twice the clock skew bound.
	PreviousHome        model.BackendServerID
	PreviousIncarnation model.Incarnation
	PreviousSinceUnixMS int64
}

// Assignment is the versioned table of home ranges, sorted by FirstHash.
type Assignment struct {
	Version uint64
	Ranges  []HomeRange
}

// AssignmentDelta holds the ranges that differ between two versions of the
// assignment. Both versions have the same range boundaries.
type AssignmentDelta struct {
	From uint64
	To   uint64
	// Count is the number of ranges in each version.
	Count int
	// Ranges are the ranges that differ, as in version To, sorted by FirstHash.
	Ranges []HomeRange
}

// Permit allows an agent to start tasks and non-idempotent requests for a
// limited time, under the versions and the epoch that it states.
type Permit struct {
	// Seq increases with each permit of the sending entry host.
	Seq uint64
	// ValidMS is the permit's validity in milliseconds, counted from when the
	// agent sent the heartbeat with number AnsweredHeartbeat.
	ValidMS           int64
	AnsweredHeartbeat uint64
	Config            model.ConfigVersion
	// ZoneOut is set while the agent's availability zone is out.
	ZoneOut bool
	// OwnerEpoch is the highest scheduler epoch that the sender knows.
	OwnerEpoch model.Epoch
	Assignment uint64
}

// ConfigUpdate sends configuration to another process: a whole document, the
// changes since From, or a new assignment, whole or as a delta.
type ConfigUpdate struct {
	From       model.ConfigVersion
	To         model.ConfigVersion
	Document   *model.ConfigDocument
	Changes    []model.ConfigChange
	Assignment *Assignment
	// Delta is sent only to a process that acknowledged Delta.From.
	Delta *AssignmentDelta
}

// ConfigAck reports the versions of the configuration and of the assignment
// that the sender has applied.
type ConfigAck struct {
	Version model.ConfigVersion
	// Assignment is also zero for a sender that does not support AssignmentDelta.
	Assignment uint64
}

// StoreStatus tells another entry host whether the sender reaches the table
// service, and the state that the sender last read or wrote there.
type StoreStatus struct {
	Reachable bool
	// InDoubt is set while the sender has a write whose outcome is unknown.
	InDoubt    bool
	Config     model.ConfigVersion
	OwnerEpoch model.Epoch
	// Seq is the Heartbeat number that the status answers.
	Seq uint64
	// Assignment is the version of the home assignment that the sender knows.
	Assignment uint64
	// ZonesOut lists the zones that the sender treats as out, including those
	// whose take-out has an unknown outcome. Such a take-out does not set InDoubt.
	ZonesOut []model.AvailabilityZoneName
	// Roster lists the entry hosts that the sender knows as members.
	Roster []model.EntryID
	// Established is set while the sender may write configuration.
	Established bool
	// Counts is set while others may rely on this status during a store outage.
	// The sender must be a roster member that has read the roster since it
	// joined, is not stopping, and had its row confirmed recently. It must also
	// have read the roster recently or itself rely on others.
	Counts bool
}

// OwnershipNotice announces the owner of the region's scheduler and its epoch.
type OwnershipNotice struct {
	Owner model.EntryID
	Epoch model.Epoch
}

// RosterNotice sends an agent the link addresses (IP:port) of all entry hosts.
type RosterNotice struct {
	Addresses []string
}

// OperatorCall forwards an operator's HTTP request to the scheduler owner.
type OperatorCall struct {
	Call   uint64
	Method string
	Path   string
	Body   []byte
}

// OperatorReply answers the OperatorCall with the same Call number.
type OperatorReply struct {
	Call   uint64
	Status int
	Body   []byte
	// RetryAfterMS is set when the refusal is temporary: the delay before a
	// retry, in milliseconds.
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
