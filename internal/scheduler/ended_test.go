package scheduler

import (
	"slices"
	"testing"
	"time"

	"dragonflyyard/internal/model"
)

// coreWithEndedJob returns a core in which one job was cancelled, and that
// job's EndedJob.
func coreWithEndedJob(t *testing.T) (*Core, EndedJob) {
	t.Helper()
	now := time.Unix(1000, 0)
	c := New(DefaultSettings())
	c.Step(now, BecomeOwner{Epoch: 3})
	c.Step(now, Submit{Job: testJob("j", 2, 4)})
	c.Step(now, Cancel{IDs: []model.JobID{"j"}})
	end, ok := c.Ended("j")
	if !ok || end.Phase != PhaseCancelled {
		t.Fatalf("got %+v, %v", end, ok)
	}
	return c, end
}

func TestSuccessorKnowsHowJobsEnded(t *testing.T) {
	first, end := coreWithEndedJob(t)
	now := time.Unix(2000, 0)
	cases := []struct {
		name string
		in   BecomeOwner
	}{
		{"from rows", BecomeOwner{Epoch: 4, Ended: []EndedJob{end}}},
		{"from the snapshot", BecomeOwner{Epoch: 4, Snapshot: first.Snapshot()}},
		{"from both", BecomeOwner{Epoch: 4, Ended: []EndedJob{end}, Snapshot: first.Snapshot()}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			successor := New(DefaultSettings())
			successor.Step(now, tc.in)
			got, ok := successor.Ended("j")
			if !ok || got.Phase != PhaseCancelled || len(got.History) == 0 {
				t.Errorf("got %+v, %v", got, ok)
			}
			if len(successor.ended) != 1 {
				t.Errorf("%d ended jobs, want 1", len(successor.ended))
			}
		})
	}
}

func TestSuccessorForgetsTheOldestEndedJobs(t *testing.T) {
	first, end := coreWithEndedJob(t)
	settings := DefaultSettings()
	settings.MaxEndedJobs = 1
	successor := New(settings)
	later := end
	later.Job = testJob("k", 1, 1)
	later.At = end.At.Add(time.Second)
	successor.Step(time.Unix(2000, 0), BecomeOwner{Epoch: 4, Ended: []EndedJob{later}, Snapshot: first.Snapshot()})
	if _, ok := successor.Ended("j"); ok {
		t.Error("the oldest ended job is still known")
	}
	if _, ok := successor.Ended("k"); !ok {
		t.Error("the latest ended job is not known")
	}
}

// TestLateRowOfAnEndedJobIsDeleted guards against restarting an ended job: a
// decision row whose write was in doubt takes effect after the job's row was
// deleted, and a new owner finds both the row and the job's end.
func TestLateRowOfAnEndedJobIsDeleted(t *testing.T) {
	_, end := coreWithEndedJob(t)
	end.Attempt = 2
	resubmitted := end.Job
	resubmitted.Submitted = end.At.Add(time.Second)
	cases := []struct {
		name    string
		row     JobRow
		deleted bool
	}{
		{"decision of the last attempt", JobRow{Job: end.Job, Attempt: 2, Allocation: []model.WorkerID{"w1", "w2"}}, true},
		{"another job under the same ID", JobRow{Job: resubmitted}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := New(DefaultSettings())
			actions := c.Step(time.Unix(2000, 0), BecomeOwner{Epoch: 4, Rows: []JobRow{tc.row}, Ended: []EndedJob{end}})
			deleted := slices.ContainsFunc(actions, func(a Action) bool {
				d, ok := a.(DeleteRows)
				return ok && slices.Equal(d.Jobs, []model.JobID{"j"})
			})
			if _, ended := c.Ended("j"); ended != tc.deleted || deleted != tc.deleted {
				t.Errorf("ended %v, row deleted %v, want both %v", ended, deleted, tc.deleted)
			}
		})
	}
}
