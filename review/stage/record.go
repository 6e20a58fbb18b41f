//go:build review

package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line each.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file}, nil
}

func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that can't be written shows as a missing line only.
	_, _ = fmt.Fprintf(r.file, "%8.3f %-12s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// taskRun is one run of a task on an executor.
type taskRun struct {
	machine string
	runRef
	began, ended time.Time
	how          string
	// noted is set once last_seen has reached the end while no lease had run out since it.
	noted bool
}

// history holds all runs of all executors.
type history struct {
	record *record
	// quiet leaves the single runs out of the record.
	quiet bool
	mu    sync.Mutex
	runs  []*taskRun
	open  map[string]*taskRun
}

func newHistory(r *record) *history { return &history{record: r, open: map[string]*taskRun{}} }

func openKey(machine string, run runRef) string {
	return fmt.Sprint(machine, "/", run.task, "/", run.run)
}

func (h *history) start(machine string, run runRef) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := &taskRun{machine: machine, runRef: run, began: time.Now()}
	h.runs = append(h.runs, t)
	h.open[openKey(machine, run)] = t
	if !h.quiet {
		h.record.add(machine, "run %d of %s begins", run.run, run.task)
	}
}

func (h *history) end(machine string, run runRef, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.open[openKey(machine, run)]; t != nil {
		t.ended, t.how = time.Now(), how
		if !h.quiet {
			h.record.add(machine, "run %d of %s ends %s", run.run, run.task, how)
		}
	}
}

func (h *history) note(machine string, end endRow, lapsed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.runs) - 1; i >= 0; i-- {
		if t := h.runs[i]; t.runRef == end.runRef && t.machine == machine && t.how == end.how {
			t.noted = t.noted || !lapsed
			return
		}
	}
}

// jobRuns counts the runs of a job that began, and its tasks that have ended done.
func (h *history) jobRuns(job string) (began, done int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tasks := map[string]bool{}
	for _, t := range h.runs {
		if jobOf(t.task) != job {
			continue
		}
		began++
		if t.how == "done" {
			tasks[t.task] = true
		}
	}
	return began, len(tasks)
}

// twice returns the breaks of the rule TWICE: two runs of a task at the same time, or a start after an end done of which
// note was taken then or later.
func (h *history) twice() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	byTask := map[string][]*taskRun{}
	for _, t := range h.runs {
		byTask[t.task] = append(byTask[t.task], t)
	}
	var out []string
	for task, runs := range byTask {
		for i, later := range runs {
			for _, earlier := range runs[:i] {
				switch {
				case earlier.ended.IsZero() || later.began.Before(earlier.ended):
					out = append(out, fmt.Sprintf("%s: run %d began on %s at %.3f while run %d was at work on %s", task, later.run, later.machine,
						later.began.Sub(h.record.began).Seconds(), earlier.run, earlier.machine))
				case earlier.how == "done" && earlier.noted:
					out = append(out, fmt.Sprintf("%s: run %d began on %s at %.3f, after run %d had ended done on %s at %.3f, of which note was taken", task, later.run,
						later.machine, later.began.Sub(h.record.began).Seconds(), earlier.run, earlier.machine, earlier.ended.Sub(h.record.began).Seconds()))
				}
			}
		}
	}
	sort.Strings(out)
	return out
}
