package dispatch

import (
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// TestRankWithinOnePriority: of one priority, the job with the least work comes
// first. One past its objective is still worth a part, so it goes before jobs of
// many times its work, and behind those of like work.
func TestRankWithinOnePriority(t *testing.T) {
	late := func(j *workload.Job) { j.AcceptedMS -= 6000 }
	tasks := func(n int) func(*workload.Job) { return func(j *workload.Job) { j.Steps[0].Tasks = n } }
	for _, c := range []struct {
		name          string
		first, second []func(*workload.Job)
	}{
		{"less work first", []func(*workload.Job){tasks(2)}, []func(*workload.Job){tasks(3)}},
		{"of like work, one in time first", []func(*workload.Job){tasks(3)}, []func(*workload.Job){tasks(2), late}},
		{"a small late one before a large one", []func(*workload.Job){tasks(1), late}, []func(*workload.Job){tasks(8)}},
		{"of late ones, less work first", []func(*workload.Job){tasks(2), late}, []func(*workload.Job){tasks(3), late}},
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
			t.Errorf("%s: %s comes first", c.name, units[0].job.ID)
		}
	}
	// The case rests on the job being late, but of use.
	r := newRig(t)
	j := r.job(jobID(1), late)
	if u := r.core.units(r.now)[0]; !u.rank.late || u.rank.hopeless {
		t.Errorf("a job accepted %s ago: %+v", time.Duration(r.now.StoreMS-j.AcceptedMS)*time.Millisecond, u.rank)
	}
}
