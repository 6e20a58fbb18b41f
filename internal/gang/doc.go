// Package gang implements the agent's side of the job protocol: it accepts
// reservations, starts tasks under a permit and a lease, and stops them.
//
// The package is deterministic. Member.Step takes the time and one input and
// returns the actions that the caller must execute, in order. Times come from
// the agent's monotonic clock. Member is not safe for concurrent use.
package gang
