package event

// Codes of configuration, ownership and store (4000 to 4999) events.
const (
	ConfigAccepted Code = 4000
	ConfigApplied  Code = 4001
	OwnerElected   Code = 4002
	ZoneChanged    Code = 4003
)

var stateCatalogue = []Entry{
	{ConfigAccepted, "config.accepted", "info", "A configuration change was written."},
	{ConfigApplied, "config.applied", "info", "A process acts on a new configuration version."},
	{OwnerElected, "owner.elected", "info", "An entry host became the owner of the region scheduler."},
	{ZoneChanged, "zone.changed", "info", "An availability zone was taken out or brought back."},
}
