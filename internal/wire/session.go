package wire

import "dragonflyyard/internal/model"

// Role is the kind of process that opened a connection.
type Role uint8

// Roles of a connecting process.
const (
	RoleAgent Role = 1
	RoleEntry Role = 2
)

// Hello is the first message of the process that opened the connection.
type Hello struct {
	Role        Role
	Process     string
	Incarnation model.Incarnation
	Region      model.RegionName
	Zone        model.AvailabilityZoneName
	// Backend and Worker are set when Role is RoleAgent.
	Backend *model.BackendServer
	Worker  *model.Worker
	// Leaving is set when the backend server already takes no new work.
	Leaving bool
	// HTTPAddress is the address (IP:port) of the process's timeline and metrics.
	HTTPAddress string
	// Config and Assignment are the versions that an agent has applied. They are
	// zero for none and for a sender that does not support AssignmentDelta.
	Config     model.ConfigVersion
	Assignment uint64
}

// Welcome answers Hello.
type Welcome struct {
	Process     string
	Incarnation model.Incarnation
	// Connection numbers the connections of the answering process. Connection
	// and Incarnation together are the connection epoch of answers.
	Connection uint64
	// Roster holds the link addresses (IP:port) of all known entry hosts.
	Roster []string
	// HTTPAddress is the address (IP:port) of the process's timeline and metrics.
	HTTPAddress string
	Zone        model.AvailabilityZoneName
}

// Heartbeat is sent in both directions at a fixed interval.
type Heartbeat struct {
	// Seq increases by one with each heartbeat.
	Seq uint64
	// AckSeq is the highest Seq received from the peer.
	AckSeq uint64
	// NoStatus is set between entry hosts while the sender does not rely on the
	// receiver's StoreStatus. The receiver then sends its status when it has
	// changed, and otherwise only at a longer interval.
	NoStatus bool
}

// Leaving announces that the sender takes no new work.
type Leaving struct {
	Process string
}

// Credit grants an entry host a share of a backend server's capacity. It
// replaces any earlier Credit on the same connection.
type Credit struct {
	Seq         uint64
	Slots       int
	Connections int
}

// Demand tells an agent how much capacity of its backend server an entry host
// could use. It replaces any earlier Demand on the same connection.
type Demand struct {
	Seq uint64
	// Slots is the number of slots in use plus the slots that waiting requests need.
	Slots int
	// Largest is the number of slots that the largest waiting request needs.
	Largest int
}

// WireType implements Message.
func (*Demand) WireType() Type { return TypeDemand }

// Clock carries the sender's hybrid logical clock. It precedes each batch of
// frames, so that the receiver's later events are ordered after all earlier
// events of the sender.
type Clock struct {
	// WallMS is in milliseconds since the Unix epoch.
	WallMS int64
	// Counter orders events within the same millisecond.
	Counter uint32
}

// WireType implements Message.
func (*Clock) WireType() Type { return TypeClock }

// WireType implements Message.
func (*Hello) WireType() Type { return TypeHello }

// WireType implements Message.
func (*Welcome) WireType() Type { return TypeWelcome }

// WireType implements Message.
func (*Heartbeat) WireType() Type { return TypeHeartbeat }

// WireType implements Message.
func (*Leaving) WireType() Type { return TypeLeaving }

// WireType implements Message.
func (*Credit) WireType() Type { return TypeCredit }
