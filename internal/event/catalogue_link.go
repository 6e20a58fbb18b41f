package event

// Codes of connection (5000 to 5999) events.
const (
	LinkOpened Code = 5000
	LinkLost   Code = 5001
	// LinkRefused is recorded at most once a minute.
	LinkRefused Code = 5002
)

var linkCatalogue = []Entry{
	{LinkOpened, "link.opened", "info", "A connection between two processes is open."},
	{LinkLost, "link.lost", "warn", "A connection was closed or declared silent."},
	{LinkRefused, "link.refused", "warn", "A connection was refused in its greeting: the other end is no process of this system, or of another version. Recorded at most once a minute."},
}
