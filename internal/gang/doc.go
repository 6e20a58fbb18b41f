// Package gang is the core of an agent's part in the job protocol: it keeps
// reservations, starts tasks under a permit and a lease, and stops them.
//
// The package is deterministic. Member.Step takes the time and one input and
// returns the actions that the caller has to carry out in order. Times are of
// the agent's monotonic clock. Member is not safe for concurrent use.
package gang
