package taskrunner

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// endedWithin lets the core work for a time and returns the ends that it reports.
func (r *rig) endedWithin(d time.Duration) []PendingEnd {
	r.t.Helper()
	for passed := time.Duration(0); passed < d; passed += 50 * time.Millisecond {
		r.settle()
		r.advance(50 * time.Millisecond)
	}
	return r.reported
}

// TestDeregistrationOfAFormerIncarnation guards against believing a deregistration that was
// held up until the worker has started again: its tasks would be started a second time
// while they run, and the worker would get no work any more.
func TestDeregistrationOfAFormerIncarnation(t *testing.T) {
	for name, draining := range map[string]bool{"ready": false, "draining itself": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.ready()
			r.heartbeat(func(h *Heartbeat) { h.Sequence, h.Draining = 2, true })
			r.incarnation = 6
			next := func(h *Heartbeat) { h.Incarnation, h.Sequence = 6, 1 }
			r.heartbeat(next)
			r.settle()
			id := r.observeOrder(r.order(taskA, 1, func(o *workload.Order) { o.Incarnation = 6 }), false)
			if n := len(starts(r.settle())); n != 1 {
				t.Fatalf("%d starts for the new incarnation", n)
			}
			r.core.Started(r.now, id, OrderAccepted)
			r.running = []workload.RunningTask{{Task: taskA, Run: 1}}
			r.settle()
			r.heartbeat(func(h *Heartbeat) { h.Incarnation, h.Sequence, h.Draining = 6, 2, draining })
			r.core.WorkerLeft(r.now, "w-1")
			if ends := r.endedWithin(5 * time.Second); len(ends) != 0 {
				t.Errorf("the run that goes on is reported as ended: %+v", ends)
			}
			want := 1
			if draining {
				want = 0
			}
			r.heartbeat(func(h *Heartbeat) { h.Incarnation, h.Sequence, h.Draining = 6, 3, draining })
			if n := r.startsAfter(taskB, func(o *workload.Order) { o.Incarnation = 6 }); n != want {
				t.Errorf("%d starts after the deregistration, want %d", n, want)
			}
		})
	}
}

// TestDepartureIsSettledByTheWorker guards against ending runs that may go on, and against
// keeping those of a worker that has ended until its lease expires.
func TestDepartureIsSettledByTheWorker(t *testing.T) {
	cases := []struct {
		name   string
		result PollResult
		// within is the time in which the end must be reported, and notBefore that in which
		// it must not be.
		within, notBefore time.Duration
	}{
		{"nothing listens on its address", PollNoListener, 500 * time.Millisecond, 0},
		{"another worker answers", PollOtherIncarnation, 500 * time.Millisecond, 0},
		{"no answer", PollFailed, 6200 * time.Millisecond, 5500 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.ready()
			r.startRunning(taskA)
			r.core.WorkerLeft(r.now, "w-1")
			r.pollResult = c.result
			if ends := r.endedWithin(c.notBefore); len(ends) != 0 {
				t.Fatalf("ended within %v: %+v", c.notBefore, ends)
			}
			if ends := r.endedWithin(c.within - c.notBefore); len(ends) != 1 {
				t.Errorf("%d ends are reported within %v, want 1", len(ends), c.within)
			}
		})
	}
}

// TestWorkerIsUsedAgainAfterItLeft guards against ignoring for good a worker that has left,
// when it is back in a new incarnation, or was there all the time.
func TestWorkerIsUsedAgainAfterItLeft(t *testing.T) {
	for name, incarnation := range map[string]model.Incarnation{"new incarnation": 6, "same incarnation": 5} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.ready()
			r.startRunning(taskA)
			r.core.WorkerLeft(r.now, "w-1")
			r.pollResult = PollNoListener
			if ends := r.endedWithin(500 * time.Millisecond); len(ends) != 1 {
				t.Fatalf("%d ends are reported after the worker left, want 1", len(ends))
			}
			r.heartbeat(nil)
			r.pollResult, r.running = "", nil
			if n := r.startsAfter(taskB, nil); n != 0 {
				t.Fatalf("%d starts after a heartbeat from before the departure", n)
			}
			r.incarnation = incarnation
			r.heartbeat(func(h *Heartbeat) { h.Sequence, h.Incarnation = 2, r.incarnation })
			r.settle()
			if n := r.startsAfter("00000000000000cc.0.0.0", func(o *workload.Order) { o.Incarnation = r.incarnation }); n != 1 {
				t.Errorf("%d starts after the worker is back, want 1", n)
			}
		})
	}
}

// TestDeregistrationReachesARestartedAgent guards against forgetting a deregistration that
// arrives before the agent knows its worker: the runs would wait for the scheduler to declare
// the worker lost.
func TestDeregistrationReachesARestartedAgent(t *testing.T) {
	r := newRig(t)
	r.pollResult = PollNoListener
	r.core.WorkerLeft(r.now, "w-1")
	r.core.RowLoaded(workload.Announcement{Host: testHost, Worker: "w-1", Incarnation: 5, Service: "s", Zone: "z", State: workload.WorkerDraining}, 3)
	r.observeOrder(r.order(taskA, 1, nil), true)
	r.core.OrdersLoaded(nil, 0)
	if ends := r.endedWithin(500 * time.Millisecond); len(ends) != 1 || ends[0].End.Kind != workload.EndLost {
		t.Errorf("reported %+v, want the run as lost", ends)
	}
}

// TestAnswersOfAFormerIncarnationAreIgnored guards against taking the answer to a stop that a
// former incarnation gave for one of the present incarnation, which has started the run late:
// the run would go on.
func TestAnswersOfAFormerIncarnationAreIgnored(t *testing.T) {
	r := newRig(t)
	r.ready()
	r.startRunning(taskA)
	r.observeOrder(r.order(taskA, 1, func(o *workload.Order) { o.Stop = true }), false)
	r.advance(time.Second)
	if n := len(stops(r.settle())); n != 1 {
		t.Fatalf("%d stops", n)
	}
	r.incarnation = 6
	r.heartbeat(func(h *Heartbeat) { h.Incarnation = 6 })
	r.settle()
	r.core.Stopped(r.now, taskA, 1, OrderAccepted)
	r.advance(time.Second)
	if n := len(stops(r.settle())); n != 1 {
		t.Errorf("%d stops of the run that the new incarnation lists, want 1", n)
	}
}

// TestHeartbeatOlderThanTheRow guards against believing a heartbeat that was held up while the
// agent restarted: the worker has reported since that it drains.
func TestHeartbeatOlderThanTheRow(t *testing.T) {
	r := newRig(t)
	r.core.RowLoaded(workload.Announcement{
		Host: testHost, Worker: "w-1", Incarnation: 5, Service: "s", Zone: "z", State: workload.WorkerDraining, Sequence: 9,
	}, 3)
	r.core.OrdersLoaded(nil, r.version)
	r.heartbeat(func(h *Heartbeat) { h.Sequence = 8 })
	r.settle()
	if n := r.startsAfter(taskA, nil); n != 0 {
		t.Errorf("%d starts on a worker that drains", n)
	}
}
