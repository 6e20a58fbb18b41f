package event

// Codes of process (6000 to 6999) events.
const (
	ProcessStarted  Code = 6000
	ProcessStopping Code = 6001
	ProcessStopped  Code = 6002
)

var processCatalogue = []Entry{
	{ProcessStarted, "process.started", "info", "A process started."},
	{ProcessStopping, "process.stopping", "info", "A process began its graceful stop."},
	{ProcessStopped, "process.stopped", "info", "A process finished its graceful stop."},
}
