package taskrunner

import (
	"testing"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

const (
	testHost = "side-1"
	storeAt  = int64(50_000)
)

// rig drives a core by hand: a test answers the calls that it wants answered.
type rig struct {
	t       *testing.T
	core    *Core
	now     time.Time
	storeMS int64
	version storeapi.RowVersion
	clockMS int64
	life    model.Incarnation
	running []workload.RunningTask
	ended   []EndedRun
	// reported are the ends that were committed.
	reported []PendingEnd
}

func newRig(t *testing.T) *rig {
	t.Helper()
	return &rig{
		t: t, core: New(DefaultSettings(10*time.Second), testHost), now: time.Unix(1000, 0), storeMS: storeAt,
		clockMS: 7000, life: 5, version: 10,
	}
}

func (r *rig) heartbeat(change func(*Heartbeat)) {
	h := Heartbeat{Worker: "w-1", Incarnation: 5, Sequence: 1, Service: "s", Zone: "z"}
	if change != nil {
		change(&h)
	}
	r.core.HeartbeatSeen(h)
}

// ready brings the core to where it takes orders.
func (r *rig) ready() {
	r.t.Helper()
	r.core.RowLoaded(workload.Announcement{}, 0)
	r.core.OrdersLoaded(nil, r.version)
	r.heartbeat(nil)
	r.settle()
}

// settle steps the core and answers looks, announcements and commits of ends
// until nothing but starts and stops is asked for, which it returns.
func (r *rig) settle() []Action {
	r.t.Helper()
	var orders []Action
	for range 12 {
		actions := r.core.Step(r.now, r.storeMS, true)
		progress := false
		for _, action := range actions {
			switch action := action.(type) {
			case Hold:
				r.held(action)
			case Announce:
				r.version++
				r.core.Announced(r.now, action, storeapi.ResultOK, r.version, Present{})
				r.reported = append(r.reported, action.Ends...)
				progress = true
			default:
				orders = append(orders, action)
			}
		}
		r.pass(time.Millisecond)
		if !progress && len(actions) == 0 {
			break
		}
	}
	return orders
}

func (r *rig) held(h Hold) {
	var ended []EndedRun
	for _, e := range r.ended {
		if e.Number > h.Acknowledged {
			ended = append(ended, e)
		}
	}
	sentAt := r.now
	r.pass(time.Millisecond)
	r.core.Polled(r.now, sentAt, h, HoldAnswered, RunLists{ClockMS: r.clockMS, Incarnation: r.life, Running: r.running, Ended: ended})
}

func (r *rig) pass(d time.Duration) {
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

func (r *rig) see(o workload.Order, maybeSent bool) workload.RunID {
	r.t.Helper()
	r.version++
	r.core.OrderSeen(o, r.version, maybeSent)
	id, err := o.ID()
	if err != nil {
		r.t.Fatal(err)
	}
	return id
}

// runs brings an ordered run to where the worker lists it.
func (r *rig) runs(task string) {
	r.t.Helper()
	id := r.see(r.order(task, 1, nil), false)
	r.settle()
	r.core.Started(r.now, id, OrderTaken)
	r.running = append(r.running, workload.RunningTask{Task: task, Run: 1})
	r.settle()
}

// ends steps the core once and returns the announcement with the ends that it
// wants committed.
func (r *rig) ends() Announce {
	for _, action := range r.core.Step(r.now, r.storeMS, true) {
		switch action := action.(type) {
		case Announce:
			if len(action.Ends) > 0 {
				return action
			}
			r.version++
			r.core.Announced(r.now, action, storeapi.ResultOK, r.version, Present{})
		case Hold:
			r.held(action)
		}
	}
	return Announce{}
}

// awaitEnds steps the core until it wants ends committed.
func (r *rig) awaitEnds() Announce {
	for range 8 {
		if a := r.ends(); len(a.Ends) > 0 {
			return a
		}
		r.pass(200 * time.Millisecond)
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

// awaitReport steps the core until it wants ends reported apart. Announcements
// go on failing.
func (r *rig) awaitReport() ReportEnds {
	for range 20 {
		for _, action := range r.core.Step(r.now, r.storeMS, true) {
			switch action := action.(type) {
			case ReportEnds:
				return action
			case Announce:
				r.core.Announced(r.now, action, storeapi.ResultUnavailable, 0, Present{})
			case Hold:
				r.held(action)
			}
		}
		r.pass(100 * time.Millisecond)
	}
	return ReportEnds{}
}
