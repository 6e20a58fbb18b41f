package wire

import "dragonflyyard/internal/model"

// TaskState is a task's state as its agent reports it.
type TaskState uint8

// States of a task.
const (
	TaskReserved TaskState = iota + 1
	TaskStarting
	TaskRunning
	TaskStopping
	TaskFinished
	TaskFailed
	TaskStopped
	// TaskSuspended is a task whose lease lapsed: it holds its capacity at zero speed.
	TaskSuspended
)

// StopReason says why a task is stopped.
type StopReason string

// Reasons to stop a task.
const (
	StopGangMemberLost StopReason = "gang_member_lost"
	StopReclaimed      StopReason = "capacity_reclaimed"
	StopZoneOut        StopReason = "zone_out"
	StopCancelled      StopReason = "cancelled"
	StopLeaseLapsed    StopReason = "lease_lapsed"
)

// Reserve asks an agent to hold capacity for one task of a gang.
type Reserve struct {
	Epoch model.Epoch
	Job   model.JobID
	// Attempt numbers the placements of a job; a newer one replaces an older one.
	Attempt uint64
	Task    model.TaskID
	Needs   model.Resources
	// HoldMS is how long the reservation lasts without a Launch.
	HoldMS int64
}

// ReserveReply answers Reserve.
type ReserveReply struct {
	Epoch   model.Epoch
	Job     model.JobID
	Attempt uint64
	Task    model.TaskID
	OK      bool
	Reason  string
	// SentMS is the agent's own clock when it sent the reply, in milliseconds.
	SentMS int64
}

// Launch starts a reserved task, after the gang's decision row is written.
type Launch struct {
	Epoch   model.Epoch
	Job     model.JobID
	Attempt uint64
	Task    model.TaskID
	// LeaseMS is how long the task may run without a renewal by another Launch.
	LeaseMS int64
	// RunMS is the run time handed to the worker.
	RunMS int64
	// Renew marks a lease renewal of a task that was launched before. Leases
	// are renewed by LeaseGrant; a Launch with Renew set starts nothing.
	Renew bool
	// AnsweredMS is SentMS of the ReserveReply that the launch follows. The
	// agent refuses a launch more than StartWithinMS after it, by its own
	// clock, so that a launch that waited in a paused agent starts nothing.
	AnsweredMS    int64
	StartWithinMS int64
}

// Release gives a reservation back.
type Release struct {
	Epoch   model.Epoch
	Job     model.JobID
	Attempt uint64
	Task    model.TaskID
}

// StopTask ends a task, with a checkpoint first where GraceMS allows one.
type StopTask struct {
	Epoch   model.Epoch
	Job     model.JobID
	Attempt uint64
	Task    model.TaskID
	GraceMS int64
	Reason  StopReason
}

// Throttle limits a running task to Percent of its speed.
type Throttle struct {
	Epoch   model.Epoch
	Task    model.TaskID
	Percent int
}

// TaskReport tells the owner of a task's change of state.
type TaskReport struct {
	Job     model.JobID
	Attempt uint64
	Task    model.TaskID
	State   TaskState
	// Checkpointed is set when the task's work so far is kept.
	Checkpointed bool
	// DoneMS is the work done so far, in milliseconds at full speed.
	DoneMS int64
	Detail string
}

// WorkerReport lists all tasks that an agent holds. It is sent on a new
// connection to the owner and whenever the owner asks.
type WorkerReport struct {
	Worker model.Worker
	Tasks  []TaskReport
	// HighestEpoch is the highest scheduler epoch that the agent has seen.
	HighestEpoch model.Epoch
	// AcceptInMS is how long, from the report on, the agent refuses reservations
	// since it has just started; zero when it takes them.
	AcceptInMS int64
}

// LeaseRequest asks the owner to renew the leases of all tasks of a worker.
type LeaseRequest struct {
	Worker model.WorkerID
	// SentMS is the agent's own clock when it sent the request, in milliseconds.
	SentMS int64
}

// LeaseGrant renews task leases. Each lease counts from SentMS of the answered
// request, by the agent's clock, so that a grant that was held up on its way is
// worth no more than its age leaves.
type LeaseGrant struct {
	Epoch  model.Epoch
	SentMS int64
	Tasks  []TaskLease
}

// TaskLease renews one task for LeaseMS. The owner gives all members of a gang
// leases that end a fixed time after it last heard of the member that it has
// not heard of for longest.
type TaskLease struct {
	Task    model.TaskID
	Attempt uint64
	LeaseMS int64
}

// WireType implements Message.
func (*LeaseRequest) WireType() Type { return TypeLeaseRequest }

// WireType implements Message.
func (*LeaseGrant) WireType() Type { return TypeLeaseGrant }

// WireType implements Message.
func (*Reserve) WireType() Type { return TypeReserve }

// WireType implements Message.
func (*ReserveReply) WireType() Type { return TypeReserveReply }

// WireType implements Message.
func (*Launch) WireType() Type { return TypeLaunch }

// WireType implements Message.
func (*Release) WireType() Type { return TypeRelease }

// WireType implements Message.
func (*StopTask) WireType() Type { return TypeStopTask }

// WireType implements Message.
func (*Throttle) WireType() Type { return TypeThrottle }

// WireType implements Message.
func (*TaskReport) WireType() Type { return TypeTaskReport }

// WireType implements Message.
func (*WorkerReport) WireType() Type { return TypeWorkerReport }
