package event

// Codes of configuration, ownership and store (4000 to 4999) events.
const (
	ConfigAccepted    Code = 4000
	ConfigApplied     Code = 4001
	OwnerElected      Code = 4002
	ZoneChanged       Code = 4003
	PermitRefused     Code = 4100
	ConfigResolved    Code = 4101
	AssignmentApplied Code = 4102
	OwnerLost         Code = 4103
	StateOverloaded   Code = 4104
	OperatorAlarm     Code = 4105
	RowWriteFailed    Code = 4106
	PermitAccepted    Code = 4107
	PermitLapsed      Code = 4108
	PermitZoneOut     Code = 4109
	WorkerCallFailed  Code = 4110
	SnapshotFailed    Code = 4111
)

var stateCatalogue = []Entry{
	{ConfigAccepted, "config.accepted", "info", "A configuration change was written."},
	{ConfigApplied, "config.applied", "info", "A process acts on a new configuration version."},
	{OwnerElected, "owner.elected", "info", "An entry host became the owner of the region scheduler."},
	{ZoneChanged, "zone.changed", "info", "An availability zone was taken out or brought back."},
	{PermitRefused, "permit.refused", "warn", "An entry host stopped issuing start permits; the detail says why."},
	{ConfigResolved, "config.resolved", "info", "A configuration change in doubt got its final result."},
	{AssignmentApplied, "assignment.applied", "info", "A process acts on a new assignment of request homes."},
	{OwnerLost, "owner.lost", "warn", "An entry host stopped being the owner of the region scheduler."},
	{StateOverloaded, "state.overloaded", "error", "The state duty had no room for the result of a refused call."},
	{OperatorAlarm, "operator.alarm", "warn", "The scheduler reports a condition that operators have to know."},
	{RowWriteFailed, "row.write_failed", "warn", "A job row could not be written; the owner writes it again with the next change."},
	{PermitAccepted, "permit.accepted", "info", "An agent holds a start permit again."},
	{PermitLapsed, "permit.lapsed", "warn", "An agent's start permits ended; it starts nothing."},
	{PermitZoneOut, "permit.zone_out", "info", "An agent was told that its availability zone is out."},
	{WorkerCallFailed, "worker.call_failed", "warn", "A call of the worker beside an agent failed."},
	{SnapshotFailed, "snapshot.failed", "warn", "The scheduler's state could not be stored in or read from the object store."},
}
