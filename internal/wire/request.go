package wire

import "dragonflyyard/internal/model"

// RequestState is the state of a request according to its home agent or its
// executing agent.
type RequestState uint8

// States of a request at a home agent or an executing agent.
const (
	// StateAbsent means that the agent never received the request. After a
	// Lookup with Seal set, it also means that the agent will never run it.
	StateAbsent RequestState = iota + 1
	// StateClaimed means that a claim assigns the request to an executing agent.
	StateClaimed
	// StateRunning means that the backend server has the request.
	StateRunning
	// StateFinished means that the answer is stored and follows as AnswerParts.
	StateFinished
	// StateExpired means that the request finished and its answer is no longer stored.
	StateExpired
	// StateSealed means that the request was sealed: it never ran and never will.
	StateSealed
	// StateOutsideHorizon means that the agent cannot know the state, because
	// the request may be older than its records.
	StateOutsideHorizon
	// StateRejected means that the agent refused the request without running it.
	StateRejected
	// StateBodyMismatch means that the request ID was used before with another body.
	StateBodyMismatch
	// StateAnswerLost means that the backend server started the request and its
	// answer was lost between the backend server and its agent.
	StateAnswerLost
)

// ClaimRef identifies one claim of a request. A token is unique only among the
// claims of its claimant.
type ClaimRef struct {
	Claimant model.EntryID
	Token    uint64
}

// Claim asks a request's home agent to record that Executor will run the request.
type Claim struct {
	Request  model.RequestID
	BodyHash uint64
	Executor model.BackendServerID
	// Assignment is the version of the home assignment that the sender used.
	Assignment uint64
	// SealOnly records, instead of a claim, that the request must never run.
	SealOnly bool
	// Token numbers the claims of the sending entry host across its restarts. A
	// claim that is sent again keeps its token.
	Token uint64
	// Move is the claim in force as the sender knows it, if any. The home moves
	// or seals an existing claim only if it is still this one.
	Move ClaimRef
	// Unconfirmed is set, for idempotent requests only, when the executor of the
	// moved claim may have run the request. The home then never reports the
	// request as not run.
	Unconfirmed bool
	// ReadOnly queries the state of the request without changing it.
	ReadOnly bool
	// Account is the client account of the request. The home answers a ReadOnly
	// claim from another account as if it had never received the request.
	Account model.ClientAccountID
}

// ClaimReply answers Claim. Granted is set when the home recorded the claim or
// the seal. It is not set when the request is already known, unless Token or Move
// of the Claim matches the claim in force.
type ClaimReply struct {
	Request  model.RequestID
	Granted  bool
	State    RequestState
	Executor model.BackendServerID
	// Assignment is the assignment version that the home uses.
	Assignment uint64
	// MayHaveRun is set when an earlier executor may have run the request.
	MayHaveRun bool
	// Reason is the reason for StateRejected, which is a temporary refusal.
	Reason model.Reason
	// RetryAfterMS is the delay before a retry after StateRejected, in milliseconds.
	RetryAfterMS int64
	// Token is the token of the answered Claim.
	Token uint64
	// Current is the claim in force.
	Current ClaimRef
}

// Dispatch sends a request to its executing agent. A body larger than
// MaxPartBytes is sent in several parts, in order, on one connection.
type Dispatch struct {
	Request    model.RequestID
	Account    model.ClientAccountID
	Idempotent bool
	BodyHash   uint64
	Slots      int
	// DeadlineUnixMS is the caller's deadline in milliseconds since the Unix epoch.
	DeadlineUnixMS int64
	// Assignment is the home assignment version under which the claim was granted.
	Assignment uint64
	Part       int
	Parts      int
	Body       []byte
	// Unclaimed marks an idempotent request that no home can claim or seal.
	Unclaimed bool
	// Token is the token of the granted claim, or of the claim that the Dispatch makes.
	Token uint64
	// MakeClaim is set when the executor is also the request's home: the Dispatch
	// makes the claim, and an agent that is not the home rejects it.
	MakeClaim bool
}

// AnswerPart is one numbered part of an answer.
type AnswerPart struct {
	Request model.RequestID
	Part    int
	Parts   int
	// Total is the length of the whole answer in bytes.
	Total  int
	Status int
	// Failed is set when the backend server reported a failure.
	Failed bool
	Body   []byte
}

// Lookup asks an executing agent for the state of a request. With Seal set, an
// agent that never received the request will never run it.
type Lookup struct {
	Request model.RequestID
	Seal    bool
}

// LookupReply answers a Lookup or rejects a Dispatch. When State is
// StateFinished, the AnswerParts follow on the same connection.
type LookupReply struct {
	Request model.RequestID
	State   RequestState
	Reason  model.Reason
	// RetryAfterMS is the delay before a retry after StateRejected, in milliseconds.
	RetryAfterMS int64
}

// Forget allows an executing agent to delete the body of a stored answer.
type Forget struct {
	Request model.RequestID
}

// WireType implements Message.
func (*Claim) WireType() Type { return TypeClaim }

// WireType implements Message.
func (*ClaimReply) WireType() Type { return TypeClaimReply }

// WireType implements Message.
func (*Dispatch) WireType() Type { return TypeDispatch }

// WireType implements Message.
func (*AnswerPart) WireType() Type { return TypeAnswerPart }

// WireType implements Message.
func (*Lookup) WireType() Type { return TypeLookup }

// WireType implements Message.
func (*LookupReply) WireType() Type { return TypeLookupReply }

// WireType implements Message.
func (*Forget) WireType() Type { return TypeForget }
