package workload

import (
	"slices"

	"dragonflyyard/internal/model"
)

// State is the state of a job as reported to callers.
type State string

// States of a job. The last three are final.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state is terminal.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// TaskProgress is the stored progress of one task.
type TaskProgress struct {
	Done bool `codec:"d,omitempty"`
	// Failures counts the failed runs.
	Failures int `codec:"f,omitempty"`
	// LastRun is the highest run number known to have been assigned.
	LastRun int `codec:"r,omitempty"`
	// FailedRun is the last run counted in Failures, so that no run counts twice.
	FailedRun int `codec:"l,omitempty"`
	// Checkpoint is the latest checkpoint, from which the next run may resume.
	Checkpoint string `codec:"c,omitempty"`
}

// OccurrenceProgress is the stored progress of one occurrence of a job.
type OccurrenceProgress struct {
	Done bool `codec:"d,omitempty"`
	// Steps holds the tasks of each step; nil once the occurrence is done.
	Steps [][]TaskProgress `codec:"s,omitempty"`
}

// Progress is the mutable state of one job. It is stored in a row of its own.
type Progress struct {
	State State `codec:"s"`
	// Account is the job's client account, which status requests are checked against.
	Account model.ClientAccountID `codec:"a"`
	// EndedMS is the time on the store's clock at which the job reached a final state.
	EndedMS int64 `codec:"e,omitempty"`
	// Occurrences holds the occurrences that have started, by number, except those in
	// DoneRanges.
	Occurrences map[int]*OccurrenceProgress `codec:"o,omitempty"`
	// DoneRanges holds the first and the last number of ranges of occurrences that are
	// done, in ascending order. See FoldDone.
	DoneRanges [][2]int `codec:"d,omitempty"`
	// DoneOccurrences is the number of occurrences that are done.
	DoneOccurrences int `codec:"n,omitempty"`
}

// NewProgress returns the progress of a queued job.
func NewProgress(account model.ClientAccountID) *Progress {
	return &Progress{State: StateQueued, Account: account, Occurrences: map[int]*OccurrenceProgress{}}
}

// EnsureOccurrence returns the progress of an occurrence and creates it if it does not exist.
func (p *Progress) EnsureOccurrence(job *Job, occurrence int) *OccurrenceProgress {
	if p.Occurrences == nil {
		p.Occurrences = map[int]*OccurrenceProgress{}
	}
	if o := p.Occurrences[occurrence]; o != nil {
		return o
	}
	if p.inDoneRange(occurrence) {
		return &OccurrenceProgress{Done: true}
	}
	o := &OccurrenceProgress{Steps: make([][]TaskProgress, len(job.Steps))}
	for i, step := range job.Steps {
		o.Steps[i] = make([]TaskProgress, step.Tasks)
	}
	p.Occurrences[occurrence] = o
	return o
}

// Task returns the progress of a task. It returns nil if the occurrence has not
// started or is done, or if the task does not exist.
func (p *Progress) Task(ref TaskRef) *TaskProgress {
	o := p.Occurrences[ref.Occurrence]
	if o == nil || ref.Step >= len(o.Steps) || ref.Index >= len(o.Steps[ref.Step]) {
		return nil
	}
	return &o.Steps[ref.Step][ref.Index]
}

// Begun reports whether the progress shows that a task has started. A task that was ordered
// may not have.
func (p *Progress) Begun() bool {
	if p.State.Final() || p.DoneOccurrences > 0 {
		return true
	}
	for _, o := range p.Occurrences {
		for _, step := range o.Steps {
			if slices.ContainsFunc(step, func(t TaskProgress) bool { return t.Done || t.Failures > 0 || t.Checkpoint != "" }) {
				return true
			}
		}
	}
	return false
}

// StepDone reports whether every task of a step is done.
func (o *OccurrenceProgress) StepDone(step int) bool {
	if o.Done {
		return true
	}
	for i := range o.Steps[step] {
		if !o.Steps[step][i].Done {
			return false
		}
	}
	return true
}

// StepReady reports whether all steps that a step depends on are done.
func (o *OccurrenceProgress) StepReady(job *Job, step int) bool {
	for _, dependency := range job.Steps[step].After {
		if !o.StepDone(dependency) {
			return false
		}
	}
	return true
}

// CompleteIfDone marks an occurrence as done if all its steps are, and the job as
// completed if all its occurrences are. It reports whether the job became completed.
func (p *Progress) CompleteIfDone(job *Job, occurrence int) bool {
	o := p.Occurrences[occurrence]
	if o == nil || o.Done {
		return false
	}
	for step := range o.Steps {
		if !o.StepDone(step) {
			return false
		}
	}
	o.Done, o.Steps = true, nil
	p.DoneOccurrences++
	if p.DoneOccurrences < job.Occurrences {
		return false
	}
	p.State = StateCompleted
	return true
}
