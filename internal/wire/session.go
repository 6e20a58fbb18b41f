package wire

import "dragonflyyard/internal/model"

// Role says what kind of process opened a connection.
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
	// Leaving is set when the backend server is already on its way out.
	Leaving bool
	// HTTPAddress is where the process serves its time line and metrics, IP:port.
	HTTPAddress string
	// Config and Assignment are the versions that an agent acts on, zero for
	// none and for a sender that reads no AssignmentDelta.
	Config     model.ConfigVersion
	Assignment uint64
}

// Welcome answers Hello.
type Welcome struct {
	Process     string
	Incarnation model.Incarnation
	// Connection numbers the connections of the answering process. Together
	// with the incarnation it is the connection epoch of answers.
	Connection uint64
	// Roster holds the link addresses (IP:port) of all entry hosts known.
	Roster []string
	// HTTPAddress is where the process serves its time line and metrics, IP:port.
	HTTPAddress string
	Zone        model.AvailabilityZoneName
}

// Heartbeat is sent both ways at a fixed interval. Seq grows by one with each.
type Heartbeat struct {
	Seq uint64
	// AckSeq is the highest heartbeat received from the other end.
	AckSeq uint64
	// NoStatus is set between entry hosts while the sender rests nothing on the
	// receiver's StoreStatus. The receiver then answers only where its status
	// changed, and now and then.
	NoStatus bool
}

// Leaving announces that the sender takes no new work.
type Leaving struct {
	Process string
}

// Credit tells an entry host how much of a backend server it may use. It
// replaces any earlier credit on the same connection.
type Credit struct {
	Seq         uint64
	Slots       int
	Connections int
}

// Demand tells an agent how much of its backend server an entry host could use.
// It replaces any earlier demand on the same connection.
type Demand struct {
	Seq uint64
	// Slots is the number of slots in use plus those that waiting requests need.
	Slots int
	// Largest is the slot need of the largest waiting request.
	Largest int
}

// WireType implements Message.
func (*Demand) WireType() Type { return TypeDemand }

// Clock carries the sender's hybrid logical clock. It goes in front of each
// batch of frames, so that the receiver's later events are ordered after all
// that the sender did before.
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
