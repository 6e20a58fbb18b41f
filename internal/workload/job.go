// Package workload holds the jobs that run on a deployment of the platform:
// their steps and tasks, what each task needs, and how far a job got. It has
// no behaviour beyond the arithmetic of states.
package workload

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
)

// Bounds of a job that is accepted.
const (
	// MaxSteps bounds the steps of a job.
	MaxSteps = 64
	// MaxTasks bounds the tasks of all steps of one occurrence. The progress of
	// this many tasks fits into one row of the store.
	MaxTasks = 800
	// MaxOccurrences bounds the repetitions of a job.
	MaxOccurrences = 10_000
	// MaxSpecBytes bounds the text that tasks are started with.
	MaxSpecBytes = 4000
)

// Resources is an amount of a worker's capacity.
type Resources struct {
	// MilliCores is processor time in thousandths of a core.
	MilliCores   int `codec:"c"`
	MemoryMB     int `codec:"m"`
	Accelerators int `codec:"a"`
}

// Add returns the sum of two amounts.
func (d Resources) Add(o Resources) Resources {
	return Resources{d.MilliCores + o.MilliCores, d.MemoryMB + o.MemoryMB, d.Accelerators + o.Accelerators}
}

// Sub returns d less o. A dimension may become negative.
func (d Resources) Sub(o Resources) Resources {
	return Resources{d.MilliCores - o.MilliCores, d.MemoryMB - o.MemoryMB, d.Accelerators - o.Accelerators}
}

// Fits reports whether d is at most free in every dimension.
func (d Resources) Fits(free Resources) bool {
	return d.MilliCores <= free.MilliCores && d.MemoryMB <= free.MemoryMB && d.Accelerators <= free.Accelerators
}

// acceleratorCores is how many cores the platform's prices count for an accelerator.
const acceleratorCores = 8

// Cores returns the amount in cores, an accelerator counted as 8.
func (d Resources) Cores() float64 {
	return float64(d.MilliCores)/1000 + acceleratorCores*float64(d.Accelerators)
}

// Step is a number of equal tasks of a job.
type Step struct {
	Tasks   int       `codec:"n"`
	PerTask Resources `codec:"d"`
	// Estimate is the submitter's guess of a task's run time.
	Estimate time.Duration `codec:"e"`
	// After lists earlier steps whose tasks must all be done first.
	After []int `codec:"f,omitempty"`
	// Checkpoints is set when tasks save their work from time to time.
	Checkpoints bool `codec:"k,omitempty"`
	// Gang is set when tasks work only while all of one run are present.
	Gang bool `codec:"g,omitempty"`
	// SameRack asks for the workers of a gang to lie in one rack.
	SameRack bool `codec:"s,omitempty"`
	// LongRunning tasks run until their job is cancelled.
	LongRunning bool `codec:"l,omitempty"`
	// Label is one that the worker must have; empty for none.
	Label string `codec:"b,omitempty"`
	// PreferredRack is the rack that holds the data; empty for none.
	PreferredRack string `codec:"r,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 means no bound.
	MaxPerWorker int `codec:"w,omitempty"`
}

// Job is what a client account wants run, as it was accepted.
type Job struct {
	ID      model.JobID           `codec:"i"`
	Account model.ClientAccountID `codec:"a"`
	// Queue names the route that the job was submitted to.
	Queue string `codec:"q"`
	// Service names the workers that may run its tasks.
	Service string `codec:"v"`
	// Priority is the queue's; 0 is served first.
	Priority int `codec:"p"`
	// MaxAttempts is how often a task or gang may fail before the job does.
	MaxAttempts int `codec:"m"`
	// SlackFactor and TargetDuration give the job's objective: SlackFactor times
	// its longest chain of work, and TargetDuration more.
	SlackFactor    float64       `codec:"k"`
	TargetDuration time.Duration `codec:"o"`
	Spec           string        `codec:"x"`
	Steps          []Step        `codec:"s"`
	// Occurrences is how often the steps run, at least 1. Occurrence K is due
	// at FirstRunUnixMS + K * IntervalMS; a job without a schedule has zeros.
	Occurrences    int   `codec:"n"`
	FirstRunUnixMS int64 `codec:"f,omitempty"`
	IntervalMS     int64 `codec:"l,omitempty"`
	// AcceptedMS is when the job was accepted, on the store's clock.
	AcceptedMS int64 `codec:"t"`
}

// Scheduled reports whether the job's occurrences have due times.
func (j *Job) Scheduled() bool { return j.FirstRunUnixMS != 0 }

// DueUnixMS returns when an occurrence is due.
func (j *Job) DueUnixMS(occurrence int) int64 {
	return j.FirstRunUnixMS + int64(occurrence)*j.IntervalMS
}

// CriticalPath returns the longest chain of estimated run times over the steps.
func (j *Job) CriticalPath() time.Duration {
	longest := make([]time.Duration, len(j.Steps))
	var most time.Duration
	for i, step := range j.Steps {
		for _, before := range step.After {
			longest[i] = max(longest[i], longest[before])
		}
		longest[i] += step.Estimate
		most = max(most, longest[i])
	}
	return most
}

// SameSubmission reports whether two jobs are the same submission, sent twice.
func (j *Job) SameSubmission(o *Job) bool {
	if j.ID != o.ID || j.Account != o.Account || j.Spec != o.Spec || len(j.Steps) != len(o.Steps) || j.Occurrences != o.Occurrences {
		return false
	}
	for i := range j.Steps {
		if fmt.Sprint(j.Steps[i]) != fmt.Sprint(o.Steps[i]) {
			return false
		}
	}
	return j.FirstRunUnixMS == o.FirstRunUnixMS && j.IntervalMS == o.IntervalMS
}

// ErrInvalidJob means that a job can't run as it was described.
var ErrInvalidJob = errors.New("invalid job")

// Check returns ErrInvalidJob with what is wrong with the job.
func (j *Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errors.Wrapf(ErrInvalidJob, "%d steps (allowed: 1 to %d)", len(j.Steps), MaxSteps)
	}
	if len(j.Spec) > MaxSpecBytes {
		return errors.Wrapf(ErrInvalidJob, "spec of %d bytes (allowed: %d)", len(j.Spec), MaxSpecBytes)
	}
	if j.Occurrences < 1 || j.Occurrences > MaxOccurrences || j.IntervalMS < 0 {
		return errors.Wrapf(ErrInvalidJob, "%d occurrences every %d ms", j.Occurrences, j.IntervalMS)
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Tasks
	}
	if tasks > MaxTasks {
		return errors.Wrapf(ErrInvalidJob, "%d tasks (allowed: %d)", tasks, MaxTasks)
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return errors.Wrapf(ErrInvalidJob, "step %d has %d tasks (allowed: 1 to %d)", index, s.Tasks, MaxTasks)
	}
	if s.PerTask.MilliCores < 0 || s.PerTask.MemoryMB < 0 || s.PerTask.Accelerators < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 {
		return errors.Wrapf(ErrInvalidJob, "step %d has a negative amount", index)
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return errors.Wrapf(ErrInvalidJob, "step %d comes after step %d", index, before)
		}
	}
	return nil
}

// TaskRef names one task of one occurrence of a job.
type TaskRef struct {
	Job                     model.JobID
	Occurrence, Step, Index int
}

// String returns "JOB.OCCURRENCE.STEP.INDEX".
func (t TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTaskRef parses what TaskRef.String returns.
func ParseTaskRef(text string) (TaskRef, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskRef{}, errors.Newf("task name %q has not four parts", text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskRef{}, errors.Newf("task name %q: %q is not a number", text, part)
		}
		numbers[i] = n
	}
	return TaskRef{model.JobID(parts[0]), numbers[0], numbers[1], numbers[2]}, nil
}
