package taskrunner

import (
	"testing"
	"time"

	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

const (
	taskA = "00000000000000aa.0.0.0"
	taskB = "00000000000000bb.0.0.0"
)

func TestOrderIsStartedAndItsEndReported(t *testing.T) {
	r := newRig(t)
	r.ready()
	id := r.see(r.order(taskA, 1, nil), false)
	began := starts(r.settle())
	if len(began) != 1 || began[0].LeaseEndMS <= r.clockMS {
		t.Fatalf("starts %+v", began)
	}
	r.core.Started(r.now, id, OrderTaken)
	r.running = []workload.RunningTask{{Task: taskA, Run: 1, Checkpoint: "c1"}}
	r.settle()
	r.running, r.ended = nil, []EndedRun{{Number: 1, Task: taskA, Run: 1, Kind: workload.EndDone}}
	r.pass(time.Second)
	sent := r.awaitEnds()
	if len(sent.Ends) != 1 || sent.Ends[0].End.Kind != workload.EndDone {
		t.Fatalf("ends %+v", sent.Ends)
	}
	if r.core.lists.acknowledged != 0 {
		t.Error("the end is acknowledged before it is committed")
	}
	r.core.Announced(r.now, sent, storeapi.ResultOK, r.version+1, Present{})
	if r.core.lists.acknowledged != 1 {
		t.Error("the committed end is not acknowledged")
	}
}

// TestRestartedAgentKeepsWhatRuns: a new process of the agent finds an order
// whose time to start has passed. It may run, so the worker is looked at first.
func TestRestartedAgentKeepsWhatRuns(t *testing.T) {
	r := newRig(t)
	r.running = []workload.RunningTask{{Task: taskA, Run: 1}}
	r.core.RowLoaded(workload.Announcement{Host: testHost, Worker: "w-1", Incarnation: 5, Service: "s", Zone: "z", State: workload.WorkerReady, Generation: 3}, 9)
	r.see(r.order(taskA, 1, func(o *workload.Order) { o.StartByMS = r.storeMS - 5000 }), true)
	r.see(r.order(taskB, 1, func(o *workload.Order) { o.StartByMS = r.storeMS - 5000 }), true)
	r.core.OrdersLoaded(map[workload.RunID]bool{
		{Task: workload.TaskRef{Job: "00000000000000aa"}, Run: 1}: true,
		{Task: workload.TaskRef{Job: "00000000000000bb"}, Run: 1}: true,
	}, r.version)
	stopped := stops(r.settle())
	if len(stopped) != 1 || stopped[0].Task != taskB {
		t.Errorf("stops %+v, want one of the task that does not run", stopped)
	}
}

// TestDoubtfulStart: a start without an answer is sent again; when its time has
// passed it is stopped, and its end reported only after a later look at the
// worker does not list it.
func TestDoubtfulStart(t *testing.T) {
	r := newRig(t)
	r.ready()
	id := r.see(r.order(taskA, 1, nil), false)
	if n := len(starts(r.settle())); n != 1 {
		t.Fatalf("%d starts", n)
	}
	r.core.Started(r.now, id, OrderInDoubt)
	if n := len(starts(r.settle())); n != 0 {
		t.Fatalf("%d starts at once after one without an answer", n)
	}
	r.pass(200 * time.Millisecond)
	if n := len(starts(r.settle())); n != 1 {
		t.Fatalf("%d starts after one without an answer", n)
	}
	r.core.Started(r.now, id, OrderInDoubt)
	r.pass(3 * time.Second)
	actions := r.settle()
	if len(starts(actions)) != 0 || len(stops(actions)) != 1 {
		t.Fatalf("actions %+v, want one stop", actions)
	}
	if a := r.ends(); len(a.Ends) != 0 {
		t.Fatalf("end %+v before the stop was confirmed", a.Ends)
	}
	r.core.Stopped(r.now, taskA, 1, OrderTaken)
	r.pass(time.Second)
	ends := r.awaitEnds().Ends
	if len(ends) != 1 || ends[0].End.Kind != workload.EndNotStarted {
		t.Errorf("ends %+v, want not_started", ends)
	}
}

func TestLeaseEndsWithTheAnnouncements(t *testing.T) {
	r := newRig(t)
	r.ready()
	granted := r.clockMS
	for range 40 {
		for _, action := range r.core.Step(r.now, r.storeMS, true) {
			switch action := action.(type) {
			case Hold:
				granted = max(granted, action.LeaseEndMS)
				r.held(action)
			case Announce:
				r.core.Announced(r.now, action, storeapi.ResultUnavailable, 0, Present{})
			}
		}
		r.pass(500 * time.Millisecond)
	}
	bound := int64(7000) + 100 + r.core.settings.LeaseBound.Milliseconds()
	if granted > bound {
		t.Errorf("the lease was extended to %d without announcements, the bound is %d", granted, bound)
	}
	r.see(r.order(taskA, 1, nil), false)
	if n := len(starts(r.core.Step(r.now, r.storeMS, true))); n != 0 {
		t.Error("a task is started without a lease")
	}
}

func TestEndsWithoutTheWorker(t *testing.T) {
	cases := []struct {
		name   string
		change func(*rig)
		want   workload.EndKind
	}{
		{"a new life of the worker", func(r *rig) {
			r.life, r.running = 6, nil
			r.heartbeat(func(h *Heartbeat) { h.Incarnation = 6 })
		}, workload.EndLost},
		{"the worker left", func(r *rig) { r.core.Left("w-1") }, workload.EndLost},
		{"the worker can't be reached until its lease has ended", func(r *rig) {
			r.pass(15 * time.Second)
			r.core.hold.failed = true
		}, workload.EndLapsed},
		{"the worker no longer lists it", func(r *rig) {
			r.running = nil
			r.pass(2 * time.Second)
		}, workload.EndLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.ready()
			id := r.see(r.order(taskA, 1, nil), false)
			r.settle()
			r.core.Started(r.now, id, OrderTaken)
			r.running = []workload.RunningTask{{Task: taskA, Run: 1}}
			r.pass(2 * time.Second)
			r.settle()
			c.change(r)
			ends := r.awaitEnds().Ends
			if len(ends) != 1 || ends[0].End.Kind != c.want {
				t.Errorf("ends %+v, want %s", ends, c.want)
			}
		})
	}
}

func TestWhatIsNotStarted(t *testing.T) {
	cases := []struct {
		name   string
		order  func(*rig, *workload.Order)
		before func(*rig)
		ends   bool
	}{
		{"too old", func(r *rig, o *workload.Order) { o.StartByMS = r.storeMS - 1 }, nil, true},
		{"stopped before it was sent", func(_ *rig, o *workload.Order) { o.Stop = true }, nil, true},
		{"of a former life", func(_ *rig, o *workload.Order) { o.Incarnation = 4 }, nil, true},
		{"the worker drains", nil, func(r *rig) {
			r.heartbeat(func(h *Heartbeat) { h.Draining, h.Sequence = true, 2 })
		}, true},
		{"of a life that is not known yet", func(_ *rig, o *workload.Order) { o.Incarnation = 6 }, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.ready()
			if c.before != nil {
				c.before(r)
			}
			r.see(r.order(taskA, 1, func(o *workload.Order) {
				if c.order != nil {
					c.order(r, o)
				}
			}), false)
			if n := len(starts(r.settle())); n != 0 {
				t.Errorf("%d starts", n)
			}
			if reported := len(r.reported) == 1; reported != c.ends {
				t.Errorf("ends reported: %+v, want one: %v", r.reported, c.ends)
			}
		})
	}
}

func TestStaleHeartbeatsChangeNothing(t *testing.T) {
	r := newRig(t)
	r.ready()
	r.heartbeat(func(h *Heartbeat) { h.Draining, h.Sequence = true, 9 })
	r.heartbeat(func(h *Heartbeat) { h.Sequence = 8 })
	if !r.core.status.Draining {
		t.Error("an older heartbeat took the draining back")
	}
	r.heartbeat(func(h *Heartbeat) { h.Incarnation, h.Sequence = 4, 99 })
	if r.core.life != 5 {
		t.Error("a heartbeat of a former life was taken")
	}
}

// TestWorkerTakenAsGone: the scheduler voided the row. The agent registers anew
// and stops what no order stands for.
func TestWorkerTakenAsGone(t *testing.T) {
	r := newRig(t)
	r.ready()
	r.running = []workload.RunningTask{{Task: taskA, Run: 1}}
	r.pass(2 * time.Second)
	generation := r.core.generation
	for _, action := range r.core.Step(r.now, r.storeMS, true) {
		if a, ok := action.(Announce); ok {
			gone := a.Row
			gone.State = workload.WorkerGone
			r.core.Announced(r.now, a, storeapi.ResultConflict, 0, Present{Row: gone, Version: 99})
		}
		if h, ok := action.(Hold); ok {
			r.held(h)
		}
	}
	stopped := stops(r.settle())
	if r.core.generation <= generation || !r.core.row.confirmed {
		t.Errorf("generation %d after %d, confirmed %v", r.core.generation, generation, r.core.row.confirmed)
	}
	if len(stopped) != 1 || stopped[0].Task != taskA {
		t.Errorf("stops %+v", stopped)
	}
}

// TestAnnouncementWithoutAnswer: the row shows that it took effect, so the lease
// counts from before it was sent.
func TestAnnouncementWithoutAnswer(t *testing.T) {
	r := newRig(t)
	r.ready()
	r.pass(2 * time.Second)
	generation := r.core.generation
	var sent Announce
	for _, action := range r.core.Step(r.now, r.storeMS, true) {
		if a, ok := action.(Announce); ok {
			sent = a
		}
	}
	r.core.Announced(r.now, sent, storeapi.ResultInDoubt, 0, Present{})
	r.pass(time.Second)
	for _, action := range r.core.Step(r.now, r.storeMS, true) {
		if a, ok := action.(Announce); ok {
			r.core.Announced(r.now, a, storeapi.ResultConflict, 0, Present{Row: sent.Row, Version: 77})
		}
	}
	if r.core.generation != generation || r.core.row.version != 77 || !r.core.lease.known {
		t.Errorf("generation %d, row version %d, lease known %v", r.core.generation, r.core.row.version, r.core.lease.known)
	}
}

// TestEndReportedBefore: a former process of the agent reported the end, and the
// scheduler has not removed the order yet. The end is not overwritten.
func TestEndReportedBefore(t *testing.T) {
	r := newRig(t)
	r.ready()
	r.see(r.order(taskA, 1, func(o *workload.Order) { o.StartByMS = r.storeMS - 1 }), false)
	sent := r.awaitEnds()
	if len(sent.Ends) != 1 || sent.Ends[0].End.Kind != workload.EndNotStarted {
		t.Fatalf("ends %+v", sent.Ends)
	}
	r.core.Announced(r.now, sent, storeapi.ResultConflict, 0, Present{Row: sent.Row, Version: sent.Version, Reported: sent.Ends})
	if a := r.awaitEnds(); len(a.Ends) != 0 {
		t.Errorf("the end is reported again: %+v", a.Ends)
	}
	if !r.core.row.confirmed {
		t.Error("the agent registers anew although only the end was refused")
	}
}

// TestEndsOfADoubtfulAnnouncement: the answer was lost; the row shows that the
// announcement took effect, and so did the ends.
func TestEndsOfADoubtfulAnnouncement(t *testing.T) {
	r := newRig(t)
	r.ready()
	r.see(r.order(taskA, 1, func(o *workload.Order) { o.StartByMS = r.storeMS - 1 }), false)
	sent := r.awaitEnds()
	r.core.Announced(r.now, sent, storeapi.ResultInDoubt, 0, Present{})
	again := r.awaitEnds()
	if len(again.Ends) != 1 {
		t.Fatalf("ends %+v after a lost answer", again.Ends)
	}
	r.core.Announced(r.now, again, storeapi.ResultConflict, 0, Present{Row: sent.Row, Version: 88})
	if r.core.row.version != 88 {
		t.Errorf("row version %d, want that of the conflict", r.core.row.version)
	}
	if a := r.awaitEnds(); len(a.Ends) != 0 {
		t.Errorf("ends %+v are reported again", a.Ends)
	}
}

// TestLooksAreSpaced: a worker that is gone, or that does not wait, is not asked
// in a loop.
func TestLooksAreSpaced(t *testing.T) {
	cases := []struct {
		name   string
		answer func(*rig, Hold)
		most   int
	}{
		{"no answer", func(r *rig, h Hold) { r.core.Polled(r.now, r.now, h, HoldFailed, RunLists{}) }, 13},
		{"another life", func(r *rig, h Hold) {
			r.core.Polled(r.now, r.now, h, HoldOtherLife, RunLists{})
			r.heartbeat(nil)
		}, 13},
		{"answers at once", func(r *rig, h Hold) { r.held(h) }, 70},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.ready()
			looks := 0
			for end := r.now.Add(10 * time.Second); r.now.Before(end); r.pass(5 * time.Millisecond) {
				for _, action := range r.core.Step(r.now, r.storeMS, true) {
					switch action := action.(type) {
					case Hold:
						looks++
						c.answer(r, action)
					case Announce:
						r.version++
						r.core.Announced(r.now, action, storeapi.ResultOK, r.version, Present{})
					}
				}
			}
			if looks > c.most || looks < 5 {
				t.Errorf("%d looks in 10 s, want 5 to %d", looks, c.most)
			}
		})
	}
}
