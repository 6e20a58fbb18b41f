package jobentry

import (
	"time"

	"dragonflyyard/internal/workload"
)

// CallKind is the operation that a caller requests.
type CallKind string

// Kinds of calls.
const (
	CallSubmit CallKind = "submit"
	CallState  CallKind = "state"
	CallCancel CallKind = "cancel"
	CallCount  CallKind = "count"
)

// Call is a decoded request of a caller.
type Call struct {
	Kind CallKind
	// Host and Path select the queue. The part of Path after the queue's prefix is
	// the job's ID.
	Host, Path string
	APIKey     string
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// DecodeJob decodes the submitted job and gives it the ID. An error that is
	// workload.ErrInvalidJob marks an invalid job, any other an unsupported one.
	DecodeJob func(id string) (*workload.Job, error)
}

// OutcomeKind is the class of the answer to a call.
type OutcomeKind string

// Kinds of outcomes.
const (
	// OutcomeAccepted means that the job or the cancellation is stored.
	OutcomeAccepted OutcomeKind = "accepted"
	OutcomeState    OutcomeKind = "state"
	OutcomeCount    OutcomeKind = "count"
	// OutcomeUnknownJob means that the caller's account has no such job. After a
	// cancellation, a submission that was sent before can't store it any more.
	OutcomeUnknownJob OutcomeKind = "unknown_job"
	// OutcomeCancelled means that a submitted job was not stored and never runs, since it
	// was cancelled before.
	OutcomeCancelled    OutcomeKind = "cancelled"
	OutcomeUnknownQueue OutcomeKind = "unknown_queue"
	OutcomeUnauthorized OutcomeKind = "unauthorized"
	OutcomeInvalid      OutcomeKind = "invalid"
	// OutcomeUnsupported means that this deployment does not run such a job.
	OutcomeUnsupported OutcomeKind = "unsupported"
	// OutcomeRejected means that the call had no effect and will have none.
	OutcomeRejected OutcomeKind = "rejected"
	// OutcomeInDoubt means that the call may have taken effect.
	OutcomeInDoubt OutcomeKind = "in_doubt"
)

// Outcome is the answer to a call. State is set for OutcomeState and Count for
// OutcomeCount only.
type Outcome struct {
	Kind   OutcomeKind
	State  workload.State
	Count  int
	Reason string
	// RetryAfter is the delay after which the caller may retry. It is zero if a
	// retry is pointless or may follow at once.
	RetryAfter time.Duration
}

func rejected(reason string, retryAfter time.Duration) Outcome {
	return Outcome{Kind: OutcomeRejected, Reason: reason, RetryAfter: retryAfter}
}
