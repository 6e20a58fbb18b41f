// Package workload defines the data model of jobs on a deployment of the
// platform: jobs with their steps and tasks, resource requests, progress, and
// the store rows in which they are kept. It does no I/O.
package workload

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
)

// Limits that a job must satisfy to be accepted.
const (
	// MaxSteps is the maximum number of steps per job.
	MaxSteps = 64
	// MaxTasks is the maximum number of tasks per occurrence, over all steps. The
	// progress of this many tasks fits into one store row.
	MaxTasks = 800
	// MaxOccurrences is the maximum number of times that a job repeats its steps.
	MaxOccurrences = 10_000
	// MaxSpecBytes is the maximum length of Job.Spec.
	MaxSpecBytes = 4000
	// MaxCheckpointBytes is the maximum length of a checkpoint that is stored. Longer
	// ones are ignored.
	MaxCheckpointBytes = 4000
	// MaxProgramBytes is the length of Step.Program that is stored.
	MaxProgramBytes = 128
)

// Resources is a vector of compute resources: a request, a capacity or a free amount.
type Resources struct {
	// MilliCores is processor time in thousandths of a core.
	MilliCores   int `codec:"c"`
	MemoryMB     int `codec:"m"`
	Accelerators int `codec:"a"`
}

// Add returns the component-wise sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns the component-wise difference r - o. Components may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether every component of r is at most that of free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCores <= free.MilliCores && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// acceleratorCores is the number of cores that the platform's prices equate to one accelerator.
const acceleratorCores = 8

// Cores returns the resources as a number of cores, counting each accelerator as 8
// cores. Memory is not counted.
func (r Resources) Cores() float64 {
	return float64(r.MilliCores)/1000 + acceleratorCores*float64(r.Accelerators)
}

// Step is a set of identical tasks of a job.
type Step struct {
	Tasks   int       `codec:"n"`
	PerTask Resources `codec:"d"`
	// Estimate is the submitter's estimate of a task's run time.
	Estimate time.Duration `codec:"e"`
	// After lists the indexes of earlier steps that must be done before this one starts.
	After []int `codec:"f,omitempty"`
	// Checkpoints is set when tasks save checkpoints from which a later run may resume.
	Checkpoints bool `codec:"k,omitempty"`
	// Gang is set when the tasks make progress only while all of them are running.
	Gang bool `codec:"g,omitempty"`
	// SameRack requests that all workers of a gang are in one rack.
	SameRack bool `codec:"s,omitempty"`
	// LongRunning is set when the tasks run until the job is cancelled.
	LongRunning bool `codec:"l,omitempty"`
	// Label is a label that the worker must have; empty for no requirement.
	Label string `codec:"b,omitempty"`
	// PreferredRack is the rack that holds the step's input data; empty for no preference.
	PreferredRack string `codec:"r,omitempty"`
	// MaxPerWorker is the maximum number of the step's tasks on one worker; 0 means
	// no limit.
	MaxPerWorker int `codec:"w,omitempty"`
	// Program names what the tasks run; tasks of the same program behave alike. Empty if
	// the submitter does not say.
	Program string `codec:"i,omitempty"`
}

// Job is a job of a client account as it was accepted. What changes later is in
// Progress.
type Job struct {
	ID      model.JobID           `codec:"i"`
	Account model.ClientAccountID `codec:"a"`
	// Queue is the name of the queue that the job was submitted to.
	Queue string `codec:"q"`
	// Service selects the workers that may run the job's tasks.
	Service string `codec:"v"`
	// Priority is the priority of the queue; 0 is the highest.
	Priority int `codec:"p"`
	// MaxAttempts is the number of failures of one task or gang at which the job fails.
	MaxAttempts int `codec:"m"`
	// SlackFactor and TargetDuration define the target completion time: SlackFactor
	// times the critical path, plus TargetDuration.
	SlackFactor    float64       `codec:"k"`
	TargetDuration time.Duration `codec:"o"`
	// Spec is passed to each task at its start.
	Spec  string `codec:"x"`
	Steps []Step `codec:"s"`
	// Occurrences is the number of times that the steps run, at least 1. Occurrence
	// K is due at FirstRunUnixMS + K * IntervalMS; both are 0 for a job without a
	// schedule.
	Occurrences    int   `codec:"n"`
	FirstRunUnixMS int64 `codec:"f,omitempty"`
	IntervalMS     int64 `codec:"l,omitempty"`
	// AcceptedMS is the time of acceptance on the store's clock.
	AcceptedMS int64 `codec:"t"`
}

// Scheduled reports whether the job's occurrences have due times.
func (j *Job) Scheduled() bool { return j.FirstRunUnixMS != 0 }

// LongRunning reports whether a step of the job runs until the job is cancelled, so that
// no occurrence is ever done.
func (j *Job) LongRunning() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.LongRunning })
}

// DueUnixMS returns the due time of an occurrence as Unix time in milliseconds.
func (j *Job) DueUnixMS(occurrence int) int64 {
	return j.FirstRunUnixMS + int64(occurrence)*j.IntervalMS
}

// CriticalPath returns the longest sum of estimated run times along a chain of
// dependent steps.
func (j *Job) CriticalPath() time.Duration {
	finishTimes := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, step := range j.Steps {
		for _, dependency := range step.After {
			finishTimes[i] = max(finishTimes[i], finishTimes[dependency])
		}
		finishTimes[i] += step.Estimate
		longest = max(longest, finishTimes[i])
	}
	return longest
}

// Objective returns the time from acceptance, or from the due time of an occurrence,
// within which the job is worth most to its caller.
func (j *Job) Objective() time.Duration {
	return time.Duration(j.SlackFactor*float64(j.CriticalPath())) + j.TargetDuration
}

// Work returns the estimated work of one occurrence in core seconds.
func (j *Job) Work() float64 {
	work := 0.0
	for i := range j.Steps {
		step := &j.Steps[i]
		work += float64(step.Tasks) * step.PerTask.Cores() * step.Estimate.Seconds()
	}
	return work
}

// SameSubmission reports whether j and o are the same submission, as after a
// client's retry. Fields that the entry host fills in are not compared, except
// the account.
func (j *Job) SameSubmission(o *Job) bool {
	if j.ID != o.ID || j.Account != o.Account || j.Spec != o.Spec || len(j.Steps) != len(o.Steps) || j.Occurrences != o.Occurrences {
		return false
	}
	for i := range j.Steps {
		a, b := j.Steps[i], o.Steps[i]
		if a.Program == "" || b.Program == "" {
			// Earlier versions did not store the program.
			a.Program, b.Program = "", ""
		}
		if fmt.Sprint(a) != fmt.Sprint(b) {
			return false
		}
	}
	return j.FirstRunUnixMS == o.FirstRunUnixMS && j.IntervalMS == o.IntervalMS
}

// ErrInvalidJob is the error of a job that violates a limit or is malformed.
var ErrInvalidJob = errors.New("invalid job")

// Check validates the job. Its errors wrap ErrInvalidJob and name the violated limit.
func (j *Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errors.Wrapf(ErrInvalidJob, "%d steps (allowed: 1 to %d)", len(j.Steps), MaxSteps)
	}
	if len(j.Spec) > MaxSpecBytes {
		return errors.Wrapf(ErrInvalidJob, "spec of %d bytes (allowed: %d)", len(j.Spec), MaxSpecBytes)
	}
	if j.Occurrences < 1 || j.Occurrences > MaxOccurrences || j.IntervalMS < 0 {
		return errors.Wrapf(ErrInvalidJob, "%d occurrences at an interval of %d ms are out of range", j.Occurrences, j.IntervalMS)
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
		return errors.Wrapf(ErrInvalidJob, "step %d has a negative resource request, estimate or limit", index)
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			return errors.Wrapf(ErrInvalidJob, "step %d depends on step %d, which is not an earlier step", index, dependency)
		}
	}
	return nil
}

// TaskRef identifies one task of one occurrence of a job.
type TaskRef struct {
	Job                     model.JobID
	Occurrence, Step, Index int
}

// String returns "JOB.OCCURRENCE.STEP.INDEX".
func (t TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTaskRef is the inverse of TaskRef.String.
func ParseTaskRef(text string) (TaskRef, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskRef{}, errors.Newf("task name %q is not of the form JOB.OCCURRENCE.STEP.INDEX", text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskRef{}, errors.Newf("task name %q: %q is not a non-negative integer", text, part)
		}
		numbers[i] = n
	}
	return TaskRef{model.JobID(parts[0]), numbers[0], numbers[1], numbers[2]}, nil
}
