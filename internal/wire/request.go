package wire

import "dragonflyyard/internal/model"

// RequestState says what a home or an executing agent knows of a request.
type RequestState uint8

// States of a request at a home or an executing agent.
const (
	// StateAbsent means that the agent never saw the request and, when the
	// look-up sealed it, that it will never run it.
	StateAbsent RequestState = iota + 1
	// StateClaimed means that the request was claimed for an executing agent.
	StateClaimed
	// StateRunning means that the backend server has the request.
	StateRunning
	// StateFinished means that the answer is kept and follows as AnswerParts.
	StateFinished
	// StateExpired means that the request finished and its answer is no longer kept.
	StateExpired
	// StateSealed means that the request was sealed: it never ran and never will.
	StateSealed
	// StateOutsideHorizon means that the agent cannot know.
	StateOutsideHorizon
	// StateRejected means that the agent refused the request without running it.
	StateRejected
	// StateBodyMismatch means that the ID was used before with another body.
	StateBodyMismatch
	// StateAnswerLost means that the backend server started the request and its
	// answer was lost between the backend server and its agent.
	StateAnswerLost
)

// ClaimRef names one claim of a request: tokens are unique for each claimant only.
type ClaimRef struct {
	Claimant model.EntryID
	Token    uint64
}

// Claim asks a request's home agent to record that Executor will run it.
type Claim struct {
	Request  model.RequestID
	BodyHash uint64
	Executor model.BackendServerID
	// Assignment is the version of the home assignment that the sender used.
	Assignment uint64
	// SealOnly records the request as never to be run, in place of a claim.
	SealOnly bool
	// Token numbers the claims of the sending entry host over all its lives. A
	// claim that is sent again keeps its token.
	Token uint64
	// Move is the claim that the sender knows of, if any. The home moves or seals
	// an existing claim only if it is still this one.
	Move ClaimRef
	// Unconfirmed is set, for idempotent requests only, when the executor of the
	// moved claim may have run the request. The home then never reports it as not run.
	Unconfirmed bool
	// ReadOnly asks for the state of the request and changes nothing.
	ReadOnly bool
	// Account is the client account of the request. A home answers a ReadOnly
	// claim of another account as if it had never seen the request.
	Account model.ClientAccountID
}

// ClaimReply answers Claim. Granted is false when the request was seen before.
type ClaimReply struct {
	Request  model.RequestID
	Granted  bool
	State    RequestState
	Executor model.BackendServerID
	// Assignment is the home's own assignment version.
	Assignment uint64
	// MayHaveRun is set when an executor before Executor may have run the request.
	MayHaveRun bool
	// Reason says why State is StateRejected, a refusal for now.
	Reason model.Reason
	// RetryAfterMS says, for StateRejected, when to ask again.
	RetryAfterMS int64
	// Token repeats the token of the Claim that is answered.
	Token uint64
	// Current is the claim in force.
	Current ClaimRef
}

// Dispatch hands a request to the executing agent. A body larger than
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
	// MakeClaim is set where the executor is the home itself: the Dispatch makes
	// the claim, and is rejected by an agent that is not the home.
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
	// Failed means that the backend server reported a failure.
	Failed bool
	Body   []byte
}

// Lookup asks an executing agent what became of a request. With Seal set, an
// agent that never saw the request will never run it.
type Lookup struct {
	Request model.RequestID
	Seal    bool
}

// LookupReply answers Lookup and rejects a Dispatch. When State is
// StateFinished the AnswerParts follow on the same connection.
type LookupReply struct {
	Request model.RequestID
	State   RequestState
	Reason  model.Reason
	// RetryAfterMS says, for StateRejected, when to come back.
	RetryAfterMS int64
}

// Forget allows an executing agent to drop the body of a kept answer.
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
