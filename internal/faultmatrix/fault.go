// Package faultmatrix generates the table of every fault (rows) at every
// transition of every state chart (columns). The cells are tests, registered in
// this package's test files; README.md says how. The package itself knows the
// faults, the columns, and how to count and print the result.
package faultmatrix

// Fault is one row of the matrix.
type Fault string

// The faults that every transition is held against.
const (
	HostKilled        Fault = "host_killed"
	ProcessFrozen     Fault = "process_frozen"
	ConnectionSilent  Fault = "connection_silent"
	ConnectionCut     Fault = "connection_cut"
	ConnectionSlow    Fault = "connection_slow"
	MessageDuplicated Fault = "message_duplicated"
	MessageReordered  Fault = "message_reordered"
	MessageLost       Fault = "message_lost"
	TableDown         Fault = "table_down"
	TableSlow         Fault = "table_slow"
	TableAnswerLost   Fault = "table_answer_lost"
	ObjectStoreDown   Fault = "object_store_down"
	LeaseLapsed       Fault = "lease_lapsed_while_paused"
	EntryKilled       Fault = "entry_killed"
	AgentKilled       Fault = "agent_killed"
	OwnerKilled       Fault = "owner_killed"
	OwnerDeposed      Fault = "owner_deposed"
	OperatorsRacing   Fault = "operators_racing"
	SecondFault       Fault = "second_fault"
)

// FaultInfo describes a fault for the page.
type FaultInfo struct {
	Fault   Fault
	Meaning string
}

// Faults returns all faults in the order of the page.
func Faults() []FaultInfo {
	return []FaultInfo{
		{HostKilled, "The host of the step's backend server or worker dies with all that runs on it."},
		{ProcessFrozen, "The process that takes the step stops for a while and then goes on."},
		{ConnectionSilent, "The open connection carries nothing any more while new ones work."},
		{ConnectionCut, "The connection is closed in the middle of the step."},
		{ConnectionSlow, "Messages arrive late but inside the heartbeat deadline."},
		{MessageDuplicated, "A message of the step arrives twice."},
		{MessageReordered, "Messages of the step arrive in another order, as over two connections."},
		{MessageLost, "A message of the step never arrives."},
		{TableDown, "The table service takes no call."},
		{TableSlow, "The table service answers late."},
		{TableAnswerLost, "A write takes effect and its answer is lost."},
		{ObjectStoreDown, "The object store takes no call."},
		{LeaseLapsed, "A lease lapses while its holder is paused."},
		{EntryKilled, "The entry host of the step dies."},
		{AgentKilled, "The agent of the step dies."},
		{OwnerKilled, "The owner of the region's scheduler dies."},
		{OwnerDeposed, "Another entry host took the scheduler over and the former owner still acts."},
		{OperatorsRacing, "Two operators change the same object at the same time."},
		{SecondFault, "A second fault comes in the middle of the first."},
	}
}

// Promise numbers what must always hold, as docs/FAULTS.md lists it.
type Promise int

// The promises that cells guard.
const (
	PromiseRequestOutcome Promise = iota + 1
	PromiseRetryBudget
	PromiseGracefulStop
	PromiseZoneOut
	PromiseGang
	PromiseGuarantee
	PromiseConfiguration
	PromiseOwnership
	PromiseStore
)

// PromiseInfo describes a promise for the page.
type PromiseInfo struct {
	Promise Promise
	Meaning string
}

// Promises returns all promises in ascending order.
func Promises() []PromiseInfo {
	return []PromiseInfo{
		{PromiseRequestOutcome, "A request gets exactly one final outcome, at once; not_run is true; non-idempotent at most once; the whole answer or none."},
		{PromiseRetryBudget, "Retries only where it is safe and inside the retry budget."},
		{PromiseGracefulStop, "A leaving backend server gets no new work after 3 s; a planned stop cuts off no request."},
		{PromiseZoneOut, "No task starts in an availability zone 3 s after it was taken out."},
		{PromiseGang, "No part of a gang runs unless all does; the rest stops within 3 s of a lost member."},
		{PromiseGuarantee, "All guaranteed shapes can be placed by evicting borrowed work only."},
		{PromiseConfiguration, "An accepted configuration is in force within 7 s and never reverts."},
		{PromiseOwnership, "Never two owners of a scheduler that are acted upon."},
		{PromiseStore, "A store outage stops neither requests nor running work, and nothing is reported as accepted that is not."},
	}
}
