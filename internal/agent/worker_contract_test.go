package agent

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/gang"
	"dragonflyyard/internal/standin"
)

// TestListOfTasks holds each list of the worker against what the duty is told
// about a running task, once and with the second look.
func TestListOfTasks(t *testing.T) {
	list := func(tasks string) func(standin.RawCall) bool { return standin.Always(standin.Whole(200, "", tasks)) }
	entry := func(attempt int, state string) string {
		return fmt.Sprintf(`{"id":"job/0","attempt":%d,"state":"%s","done_ms":5}`, attempt, state)
	}
	cases := map[string]struct {
		answer       func(standin.RawCall) bool
		first, again string
	}{
		"running":                {list(`{"tasks":[` + entry(testAttempt, "running") + `]}`), "", ""},
		"finished":               {list(`{"tasks":[` + entry(testAttempt, "finished") + `]}`), "finished", ""},
		"lease lapsed":           {list(`{"tasks":[` + entry(testAttempt, "lease_lapsed") + `]}`), "stopped", ""},
		"not listed":             {list(`{"tasks":[]}`), "failed", ""},
		"an earlier attempt":     {list(`{"tasks":[` + entry(testAttempt-1, "finished") + `]}`), "failed", ""},
		"another task beside it": {list(`{"tasks":[{"id":"x/0","attempt":2,"state":"failed"},` + entry(testAttempt, "running") + `]}`), "", ""},
		"unknown state":          {list(`{"tasks":[` + entry(testAttempt, "dreaming") + `]}`), "call failed", ""},
		"no list":                {list(`{}`), "call failed", ""},
		"list is null":           {list(`{"tasks":null}`), "call failed", ""},
		"not JSON":               {list(`{"tasks":[`), "call failed", ""},
		"empty":                  {list(``), "call failed", ""},
		"an array":               {list(`[]`), "call failed", ""},
		"task named twice":       {list(`{"tasks":[` + entry(testAttempt, "running") + `,` + entry(testAttempt, "failed") + `]}`), "call failed", ""},
		"task without an ID":     {list(`{"tasks":[{"state":"running"}]}`), "call failed", ""},
		"negative work":          {list(`{"tasks":[{"id":"job/0","attempt":2,"state":"finished","done_ms":-5}]}`), "call failed", ""},
	}
	for name, answer := range brokenAnswers() {
		c := cases["no list"]
		c.answer = answer
		cases[name] = c
	}
	silent := cases["no list"]
	silent.answer = standin.Always("")
	cases["silent"] = silent
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newWorkerRig(t)
			r.start()
			r.reports()
			r.on("/tasks", c.answer)
			if name == "silent" {
				r.caller.client.client.timeout = backendTimeout
			}
			r.caller.observe(context.Background())
			if got := r.reports(); got != c.first {
				t.Errorf("got %q, want %q", got, c.first)
			}
			r.caller.observe(context.Background())
			if got := r.reports(); got != c.again {
				t.Errorf("second look: got %q, want %q", got, c.again)
			}
			r.on("/tasks", nil)
			r.caller.client.client.timeout = limit
			r.caller.observe(context.Background())
			if got := r.reports(); got != "" || r.starts() != 1 {
				t.Errorf("healed: got %q, %d starts", got, r.starts())
			}
		})
	}
}

// TestOrdersAboutATask breaks the first answer to each order. An order that
// nobody else repeats is given again until the worker has taken it.
func TestOrdersAboutATask(t *testing.T) {
	orders := []struct {
		action   string
		order    gang.Action
		repeated bool
		// took reports whether the worker did as ordered.
		took func(standin.WorkerTask) bool
	}{
		{actionThrottle, gang.ThrottleTask{Task: testTask, Percent: 0}, true, func(t standin.WorkerTask) bool { return t.Percent == 0 }},
		{actionCheckpoint, gang.CheckpointTask{Task: testTask, Until: time.UnixMilli(1_900_000_000_000)}, true,
			func(t standin.WorkerTask) bool { return t.CheckpointMS > 0 }},
		{actionStop, gang.StopTask{Task: testTask}, false, func(t standin.WorkerTask) bool { return t.State == standin.WorkerTaskStopped }},
		{actionLease, gang.ExtendLease{Task: testTask, LeaseUntil: time.UnixMilli(1_800_000_060_000)}, false, nil},
	}
	for _, o := range orders {
		for name, answer := range brokenAnswers() {
			for _, effect := range []bool{false, true} {
				t.Run(fmt.Sprint(o.action, " ", name, ", took effect ", effect), func(t *testing.T) {
					t.Parallel()
					r := newWorkerRig(t)
					r.start()
					r.pass(time.Second)
					r.reports()
					path := "/tasks/job/0" + o.action
					r.on(path, answer)
					if effect {
						r.on(path, r.after(answer))
					}
					r.caller.give(context.Background(), o.order)
					if got := r.reports(); !strings.HasPrefix(got, "call failed") {
						t.Errorf("got %q", got)
					}
					r.on(path, nil)
					given := r.calls(path)
					r.caller.observe(context.Background())
					if again := r.calls(path) > given; again != (o.repeated && r.caller.known[testTask] != nil) {
						t.Errorf("given again: %v", again)
					}
					taken := o.took == nil || o.took(r.worker.Tasks()[0])
					if !taken && (o.repeated || effect) {
						t.Errorf("the worker has %+v", r.worker.Tasks()[0])
					}
					given = r.calls(path)
					r.caller.observe(context.Background())
					if r.calls(path) != given && o.action == actionThrottle {
						t.Error("an order that was taken is given again")
					}
				})
			}
		}
	}
}

// TestAnOrderThatIsRefusedIsNotRepeated wants one alarm for it.
func TestAnOrderThatIsRefusedIsNotRepeated(t *testing.T) {
	r := newWorkerRig(t)
	r.start()
	r.reports()
	r.on("/tasks/job/0/throttle", standin.Always(standin.Whole(405, "", "")))
	r.caller.give(context.Background(), gang.ThrottleTask{Task: testTask})
	r.caller.observe(context.Background())
	if got := r.reports(); got != "call failed" || r.calls("/tasks/job/0/throttle") != 1 {
		t.Errorf("got %q, given %d times", got, r.calls("/tasks/job/0/throttle"))
	}
}

// TestAnOrderForATaskThatEndedIsTaken wants no alarm for a task that does not
// run any more.
func TestAnOrderForATaskThatEndedIsTaken(t *testing.T) {
	for _, order := range []gang.Action{
		gang.ThrottleTask{Task: testTask}, gang.StopTask{Task: testTask}, gang.ExtendLease{Task: testTask}, gang.CheckpointTask{Task: testTask},
	} {
		r := newWorkerRig(t)
		r.caller.give(context.Background(), order)
		if got := r.reports(); got != "" {
			t.Errorf("%T: got %q", order, got)
		}
	}
}

// TestStopWhileTheWorkerIsSilent wants the duty to end within the bound of a
// call that is under way.
func TestStopWhileTheWorkerIsSilent(t *testing.T) {
	r := newWorkerRig(t)
	arrived := make(chan struct{}, 8)
	r.on("/tasks", func(standin.RawCall) bool { arrived <- struct{}{}; return true })
	r.caller.client.client.timeout = backendTimeout
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.caller.run(ctx) }()
	r.caller.order(gang.StartTask{Task: testTask, Attempt: testAttempt, RunMS: 1, LeaseUntil: r.clock().Add(time.Hour)})
	<-arrived
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
