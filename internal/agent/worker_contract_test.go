package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"dragonflyyard/internal/gang"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/settings"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/wire"
)

// testTask is the task of these tests, in its second attempt.
const (
	testTask    = model.TaskID("job/0")
	testAttempt = 2
)

// testPermit is how long the start permit lasts at the begin of a test.
const testPermit = 2 * time.Second

// workerRig is the agent's caller of a worker, driven call by call on a clock
// that only the test moves, with a stand-in worker behind a raw server.
type workerRig struct {
	t      *testing.T
	caller *workerCaller
	worker *standin.Worker
	server *standin.RawServer

	mu sync.Mutex
	// now is the time of agent and worker, which share a host.
	now time.Time
	// fault answers the calls of a path in place of the worker.
	fault map[string]func(standin.RawCall) bool
	paths map[string]int
}

func newWorkerRig(t *testing.T) *workerRig {
	t.Helper()
	r := &workerRig{t: t, now: time.UnixMilli(1_800_000_000_000), fault: map[string]func(standin.RawCall) bool{}, paths: map[string]int{}}
	r.worker = standin.NewWorker(model.Resources{Accelerators: 8, Cores: 64, MemoryMB: 1 << 20}, 0, r.clock)
	r.server = startRaw(t, r.serve)
	r.connect(r.server.Address())
	return r
}

// connect makes the agent's side, which calls the worker at an address.
func (r *workerRig) connect(address string) {
	r.t.Helper()
	s := settings.DefaultAgent()
	s.ID, s.Region, s.Zone, s.Rack = "backend-1", "nordeste", "caruaru", "rack-1"
	s.HTTPAddress, s.Entries, s.BackendServer.Address = "127.0.0.1:0", []string{unreachableAddress}, unreachableAddress
	s.Worker.Address, s.Worker.ID = address, "worker-1"
	p, err := New(Config{Settings: s, Now: r.clock})
	if err != nil {
		r.t.Fatal(err)
	}
	r.caller = p.Worker.caller
	r.caller.client.client.timeout = limit
	p.Permits.current.Store(&gang.PermitUpdate{ValidUntil: r.clock().Add(testPermit)})
}

func (r *workerRig) clock() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now
}

func (r *workerRig) pass(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now = r.now.Add(d)
}

// on sets the answer to calls of a path; nil hands them to the worker again.
func (r *workerRig) on(path string, answer func(standin.RawCall) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault[path] = answer
}

func (r *workerRig) calls(path string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paths[path]
}

func (r *workerRig) serve(c standin.RawCall) bool {
	r.mu.Lock()
	r.paths[c.Path]++
	fault := r.fault[c.Path]
	r.mu.Unlock()
	if fault != nil {
		return fault(c)
	}
	return c.Send(r.take(c))
}

// take lets a call take effect at the worker and returns its answer.
func (r *workerRig) take(c standin.RawCall) string {
	status, answer := 200, ""
	done := true
	switch path := strings.TrimPrefix(c.Path, "/tasks"); path {
	case "":
		if len(c.Body) > 0 {
			var start standin.StartTask
			if json.Unmarshal(c.Body, &start) != nil || r.worker.Start(start) != "" {
				status = 409
			}
			break
		}
		list, _ := json.Marshal(standin.TasksResponse{Tasks: r.worker.Tasks()})
		answer = string(list)
	case "/job/0/lease":
		done = r.worker.Renew(testTask, time.Hour)
	case "/job/0/throttle":
		var order throttleBody
		_ = json.Unmarshal(c.Body, &order)
		done = r.worker.Throttle(testTask, order.Percent)
	case "/job/0/checkpoint":
		done = r.worker.Checkpoint(testTask)
	case "/job/0/stop":
		done = r.worker.Stop(testTask)
	}
	if !done {
		status = 404
	}
	return standin.Whole(status, "", answer)
}

// after lets a call take effect and answers with other bytes.
func (r *workerRig) after(answer func(standin.RawCall) bool) func(standin.RawCall) bool {
	return func(c standin.RawCall) bool {
		r.take(c)
		return answer(c)
	}
}

func (r *workerRig) start() {
	r.caller.give(context.Background(), gang.StartTask{
		Job: "job", Attempt: testAttempt, Task: testTask, Needs: model.Resources{Cores: 1, MemoryMB: 1},
		RunMS: time.Hour.Milliseconds(), LeaseUntil: r.clock().Add(time.Hour),
	})
}

// reports returns what the worker duty was told since the last call, in short
// form. The list is put as "list", a failure as "failed call".
func (r *workerRig) reports() string {
	var out []string
	for {
		select {
		case in := <-r.caller.w.inputs.Out():
			switch e, isEvent := in.gang.(gang.WorkerTaskEvent); {
			case isEvent:
				out = append(out, stateNames[e.State])
			case in.failed.start:
				out = append(out, "start failed")
			default:
				out = append(out, "call failed")
			}
		default:
			return strings.Join(out, ", ")
		}
	}
}

var stateNames = map[wire.TaskState]string{
	wire.TaskRunning: "running", wire.TaskFinished: "finished", wire.TaskFailed: "failed", wire.TaskStopped: "stopped",
}

// starts counts the starts at the worker of the attempt under test.
func (r *workerRig) starts() int {
	count := 0
	for _, h := range r.worker.History() {
		if h.Attempt == testAttempt && h.State == standin.WorkerTaskRunning {
			count++
		}
	}
	return count
}

// brokenAnswers are answers that tell nothing, whatever was asked.
func brokenAnswers() map[string]func(standin.RawCall) bool {
	return map[string]func(standin.RawCall) bool{
		"reset":              standin.RawCall.Reset,
		"closed":             standin.ThenCut(""),
		"cut in the header":  standin.ThenCut("HTTP/1.1 200 x\r\nConte"),
		"cut in the body":    standin.ThenCut("HTTP/1.1 200 x\r\nContent-Length: 99\r\n\r\n{\"tasks\":["),
		"no length":          standin.ThenCut("HTTP/1.1 200 x\r\n\r\n{\"tasks\":[]}"),
		"not HTTP":           standin.ThenCut("tasks\r\n\r\n"),
		"oversized":          standin.Always(fmt.Sprintf("HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n", maxWorkerAnswerBytes+1)),
		"oversized header":   standin.Always(standin.TooManyHeaders()),
		"internal error":     standin.Always(standin.Whole(500, "", "")),
		"not available":      standin.Always(standin.Whole(503, "", "")),
		"gateway timed out":  standin.Always(standin.Whole(504, "", "")),
		"status that is odd": standin.Always(standin.Whole(999, "", "")),
	}
}

// TestStartAtAWorkerThatAnswersNothing tells a start that took effect from one
// that did not, whatever became of its answer: by the worker's list, and not
// before the worker can no longer take the start.
func TestStartAtAWorkerThatAnswersNothing(t *testing.T) {
	for name, answer := range brokenAnswers() {
		t.Run("took effect, "+name, func(t *testing.T) {
			t.Parallel()
			r := newWorkerRig(t)
			var once sync.Once
			r.on("/tasks", func(c standin.RawCall) bool {
				if len(c.Body) == 0 {
					return c.Send(r.take(c))
				}
				once.Do(func() { r.take(c) })
				return answer(c)
			})
			r.start()
			if got := r.reports(); got != "running" || r.starts() != 1 {
				t.Errorf("got %q, %d starts", got, r.starts())
			}
		})
		t.Run("no effect, "+name, func(t *testing.T) {
			t.Parallel()
			r := newWorkerRig(t)
			r.on("/tasks", func(c standin.RawCall) bool {
				if len(c.Body) == 0 {
					return c.Send(r.take(c))
				}
				return answer(c)
			})
			r.start()
			r.pass(testPermit)
			r.caller.observe(context.Background())
			if got := r.reports(); got != "" {
				t.Errorf("while the worker might start the task: got %q", got)
			}
			r.pass(time.Millisecond)
			r.caller.observe(context.Background())
			if got := r.reports(); got != "failed" || r.starts() != 0 {
				t.Errorf("got %q, %d starts", got, r.starts())
			}
		})
	}
}

// TestStartThatArrivesLate holds a start up on its way for longer than the
// agent waits.
func TestStartThatArrivesLate(t *testing.T) {
	cases := []struct {
		name   string
		late   time.Duration
		want   string
		starts int
	}{
		{"inside the permit", testPermit, "running", 1},
		{"after the permit", testPermit + time.Millisecond, "failed", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newWorkerRig(t)
			r.caller.client.client.timeout = backendTimeout
			held := make(chan standin.RawCall, 1)
			r.on("/tasks", func(c standin.RawCall) bool {
				if len(c.Body) == 0 {
					return c.Send(r.take(c))
				}
				held <- c
				return true
			})
			r.start()
			r.caller.client.client.timeout = limit
			if got := r.reports(); got != "" {
				t.Fatalf("got %q before the start arrived", got)
			}
			r.pass(c.late)
			r.take(<-held)
			r.caller.observe(context.Background())
			if got := r.reports(); got != c.want || r.starts() != c.starts {
				t.Errorf("got %q, %d starts; want %q, %d", got, r.starts(), c.want, c.starts)
			}
		})
	}
}

func TestStartThatTheWorkerDidNotTake(t *testing.T) {
	refused := func(r *workerRig) { r.on("/tasks", standin.Always(standin.Whole(409, "", "full"))) }
	cases := []struct {
		name   string
		before func(*workerRig)
		want   string
	}{
		{"refused", refused, "start failed"},
		{"connection refused", func(r *workerRig) { r.connect(unreachableAddress) }, "start failed"},
		{"permit over", func(r *workerRig) { r.pass(testPermit) }, "start failed"},
		{"taken", func(*workerRig) {}, "running"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newWorkerRig(t)
			c.before(r)
			r.start()
			if got := r.reports(); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if isKnown := r.caller.known[testTask] != nil; isKnown != (c.want == "running") || (r.starts() == 1) != isKnown {
				t.Errorf("known %v, %d starts", isKnown, r.starts())
			}
		})
	}
}

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
