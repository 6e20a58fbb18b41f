package dispatch

import (
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// TestRankWithinOnePriority: among jobs of one priority, the one with the least
// work comes first. A late job is still worth a fraction, so it must come before
// jobs with many times its work and after jobs with similar work.
func TestRankWithinOnePriority(t *testing.T) {
	late := func(j *workload.Job) { j.AcceptedMS -= 6000 }
	tasks := func(n int) func(*workload.Job) { return func(j *workload.Job) { j.Steps[0].Tasks = n } }
	for _, c := range []struct {
		name          string
		first, second []func(*workload.Job)
	}{
		{"less work first", []func(*workload.Job){tasks(2)}, []func(*workload.Job){tasks(3)}},
		{"of similar work, one within its objective first", []func(*workload.Job){tasks(3)}, []func(*workload.Job){tasks(2), late}},
		{"a small late job before a large one", []func(*workload.Job){tasks(1), late}, []func(*workload.Job){tasks(8)}},
		{"of late jobs, less work first", []func(*workload.Job){tasks(2), late}, []func(*workload.Job){tasks(3), late}},
		{"priority before work", []func(*workload.Job){tasks(8)}, []func(*workload.Job){tasks(1), func(j *workload.Job) { j.Priority = 2 }}},
	} {
		r := newRig(t)
		for i, changes := range [][]func(*workload.Job){c.second, c.first} {
			r.job(jobID(i+1), func(j *workload.Job) {
				for _, change := range changes {
					change(j)
				}
			})
		}
		if units := r.core.units(r.now); units[0].job.ID != "0000000000000002" {
			t.Errorf("%s: job %s comes first", c.name, units[0].job.ID)
		}
	}
	// The cases above rely on the job being late but not too late.
	r := newRig(t)
	j := r.job(jobID(1), late)
	if u := r.core.units(r.now)[0]; !u.rank.late || u.rank.tooLate {
		t.Errorf("rank of a job accepted %s ago: %+v, want late and not too late", time.Duration(r.now.StoreMS-j.AcceptedMS)*time.Millisecond, u.rank)
	}
}
