package event

// Codes of job (3000 to 3999) events.
const (
	JobSubmitted       Code = 3000
	JobPlaced          Code = 3001
	TaskStarted        Code = 3002
	JobFinished        Code = 3003
	JobRequeued        Code = 3004
	JobRefused         Code = 3005
	JobCancelled       Code = 3006
	JobFailed          Code = 3007
	JobParked          Code = 3008
	JobReserving       Code = 3009
	JobPreempted       Code = 3010
	DecisionInDoubt    Code = 3011
	WorkerQuarantined  Code = 3012
	WorkerReturned     Code = 3013
	GuaranteeUncovered Code = 3014
	GuaranteeCovered   Code = 3015
	OwnerRecovering    Code = 3016
	OwnerReady         Code = 3017
	TaskSuspended      Code = 3018
	TaskResumed        Code = 3019
	TaskStopping       Code = 3020
	TaskEnded          Code = 3021
	TaskRefused        Code = 3022
	StaleEpoch         Code = 3023
	ReservationExpired Code = 3024
	JobThrottled       Code = 3025
)

var jobCatalogue = []Entry{
	{JobSubmitted, "job.submitted", "info", "A job was accepted."},
	{JobPlaced, "job.placed", "info", "A gang was placed and its decision row written."},
	{TaskStarted, "task.started", "info", "A task started on a worker."},
	{JobFinished, "job.finished", "info", "A job ended."},
	{JobRequeued, "job.requeued", "info", "A gang ended before its job did; the job waits again."},
	{JobRefused, "job.refused", "warn", "A submitted job was refused."},
	{JobCancelled, "job.cancelled", "info", "A job was cancelled."},
	{JobFailed, "job.failed", "warn", "A job failed for good."},
	{JobParked, "job.parked", "warn", "A job that failed on several workers was set aside."},
	{JobReserving, "job.reserving", "info", "Capacity is being reserved for a gang."},
	{JobPreempted, "job.preempted", "info", "A gang was stopped to free capacity for another job."},
	{DecisionInDoubt, "decision.in_doubt", "warn", "The result of a decision row's write is not known."},
	{WorkerQuarantined, "worker.quarantined", "warn", "A worker on which distinct jobs failed gets no new tasks."},
	{WorkerReturned, "worker.returned", "info", "A quarantined worker gets tasks again."},
	{GuaranteeUncovered, "guarantee.uncovered", "error", "A guaranteed shape has no capacity that could be reclaimed for it."},
	{GuaranteeCovered, "guarantee.covered", "info", "A guaranteed shape has reclaimable capacity again."},
	{OwnerRecovering, "owner.recovering", "info", "A new scheduler owner waits for the agents' reports."},
	{OwnerReady, "owner.ready", "info", "A new scheduler owner has rebuilt its state."},
	{TaskSuspended, "task.suspended", "warn", "A task's lease lapsed; it is suspended."},
	{TaskResumed, "task.resumed", "info", "A suspended task runs again."},
	{TaskStopping, "task.stopping", "info", "A task is being stopped."},
	{TaskEnded, "task.ended", "info", "A task ended on its worker."},
	{TaskRefused, "task.refused", "warn", "An agent refused a reservation or a start."},
	{StaleEpoch, "agent.stale_epoch", "warn", "An agent refused a message of a deposed scheduler owner."},
	{ReservationExpired, "reservation.expired", "info", "A reservation was not used in time."},
	{JobThrottled, "job.throttled", "info", "A gang was slowed down for another job."},
}
