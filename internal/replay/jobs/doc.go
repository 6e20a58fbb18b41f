// Package jobs replays fixed, seeded lists of jobs against scheduler.Core and
// gang.Member with fake workers and a passed-in clock, and measures the policy.
// It has no sockets, processes or wall clock: messages are events that are
// delivered after a delay, and faults are hooks of the driver.
package jobs
