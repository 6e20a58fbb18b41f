// Package soak runs the real programs of a deployment as processes on one
// machine, against the stand-ins of the store and of the workers, disturbs them
// from outside at random and checks the promises from what callers and workers
// see. A seed gives the same jobs and faults; when they meet differs from run
// to run.
package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// Config describes one soak.
type Config struct {
	Seed uint64
	// Disturbed is for how long faults are injected.
	Disturbed time.Duration
	// Entries and Agents are how many processes run.
	Entries, Agents int
	// Binaries is the folder of the programs, and Dir the one for settings and logs.
	Binaries, Dir string
	// Planned restricts the disturbances to planned work: stops, reloads and changes of a
	// large configuration, with a slow link of the first entry host. No call may be cut off.
	Planned bool
	// LateWrites lets the store carry some writes out seconds later, among them all that
	// submit certain jobs, which their callers cancel.
	LateWrites bool
	// Hostile lets clients that keep to no limit send to all processes meanwhile.
	Hostile bool
	// Tell is given the name of each fault; it may be nil.
	Tell func(fault string)
}

// Report is what came out of a soak.
type Report struct {
	// Broken are the promises that were broken.
	Broken   []string
	Accepted int
	Starts   int
	Faults   int
	// Logs is the folder of the processes' logs.
	Logs string
}

// Times of a soak.
const (
	// settle is how long accepted jobs may take after the last fault; a worker that is
	// out of reach is taken as gone after 13.5 s.
	settle = 60 * time.Second
	// lookEvery is the pause between two looks at all jobs.
	lookEvery = 200 * time.Millisecond
)

// Run runs one soak.
func Run(c Config) (Report, error) {
	check := newChecker()
	s, err := newSite(c, check)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	report := Report{Logs: s.dir}
	call := &callers{site: s, checker: check, random: rand.New(rand.NewPCG(c.Seed, 1)), shareCancelled: shareCancelled}
	disturbed, cancel := context.WithTimeout(context.Background(), c.Disturbed)
	defer cancel()
	done := make(chan struct{})
	submitting := disturbed
	if c.LateWrites {
		s.store.SetLateness(lateWrites(c.Seed))
		call.shareCancelled, call.giveUp = shareCancelledLate, true
		var stop context.CancelFunc
		submitting, stop = context.WithTimeout(context.Background(), c.Disturbed+submitsAfterFaults)
		defer stop()
	}
	go func() { call.submitAll(submitting); close(done) }()
	looking := make(chan struct{})
	go func() { call.lookAround(disturbed); close(looking) }()
	kinds := faults
	if c.Planned {
		kinds = plannedWork
		s.processes[0].toStore.SetRate(slowLink)
		for entry := range s.callers {
			for range keptConnections {
				go call.keepConnection(disturbed, entry)
			}
		}
	}
	if c.Hostile {
		besiege(disturbed, s, c.Seed)
	}
	disturb(disturbed, s, kinds, rand.New(rand.NewPCG(c.Seed, 2)), func(name string) {
		report.Faults++
		if c.Tell != nil {
			c.Tell(name)
		}
	})
	check.calm()
	<-done
	<-looking
	call.awaitAll()
	if c.LateWrites {
		time.Sleep(maxLateness + startsEnd)
	}
	report.Accepted = len(call.accepted())
	report.Broken, report.Starts = check.report()
	return report, nil
}

// lookAround asks for the states of all jobs while faults go on.
func (c *callers) lookAround(ctx context.Context) {
	for entry := 0; ctx.Err() == nil; entry++ {
		for _, j := range c.accepted() {
			if ctx.Err() != nil {
				return
			}
			if states[j.shown] != 2 {
				c.look(j, entry)
			}
		}
		time.Sleep(lookEvery)
	}
}

// awaitAll asks until all accepted jobs are final, for at most settle.
func (c *callers) awaitAll() {
	began := time.Now()
	open := c.accepted()
	for entry := 0; len(open) > 0 && time.Since(began) < settle; entry++ {
		var left []*callerJob
		for _, j := range open {
			if !c.look(j, entry) {
				left = append(left, j)
			}
		}
		open = left
		time.Sleep(lookEvery)
	}
	for _, j := range open {
		c.checker.missing(j, "still "+j.shown, time.Since(began))
	}
}
