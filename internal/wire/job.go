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
	// TaskSuspended is a task whose lease expired: it keeps its capacity but runs
	// at zero speed.
	TaskSuspended
)

// StopReason is the reason why a task is stopped.
type StopReason string

// Reasons to stop a task.
const (
	StopGangMemberLost StopReason = "gang_member_lost"
	StopReclaimed      StopReason = "capacity_reclaimed"
	StopZoneOut        StopReason = "zone_out"
	StopCancelled      StopReason = "cancelled"
	StopLeaseLapsed    StopReason = "lease_lapsed"
)

// Reserve asks an agent to reserve capacity for one task of a gang.
type Reserve struct {
	Epoch model.Epoch
	Job   model.JobID
	// Attempt numbers the placements of a job; a higher one replaces a lower one.
	Attempt uint64
	Task    model.TaskID
	Needs   model.Resources
	// HoldMS is how long the reservation lasts without a Launch, in milliseconds.
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
	// SentMS is the time by the agent's clock when it sent the reply, in milliseconds.
	SentMS int64
}

// Launch starts a reserved task. It is sent after the gang's decision row is
// written.
type Launch struct {
	Epoch   model.Epoch
	Job     model.JobID
	Attempt uint64
	Task    model.TaskID
	// LeaseMS is how long the task may run without a renewal, in milliseconds.
	LeaseMS int64
	// RunMS is the run time passed to the worker, in milliseconds.
	RunMS int64
	// Renew marks a lease renewal of a task that is already launched. Leases are
	// renewed by LeaseGrant; a Launch with Renew set starts no task.
	Renew bool
	// AnsweredMS is SentMS of the ReserveReply that precedes the launch. By its
	// own clock, the agent refuses the launch more than StartWithinMS after that
	// time, so that a launch that was delayed by a paused agent process starts
	// no task.
	AnsweredMS    int64
	StartWithinMS int64
}

// Release releases the capacity that is reserved for a task.
type Release struct {
	Epoch   model.Epoch
	Job     model.JobID
	Attempt uint64
	Task    model.TaskID
}

// StopTask stops a task, after a checkpoint if GraceMS leaves time for one.
type StopTask struct {
	Epoch   model.Epoch
	Job     model.JobID
	Attempt uint64
	Task    model.TaskID
	GraceMS int64
	Reason  StopReason
}

// Throttle limits a running task to Percent of its full speed.
type Throttle struct {
	Epoch   model.Epoch
	Task    model.TaskID
	Percent int
}

// TaskReport reports a task's change of state to the scheduler owner.
type TaskReport struct {
	Job     model.JobID
	Attempt uint64
	Task    model.TaskID
	State   TaskState
	// Checkpointed is set when a checkpoint preserves the task's work so far.
	Checkpointed bool
	// DoneMS is the work done so far, in milliseconds at full speed.
	DoneMS int64
	Detail string
}

// WorkerReport lists all tasks that an agent holds. The agent sends it on a new
// connection to the scheduler owner and whenever the owner asks.
type WorkerReport struct {
	Worker model.Worker
	Tasks  []TaskReport
	// HighestEpoch is the highest scheduler epoch that the agent has seen.
	HighestEpoch model.Epoch
	// AcceptInMS is how long after the report the agent still refuses
	// reservations because it has just started, in milliseconds; zero when it
	// accepts them.
	AcceptInMS int64
}

// LeaseRequest asks the scheduler owner to renew the leases of all tasks of a
// worker.
type LeaseRequest struct {
	Worker model.WorkerID
	// SentMS is the time by the agent's clock when it sent the request, in
	// milliseconds.
	SentMS int64
}

// LeaseGrant renews task leases. Each lease starts at SentMS of the answered
// LeaseRequest, by the agent's clock, so that a delayed grant does not extend
// the lease by its delay.
type LeaseGrant struct {
	Epoch  model.Epoch
	SentMS int64
	Tasks  []TaskLease
}

// TaskLease renews the lease of one task for LeaseMS milliseconds. The leases of
// all members of a gang end a fixed time after the scheduler owner last heard
// from the member that has been silent for longest.
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
