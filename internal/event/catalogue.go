package event

// Entry describes one event code.
type Entry struct {
	Code Code
	// Name is the event's short name in logs, such as "request.answered".
	Name string
	// Level is "debug", "info", "warn" or "error". Events of every single
	// request are "debug": the time line holds them at any log level.
	Level string
	// Meaning is one sentence for operators.
	Meaning string
}

// Catalogue returns all event codes in ascending order of subsystem.
func Catalogue() []Entry {
	var all []Entry
	all = append(all, requestCatalogue...)
	all = append(all, agentCatalogue...)
	all = append(all, jobCatalogue...)
	all = append(all, stateCatalogue...)
	all = append(all, linkCatalogue...)
	return append(all, processCatalogue...)
}
