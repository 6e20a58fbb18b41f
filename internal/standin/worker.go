package standin

import (
	"sort"
	"sync"
	"time"

	"dragonflyyard/internal/model"
)

// StartTask is the body of POST PathTasks: it starts a task under a lease.
type StartTask struct {
	ID model.TaskID `json:"id"`
	// Attempt is kept and reported as it was given.
	Attempt uint64          `json:"attempt"`
	Needs   model.Resources `json:"needs"`
	// RunMS is the task's run time at full speed; DoneMS of it are done already,
	// from a checkpoint.
	RunMS  int64 `json:"run_ms"`
	DoneMS int64 `json:"done_ms"`
	// LeaseMS is how long the task may run without a renewal.
	LeaseMS int64 `json:"lease_ms"`
	// NotAfterUnixMS is the instant after which the task must not start; zero
	// for none. Worker and agent share one host and so one clock.
	NotAfterUnixMS int64 `json:"not_after_unix_ms"`
}

// WorkerTaskState is a task's state on a worker.
type WorkerTaskState string

// States of a task on a worker.
const (
	WorkerTaskRunning  WorkerTaskState = "running"
	WorkerTaskFinished WorkerTaskState = "finished"
	WorkerTaskFailed   WorkerTaskState = "failed"
	WorkerTaskStopped  WorkerTaskState = "stopped"
	WorkerTaskLapsed   WorkerTaskState = "lease_lapsed"
)

// WorkerTask is one task as GET PathTasks reports it. The usage lags behind.
type WorkerTask struct {
	ID      model.TaskID    `json:"id"`
	Attempt uint64          `json:"attempt"`
	State   WorkerTaskState `json:"state"`
	Needs   model.Resources `json:"needs"`
	RunMS   int64           `json:"run_ms"`
	// DoneMS is the work done, CheckpointMS the part of it that a checkpoint keeps.
	DoneMS       int64 `json:"done_ms"`
	CheckpointMS int64 `json:"checkpoint_ms"`
	// Percent is the speed that a throttle allows.
	Percent int `json:"percent"`
}

// HistoryEntry is one start or end of a task.
type HistoryEntry struct {
	ID      model.TaskID `json:"id"`
	Attempt uint64       `json:"attempt"`
	// State is WorkerTaskRunning for a start.
	State    WorkerTaskState `json:"state"`
	AtUnixMS int64           `json:"at_unix_ms"`
}

const fullSpeed = 100

// runningTask is a task with its progress up to an instant.
type runningTask struct {
	WorkerTask
	lease     time.Time
	updated   time.Time
	doneExact time.Duration
	// reported is the progress as of at least the usage lag ago.
	reported   time.Duration
	reportedAt time.Time
}

// Worker runs fake tasks: a task does nothing but let time pass, under a lease.
// All times are worked out when the worker is called, from its clock.
type Worker struct {
	capacity model.Resources
	usageLag time.Duration
	now      func() time.Time
	switches *hostSwitches

	mu      sync.Mutex
	tasks   map[model.TaskID]*runningTask
	history []HistoryEntry
	// frozenAt is when the worker froze, or zero.
	frozenAt time.Time
}

// NewWorker returns an idle worker that reports usage with the given lag.
func NewWorker(capacity model.Resources, usageLag time.Duration, now func() time.Time) *Worker {
	return &Worker{
		capacity: capacity, usageLag: usageLag, now: now, switches: newHostSwitches(),
		tasks: map[model.TaskID]*runningTask{},
	}
}

// SetFaults replaces the fault switches. A worker that goes down loses its
// running tasks; the tasks of a frozen one make no progress, but their leases
// run out.
func (w *Worker) SetFaults(faults HostFaults) {
	w.mu.Lock()
	now := w.now()
	w.advance(now)
	switch {
	case faults.Freeze && w.frozenAt.IsZero():
		w.frozenAt = now
	case !faults.Freeze && !w.frozenAt.IsZero():
		w.thaw(now)
	}
	if faults.Down {
		w.endAll(WorkerTaskFailed, now)
	}
	w.mu.Unlock()
	w.switches.set(faults)
}

// Start starts a task. It returns why it cannot, or "".
func (w *Worker) Start(start StartTask) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.advance(now)
	if start.ID == "" || start.RunMS <= 0 || start.LeaseMS <= 0 || start.DoneMS < 0 {
		return "id, run_ms and lease_ms must be given"
	}
	if start.NotAfterUnixMS != 0 && now.UnixMilli() > start.NotAfterUnixMS {
		return "the start came too late"
	}
	if t := w.tasks[start.ID]; t != nil && t.State == WorkerTaskRunning {
		return "the task is running"
	}
	if !w.used().Add(start.Needs).Fits(w.capacity) {
		return "the worker has too little free capacity"
	}
	done := time.Duration(start.DoneMS) * time.Millisecond
	t := &runningTask{
		WorkerTask: WorkerTask{
			ID: start.ID, Attempt: start.Attempt, State: WorkerTaskRunning, Needs: start.Needs,
			RunMS: start.RunMS, CheckpointMS: start.DoneMS, Percent: fullSpeed,
		},
		lease: now.Add(time.Duration(start.LeaseMS) * time.Millisecond), updated: now, reportedAt: now,
		doneExact: done, reported: done,
	}
	w.tasks[start.ID] = t
	w.note(t, now)
	if w.switches.failsAll() {
		w.end(t, WorkerTaskFailed, now)
	}
	return ""
}

// Renew extends a running task's lease from now. It returns false when the
// task does not run.
func (w *Worker) Renew(id model.TaskID, lease time.Duration) bool {
	return w.change(id, func(t *runningTask, now time.Time) { t.lease = now.Add(lease) })
}

// Checkpoint keeps a running task's work so far.
func (w *Worker) Checkpoint(id model.TaskID) bool {
	return w.change(id, func(t *runningTask, _ time.Time) { t.CheckpointMS = t.doneExact.Milliseconds() })
}

// Throttle limits a running task to a share of its speed.
func (w *Worker) Throttle(id model.TaskID, percent int) bool {
	percent = min(max(percent, 0), fullSpeed)
	return w.change(id, func(t *runningTask, _ time.Time) { t.Percent = percent })
}

// Stop ends a running task.
func (w *Worker) Stop(id model.TaskID) bool {
	return w.change(id, func(t *runningTask, now time.Time) { w.end(t, WorkerTaskStopped, now) })
}

// Tasks returns all tasks, running and ended, ordered by ID.
func (w *Worker) Tasks() []WorkerTask {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.advance(now)
	tasks := []WorkerTask{}
	for _, t := range w.tasks {
		tasks = append(tasks, t.report(now, w.usageLag))
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].ID < tasks[j].ID })
	return tasks
}

// History returns all starts and ends, in the order in which they took effect.
func (w *Worker) History() []HistoryEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.now())
	return append([]HistoryEntry{}, w.history...)
}

func (w *Worker) change(id model.TaskID, apply func(*runningTask, time.Time)) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.advance(now)
	t := w.tasks[id]
	if t == nil || t.State != WorkerTaskRunning {
		return false
	}
	apply(t, now)
	return true
}

func (w *Worker) used() model.Resources {
	var used model.Resources
	for _, t := range w.tasks {
		if t.State == WorkerTaskRunning {
			used = used.Add(t.Needs)
		}
	}
	return used
}

// advance lets running tasks make progress, finish or lose their leases.
func (w *Worker) advance(now time.Time) {
	if !w.frozenAt.IsZero() {
		return
	}
	for _, t := range w.tasks {
		if t.State == WorkerTaskRunning {
			w.advanceTask(t, now)
		}
	}
}

func (w *Worker) advanceTask(t *runningTask, now time.Time) {
	until := now
	if t.lease.Before(until) {
		until = t.lease
	}
	remaining := time.Duration(t.RunMS)*time.Millisecond - t.doneExact
	progress := max(until.Sub(t.updated), 0) * time.Duration(t.Percent) / fullSpeed
	if progress >= remaining {
		t.doneExact += remaining
		w.end(t, WorkerTaskFinished, t.updated.Add(remaining*fullSpeed/time.Duration(t.Percent)))
		return
	}
	t.doneExact += progress
	t.updated = until
	if !now.Before(t.lease) {
		w.end(t, WorkerTaskLapsed, t.lease)
	}
}

func (w *Worker) thaw(now time.Time) {
	w.frozenAt = time.Time{}
	for _, t := range w.tasks {
		t.updated = now
		if t.State == WorkerTaskRunning && !now.Before(t.lease) {
			w.end(t, WorkerTaskLapsed, now)
		}
	}
}

func (w *Worker) endAll(state WorkerTaskState, now time.Time) {
	for _, t := range w.tasks {
		if t.State == WorkerTaskRunning {
			w.end(t, state, now)
		}
	}
}

func (w *Worker) end(t *runningTask, state WorkerTaskState, at time.Time) {
	t.State = state
	w.note(t, at)
}

func (w *Worker) note(t *runningTask, at time.Time) {
	entry := HistoryEntry{ID: t.ID, Attempt: t.Attempt, State: t.State, AtUnixMS: at.UnixMilli()}
	w.history = append(w.history, entry)
}

// report returns the task with a usage that is up to lag old.
func (t *runningTask) report(now time.Time, lag time.Duration) WorkerTask {
	if t.State != WorkerTaskRunning || now.Sub(t.reportedAt) >= lag {
		t.reported = t.doneExact
		t.reportedAt = now
	}
	task := t.WorkerTask
	task.DoneMS = t.reported.Milliseconds()
	return task
}
