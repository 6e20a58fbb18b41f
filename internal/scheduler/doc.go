// Package scheduler implements the core of a region's scheduler owner: it
// queues jobs, places them, preempts borrowed work, runs the gang protocol with
// the agents and recovers after a change of owner.
//
// The package is deterministic. Core.Step takes the time and one input and
// returns the actions that the caller must carry out in order. Core uses no
// goroutine, socket, store call or clock, and it is not safe for concurrent
// use.
package scheduler
