// Package operatorapi defines the operators' HTTP interface of an entry host:
// paths, JSON bodies and codes. Entry hosts and dragonflyctl share it.
// docs/API.md describes it for users.
package operatorapi

import (
	"time"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
)

// Paths of the operators' interface.
const (
	PathChanges         = "/v1/changes"
	PathConfig          = "/v1/config"
	PathConfigHistory   = "/v1/config/history"
	PathJobs            = "/v1/jobs"
	PathJobsCancel      = "/v1/jobs/cancel"
	PathGuaranteesCheck = "/v1/guarantees/check"
	PathTimeline        = "/v1/timeline"
	PathProcesses       = "/v1/processes"
	PathStop            = "/v1/stop"
	// ExplainSuffix follows PathJobs, a slash and the job's ID.
	ExplainSuffix = "/explain"
)

// Limits of bodies and lists.
const (
	// MaxBodyBytes is the largest body of an operator's call.
	MaxBodyBytes = 1 << 20
	// MaxCancelIDs is the largest number of jobs in one cancellation.
	MaxCancelIDs = 10_000
	// MaxHistory is the largest number of changes in one answer.
	MaxHistory = 500
	// MaxIDBytes is the longest ID of a change, job or account.
	MaxIDBytes = 128
)

// ErrorBody is the body of every refusal.
type ErrorBody struct {
	// Code is machine-readable and stable.
	Code string `json:"code"`
	// Sentence explains the code to a person.
	Sentence string `json:"sentence"`
	// RetryAfterMS says when to come back, in milliseconds; 0 where it does not help.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// ChangeStatus says what became of a configuration change.
type ChangeStatus string

// Statuses of a configuration change, with their HTTP status.
const (
	// ChangeAccepted (200) means that the change is written and stays in effect.
	ChangeAccepted ChangeStatus = "accepted"
	// ChangeConflict (409) means that another change of the object won.
	ChangeConflict ChangeStatus = "conflict"
	// ChangeNotAccepted (503) means that nothing changed; the operator may come back.
	ChangeNotAccepted ChangeStatus = "not_accepted"
	// ChangeInDoubt (504) means that the write may have taken effect. The same
	// change may be sent again, or its ID asked for.
	ChangeInDoubt ChangeStatus = "in_doubt"
	// ChangeUnknown (404) means that no change of this ID was accepted.
	ChangeUnknown ChangeStatus = "unknown"
)

// ChangeReply answers POST /v1/changes and GET /v1/changes/ID. A malformed or
// impossible change is answered with 400 or 422 and an ErrorBody.
type ChangeReply struct {
	Change model.ChangeID `json:"change"`
	Status ChangeStatus   `json:"status"`
	// Version is the configuration version that the change made, when accepted.
	Version model.ConfigVersion `json:"version,omitempty"`
	// Winner is the change that last wrote the object, for ChangeConflict. It is
	// absent where the object does not exist.
	Winner       *model.ConfigChange `json:"winner,omitempty"`
	Code         string              `json:"code,omitempty"`
	Sentence     string              `json:"sentence,omitempty"`
	RetryAfterMS int64               `json:"retry_after_ms,omitempty"`
}

// History answers GET /v1/config/history?before=VERSION&limit=N, newest first.
type History struct {
	Changes []model.ConfigChange `json:"changes"`
	// Oldest is the oldest version that is still kept.
	Oldest model.ConfigVersion `json:"oldest"`
}

// JobRequest is the body of POST /v1/jobs. The same ID sent again with the
// same body has no further effect and is answered like the first time.
type JobRequest struct {
	ID       model.JobID           `json:"id" yaml:"id"`
	Account  model.ClientAccountID `json:"account" yaml:"account"`
	JobClass string                `json:"job_class,omitempty" yaml:"job_class"`
	Shape    model.Shape           `json:"shape" yaml:"shape"`
	// DeclaredRunTimeMS is the submitter's own estimate, in milliseconds.
	DeclaredRunTimeMS int64 `json:"declared_run_time_ms" yaml:"declared_run_time_ms"`
	// Deadline is when the job should be done; the zero time means none.
	Deadline time.Time `json:"deadline,omitzero" yaml:"deadline"`
	// Capacity is "guaranteed" or "borrowed".
	Capacity      model.CapacityClass `json:"capacity" yaml:"capacity"`
	Urgent        bool                `json:"urgent,omitempty" yaml:"urgent"`
	CanCheckpoint bool                `json:"can_checkpoint,omitempty" yaml:"can_checkpoint"`
}

// Job returns the job that a valid request describes.
func (r JobRequest) Job(submitted time.Time) model.Job {
	return model.Job{
		ID: r.ID, Account: r.Account, JobClass: r.JobClass, Shape: r.Shape,
		DeclaredRunTime: time.Duration(r.DeclaredRunTimeMS) * time.Millisecond,
		Deadline:        r.Deadline, Submitted: submitted, Capacity: r.Capacity,
		Urgent: r.Urgent, CanCheckpoint: r.CanCheckpoint,
	}
}

// JobStatus is one job in an answer.
type JobStatus struct {
	ID      model.JobID           `json:"id"`
	Account model.ClientAccountID `json:"account"`
	// State is the job's state in the gang chart, such as "running".
	State string `json:"state"`
	// Waiting says why the job waits, where it does.
	Waiting string `json:"waiting,omitempty"`
	// Ended says how the job ended, where it did.
	Ended     string    `json:"ended,omitempty"`
	Tasks     int       `json:"tasks"`
	Attempt   uint64    `json:"attempt"`
	Submitted time.Time `json:"submitted"`
}

// JobReply answers POST /v1/jobs.
type JobReply struct {
	Job JobStatus `json:"job"`
}

// JobList answers GET /v1/jobs?account=ID&state=STATE&after=JOB&limit=N.
type JobList struct {
	Jobs []JobStatus `json:"jobs"`
	// Next is the value of "after" for the next page; empty on the last one.
	Next model.JobID `json:"next,omitempty"`
}

// Explanation answers GET /v1/jobs/ID/explain.
type Explanation struct {
	Job JobStatus `json:"job"`
	// Lines say what was decided and why, oldest first.
	Lines []string `json:"lines"`
}

// CancelRequest is the body of POST /v1/jobs/cancel.
type CancelRequest struct {
	IDs []model.JobID `json:"ids"`
}

// Results of a cancellation for one job.
const (
	CancelOrdered      = "cancelled"
	CancelAlreadyEnded = "already_ended"
	CancelUnknownJob   = "unknown_job"
)

// CancelReply answers POST /v1/jobs/cancel.
type CancelReply struct {
	Results map[model.JobID]string `json:"results"`
}

// GuaranteeState is one guaranteed shape in a GuaranteeCheck.
type GuaranteeState struct {
	Name    string                `json:"name"`
	Account model.ClientAccountID `json:"account"`
	// Count is how many of the shape are guaranteed, Covered how many have room.
	Count   int `json:"count"`
	Covered int `json:"covered"`
	// Reason says why some have no room.
	Reason string `json:"reason,omitempty"`
}

// ZoneLoss says which guarantees would lose their room with a zone.
type ZoneLoss struct {
	Zone      model.AvailabilityZoneName `json:"zone"`
	Uncovered []GuaranteeState           `json:"uncovered"`
}

// GuaranteeCheck answers GET /v1/guarantees/check.
type GuaranteeCheck struct {
	Guarantees []GuaranteeState `json:"guarantees"`
	ZoneLosses []ZoneLoss       `json:"zone_losses"`
}

// Timeline answers GET /v1/timeline?request=ID&job=ID&zone=NAME on every process.
type Timeline struct {
	Process string `json:"process"`
	// Clock is the process's clock when it answered.
	Clock  event.Timestamp `json:"clock"`
	Events []event.Event   `json:"events"`
}

// Roles of a process in a ProcessList.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// ProcessInfo is one process that an entry host knows.
type ProcessInfo struct {
	Name string `json:"name"`
	// Role is RoleEntry or RoleAgent.
	Role string                     `json:"role"`
	Zone model.AvailabilityZoneName `json:"zone"`
	// HTTPAddress (IP:port) is where the process serves its time line.
	HTTPAddress string `json:"http_address"`
}

// ProcessList answers GET /v1/processes: the answering entry host itself, the
// other entry hosts and the agents that it is connected to.
type ProcessList struct {
	Processes []ProcessInfo `json:"processes"`
}
