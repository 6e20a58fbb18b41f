package workload

import (
	"fmt"
	"testing"
	"time"

	"dragonflyyard/internal/rowcodec"
)

func repeated(occurrences int, tasksOfSteps ...int) *Job {
	job := &Job{ID: "00000000000000aa", Occurrences: occurrences, FirstRunUnixMS: 1000, IntervalMS: 10}
	for _, tasks := range tasksOfSteps {
		job.Steps = append(job.Steps, Step{Tasks: tasks})
	}
	return job
}

// TestLargestProgressFitsIntoRow fills the progress of jobs of several shapes with the
// largest figures, while every second occurrence is done, and checks the size of the row.
func TestLargestProgressFitsIntoRow(t *testing.T) {
	wide := make([]int, MaxSteps)
	for i := range wide {
		wide[i] = MaxTasks / MaxSteps
	}
	for _, steps := range [][]int{{1}, {1, 1, 1}, {10}, {100}, {MaxTasks / 2, MaxTasks / 2}, {MaxTasks}, wide} {
		t.Run(fmt.Sprint(len(steps), " steps of ", steps[0]), func(t *testing.T) {
			job := repeated(MaxOccurrences, steps...)
			p := NewProgress("account")
			for k := 0; p.DoneOccurrences < MaxOccurrences/2; k = (k + 2) % MaxOccurrences {
				before := len(p.Occurrences)
				p.BeginDue(job, job.DueUnixMS(MaxOccurrences))
				o := p.Occurrences[k]
				if o == nil || o.Done {
					break
				}
				if before > 0 && len(p.Occurrences) > job.MaxUnfinishedOccurrences()+maxListedDone+1 {
					t.Fatalf("%d occurrences are listed", len(p.Occurrences))
				}
				for _, tasks := range o.Steps {
					for i := range tasks {
						tasks[i] = TaskProgress{Done: true, LastRun: 1}
					}
				}
				p.CompleteIfDone(job, k)
				p.FoldDone()
			}
			for _, o := range p.Occurrences {
				for _, tasks := range o.Steps {
					for i := range tasks {
						tasks[i] = TaskProgress{Failures: 200, LastRun: 1 << 17, FailedRun: 1 << 17}
					}
				}
			}
			if size := len(rowcodec.Encode(p)); size > MaxRowBytes {
				t.Errorf("the row takes %d bytes (allowed: %d), with %d occurrences and %d ranges", size, MaxRowBytes, len(p.Occurrences), len(p.DoneRanges))
			}
		})
	}
}

// TestFoldedOccurrencesStayDone checks that folded occurrences don't begin again and
// that their ranges are joined.
func TestFoldedOccurrencesStayDone(t *testing.T) {
	job := repeated(MaxOccurrences, 1)
	p := NewProgress("account")
	const last = 3 * maxListedDone
	for p.DoneOccurrences < last {
		p.BeginDue(job, job.DueUnixMS(MaxOccurrences))
		for k, o := range p.Occurrences {
			if k != 7 && k <= last && !o.Done {
				o.Steps[0][0].Done = true
				p.CompleteIfDone(job, k)
			}
		}
		p.FoldDone()
	}
	if len(p.DoneRanges) != 2 || p.DoneRanges[0] != [2]int{0, 6} || p.DoneRanges[1][0] != 8 {
		t.Errorf("ranges %v", p.DoneRanges)
	}
	p.BeginDue(job, job.DueUnixMS(MaxOccurrences))
	for k, o := range p.Occurrences {
		if !o.Done && k != 7 && k <= last {
			t.Errorf("occurrence %d began again", k)
		}
	}
	if o := p.EnsureOccurrence(job, 3); !o.Done || p.Occurrences[3] != nil {
		t.Errorf("occurrence 3 is %+v", o)
	}
}

// TestOccurrencesBeginWhenDue checks that no occurrence begins before it is due, and that
// the dropped ones begin again.
func TestOccurrencesBeginWhenDue(t *testing.T) {
	job := repeated(5, 2)
	p := NewProgress("account")
	p.BeginDue(job, job.DueUnixMS(2))
	if len(p.Occurrences) != 3 {
		t.Errorf("%d occurrences began, want 3", len(p.Occurrences))
	}
	p.Occurrences[1].Steps[0][0].LastRun = 1
	p.DropUnstarted()
	if len(p.Occurrences) != 1 || p.Occurrences[1] == nil {
		t.Errorf("%v remain, want only occurrence 1", p.Occurrences)
	}
	p.BeginDue(job, job.DueUnixMS(2)+time.Millisecond.Milliseconds())
	if len(p.Occurrences) != 3 || p.Occurrences[1].Steps[0][0].LastRun != 1 {
		t.Errorf("%v, want three occurrences", p.Occurrences)
	}
}

// Guards against a client's retry that is refused as another job after an update: earlier
// versions stored jobs without the program.
func TestSameSubmissionAcrossVersions(t *testing.T) {
	job := func(program string, tasks int) *Job {
		return &Job{ID: "a", Account: "b", Occurrences: 1, Steps: []Step{{Tasks: tasks, Program: program}}}
	}
	for _, c := range []struct {
		stored, sent *Job
		same         bool
	}{
		{job("", 1), job("image", 1), true}, {job("image", 1), job("image", 1), true}, {job("image", 1), job("other", 1), false}, {job("", 1), job("image", 2), false},
	} {
		if got := c.stored.SameSubmission(c.sent); got != c.same {
			t.Errorf("%+v and %+v: same %v, want %v", c.stored.Steps, c.sent.Steps, got, c.same)
		}
	}
}
