package event

// Codes of request (1000 to 1999) events.
const (
	RequestReceived   Code = 1000
	RequestDispatched Code = 1001
	RequestFinished   Code = 1002
)

var requestCatalogue = []Entry{
	{RequestReceived, "request.received", "info", "An entry host received a request."},
	{RequestDispatched, "request.dispatched", "info", "A request was sent to a backend server."},
	{RequestFinished, "request.finished", "info", "A request got its final outcome."},
}
