package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"dragonflyyard/internal/standin"
)

// checker holds what callers and workers saw against what is promised. It is
// safe for concurrent use.
type checker struct {
	mu sync.Mutex
	// running holds, by task, the runs that are at work.
	running map[string]map[string]bool
	// noted holds the tasks of which an end as done was acknowledged.
	noted map[string]bool
	done  map[string]bool
	// rejected are jobs of which every submission was rejected.
	rejected map[string]bool
	began    map[string]bool
	// cancelledAt is when the cancellation of a job was acknowledged, and calmAt when the
	// last fault ended; zero before.
	cancelledAt map[string]time.Time
	calmAt      time.Time
	broken      []string
	starts      int
}

func newChecker() *checker {
	return &checker{running: map[string]map[string]bool{}, noted: map[string]bool{}, done: map[string]bool{}, rejected: map[string]bool{}, began: map[string]bool{}, cancelledAt: map[string]time.Time{}}
}

func (c *checker) breaks(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// event takes in what happened on a worker.
func (c *checker) event(e standin.RunEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	run := fmt.Sprintf("%s run %d on %s", e.Task, e.Run, e.Worker)
	switch e.Kind {
	case standin.RunBegan:
		c.starts++
		c.began[jobOf(e.Task)] = true
		if c.rejected[jobOf(e.Task)] {
			c.breaks("%s: its job was rejected", run)
		}
		if at, cancelled := c.cancelledAt[jobOf(e.Task)]; cancelled && !c.calmAt.IsZero() && time.Since(at) > startsEnd && time.Since(c.calmAt) > startsEnd {
			c.breaks("%s: started %s after the cancellation of its job was acknowledged", run, time.Since(at).Round(time.Millisecond))
		}
		if c.noted[e.Task] {
			c.breaks("%s: started after an end as done was acknowledged", run)
		}
		if c.running[e.Task] == nil {
			c.running[e.Task] = map[string]bool{}
		}
		for other := range c.running[e.Task] {
			c.breaks("%s: started while %s is at work", run, other)
		}
		c.running[e.Task][run] = true
	case standin.RunEnded:
		delete(c.running[e.Task], run)
		if e.How == "done" {
			c.done[e.Task] = true
		}
	case standin.RunNoted:
		if e.How == "done" {
			c.noted[e.Task] = true
		}
	}
}

// startsEnd is how long after an acknowledged cancellation, and after the last fault,
// tasks of the job may be started.
const startsEnd = 3 * time.Second

// cancelled notes that the cancellation of a job was acknowledged.
func (c *checker) cancelled(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelledAt[job] = time.Now()
}

// calm notes that the last fault has ended.
func (c *checker) calm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calmAt = time.Now()
}

// reject notes that all submissions of a job were rejected.
func (c *checker) reject(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejected[job] = true
	if c.began[job] {
		c.breaks("job %s was rejected after a task of it had started", job)
	}
}

// states are the states of a job in the order in which they may be shown.
var states = map[string]int{"queued": 0, "running": 1, "completed": 2, "failed": 2, "cancelled": 2}

// shown takes in that a caller was shown a state after another one.
func (c *checker) shown(j *callerJob, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rank, known := states[state]
	switch {
	case !known:
		c.breaks("job %s is shown as %q", j.id, state)
	case rank < states[j.shown] || (rank == 2 && states[j.shown] == 2 && state != j.shown && j.shown != ""):
		c.breaks("job %s went from %s to %s", j.id, j.shown, state)
	case state == "failed":
		c.breaks("job %s is shown as failed, and no task fails here", j.id)
	case state == "cancelled" && !j.cancelSent:
		c.breaks("job %s is shown as cancelled, and nobody cancelled it", j.id)
	case state == "completed":
		for _, task := range j.tasks() {
			if !c.done[task] {
				c.breaks("job %s is shown as completed, and %s has not ended as done", j.id, task)
			}
		}
	}
	j.shown = state
}

// missing takes in that an accepted job is not known, or not final in time.
func (c *checker) missing(j *callerJob, what string, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaks("job %s, accepted: %s %s after the last fault", j.id, what, after.Round(time.Second))
}

func (c *checker) report() (broken []string, starts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...), c.starts
}
