package model

import "time"

// OutcomeKind says which of the final outcomes a request had.
type OutcomeKind uint8

// The final outcomes of a request.
const (
	// OutcomeAnswered means that the whole answer of the backend server follows.
	OutcomeAnswered OutcomeKind = iota + 1
	// OutcomeBackendFailed means that the backend server ran the request and
	// reported a failure.
	OutcomeBackendFailed
	// OutcomeNotRun means that no backend server started the request, and none
	// will start it later under this submission.
	OutcomeNotRun
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown
	// OutcomeRefused means that the request is not valid as it was sent: its ID
	// was used with another body, or was minted in the future. It says nothing
	// about other requests with the same ID.
	OutcomeRefused
)

// String returns the outcome's name as it appears in the API.
func (k OutcomeKind) String() string {
	switch k {
	case OutcomeAnswered:
		return "answered"
	case OutcomeBackendFailed:
		return "failed"
	case OutcomeNotRun:
		return "not_run"
	case OutcomeUnknown:
		return "unknown"
	case OutcomeRefused:
		return "refused"
	default:
		return "invalid"
	}
}

// Reason is a machine-readable code that says why an outcome was given.
type Reason string

// Reasons of request outcomes.
const (
	ReasonNone             Reason = ""
	ReasonQueueFull        Reason = "queue_full"
	ReasonAccountLimit     Reason = "account_limit"
	ReasonDeadline         Reason = "deadline_unreachable"
	ReasonNoBackendServer  Reason = "no_backend_server"
	ReasonAgentRejected    Reason = "agent_rejected"
	ReasonBackendLeaving   Reason = "backend_server_leaving"
	ReasonEntryStopping    Reason = "entry_stopping"
	ReasonRetryBudget      Reason = "retry_budget_spent"
	ReasonConnectionLost   Reason = "connection_lost"
	ReasonHomeUnreachable  Reason = "claim_home_unreachable"
	ReasonOutsideHorizon   Reason = "request_id_outside_horizon"
	ReasonSealed           Reason = "request_sealed"
	ReasonPermitExpired    Reason = "permit_expired"
	ReasonBackendError     Reason = "backend_server_error"
	ReasonAnswerExpired    Reason = "answer_expired"
	ReasonInProgress       Reason = "in_progress"
	ReasonAnswerIncomplete Reason = "answer_incomplete"
	ReasonBodyMismatch     Reason = "request_id_body_mismatch"
	ReasonUnknownAccount   Reason = "unknown_client_account"
	ReasonInvalidID        Reason = "invalid_request_id"
	ReasonZoneOut          Reason = "availability_zone_out"
	ReasonExecutorLost     Reason = "executor_lost"
	ReasonTooManyCallers   Reason = "too_many_callers"
)

// Outcome is the one final result of a request.
type Outcome struct {
	Kind   OutcomeKind
	Reason Reason
	// RetryAfter is how long the caller should wait before it asks again. It is
	// zero for OutcomeAnswered.
	RetryAfter time.Duration
	// Status is the backend server's HTTP status for OutcomeAnswered and
	// OutcomeBackendFailed.
	Status int
	// Body is the whole answer for OutcomeAnswered and OutcomeBackendFailed.
	Body []byte
}
