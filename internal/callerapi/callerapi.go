// Package callerapi defines the callers' HTTP interface of an entry host:
// paths, headers and bodies. Entry hosts and dragonflyctl share it.
// docs/API.md describes it for users.
package callerapi

import "dragonflyyard/internal/model"

// Headers of a caller's request and of its answer.
const (
	// HeaderRequestID is a UUID of version 7, in lower case.
	HeaderRequestID = "X-Request-Id"
	// HeaderAccount names the client account.
	HeaderAccount = "X-Client-Account"
	// HeaderIdempotent is "true" or "false"; "false" where it is left out.
	HeaderIdempotent = "X-Idempotent"
	// HeaderDeadlineMS is the longest wait for the answer, in milliseconds.
	HeaderDeadlineMS = "X-Deadline-Ms"
	// HeaderSlots is how many slots of a backend server the request occupies.
	HeaderSlots = "X-Slots"
	// HeaderOutcome names the outcome in every answer to a request.
	HeaderOutcome = "X-Outcome"
)

// PathRequests takes requests; a slash and a request ID follow for a look-up.
const PathRequests = "/v1/requests"

// Codes of refused input. docs/API.md lists them with their statuses.
const (
	CodeBadRequestID     = "bad_request_id"
	CodeBadClientAccount = "bad_client_account"
	CodeBadIdempotent    = "bad_idempotent"
	CodeBadDeadline      = "bad_deadline"
	CodeBadSlots         = "bad_slots"
	CodeNoSuchRequest    = "no_such_request"
)

// OutcomeInProgress is the outcome of a look-up of a request without an answer yet.
const OutcomeInProgress = "in_progress"

// OutcomeBody is the JSON body of every answer that is not the backend
// server's own.
type OutcomeBody struct {
	Request model.RequestID `json:"request"`
	// Outcome is "failed", "not_run", "unknown", "refused" or, for a look-up,
	// OutcomeInProgress.
	Outcome string       `json:"outcome"`
	Reason  model.Reason `json:"reason"`
	// RetryAfterMS says how long to wait before asking again, in milliseconds.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Sentence     string `json:"sentence"`
	// BackendStatus is the backend server's HTTP status, for "failed".
	BackendStatus int `json:"backend_status,omitempty"`
	// BackendBody is the backend server's answer, for "failed", in base 64.
	BackendBody []byte `json:"backend_body,omitempty"`
}
