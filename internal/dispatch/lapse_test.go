package dispatch

import (
	"fmt"
	"testing"
	"time"

	"dragonflyyard/internal/workload"
)

func voids(batches []*Batch) (hosts []string) {
	for _, b := range batches {
		if b.Kind == BatchWorkerLost {
			hosts = append(hosts, b.Host)
		}
	}
	return hosts
}

// TestWorkersAreDeclaredLostTogether: a tenth of the workers is taken away at one moment.
// Gangs that ran on several of them wait for all.
func TestWorkersAreDeclaredLostTogether(t *testing.T) {
	r := newRig(t)
	const gone = 24
	for i := range gone {
		r.worker(fmt.Sprintf("h%02d", i), "r1", nil)
	}
	r.plan()
	r.pass(r.core.settings.LeaseExpiredAfter + time.Second)
	batches := r.core.Plan(r.now)
	if n := len(voids(batches)); n != gone {
		t.Fatalf("%d of %d workers are taken as gone in one plan", n, gone)
	}
	if n := len(voids(r.core.Plan(r.now))); n != 0 {
		t.Errorf("%d are taken as gone again before the first are", n)
	}
	for _, b := range batches[1:] {
		r.commit(b)
	}
	r.core.NotCommitted(batches[0])
	if hosts := voids(r.core.Plan(r.now)); len(hosts) != 1 || hosts[0] != batches[0].Host {
		t.Errorf("%v are taken as gone after one batch was refused", hosts)
	}
}

// TestAnnouncedLeaseEndsSooner: the agent of a draining worker said how long its
// lease lasts at the longest; one that says nothing, or too much, keeps the usual time.
func TestAnnouncedLeaseEndsSooner(t *testing.T) {
	r := newRig(t)
	for host, leaseFor := range map[string]time.Duration{"draining": 6 * time.Second, "silent": 0, "boasting": time.Hour} {
		r.worker(host, "r1", func(a *workload.Announcement) { a.MaxLeaseMS = leaseFor.Milliseconds() })
	}
	r.pass(5900 * time.Millisecond)
	if hosts := voids(r.core.Plan(r.now)); len(hosts) != 0 {
		t.Errorf("%v are taken as gone too soon", hosts)
	}
	r.pass(200 * time.Millisecond)
	if hosts := voids(r.core.Plan(r.now)); len(hosts) != 1 || hosts[0] != "draining" {
		t.Errorf("%v are taken as gone, want the draining one", hosts)
	}
	r.pass(r.core.settings.LeaseExpiredAfter)
	if hosts := voids(r.core.Plan(r.now)); len(hosts) != 2 {
		t.Errorf("%v are taken as gone, want the other two", hosts)
	}
}
