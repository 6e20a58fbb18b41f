//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what clients, executors and the platform have seen. It is written to
// record.txt in the case's folder.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// running counts the runs of each task that are on executors now, starts those that
	// ever began, and lastEnd is when the last one ended.
	running, starts map[string]int
	lastEnd         map[string]time.Time
	lasts           func(task string) bool
	// twice is the first task that began while another run of it was on an executor.
	twice string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now(), running: map[string]int{}, starts: map[string]int{}, lastEnd: map[string]time.Time{}}, nil
}

// say writes a line with the seconds since the start.
func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) began(executor string, run runID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[run.task]++
	r.starts[run.task]++
	r.line("%s starts %s run %d", executor, run.task, run.run)
	if r.running[run.task] > 1 {
		r.line("two runs of %s are on executors that are up", run.task)
		if r.twice == "" {
			r.twice = run.task
		}
	}
}

func (r *record) ended(executor string, run runID, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[run.task]--
	r.lastEnd[run.task] = time.Now()
	r.line("%s ends %s run %d: %s", executor, run.task, run.run, how)
}

// isRunning reports whether a task runs, how often it was started, and when it last ended.
func (r *record) isRunning(task string) (running bool, starts int, lastEnd time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running[task] > 0, r.starts[task], r.lastEnd[task]
}

func (r *record) lasting(task string) bool { return r.lasts != nil && r.lasts(task) }
