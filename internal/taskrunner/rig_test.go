package taskrunner

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

const (
	testHost     = "side-1"
	storeStartMS = int64(50_000)
)

// rig drives a core step by step; a test chooses which actions get an answer.
type rig struct {
	t           *testing.T
	core        *Core
	now         time.Time
	storeMS     int64
	version     storeapi.RowVersion
	clockMS     int64
	incarnation model.Incarnation
	running     []workload.RunningTask
	ended       []EndedRun
	// pollResult is that of all polls, if it is set; else they are answered.
	pollResult PollResult
	// reported holds the ends that were committed.
	reported []PendingEnd
}

func newRig(t *testing.T) *rig {
	t.Helper()
	return &rig{
		t: t, core: New(DefaultSettings(10*time.Second), testHost), now: time.Unix(1000, 0), storeMS: storeStartMS,
		clockMS: 7000, incarnation: 5, version: 10,
	}
}

func (r *rig) heartbeat(change func(*Heartbeat)) {
	h := Heartbeat{Worker: "w-1", Incarnation: 5, Sequence: 1, Service: "s", Zone: "z"}
	if change != nil {
		change(&h)
	}
	r.core.HeartbeatSeen(h)
}

// ready brings the core into the state in which it accepts orders.
func (r *rig) ready() {
	r.t.Helper()
	r.core.RowLoaded(workload.Announcement{}, 0)
	r.core.OrdersLoaded(nil, r.version)
	r.heartbeat(nil)
	r.settle()
}

// settle steps the core and answers its polls and announcements until no further
// actions are due. It returns the starts and stops, unanswered.
func (r *rig) settle() []Action {
	r.t.Helper()
	var orders []Action
	for range 12 {
		actions := r.core.Step(r.now, r.storeMS, true)
		progress := false
		for _, action := range actions {
			switch action := action.(type) {
			case Poll:
				r.answerPoll(action)
			case Announce:
				r.version++
				r.core.Announced(r.now, action, storeapi.ResultOK, r.version, AnnouncementConflict{})
				r.reported = append(r.reported, action.Ends...)
				progress = true
			default:
				orders = append(orders, action)
			}
		}
		r.advance(time.Millisecond)
		if !progress && len(actions) == 0 {
			break
		}
	}
	return orders
}

func (r *rig) answerPoll(poll Poll) {
	if r.pollResult != "" {
		r.core.Polled(r.now, r.now, poll, r.pollResult, RunLists{})
		return
	}
	if poll.Worker != "w-1" {
		r.core.Polled(r.now, r.now, poll, PollOtherIncarnation, RunLists{})
		return
	}
	var ended []EndedRun
	for _, e := range r.ended {
		if e.Number > poll.Acknowledged && len(ended) < maxEndsListed {
			ended = append(ended, e)
		}
	}
	sentAt := r.now
	r.advance(time.Millisecond)
	r.core.Polled(r.now, sentAt, poll, PollAnswered, RunLists{
		ClockMS: r.clockMS, Incarnation: r.incarnation, Running: r.running, Ended: ended, MoreEnds: len(ended) == maxEndsListed,
	})
}

func (r *rig) advance(d time.Duration) {
	r.now = r.now.Add(d)
	r.storeMS += d.Milliseconds()
	r.clockMS += d.Milliseconds()
}

func (r *rig) order(task string, run int, change func(*workload.Order)) workload.Order {
	o := workload.Order{Task: task, Run: run, Host: testHost, Worker: "w-1", Incarnation: 5, StartByMS: r.storeMS + 2000}
	if change != nil {
		change(&o)
	}
	return o
}

func (r *rig) observeOrder(o workload.Order, maybeSent bool) workload.RunID {
	r.t.Helper()
	r.version++
	r.core.OrderSeen(o, r.version, maybeSent)
	id, err := o.ID()
	if err != nil {
		r.t.Fatal(err)
	}
	return id
}

// startRunning orders a run and lets the worker start and list it.
func (r *rig) startRunning(task string) {
	r.t.Helper()
	id := r.observeOrder(r.order(task, 1, nil), false)
	r.settle()
	r.core.Started(r.now, id, OrderAccepted)
	r.running = append(r.running, workload.RunningTask{Task: task, Run: 1})
	r.settle()
}

// nextEnds steps the core once and returns its announcement if that has ends,
// unanswered; else an empty one.
func (r *rig) nextEnds() Announce {
	for _, action := range r.core.Step(r.now, r.storeMS, true) {
		switch action := action.(type) {
		case Announce:
			if len(action.Ends) > 0 {
				return action
			}
			r.version++
			r.core.Announced(r.now, action, storeapi.ResultOK, r.version, AnnouncementConflict{})
		case Poll:
			r.answerPoll(action)
		}
	}
	return Announce{}
}

// awaitEnds steps the core until it announces ends, for a bounded number of steps.
func (r *rig) awaitEnds() Announce {
	for range 8 {
		if a := r.nextEnds(); len(a.Ends) > 0 {
			return a
		}
		r.advance(200 * time.Millisecond)
	}
	return Announce{}
}

func starts(actions []Action) (out []StartRun) {
	for _, action := range actions {
		if s, ok := action.(StartRun); ok {
			out = append(out, s)
		}
	}
	return out
}

func stops(actions []Action) (out []StopRun) {
	for _, action := range actions {
		if s, ok := action.(StopRun); ok {
			out = append(out, s)
		}
	}
	return out
}

// awaitReport refuses all announcements and steps the core until it reports ends
// in the scheduler's own part, for a bounded number of steps.
func (r *rig) awaitReport() ReportEnds {
	for range 20 {
		for _, action := range r.core.Step(r.now, r.storeMS, true) {
			switch action := action.(type) {
			case ReportEnds:
				return action
			case Announce:
				r.core.Announced(r.now, action, storeapi.ResultUnavailable, 0, AnnouncementConflict{})
			case Poll:
				r.answerPoll(action)
			}
		}
		r.advance(100 * time.Millisecond)
	}
	return ReportEnds{}
}
