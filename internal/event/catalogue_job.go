package event

// Codes of job (3000 to 3999) events.
const (
	JobSubmitted Code = 3000
	JobPlaced    Code = 3001
	TaskStarted  Code = 3002
	JobFinished  Code = 3003
)

var jobCatalogue = []Entry{
	{JobSubmitted, "job.submitted", "info", "A job was accepted."},
	{JobPlaced, "job.placed", "info", "A gang was placed and its decision row written."},
	{TaskStarted, "task.started", "info", "A task started on a worker."},
	{JobFinished, "job.finished", "info", "A job ended."},
}
