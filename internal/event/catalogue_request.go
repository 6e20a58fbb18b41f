package event

// Codes of request (1000 to 1999) events.
const (
	RequestReceived   Code = 1000
	RequestDispatched Code = 1001
	RequestFinished   Code = 1002
	RequestQueued     Code = 1003
	RequestClaiming   Code = 1004
	RequestResolving  Code = 1005
	RequestRetried    Code = 1006
	RequestRefused    Code = 1007
	RequestStarted    Code = 1010
	RequestRejected   Code = 1011
	RequestEnded      Code = 1012
	BackendEjected    Code = 1020
	BackendProbed     Code = 1021
	BackendReturned   Code = 1022
)

var requestCatalogue = []Entry{
	{RequestReceived, "request.received", "debug", "An entry host received a request."},
	{RequestDispatched, "request.dispatched", "debug", "A request was sent to a backend server."},
	{RequestFinished, "request.finished", "debug", "A request got its final outcome."},
	{RequestQueued, "request.queued", "debug", "A request waits for a slot of a backend server."},
	{RequestClaiming, "request.claiming", "debug", "An entry host asked the home agent for the request's claim."},
	{RequestResolving, "request.resolving", "warn", "An entry host has to find out what became of a request."},
	{RequestRetried, "request.retried", "warn", "A request is dispatched again to another backend server."},
	{RequestRefused, "request.refused", "warn", "A request was refused because it could not be answered in time."},
	{RequestStarted, "request.started", "debug", "An agent started a request on its backend server."},
	{RequestRejected, "request.rejected", "warn", "An agent rejected a request without running it."},
	{RequestEnded, "request.ended", "debug", "A backend server's part of a request ended."},
	{BackendEjected, "backend_server.ejected", "warn", "An entry host sends no requests to a failing or slow backend server."},
	{BackendProbed, "backend_server.probed", "info", "An entry host tries an ejected backend server with one request."},
	{BackendReturned, "backend_server.returned", "info", "An ejected backend server gets requests again."},
}
