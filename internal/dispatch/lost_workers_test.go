package dispatch

import (
	"fmt"
	"testing"
	"time"

	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

func lostHosts(batches []*Batch) (hosts []string) {
	for _, b := range batches {
		if b.Kind == BatchWorkerLost {
			hosts = append(hosts, b.Host)
		}
	}
	return hosts
}

// TestWorkersAreDeclaredLostTogether: a tenth of the workers disappears at one
// moment. Gangs that ran on several of them can't restart until all are declared
// lost, so one plan must declare all of them.
func TestWorkersAreDeclaredLostTogether(t *testing.T) {
	r := newRig(t)
	const lost = 24
	for i := range lost {
		r.worker(fmt.Sprintf("h%02d", i), "r1", nil)
	}
	r.plan()
	r.advance(r.core.settings.LeaseExpiredAfter + time.Second)
	batches := r.core.Plan(r.now)
	if n := len(lostHosts(batches)); n != lost {
		t.Fatalf("%d of %d workers are declared lost in one plan", n, lost)
	}
	if n := len(lostHosts(r.core.Plan(r.now))); n != 0 {
		t.Errorf("%d workers are declared lost again before the first batches are committed", n)
	}
	for _, b := range batches[1:] {
		r.commit(b)
	}
	r.core.NotCommitted(r.now, batches[0], storeapi.ErrUnavailable)
	if hosts := lostHosts(r.core.Plan(r.now)); len(hosts) != 1 || hosts[0] != batches[0].Host {
		t.Errorf("%v are declared lost after one batch was refused, want only its host", hosts)
	}
}

// TestAnnouncedLeaseEndsSooner: the agent of a draining worker announces the
// longest time that its lease may last. A worker without such a time, or with one
// longer than the limit, must get the limit.
func TestAnnouncedLeaseEndsSooner(t *testing.T) {
	r := newRig(t)
	for host, leaseFor := range map[string]time.Duration{"draining": 6 * time.Second, "silent": 0, "boasting": time.Hour} {
		r.worker(host, "r1", func(a *workload.Announcement) { a.MaxLeaseMS = leaseFor.Milliseconds() })
	}
	r.advance(5900 * time.Millisecond)
	if hosts := lostHosts(r.core.Plan(r.now)); len(hosts) != 0 {
		t.Errorf("%v are declared lost before their leases expired", hosts)
	}
	r.advance(200 * time.Millisecond)
	if hosts := lostHosts(r.core.Plan(r.now)); len(hosts) != 1 || hosts[0] != "draining" {
		t.Errorf("%v are declared lost, want only the draining worker", hosts)
	}
	r.advance(r.core.settings.LeaseExpiredAfter)
	if hosts := lostHosts(r.core.Plan(r.now)); len(hosts) != 2 {
		t.Errorf("%v are declared lost, want the other two workers", hosts)
	}
}

// TestClockAheadDeclaresNothingLost: the estimate of the store's clock may be ahead of it. A
// worker whose lease may still last must not be declared lost, or its tasks run twice.
func TestClockAheadDeclaresNothingLost(t *testing.T) {
	r := newRig(t)
	r.worker("silent", "r1", nil)
	r.advance(r.core.settings.LeaseExpiredAfter - time.Second)
	r.now.StoreMS += 2000
	r.now.StoreAheadMS = 2000
	if hosts := lostHosts(r.core.Plan(r.now)); len(hosts) != 0 {
		t.Errorf("%v are declared lost within their lease", hosts)
	}
	r.advance(2 * time.Second)
	if hosts := lostHosts(r.core.Plan(r.now)); len(hosts) != 1 {
		t.Errorf("%v are declared lost after the lease has expired for certain, want the worker", hosts)
	}
}
