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
