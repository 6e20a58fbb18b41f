package dispatch

import (
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// wideRuns occupies each host with one run of 8 accelerators of an account that
// is guaranteed nothing.
func wideRuns(r *rig, hosts []string) {
	for _, host := range hosts {
		r.worker(host, "r1", nil)
		r.job(strings.Repeat("0", 15)+host[1:], func(j *workload.Job) {
			j.Steps[0].PerTask.Accelerators, j.Steps[0].Estimate = 8, 30*time.Second
		})
	}
	r.plan()
	r.pass(20 * time.Second)
	for _, host := range hosts {
		r.worker(host, "r1", nil)
	}
}

// urgentWide submits a job of whole workers for the account that is guaranteed 16.
func urgentWide(r *rig, id string, tasks int) {
	r.job(id, func(j *workload.Job) {
		j.Account, j.Priority = "gold", 0
		j.Steps[0].Tasks, j.Steps[0].PerTask.Accelerators = tasks, 8
	})
}

// successor returns a rig whose core took over the rows of r.
func (r *rig) successor() *rig {
	r.t.Helper()
	next := newRig(r.t)
	next.now, next.version = r.now, r.version
	for _, w := range r.core.sortedWorkers() {
		next.worker(w.Host, string(w.Rack), nil)
	}
	for _, j := range r.core.sortedJobs() {
		next.core.JobSeen(j.Job, j.progress)
	}
	for id, o := range r.orders {
		next.orders[id] = o
		next.core.OrderSeen(next.now, o, r.version)
	}
	return next
}

// TestGuaranteeCountsOnce: two urgent jobs of one account each fit into its
// guarantee, and together exceed it. Room that the first one claims counts before
// its tasks begin, so the second one has its own share of others' work only.
func TestGuaranteeCountsOnce(t *testing.T) {
	r := newRig(t)
	hosts := []string{"h1", "h2", "h3", "h4"}
	for i, host := range hosts {
		r.worker(host, "r1", nil)
		r.job(jobID(i+1), func(j *workload.Job) {
			j.Steps[0].PerTask.Accelerators, j.Steps[0].Estimate = 8, 30*time.Second
		})
	}
	r.plan()
	r.pass(20 * time.Second)
	for _, host := range hosts {
		r.worker(host, "r1", nil)
	}
	for _, id := range []string{"00000000000000f1", "00000000000000f2"} {
		r.job(id, func(j *workload.Job) {
			j.Account, j.Priority = "gold", 0
			j.Steps[0].Tasks, j.Steps[0].PerTask.Accelerators = 2, 8
		})
	}
	r.plan()
	if n := len(r.stopping()); n != 2 {
		t.Errorf("%d runs of 8 accelerators are stopped for 16 that are guaranteed", n)
	}
}

// TestGuaranteeCountsOnceOverPlans: stops that take several plans, and room
// that is found for a part of a job, change nothing in what an account may claim.
func TestGuaranteeCountsOnceOverPlans(t *testing.T) {
	r := newRig(t)
	wideRuns(r, []string{"h1", "h2", "h3", "h4"})
	urgentWide(r, "00000000000000f1", 2)
	r.plan()
	r.pass(100 * time.Millisecond)
	urgentWide(r, "00000000000000f2", 2)
	for range 3 {
		r.plan()
		r.pass(100 * time.Millisecond)
	}
	if n := len(r.stopping()); n != 2 {
		t.Fatalf("%d runs are stopped over several plans, 2 are guaranteed", n)
	}
	// The first victim ends: one task starts and one still waits for its room.
	r.end(r.stopping()[0], workload.EndStopped, "")
	r.plan()
	if n := len(r.stopping()); n != 1 {
		t.Errorf("%d runs are being stopped after one of two has ended", n)
	}
}

// report announces what runs on each host, with the same progress.
func (r *rig) report(percent map[string]int) {
	for host, done := range percent {
		r.worker(host, "r1", func(a *workload.Announcement) {
			for _, o := range r.orders {
				if o.Host == host {
					a.Running = append(a.Running, workload.RunningTask{Task: o.Task, Run: o.Run, Percent: done})
				}
			}
		})
	}
}

// TestNewOwnerCountsOrderedStops: a new owner counts the stops that a
// former one ordered as room that comes free, and orders none beside them.
func TestNewOwnerCountsOrderedStops(t *testing.T) {
	r := newRig(t)
	wideRuns(r, []string{"h1", "h2"})
	wideRuns(r, []string{"h3", "h4"})
	r.worker("h1", "r1", nil)
	r.worker("h2", "r1", nil)
	urgentWide(r, "00000000000000f1", 2)
	r.plan()
	for _, o := range r.stopping() {
		if o.Host != "h3" && o.Host != "h4" {
			t.Fatalf("the run on %s is stopped, the youngest ones are on h3 and h4", o.Host)
		}
	}
	next := r.successor()
	next.plan()
	if n := len(next.stopping()); n != 2 {
		t.Errorf("%d runs are being stopped after a change of owner, 2 are needed", n)
	}
	for _, o := range next.stopping() {
		next.end(o, workload.EndStopped, "")
	}
	if started := next.plan(); len(started) != 2 {
		t.Errorf("%d tasks start in the room that was freed", len(started))
	}
}

// TestNewOwnerUsesReportedProgress: a new owner takes the work that a run has done
// from its progress, so that it stops the youngest ones as a former one would.
func TestNewOwnerUsesReportedProgress(t *testing.T) {
	r := newRig(t)
	wideRuns(r, []string{"h1", "h2", "h3", "h4"})
	next := r.successor()
	next.report(map[string]int{"h1": 90, "h2": 70, "h3": 10, "h4": 20})
	urgentWide(next, "00000000000000f1", 2)
	next.plan()
	stopping := next.stopping()
	if len(stopping) != 2 {
		t.Fatalf("%d runs are stopped, 2 are needed", len(stopping))
	}
	for _, o := range stopping {
		if o.Host != "h3" && o.Host != "h4" {
			t.Errorf("the run on %s is stopped, which has more to lose than those on h3 and h4", o.Host)
		}
	}
}

// TestNewOwnerPrefersAnnouncedWorkers: after a loss of power rows tell of lives of
// workers that have ended. What is ordered of them is lost, so a new owner takes a
// worker first that announced itself since.
func TestNewOwnerPrefersAnnouncedWorkers(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	r.worker("h2", "r1", nil)
	r.pass(2 * time.Second)
	next := newRig(t)
	next.now, next.version = r.now, r.version
	for _, w := range r.core.sortedWorkers() {
		next.version++
		next.core.WorkerSeen(w.Announcement, next.version)
	}
	next.plan()
	next.pass(300 * time.Millisecond)
	next.worker("h2", "r1", func(a *workload.Announcement) { a.Incarnation = 2 })
	next.job(jobID(1), nil)
	if placed := next.plan(); len(placed) != 1 || placed[0].Host != "h2" {
		t.Errorf("ordered %+v", placed)
	}
	next.job(jobID(2), func(j *workload.Job) { j.Steps[0].PerTask.Accelerators = 8 })
	if placed := next.plan(); len(placed) != 1 || placed[0].Host != "h1" {
		t.Errorf("a worker that is not seen yet is not used: %+v", placed)
	}
}
