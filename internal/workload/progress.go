package workload

import "dragonflyyard/internal/model"

// State is how far a job got, as its caller is told.
type State string

// States of a job. The last three are final.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether a job in this state never changes again.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// TaskProgress is what is kept of one task.
type TaskProgress struct {
	Done bool `codec:"d,omitempty"`
	// Failures counts the runs that ended by a failure.
	Failures int `codec:"f,omitempty"`
	// LastRun is the highest run number that is known to be used.
	LastRun int `codec:"r,omitempty"`
	// FailedRun is the run that was counted last in Failures.
	FailedRun int `codec:"l,omitempty"`
	// Checkpoint is the work saved last, from which a run may resume.
	Checkpoint string `codec:"c,omitempty"`
}

// OccurrenceProgress is what is kept of one occurrence of a job.
type OccurrenceProgress struct {
	Done bool `codec:"d,omitempty"`
	// Steps holds the tasks of each step; nil once the occurrence is done.
	Steps [][]TaskProgress `codec:"s,omitempty"`
}

// Progress is what is kept of one job besides the job itself.
type Progress struct {
	State State `codec:"s"`
	// Account is the job's client account, for calls that ask for the state.
	Account model.ClientAccountID `codec:"a"`
	// EndedMS is when the job reached a final state, on the store's clock.
	EndedMS int64 `codec:"e,omitempty"`
	// Occurrences holds those that began, by number.
	Occurrences map[int]*OccurrenceProgress `codec:"o,omitempty"`
	// DoneOccurrences counts occurrences that are done.
	DoneOccurrences int `codec:"n,omitempty"`
}

// NewProgress returns the progress of a job that has not begun.
func NewProgress(account model.ClientAccountID) *Progress {
	return &Progress{State: StateQueued, Account: account, Occurrences: map[int]*OccurrenceProgress{}}
}

// EnsureOccurrence returns the progress of an occurrence, which it makes when there is none.
func (p *Progress) EnsureOccurrence(job *Job, occurrence int) *OccurrenceProgress {
	if p.Occurrences == nil {
		p.Occurrences = map[int]*OccurrenceProgress{}
	}
	if o := p.Occurrences[occurrence]; o != nil {
		return o
	}
	o := &OccurrenceProgress{Steps: make([][]TaskProgress, len(job.Steps))}
	for i, step := range job.Steps {
		o.Steps[i] = make([]TaskProgress, step.Tasks)
	}
	p.Occurrences[occurrence] = o
	return o
}

// Task returns the progress of a task of an occurrence that began, or nil.
func (p *Progress) Task(ref TaskRef) *TaskProgress {
	o := p.Occurrences[ref.Occurrence]
	if o == nil || ref.Step >= len(o.Steps) || ref.Index >= len(o.Steps[ref.Step]) {
		return nil
	}
	return &o.Steps[ref.Step][ref.Index]
}

// StepDone reports whether all tasks of a step are done.
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

// StepReady reports whether the steps before a step are done.
func (o *OccurrenceProgress) StepReady(job *Job, step int) bool {
	for _, before := range job.Steps[step].After {
		if !o.StepDone(before) {
			return false
		}
	}
	return true
}

// CompleteIfDone marks an occurrence as done when all its steps are, and the job as
// completed when all occurrences are. It reports whether the job completed.
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
