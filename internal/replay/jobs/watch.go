package jobs

import (
	"fmt"
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/wire"
)

// Bounds of the product that a Watch holds the fake workers to.
const (
	gangLimit = 3 * time.Second
	zoneLimit = 3 * time.Second
)

// Watch checks the promises against what the fake workers really run.
type Watch struct {
	// Violation is the first promise found broken, with its time; empty so far.
	Violation string
	d         *Driver
	start     time.Time
	partial   map[string]time.Time
	// OutAt tells when each zone that is out was taken out.
	OutAt map[model.AvailabilityZoneName]time.Time
	// finished counts the tasks of each attempt that ended by themselves.
	finished map[string]int
}

// NewWatch sets the hooks of a driver that is not started yet.
func NewWatch(d *Driver) *Watch {
	w := &Watch{
		d: d, start: d.Now, partial: map[string]time.Time{}, OutAt: map[model.AvailabilityZoneName]time.Time{}, finished: map[string]int{},
	}
	d.Hooks.OwnerStepped = w.owner
	d.Hooks.Changed = w.changed
	d.Hooks.Started = w.started
	d.Hooks.Ended = w.ended
	d.repeat(100*time.Millisecond, w.gangs)
	return w
}

// Violate notes a promise that a further check of the caller found broken.
func (w *Watch) Violate(format string, args ...any) { w.errorf(format, args...) }

func (w *Watch) errorf(format string, args ...any) {
	if w.Violation == "" {
		w.Violation = fmt.Sprintf("after %s: %s", w.d.Now.Sub(w.start), fmt.Sprintf(format, args...))
	}
}

func (w *Watch) owner(c *scheduler.Core, in scheduler.Input, actions []scheduler.Action) {
	if len(actions) == 0 {
		return
	}
	if err := c.CheckInvariants(); err != nil {
		w.errorf("after %T: %v", in, err)
	}
}

func (w *Watch) changed(h *Host) {
	var held model.Resources
	for _, task := range h.Tasks {
		held = held.Add(task.Needs)
	}
	if !held.Fits(h.Worker.Capacity) {
		w.errorf("worker %s runs %+v", h.Worker.ID, held)
	}
	w.gangs()
}

func (w *Watch) started(h *Host, id model.TaskID) {
	if at, out := w.OutAt[h.Worker.Zone]; out && w.d.Now.Sub(at) > zoneLimit {
		w.errorf("task %s started in zone %s, %s after it was taken out", id, h.Worker.Zone, w.d.Now.Sub(at))
	}
}

// gangs checks how long parts of a gang have run without the rest.
func (w *Watch) gangs() {
	running := map[string]int{}
	needs := map[string]int{}
	attempts := map[model.JobID][]uint64{}
	for _, h := range w.d.Hosts {
		for _, task := range h.Tasks {
			if !task.Running || task.Percent == 0 {
				continue
			}
			key := attemptKey(task)
			running[key]++
			needs[key] = w.d.Truths[task.Job].Job.Shape.Tasks
			if !slices.Contains(attempts[task.Job], task.Attempt) {
				attempts[task.Job] = append(attempts[task.Job], task.Attempt)
			}
		}
	}
	for job, list := range attempts {
		if len(list) > 1 {
			w.errorf("job %s runs in attempts %v at once", job, list)
		}
	}
	for key, n := range running {
		if n+w.finished[key] >= needs[key] {
			delete(w.partial, key)
			continue
		}
		if w.partial[key].IsZero() {
			w.partial[key] = w.d.Now
		}
		if since := w.d.Now.Sub(w.partial[key]); since > gangLimit {
			w.errorf("%d of %d parts of %s have run for %s without the rest", n, needs[key], key, since)
		}
	}
	for key := range w.partial {
		if running[key] == 0 {
			delete(w.partial, key)
		}
	}
}

// ended counts the tasks that ended by themselves, which leaves their gang whole.
func (w *Watch) ended(task *FakeTask, state wire.TaskState, _ bool) {
	if state == wire.TaskFinished {
		w.finished[attemptKey(task)]++
	}
}

func attemptKey(task *FakeTask) string { return fmt.Sprintf("%s@%d", task.Job, task.Attempt) }
