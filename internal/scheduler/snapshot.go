package scheduler

import (
	"slices"

	"dragonflyyard/internal/model"
)

// Snapshot is the owner's whole state, for the object store.
type Snapshot struct {
	Epoch   model.Epoch
	Jobs    []JobState
	Workers []WorkerSnapshot
}

// WorkerSnapshot is what a snapshot keeps of one worker.
type WorkerSnapshot struct {
	Worker model.Worker
	Up     bool
}

// Snapshot returns a copy of the state. Jobs and workers are sorted by ID.
func (c *Core) Snapshot() *Snapshot {
	s := &Snapshot{Epoch: c.epoch}
	for _, id := range c.sortedJobs() {
		j := *c.jobs[id]
		j.Tasks = slices.Clone(j.Tasks)
		j.History = slices.Clone(j.History)
		s.Jobs = append(s.Jobs, j)
	}
	for _, id := range c.sortedWorkers() {
		w := c.workers[id]
		s.Workers = append(s.Workers, WorkerSnapshot{Worker: w.Worker, Up: w.Up})
	}
	return s
}

func (s *Snapshot) job(id model.JobID) *JobState {
	if s == nil {
		return nil
	}
	at, ok := slices.BinarySearchFunc(s.Jobs, id, func(j JobState, id model.JobID) int {
		if j.Job.ID < id {
			return -1
		}
		if j.Job.ID > id {
			return 1
		}
		return 0
	})
	if !ok {
		return nil
	}
	return &s.Jobs[at]
}

// restoreKnowledge takes over what the rows do not hold.
func (c *Core) restoreKnowledge(s *Snapshot) {
	for _, w := range s.Workers {
		c.workers[w.Worker.ID] = &workerState{Worker: w.Worker, tasks: map[model.TaskID]model.JobID{}}
	}
}

func (c *Core) sortedJobs() []model.JobID {
	ids := make([]model.JobID, 0, len(c.jobs))
	for id := range c.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
