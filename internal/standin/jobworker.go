package standin

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// JobWorker stands for a worker of the deployment platform. A task runs for the
// duration that its spec names, such as "300ms". It is safe for concurrent use.
type JobWorker struct {
	id, service, zone, rack string

	mu    sync.Mutex
	began time.Time
	born  int64
	token uint64
	lease int64
	runs  map[jobRun]time.Time
	// highest is the highest run of each task that ended or was stopped here.
	highest  map[string]int
	ended    []endedRun
	number   uint64
	started  []string
	draining bool
	observe  func(RunEvent)
}

// RunEventKind says what happened to a run on a worker.
type RunEventKind string

// Kinds of events of a run.
const (
	RunBegan RunEventKind = "began"
	RunEnded RunEventKind = "ended"
	// RunNoted means that the agent acknowledged the run's end.
	RunNoted RunEventKind = "noted"
)

// RunEvent is what happened to a run on a worker.
type RunEvent struct {
	Kind   RunEventKind
	Worker string
	Task   string
	Run    int
	// How is how the run ended; a new life of the worker ends it as "lost".
	How string
	At  time.Time
}

// Observe registers a function that is told of each event, under the worker's lock.
func (w *JobWorker) Observe(observe func(RunEvent)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observe = observe
}

func (w *JobWorker) tell(kind RunEventKind, run jobRun, how string) {
	if w.observe != nil {
		w.observe(RunEvent{kind, w.id, run.task, run.run, how, time.Now()})
	}
}

type jobRun struct {
	task string
	run  int
}

type endedRun struct {
	number uint64
	jobRun
	how string
}

// NewJobWorker returns a worker that begins its life now.
func NewJobWorker(id, service, zone, rack string) *JobWorker {
	w := &JobWorker{id: id, service: service, zone: zone, rack: rack}
	w.Restart()
	return w
}

// Restart ends all that runs and begins another life.
func (w *JobWorker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for run := range w.runs {
		w.tell(RunEnded, run, "lost")
	}
	w.began = time.Now()
	w.born = max(w.born+1, w.began.UnixMilli())
	w.token, w.lease, w.number = 0, 0, 0
	w.runs, w.highest, w.ended = map[jobRun]time.Time{}, map[string]int{}, nil
}

// Started returns the names of the tasks that were started, in order, over all lives.
func (w *JobWorker) Started() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.started...)
}

// Drain makes the worker report that it leaves.
func (w *JobWorker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
}

// Beat sends one heartbeat to an agent's control address.
func (w *JobWorker) Beat(control string, sequence int) error {
	w.mu.Lock()
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": w.service, "address": "127.0.0.1:1", "zone": w.zone, "version": "v1", "slots": 8, "state": state,
		"capacity": map[string]int{"cpu": 64000, "memory_request_mb": 131072, "gpu": 8},
		"labels":   []string{"a", w.rack}, "clock_ms": w.clock(), "sequence": sequence, "born": w.born,
	})
	w.mu.Unlock()
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPut)
	req.SetRequestURI("http://" + control + "/instances/" + w.id)
	req.SetBody(body)
	return fasthttp.DoTimeout(req, resp, time.Second)
}

func (w *JobWorker) clock() int64 { return time.Since(w.began).Milliseconds() + 1 }

// jobCall holds the fields of all calls to a worker.
type jobCall struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	LastSeen   uint64 `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

// Handle serves the calls of the agent.
func (w *JobWorker) Handle(ctx *fasthttp.RequestCtx) {
	var in jobCall
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if named := string(ctx.Request.Header.Peek("Expected-Instance")); named != "" && named != w.id {
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	reason := w.admit(in)
	answer := map[string]any{}
	switch path := string(ctx.Path()); {
	case reason != "":
	case path == "/run-start":
		reason = w.start(in)
	case path == "/run-stop":
		w.end(jobRun{in.Task, in.Run}, "stopped")
	case path == "/hold":
		w.hold(in, answer)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if reason != "" {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		answer["reason"] = reason
	}
	answer["clock_ms"] = w.clock()
	answer["born"] = w.born
	body, err := json.Marshal(answer)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

// admit checks the fencing token and extends the lease.
func (w *JobWorker) admit(in jobCall) string {
	if in.Token < w.token {
		return "fence"
	}
	w.token = in.Token
	w.lease = max(w.lease, in.DeadlineMS)
	return ""
}

func (w *JobWorker) start(in jobCall) string {
	run := jobRun{in.Task, in.Run}
	_, present := w.runs[run]
	switch {
	case present:
		return ""
	case in.DeadlineMS <= w.clock():
		return "late"
	case in.Run <= w.highest[in.Task]:
		return "old"
	}
	length, err := time.ParseDuration(in.Spec)
	if err != nil {
		length = 100 * time.Millisecond
	}
	w.runs[run] = time.Now().Add(length)
	w.started = append(w.started, in.Task)
	w.tell(RunBegan, run, "")
	return ""
}

// end ends a run that is there, and keeps one that is not from beginning.
func (w *JobWorker) end(run jobRun, how string) {
	w.highest[run.task] = max(w.highest[run.task], run.run)
	if _, present := w.runs[run]; !present {
		return
	}
	delete(w.runs, run)
	w.number++
	w.ended = append(w.ended, endedRun{w.number, run, how})
	w.tell(RunEnded, run, how)
}

// settle ends what is done, and everything once the lease has ended.
func (w *JobWorker) settle() {
	for run, until := range w.runs {
		switch {
		case w.clock() > w.lease:
			w.end(run, "lapsed")
		case time.Now().After(until):
			w.end(run, "done")
		}
	}
}

// maxEndsListed is the number of ends in one answer; the platform's workers list no more.
const maxEndsListed = 500

// hold fills the lists, after a short wait for an end.
func (w *JobWorker) hold(in jobCall, answer map[string]any) {
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.number > in.LastSeen {
			kept = append(kept, e)
			continue
		}
		w.tell(RunNoted, e.jobRun, e.how)
	}
	w.ended = kept
	for end := time.Now().Add(time.Duration(in.WaitMS) * time.Millisecond); len(w.ended) == 0 && time.Now().Before(end); {
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		w.settle()
	}
	running, finished := [][]any{}, [][]any{}
	for run := range w.runs {
		running = append(running, []any{run.task, run.run, "", 50})
	}
	for _, e := range w.ended[:min(len(w.ended), maxEndsListed)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer["running"], answer["finished"] = running, finished
}
