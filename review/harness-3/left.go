//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playLeft lets an executor end as planned and start again under its id. It is partitioned
// from its agent from 0.3 s before its deregistration on, for 4 s.
func playLeft(r *record, trouble bool) (string, error) {
	const (
		// drainFor is drain_ms and a little longer.
		drainFor       = 2500 * time.Millisecond
		partitionedFor = 4 * time.Second
		awayFor        = 1500 * time.Millisecond
		watchedFor     = 14 * time.Second
	)
	s, err := newSite(3, []string{"r0", "r1", "r1", "r1", "r2", "r2"}, func(string, int) (time.Duration, string) { return 4 * time.Second, "done" }, r)
	if err != nil {
		return "", err
	}
	defer s.close()
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(400 * time.Millisecond):
			}
			id := fmt.Sprintf("%016x", 0xe000+i)
			status, _ := s.call(i, http.MethodPost, "/batch/"+id, `{"spec":"works","steps":[{"count":1,"cpu":1000,"memory_request_mb":1000,"gpu":1,"estimate_ms":4000,"preferred_rack":"r0"}]}`)
			r.say("client sends job %s: %d", id, status)
		}
	}()
	time.Sleep(4 * time.Second)
	e, control := s.executors[0], s.toAgents[0].address()
	e.drain(control)
	r.say("%s says that it drains, and its agent acknowledges it", e.id)
	time.Sleep(drainFor - 300*time.Millisecond)
	if trouble {
		r.say("%s is partitioned from its agent for %v", e.id, partitionedFor)
		until := time.Now().Add(partitionedFor)
		s.toAgents[0].partition(until)
		s.toExecutors[0].partition(until)
	}
	time.Sleep(300 * time.Millisecond)
	e.leave(control)
	time.Sleep(awayFor)
	e.startAgain()
	time.Sleep(watchedFor)
	close(stop)
	clients.Wait()
	e.mu.Lock()
	idle := time.Since(e.lastStart)
	e.mu.Unlock()
	r.say("%s pings and is acknowledged: %v; its last start was %.1f s ago", e.id, e.ping(control), idle.Seconds())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.twice != "" {
		return fmt.Sprintf("TWICE: %s ran on two executors at the same time, both of them up", r.twice), nil
	}
	return "", nil
}
