package dispatch

import (
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

// occupyWorkers starts on each host one run of 8 accelerators, for an account
// without a guarantee.
func occupyWorkers(r *rig, hosts []string) {
	for _, host := range hosts {
		r.worker(host, "r1", nil)
		r.job(strings.Repeat("0", 15)+host[1:], func(j *workload.Job) {
			j.Steps[0].PerTask.Accelerators, j.Steps[0].Estimate = 8, 30*time.Second
		})
	}
	r.plan()
	r.advance(20 * time.Second)
	for _, host := range hosts {
		r.worker(host, "r1", nil)
	}
}

// urgentWide submits an urgent job whose tasks each take a whole worker, for the
// account with a guarantee of 16 accelerators.
func urgentWide(r *rig, id string, tasks int) {
	r.job(id, func(j *workload.Job) {
		j.Account, j.Priority = "gold", 0
		j.Steps[0].Tasks, j.Steps[0].PerTask.Accelerators = tasks, 8
	})
}

// successor returns a rig whose core read the rows that the core of r wrote.
func (r *rig) successor() *rig {
	r.t.Helper()
	next := newRig(r.t)
	next.now, next.version, next.core.settings = r.now, r.version, r.core.settings
	for _, w := range r.core.sortedWorkers() {
		next.worker(w.Host, string(w.Rack), nil)
	}
	for _, j := range r.core.sortedJobs() {
		next.stored(j.Job, j.progress)
	}
	for id, o := range r.orders {
		next.orders[id] = o
		next.core.OrderSeen(next.now, o, r.version)
	}
	return next
}

// TestGuaranteeCountsOnce: two urgent jobs of one account each fit into its
// guarantee but together exceed it. Capacity that the first job preempts must
// count against the guarantee before its tasks start; otherwise both jobs preempt
// at any cost.
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
	r.advance(20 * time.Second)
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
		t.Errorf("%d runs of 8 accelerators are preempted for a guarantee of 16", n)
	}
}

// TestGuaranteeCountsOnceOverPlans: what an account may preempt must stay the
// same while stops take several plans and while only a part of a job is placed.
func TestGuaranteeCountsOnceOverPlans(t *testing.T) {
	r := newRig(t)
	occupyWorkers(r, []string{"h1", "h2", "h3", "h4"})
	urgentWide(r, "00000000000000f1", 2)
	r.plan()
	r.advance(100 * time.Millisecond)
	urgentWide(r, "00000000000000f2", 2)
	for range 3 {
		r.plan()
		r.advance(100 * time.Millisecond)
	}
	if n := len(r.stopping()); n != 2 {
		t.Fatalf("%d runs are preempted over several plans for a guarantee of 2", n)
	}
	// The first victim ends: one task starts, and one still waits for its
	// capacity.
	r.end(r.stopping()[0], workload.EndStopped, "")
	r.plan()
	if n := len(r.stopping()); n != 1 {
		t.Errorf("%d runs are being stopped after one of two has ended, want 1", n)
	}
}

// report announces the runs on each host with the given progress in percent.
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

// TestNewOwnerCountsOrderedStops: a new owner must count runs that the previous
// owner ordered to stop as capacity that will be released, and must not preempt
// other runs as well.
func TestNewOwnerCountsOrderedStops(t *testing.T) {
	r := newRig(t)
	occupyWorkers(r, []string{"h1", "h2"})
	occupyWorkers(r, []string{"h3", "h4"})
	r.worker("h1", "r1", nil)
	r.worker("h2", "r1", nil)
	urgentWide(r, "00000000000000f1", 2)
	r.plan()
	for _, o := range r.stopping() {
		if o.Host != "h3" && o.Host != "h4" {
			t.Fatalf("the run on %s is preempted, want the youngest ones on h3 and h4", o.Host)
		}
	}
	next := r.successor()
	next.plan()
	if n := len(next.stopping()); n != 2 {
		t.Errorf("%d runs are being stopped after a change of owner, want 2", n)
	}
	for _, o := range next.stopping() {
		next.end(o, workload.EndStopped, "")
	}
	if started := next.plan(); len(started) != 2 {
		t.Errorf("%d tasks start in the released capacity, want 2", len(started))
	}
}

// TestNewOwnerUsesReportedProgress: a new owner has not seen runs start. It must
// derive their unsaved work from their reported progress, so that it preempts the
// youngest runs as the previous owner would.
func TestNewOwnerUsesReportedProgress(t *testing.T) {
	r := newRig(t)
	occupyWorkers(r, []string{"h1", "h2", "h3", "h4"})
	next := r.successor()
	next.report(map[string]int{"h1": 90, "h2": 70, "h3": 10, "h4": 20})
	urgentWide(next, "00000000000000f1", 2)
	next.plan()
	stopping := next.stopping()
	if len(stopping) != 2 {
		t.Fatalf("%d runs are preempted, want 2", len(stopping))
	}
	for _, o := range stopping {
		if o.Host != "h3" && o.Host != "h4" {
			t.Errorf("the run on %s is preempted, which has more unsaved work than those on h3 and h4", o.Host)
		}
	}
}

// TestNewOwnerPrefersAnnouncedWorkers: after a power loss, rows may describe
// incarnations of workers that no longer exist, and orders to these are lost. A
// new owner must prefer workers that have announced themselves to it.
func TestNewOwnerPrefersAnnouncedWorkers(t *testing.T) {
	r := newRig(t)
	r.worker("h1", "r1", nil)
	r.worker("h2", "r1", nil)
	r.advance(2 * time.Second)
	next := newRig(t)
	next.now, next.version = r.now, r.version
	for _, w := range r.core.sortedWorkers() {
		next.version++
		next.core.WorkerSeen(w.Announcement, next.version)
	}
	next.plan()
	next.advance(300 * time.Millisecond)
	next.worker("h2", "r1", func(a *workload.Announcement) { a.Incarnation = 2 })
	next.job(jobID(1), nil)
	if placed := next.plan(); len(placed) != 1 || placed[0].Host != "h2" {
		t.Errorf("ordered %+v, want one run on h2", placed)
	}
	next.job(jobID(2), func(j *workload.Job) { j.Steps[0].PerTask.Accelerators = 8 })
	if placed := next.plan(); len(placed) != 1 || placed[0].Host != "h1" {
		t.Errorf("ordered %+v, want one run on h1, which has not announced itself to this owner", placed)
	}
}
