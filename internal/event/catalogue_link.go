package event

// Codes of connection (5000 to 5999) events.
const (
	LinkOpened Code = 5000
	LinkLost   Code = 5001
)

var linkCatalogue = []Entry{
	{LinkOpened, "link.opened", "info", "A connection between two processes is open."},
	{LinkLost, "link.lost", "warn", "A connection was closed or declared silent."},
}
