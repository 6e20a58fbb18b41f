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
	id := r.observeOrder(r.order(taskA, 1, nil), false)
	began := starts(r.settle())
	if len(began) != 1 || began[0].LeaseEndMS <= r.clockMS {
		t.Fatalf("starts %+v, want one with a lease", began)
	}
	r.core.Started(r.now, id, OrderAccepted)
	r.running = []workload.RunningTask{{Task: taskA, Run: 1, Checkpoint: "c1"}}
	r.settle()
	r.running, r.ended = nil, []EndedRun{{Number: 1, Task: taskA, Run: 1, Kind: workload.EndDone}}
	r.advance(time.Second)
	sent := r.awaitEnds()
	if len(sent.Ends) != 1 || sent.Ends[0].End.Kind != workload.EndDone {
		t.Fatalf("ends %+v", sent.Ends)
	}
	if r.core.lists.acknowledged != 0 {
		t.Error("the end is acknowledged before it is committed")
	}
	r.core.Announced(r.now, sent, storeapi.ResultOK, r.version+1, AnnouncementConflict{})
	if r.core.lists.acknowledged != 1 {
		t.Error("the committed end is not acknowledged")
	}
}

// TestRestartedAgentKeepsRunningTasks guards against stopping a running task when
// a restarted agent finds its order past the start deadline: an earlier process
// may have started it, so the worker is polled first.
func TestRestartedAgentKeepsRunningTasks(t *testing.T) {
	r := newRig(t)
	r.running = []workload.RunningTask{{Task: taskA, Run: 1}}
	r.core.RowLoaded(workload.Announcement{Host: testHost, Worker: "w-1", Incarnation: 5, Service: "s", Zone: "z", State: workload.WorkerReady, Generation: 3}, 9)
	r.observeOrder(r.order(taskA, 1, func(o *workload.Order) { o.StartByMS = r.storeMS - 5000 }), true)
	r.observeOrder(r.order(taskB, 1, func(o *workload.Order) { o.StartByMS = r.storeMS - 5000 }), true)
	r.core.OrdersLoaded(map[workload.RunID]bool{
		{Task: workload.TaskRef{Job: "00000000000000aa"}, Run: 1}: true,
		{Task: workload.TaskRef{Job: "00000000000000bb"}, Run: 1}: true,
	}, r.version)
	stopped := stops(r.settle())
	if len(stopped) != 1 || stopped[0].Task != taskB {
		t.Errorf("stops %+v, want one of the task that does not run", stopped)
	}
}

// TestStartWithoutAnswer checks that an unanswered start is retried, and stopped
// once its start deadline has passed. The end is reported only after a later poll
// no longer lists the run, because the start may still be carried out.
func TestStartWithoutAnswer(t *testing.T) {
	r := newRig(t)
	r.ready()
	id := r.observeOrder(r.order(taskA, 1, nil), false)
	if n := len(starts(r.settle())); n != 1 {
		t.Fatalf("%d starts", n)
	}
	r.core.Started(r.now, id, OrderInDoubt)
	if n := len(starts(r.settle())); n != 0 {
		t.Fatalf("%d starts before the retry delay of an unanswered start has passed", n)
	}
	r.advance(200 * time.Millisecond)
	if n := len(starts(r.settle())); n != 1 {
		t.Fatalf("%d starts after the retry delay of an unanswered start", n)
	}
	r.core.Started(r.now, id, OrderInDoubt)
	r.advance(3 * time.Second)
	actions := r.settle()
	if len(starts(actions)) != 0 || len(stops(actions)) != 1 {
		t.Fatalf("actions %+v, want one stop", actions)
	}
	if a := r.nextEnds(); len(a.Ends) != 0 {
		t.Fatalf("end %+v before the stop was confirmed", a.Ends)
	}
	r.core.Stopped(r.now, taskA, 1, OrderAccepted)
	r.advance(time.Second)
	ends := r.awaitEnds().Ends
	if len(ends) != 1 || ends[0].End.Kind != workload.EndNotStarted {
		t.Errorf("ends %+v, want not_started", ends)
	}
}

func TestLeaseBoundedByAnnouncements(t *testing.T) {
	r := newRig(t)
	r.ready()
	granted := r.clockMS
	for range 40 {
		for _, action := range r.core.Step(r.now, r.storeMS, true) {
			switch action := action.(type) {
			case Poll:
				granted = max(granted, action.LeaseEndMS)
				r.answerPoll(action)
			case Announce:
				r.core.Announced(r.now, action, storeapi.ResultUnavailable, 0, AnnouncementConflict{})
			}
		}
		r.advance(500 * time.Millisecond)
	}
	bound := int64(7000) + 100 + r.core.settings.LeaseBound.Milliseconds()
	if granted > bound {
		t.Errorf("the lease was extended to %d without confirmed announcements, the bound is %d", granted, bound)
	}
	r.observeOrder(r.order(taskA, 1, nil), false)
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
		{"a new incarnation of the worker", func(r *rig) {
			r.incarnation, r.running = 6, nil
			r.heartbeat(func(h *Heartbeat) { h.Incarnation = 6 })
		}, workload.EndLost},
		{"the worker left", func(r *rig) {
			r.core.WorkerLeft(r.now, "w-1")
			r.pollResult = PollNoListener
		}, workload.EndLost},
		{"the worker is unreachable until its lease has expired", func(r *rig) {
			r.advance(15 * time.Second)
			r.core.poll.failed = true
		}, workload.EndLeaseExpired},
		{"the worker no longer lists the run", func(r *rig) {
			r.running = nil
			r.advance(2 * time.Second)
		}, workload.EndLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.ready()
			id := r.observeOrder(r.order(taskA, 1, nil), false)
			r.settle()
			r.core.Started(r.now, id, OrderAccepted)
			r.running = []workload.RunningTask{{Task: taskA, Run: 1}}
			r.advance(2 * time.Second)
			r.settle()
			c.change(r)
			ends := r.awaitEnds().Ends
			if len(ends) != 1 || ends[0].End.Kind != c.want {
				t.Errorf("ends %+v, want %s", ends, c.want)
			}
		})
	}
}

func TestOrdersNotStarted(t *testing.T) {
	cases := []struct {
		name   string
		order  func(*rig, *workload.Order)
		before func(*rig)
		ends   bool
	}{
		{"start deadline passed", func(r *rig, o *workload.Order) { o.StartByMS = r.storeMS - 1 }, nil, true},
		{"stopped before it was sent", func(_ *rig, o *workload.Order) { o.Stop = true }, nil, true},
		{"for a former incarnation", func(_ *rig, o *workload.Order) { o.Incarnation = 4 }, nil, true},
		{"the worker drains", nil, func(r *rig) {
			r.heartbeat(func(h *Heartbeat) { h.Draining, h.Sequence = true, 2 })
		}, true},
		{"for an incarnation that is not known yet", func(_ *rig, o *workload.Order) { o.Incarnation = 6 }, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.ready()
			if c.before != nil {
				c.before(r)
			}
			r.observeOrder(r.order(taskA, 1, func(o *workload.Order) {
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
		t.Error("an older heartbeat cleared the draining state")
	}
	r.heartbeat(func(h *Heartbeat) { h.Incarnation, h.Sequence = 4, 99 })
	if r.core.incarnation != 5 {
		t.Error("a heartbeat of a former incarnation was processed")
	}
}

// TestWorkerMarkedGone checks that after the scheduler marked the worker as gone
// the agent registers again under a higher generation, and stops runs that have
// no order.
func TestWorkerMarkedGone(t *testing.T) {
	r := newRig(t)
	r.ready()
	r.running = []workload.RunningTask{{Task: taskA, Run: 1}}
	r.advance(2 * time.Second)
	generation := r.core.generation
	for _, action := range r.core.Step(r.now, r.storeMS, true) {
		if a, ok := action.(Announce); ok {
			gone := a.Row
			gone.State = workload.WorkerGone
			r.core.Announced(r.now, a, storeapi.ResultConflict, 0, AnnouncementConflict{Row: gone, Version: 99})
		}
		if poll, ok := action.(Poll); ok {
			r.answerPoll(poll)
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

// TestAnnouncementWithoutAnswer guards against a needless registration after the
// answer to an announcement is lost: the stored row shows that it took effect, so
// it is confirmed and the lease counts from when it was sent.
func TestAnnouncementWithoutAnswer(t *testing.T) {
	r := newRig(t)
	r.ready()
	r.advance(2 * time.Second)
	generation := r.core.generation
	var sent Announce
	for _, action := range r.core.Step(r.now, r.storeMS, true) {
		if a, ok := action.(Announce); ok {
			sent = a
		}
	}
	r.core.Announced(r.now, sent, storeapi.ResultInDoubt, 0, AnnouncementConflict{})
	r.advance(time.Second)
	for _, action := range r.core.Step(r.now, r.storeMS, true) {
		if a, ok := action.(Announce); ok {
			r.core.Announced(r.now, a, storeapi.ResultConflict, 0, AnnouncementConflict{Row: sent.Row, Version: 77})
		}
	}
	if r.core.generation != generation || r.core.row.version != 77 || !r.core.lease.known {
		t.Errorf("generation %d, row version %d, lease known %v", r.core.generation, r.core.row.version, r.core.lease.known)
	}
}

// TestEndReportedBefore guards against a second report of an end that an earlier
// process of the agent committed while the scheduler has not removed the order
// yet.
func TestEndReportedBefore(t *testing.T) {
	r := newRig(t)
	r.ready()
	r.observeOrder(r.order(taskA, 1, func(o *workload.Order) { o.StartByMS = r.storeMS - 1 }), false)
	sent := r.awaitEnds()
	if len(sent.Ends) != 1 || sent.Ends[0].End.Kind != workload.EndNotStarted {
		t.Fatalf("ends %+v", sent.Ends)
	}
	r.core.Announced(r.now, sent, storeapi.ResultConflict, 0, AnnouncementConflict{Row: sent.Row, Version: sent.Version, Reported: sent.Ends})
	if a := r.awaitEnds(); len(a.Ends) != 0 {
		t.Errorf("the end is reported again: %+v", a.Ends)
	}
	if !r.core.row.confirmed {
		t.Error("the agent registers again although only the end was refused")
	}
}

// TestEndsOfInDoubtAnnouncement guards against reporting ends again after the
// answer to their announcement was lost: the stored row shows that it took effect,
// and its ends with it.
func TestEndsOfInDoubtAnnouncement(t *testing.T) {
	r := newRig(t)
	r.ready()
	r.observeOrder(r.order(taskA, 1, func(o *workload.Order) { o.StartByMS = r.storeMS - 1 }), false)
	sent := r.awaitEnds()
	r.core.Announced(r.now, sent, storeapi.ResultInDoubt, 0, AnnouncementConflict{})
	again := r.awaitEnds()
	if len(again.Ends) != 1 {
		t.Fatalf("ends %+v after a lost answer", again.Ends)
	}
	r.core.Announced(r.now, again, storeapi.ResultConflict, 0, AnnouncementConflict{Row: sent.Row, Version: 88})
	if r.core.row.version != 88 {
		t.Errorf("row version %d, want that of the conflict", r.core.row.version)
	}
	if a := r.awaitEnds(); len(a.Ends) != 0 {
		t.Errorf("ends %+v are reported again", a.Ends)
	}
}

// TestPollsAreSpaced guards against polling in a loop when the worker is gone,
// another incarnation answers, or the worker answers without waiting.
func TestPollsAreSpaced(t *testing.T) {
	cases := []struct {
		name   string
		answer func(*rig, Poll)
		most   int
	}{
		{"no answer", func(r *rig, poll Poll) { r.core.Polled(r.now, r.now, poll, PollFailed, RunLists{}) }, 13},
		{"another incarnation", func(r *rig, poll Poll) {
			r.core.Polled(r.now, r.now, poll, PollOtherIncarnation, RunLists{})
			r.heartbeat(nil)
		}, 13},
		{"answers at once", func(r *rig, poll Poll) { r.answerPoll(poll) }, 70},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.ready()
			polls := 0
			for end := r.now.Add(10 * time.Second); r.now.Before(end); r.advance(5 * time.Millisecond) {
				for _, action := range r.core.Step(r.now, r.storeMS, true) {
					switch action := action.(type) {
					case Poll:
						polls++
						c.answer(r, action)
					case Announce:
						r.version++
						r.core.Announced(r.now, action, storeapi.ResultOK, r.version, AnnouncementConflict{})
					}
				}
			}
			if polls > c.most || polls < 5 {
				t.Errorf("%d polls in 10 s, want 5 to %d", polls, c.most)
			}
		})
	}
}
