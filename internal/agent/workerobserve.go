package agent

import (
	"context"
	"slices"
	"time"

	"dragonflyyard/internal/gang"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/wire"
)

// observe asks for the worker's tasks and reports those whose state changed.
// A worker that cannot be asked is reported by nothing: the tasks' leases
// lapse by the worker's own clock.
func (c *workerCaller) observe(ctx context.Context) {
	if len(c.known) == 0 {
		return
	}
	asked := c.now()
	tasks, err := c.client.tasks()
	if err != nil {
		if !c.unseen {
			c.fail(ctx, workerFailure{detail: "list of tasks: " + err.Error()})
		}
		c.unseen = true
		return
	}
	c.unseen = false
	seen := map[model.TaskID]bool{}
	for _, t := range tasks {
		known := c.known[t.ID]
		if known == nil || known.attempt != t.Attempt {
			continue
		}
		seen[t.ID] = true
		c.compare(ctx, known, t)
	}
	for _, id := range c.sortedKnown() {
		if known := c.known[id]; !seen[id] {
			c.missing(ctx, asked, id, known)
		}
	}
	c.repeatUnconfirmed(ctx)
}

// missing ends a task that the worker does not list. A start whose answer was
// lost may still be on its way while its permit lasts.
func (c *workerCaller) missing(ctx context.Context, asked time.Time, id model.TaskID, known *knownTask) {
	if known.state == wire.TaskStarting && asked.UnixMilli() <= known.startableUntil.UnixMilli() {
		return
	}
	delete(c.known, id)
	c.report(ctx, gang.WorkerTaskEvent{Task: id, State: wire.TaskFailed, Detail: "the worker does not know the task"})
}

// compare reports what changed of a task.
func (c *workerCaller) compare(ctx context.Context, known *knownTask, t workerTask) {
	state, ok := taskStates[t.State]
	if !ok {
		c.noteStrange(ctx, known, t)
		return
	}
	if state == wire.TaskRunning && known.mustStop(c.now(), t.CheckpointMS) {
		known.checkpoint = t.CheckpointMS
		c.post(ctx, t.ID, actionStop, nil)
		return
	}
	if state == known.state {
		return
	}
	known.state = state
	event := gang.WorkerTaskEvent{Task: t.ID, State: state, DoneMS: t.DoneMS}
	if state == wire.TaskStopped && t.CheckpointMS > 0 {
		event.Checkpointed, event.DoneMS = true, t.CheckpointMS
	}
	if state != wire.TaskRunning {
		delete(c.known, t.ID)
	}
	c.report(ctx, event)
}

// mustStop reports whether a task that was asked for a checkpoint has made it,
// or had its time for it.
func (t *knownTask) mustStop(now time.Time, checkpoint int64) bool {
	return !t.checkpointBy.IsZero() && (checkpoint > t.checkpoint || now.After(t.checkpointBy))
}

// noteStrange records a state that is not one of the protocol. The task counts
// as it was; its lease bounds it.
func (c *workerCaller) noteStrange(ctx context.Context, known *knownTask, t workerTask) {
	if known.strange == t.State {
		return
	}
	known.strange = t.State
	c.fail(ctx, workerFailure{task: t.ID, detail: "unknown state " + t.State})
}

// repeatUnconfirmed gives the orders again that the worker has not taken.
func (c *workerCaller) repeatUnconfirmed(ctx context.Context) {
	for _, id := range c.sortedKnown() {
		known := c.known[id]
		for _, action := range []string{actionThrottle, actionCheckpoint} {
			if body, ok := known.unconfirmed[action]; ok {
				c.postUntilTaken(ctx, id, action, body)
			}
		}
	}
}

func (c *workerCaller) sortedKnown() []model.TaskID {
	ids := make([]model.TaskID, 0, len(c.known))
	for id := range c.known {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
