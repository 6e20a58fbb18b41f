package wire

// Message types. A number is never reused for another message.
const (
	TypeHello           Type = 1
	TypeWelcome         Type = 2
	TypeHeartbeat       Type = 3
	TypeLeaving         Type = 4
	TypeCredit          Type = 5
	TypeDemand          Type = 6
	TypeClock           Type = 7
	TypeClaim           Type = 10
	TypeClaimReply      Type = 11
	TypeDispatch        Type = 12
	TypeAnswerPart      Type = 13
	TypeLookup          Type = 14
	TypeLookupReply     Type = 15
	TypeForget          Type = 16
	TypePermit          Type = 20
	TypeConfigUpdate    Type = 21
	TypeStoreStatus     Type = 22
	TypeConfigAck       Type = 23
	TypeReserve         Type = 30
	TypeReserveReply    Type = 31
	TypeLaunch          Type = 32
	TypeRelease         Type = 33
	TypeStopTask        Type = 34
	TypeTaskReport      Type = 35
	TypeThrottle        Type = 36
	TypeWorkerReport    Type = 37
	TypeLeaseRequest    Type = 38
	TypeLeaseGrant      Type = 39
	TypeOperatorCall    Type = 40
	TypeOperatorReply   Type = 41
	TypeOwnershipNotice Type = 42
	TypeRosterNotice    Type = 43
)

func newMessage(t Type) Message {
	if m := newSessionMessage(t); m != nil {
		return m
	}
	if m := newRequestMessage(t); m != nil {
		return m
	}
	if m := newStateMessage(t); m != nil {
		return m
	}
	return newJobMessage(t)
}

func newSessionMessage(t Type) Message {
	switch t {
	case TypeHello:
		return &Hello{}
	case TypeWelcome:
		return &Welcome{}
	case TypeHeartbeat:
		return &Heartbeat{}
	case TypeLeaving:
		return &Leaving{}
	case TypeCredit:
		return &Credit{}
	case TypeDemand:
		return &Demand{}
	case TypeClock:
		return &Clock{}
	default:
		return nil
	}
}

func newRequestMessage(t Type) Message {
	switch t {
	case TypeClaim:
		return &Claim{}
	case TypeClaimReply:
		return &ClaimReply{}
	case TypeDispatch:
		return &Dispatch{}
	case TypeAnswerPart:
		return &AnswerPart{}
	case TypeLookup:
		return &Lookup{}
	case TypeLookupReply:
		return &LookupReply{}
	case TypeForget:
		return &Forget{}
	default:
		return nil
	}
}

func newStateMessage(t Type) Message {
	switch t {
	case TypePermit:
		return &Permit{}
	case TypeConfigUpdate:
		return &ConfigUpdate{}
	case TypeStoreStatus:
		return &StoreStatus{}
	case TypeConfigAck:
		return &ConfigAck{}
	case TypeOperatorCall:
		return &OperatorCall{}
	case TypeOperatorReply:
		return &OperatorReply{}
	case TypeOwnershipNotice:
		return &OwnershipNotice{}
	case TypeRosterNotice:
		return &RosterNotice{}
	default:
		return nil
	}
}

func newJobMessage(t Type) Message {
	switch t {
	case TypeReserve:
		return &Reserve{}
	case TypeReserveReply:
		return &ReserveReply{}
	case TypeLaunch:
		return &Launch{}
	case TypeRelease:
		return &Release{}
	case TypeStopTask:
		return &StopTask{}
	case TypeTaskReport:
		return &TaskReport{}
	case TypeThrottle:
		return &Throttle{}
	case TypeWorkerReport:
		return &WorkerReport{}
	case TypeLeaseRequest:
		return &LeaseRequest{}
	case TypeLeaseGrant:
		return &LeaseGrant{}
	default:
		return nil
	}
}
