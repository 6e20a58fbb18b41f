package taskrunner

import (
	"math"
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/workload"
)

// startsAfter orders a run, lets the core work for some seconds and returns the number of
// its starts. The worker's heartbeats go on.
func (r *rig) startsAfter(task string, change func(*workload.Order)) int {
	r.t.Helper()
	r.observeOrder(r.order(task, 1, change), false)
	n := 0
	for range 20 {
		n += len(starts(r.settle()))
		r.advance(50 * time.Millisecond)
	}
	return n
}

// TestHeartbeatOfAnotherWriter guards against taking a worker out of use because of a
// heartbeat that isn't its own: another writer names another worker, or an incarnation
// that is later than all real ones.
func TestHeartbeatOfAnotherWriter(t *testing.T) {
	for name, change := range map[string]func(*Heartbeat){
		"another worker":                func(h *Heartbeat) { h.Worker, h.Incarnation = "w-2", 9 },
		"largest incarnation":           func(h *Heartbeat) { h.Incarnation = math.MaxUint64 },
		"another worker, that drains":   func(h *Heartbeat) { h.Worker, h.Incarnation, h.Draining = "w-2", 9, true },
		"former incarnation":            func(h *Heartbeat) { h.Incarnation = 1 },
		"former incarnation, it drains": func(h *Heartbeat) { h.Incarnation, h.Draining = 1, true },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.ready()
			r.startRunning(taskA)
			r.heartbeat(change)
			r.settle()
			r.heartbeat(func(h *Heartbeat) { h.Sequence = 2 })
			if n := r.startsAfter(taskB, nil); n != 1 {
				t.Errorf("%d starts of a task that is ordered afterwards, want 1", n)
			}
			if len(r.reported) != 0 {
				t.Errorf("the run that goes on is reported as ended: %+v", r.reported)
			}
		})
	}
}

// TestWorkerClockIsSetBack guards against ignoring a worker for good: its clock is set
// back, so that the incarnation after its restart is lower than the one before. What ran
// before is lost, and new tasks are started.
func TestWorkerClockIsSetBack(t *testing.T) {
	r := newRig(t)
	r.ready()
	r.startRunning(taskA)
	r.incarnation, r.running, r.clockMS = 3, nil, 10
	r.heartbeat(func(h *Heartbeat) { h.Incarnation = 3 })
	r.settle()
	if n := r.startsAfter(taskB, func(o *workload.Order) { o.Incarnation = 3 }); n != 1 {
		t.Errorf("%d starts of a task that is ordered for the new incarnation, want 1", n)
	}
	if len(r.reported) != 1 || r.reported[0].End.Kind != workload.EndLost {
		t.Errorf("reported %+v, want the run of the former incarnation as lost", r.reported)
	}
}

// TestRowOfAnotherWriterIsNotAdopted guards against following the row that another writer
// left in place of the agent's own: the worker beside the agent is the one that answers.
func TestRowOfAnotherWriterIsNotAdopted(t *testing.T) {
	r := newRig(t)
	r.core.RowLoaded(workload.Announcement{
		Host: testHost, Worker: "w-9", Incarnation: math.MaxUint64, Service: "s", Zone: "z", State: workload.WorkerReady, Generation: math.MaxUint64,
	}, 9)
	r.core.OrdersLoaded(nil, r.version)
	r.heartbeat(nil)
	r.settle()
	if n := r.startsAfter(taskA, nil); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}

// TestOutdatedPollAnswersAreIgnored guards against mixing up the lists of two
// incarnations: the answer to a poll of the former one arrives last.
func TestOutdatedPollAnswersAreIgnored(t *testing.T) {
	r := newRig(t)
	r.ready()
	r.startRunning(taskA)
	r.advance(time.Second)
	var outdated Poll
	for _, action := range r.core.Step(r.now, r.storeMS, true) {
		if poll, ok := action.(Poll); ok {
			outdated = poll
		}
	}
	if outdated.Worker == "" {
		t.Fatal("no poll")
	}
	r.incarnation = 6
	r.heartbeat(func(h *Heartbeat) { h.Incarnation = 6 })
	r.settle()
	r.core.Polled(r.now, r.now, outdated, PollAnswered, RunLists{
		ClockMS: r.clockMS, Incarnation: 5, Running: []workload.RunningTask{{Task: taskA, Run: 1}},
	})
	if r.core.incarnation != model.Incarnation(6) || len(r.core.lists.running) != 0 {
		t.Errorf("incarnation %d with running tasks %v", r.core.incarnation, r.core.lists.running)
	}
}
