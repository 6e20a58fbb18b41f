//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

// lastingTask is a task that lasts, with the time from which it has to be running.
type lastingTask struct {
	name string
	// turn is when its job was accepted.
	turn time.Time
}

// Times of the rule LOST for tasks that last: for 3 s, a task has nothing running, counted
// from 6 s after its last run. The same 6 s are left to a task that never ran.
const (
	afterLastRun = 6 * time.Second
	notRunning   = 3 * time.Second
)

// watchLasting watches tasks for a time, and returns the first that breaks the rule. room
// reports whether there is capacity for the task twice over.
func watchLasting(r *record, tasks []lastingTask, within time.Duration, room func() bool) string {
	missing := map[string]time.Time{}
	broken := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		hasRoom := room()
		for _, task := range tasks {
			running, starts, lastEnd := r.isRunning(task.name)
			since := task.turn
			if lastEnd.After(since) {
				since = lastEnd
			}
			if running || !hasRoom || time.Since(since) < afterLastRun {
				delete(missing, task.name)
				continue
			}
			if missing[task.name].IsZero() {
				missing[task.name] = time.Now()
			}
			if lasted := time.Since(missing[task.name]); lasted >= notRunning {
				broken = fmt.Sprintf("LOST: %s is not running for %.1f s, from 6 s after its turn on; it was started %d times; there is capacity for it twice over", task.name, lasted.Seconds(), starts)
			}
		}
	}
	return broken
}

// freeAccelerators returns the accelerators on which nothing runs, if each run takes the
// number that need returns for its task.
func (s *site) freeAccelerators(need func(task string) int) int {
	free := 0
	for _, e := range s.executors {
		e.mu.Lock()
		left := 8
		for run := range e.runs {
			left -= need(run.task)
		}
		e.mu.Unlock()
		free += max(left, 0)
	}
	return free
}

// playStarved runs a job of 17 tasks that last, one of which fails every 4 s. The rack that
// they prefer has room for 16; the other rack is empty.
func playStarved(r *record, trouble bool) (string, error) {
	const job, count = "00000000000000b1", 17
	failing := job + ".0.0.0"
	r.lasts = func(string) bool { return true }
	s, err := newSite(3, []string{"r0", "r0", "r1", "r1", "r1", "r1"}, func(task string, _ int) (time.Duration, string) {
		if trouble && task == failing {
			return 4 * time.Second, "failed"
		}
		return 0, ""
	}, r)
	if err != nil {
		return "", err
	}
	defer s.close()
	time.Sleep(5 * time.Second)
	if err := s.submit("batch", job, `{"spec":"serves","steps":[{"count":17,"cpu":1000,"memory_request_mb":1000,"gpu":1,"estimate_ms":6000,"long_running":true,"preferred_rack":"r0"}]}`); err != nil {
		return "", err
	}
	var tasks []lastingTask
	for i := range count {
		tasks = append(tasks, lastingTask{fmt.Sprintf("%s.0.0.%d", job, i), time.Now()})
	}
	broken := watchLasting(r, tasks, 60*time.Second, func() bool {
		return s.freeAccelerators(func(string) int { return 1 }) >= 2
	})
	return broken, nil
}

// playQuarantined runs two jobs with one task each that lasts and fails 2 s after each
// start. Three of four executors are full; the fourth has nothing else to run.
func playQuarantined(r *record, trouble bool) (string, error) {
	const filler, first, second = "00000000000000c1", "00000000000000c2", "00000000000000c3"
	need := func(task string) int {
		if strings.HasPrefix(task, filler) {
			return 8
		}
		return 1
	}
	r.lasts = func(string) bool { return true }
	s, err := newSite(3, []string{"r0", "r0", "r1", "r1"}, func(task string, _ int) (time.Duration, string) {
		if trouble && !strings.HasPrefix(task, filler) {
			return 2 * time.Second, "failed"
		}
		return 0, ""
	}, r)
	if err != nil {
		return "", err
	}
	defer s.close()
	time.Sleep(5 * time.Second)
	if err := s.submit("batch", filler, `{"spec":"serves","steps":[{"count":3,"cpu":1000,"memory_request_mb":1000,"gpu":8,"long_running":true}]}`); err != nil {
		return "", err
	}
	if !await(10*time.Second, func() bool { return s.freeAccelerators(need) == 8 }) {
		return "", errNotReady
	}
	var tasks []lastingTask
	for _, job := range []string{first, second} {
		if err := s.submit("batch", job, `{"spec":"serves","steps":[{"count":1,"cpu":1000,"memory_request_mb":1000,"gpu":1,"long_running":true}]}`); err != nil {
			return "", err
		}
		tasks = append(tasks, lastingTask{job + ".0.0.0", time.Now()})
	}
	broken := watchLasting(r, tasks, 70*time.Second, func() bool { return s.freeAccelerators(need) >= 2 })
	return broken, nil
}
