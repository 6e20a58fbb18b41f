// Package jobprotocol contains only tests. They model-check the protocol between
// the scheduler's core, the agents' cores, the store's rows and the workers under
// owner changes, late orders and lost answers.
//
// A world is the state of a small simulated deployment: one job of one task, two
// workers with their agents, the scheduler's owner and its predecessor. A step is
// a whole round of one process, with at most one fault. The exploration searches
// all sequences of steps breadth first, up to a depth and a number of faults.
// Worlds that differ only in versions and times count as equal.
package jobprotocol
