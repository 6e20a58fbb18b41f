package event

// Codes of agent (2000 to 2999) events.
const (
	BackendServerAnnounced Code = 2000
	BackendServerLeaving   Code = 2001
)

var agentCatalogue = []Entry{
	{BackendServerAnnounced, "backend_server.announced", "info", "A backend server announced itself."},
	{BackendServerLeaving, "backend_server.leaving", "info", "A backend server takes no new work."},
}
