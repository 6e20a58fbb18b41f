package jobentry

import (
	"time"

	"dragonflyyard/internal/workload"
)

// CallKind says what a caller asks for.
type CallKind string

// Kinds of calls.
const (
	CallSubmit CallKind = "submit"
	CallState  CallKind = "state"
	CallCancel CallKind = "cancel"
	CallCount  CallKind = "count"
)

// Call is one call of a caller.
type Call struct {
	Kind CallKind
	// Host and Path select the queue and name the job.
	Host, Path string
	APIKey     string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// DecodeJob decodes the submission under an ID.
	DecodeJob func(id string) (*workload.Job, error)
}

// OutcomeKind says how a call was answered.
type OutcomeKind string

// Kinds of outcomes.
const (
	// OutcomeAccepted means that the job is stored, or the cancellation is.
	OutcomeAccepted OutcomeKind = "accepted"
	OutcomeState    OutcomeKind = "state"
	OutcomeCount    OutcomeKind = "count"
	// OutcomeUnknownJob means that no such job exists.
	OutcomeUnknownJob   OutcomeKind = "unknown_job"
	OutcomeUnknownQueue OutcomeKind = "unknown_queue"
	OutcomeUnauthorized OutcomeKind = "unauthorized"
	OutcomeInvalid      OutcomeKind = "invalid"
	// OutcomeUnsupported means that this deployment never runs such a job.
	OutcomeUnsupported OutcomeKind = "unsupported"
	// OutcomeRejected means that nothing was done and nothing will be.
	OutcomeRejected OutcomeKind = "rejected"
	// OutcomeInDoubt means that it may have been done.
	OutcomeInDoubt OutcomeKind = "in_doubt"
)

// Outcome is the answer to a call.
type Outcome struct {
	Kind   OutcomeKind
	State  workload.State
	Count  int
	Reason string
	// RetryAfter is when to ask again, zero for never or at will.
	RetryAfter time.Duration
}

func rejected(reason string, retryAfter time.Duration) Outcome {
	return Outcome{Kind: OutcomeRejected, Reason: reason, RetryAfter: retryAfter}
}
