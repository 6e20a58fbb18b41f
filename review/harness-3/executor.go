//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// plan says how a run of a task goes on an executor: it works for a time and then ends
// in a way. A time of 0 stands for no end.
type plan func(task string, run int) (works time.Duration, how string)

// executor stands for an executor as PROTOCOL.md describes it, without gangs,
// checkpoints and pace. It starts what it is told to, whatever its capacity.
type executor struct {
	id, zone, rack string
	plan           plan
	record         *record

	mu    sync.Mutex
	began time.Time
	born  int64
	token uint64
	lease int64
	runs  map[runID]time.Time
	// highest is the highest run of each task that ended or was stopped here.
	highest map[string]int
	ended   []endedRun
	number  uint64
	changed chan struct{}
	// draining is set before a planned end, and away between that and the next start.
	draining, away bool
	sequence       int
	lastStart      time.Time
	// pings is the client of the calls to the agent.
	pings *http.Client
}

type runID struct {
	task string
	run  int
}

type endedRun struct {
	number uint64
	runID
	how string
}

func newExecutor(id, zone, rack string, p plan, r *record) *executor {
	now := time.Now()
	return &executor{
		id: id, zone: zone, rack: rack, plan: p, record: r, began: now, born: now.UnixMilli(),
		runs: map[runID]time.Time{}, highest: map[string]int{}, changed: make(chan struct{}), pings: newPings(),
	}
}

// clock is the executor's steady clock in milliseconds.
func (e *executor) clock() int64 { return time.Since(e.began).Milliseconds() + 1 }

// beat sends pings to an agent until stop is closed.
func (e *executor) beat(control string, stop <-chan struct{}) {
	for {
		e.ping(control)
		select {
		case <-stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// ping sends one ping, unless the executor is away, and reports whether it was acknowledged.
func (e *executor) ping(control string) bool {
	e.mu.Lock()
	if e.away {
		e.mu.Unlock()
		return false
	}
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": "s", "address": "127.0.0.1:1", "zone": e.zone, "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": 64000, "memory_request_mb": 262144, "gpu": 8},
		"labels":   []string{"a", e.rack}, "clock_ms": e.clock(), "sequence": e.sequence, "born": e.born,
	})
	client := e.pings
	e.mu.Unlock()
	return e.callAgent(client, http.MethodPut, control, string(body))
}

// callAgent calls the agent about this executor, and reports whether the answer is a 2xx.
func (e *executor) callAgent(client *http.Client, method, control, body string) bool {
	request, err := http.NewRequest(method, "http://"+control+"/instances/"+e.id, strings.NewReader(body))
	if err != nil {
		return false
	}
	answer, err := client.Do(request)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode/100 == 2
}

// newPings returns a client that waits a second for an answer, as for a ping.
func newPings() *http.Client {
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
}

// drain says that the executor drains, until that is acknowledged.
func (e *executor) drain(control string) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	for !e.ping(control) {
		time.Sleep(100 * time.Millisecond)
	}
}

// leave sends the deregistration and ends, with all that runs on the executor.
func (e *executor) leave(control string) {
	e.mu.Lock()
	e.away = true
	for run := range e.runs {
		e.record.ended(e.id, run, "its executor leaves")
	}
	e.runs = map[runID]time.Time{}
	client := e.pings
	e.mu.Unlock()
	e.record.say("%s sends DELETE /instances/%s and ends", e.id, e.id)
	go func() {
		acknowledged := e.callAgent(client, http.MethodDelete, control, "")
		e.record.say("the DELETE of %s was acknowledged within a second: %v", e.id, acknowledged)
		client.CloseIdleConnections()
	}()
}

// startAgain starts the executor under its id. It holds and knows nothing of before.
func (e *executor) startAgain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.began, e.born, e.token, e.lease, e.number, e.sequence = now, now.UnixMilli(), 0, 0, 0, 0
	e.highest, e.ended, e.draining, e.away, e.pings = map[string]int{}, nil, false, false, newPings()
	e.record.say("%s starts again under its id, born %d", e.id, e.born)
}

type orderCall struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	LastSeen   uint64 `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

// ServeHTTP takes the calls of the agent.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in orderCall
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if named := r.Header.Get("Expected-Instance"); named != "" && named != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.away {
		// Nothing listens: the connection is reset.
		panic(http.ErrAbortHandler)
	}
	e.settle()
	answer, reason := map[string]any{}, ""
	switch {
	case in.Token < e.token:
		reason = "fence"
	case r.URL.Path == "/run-start":
		e.grant(in)
		reason = e.start(in)
	case r.URL.Path == "/run-stop":
		e.grant(in)
		e.end(runID{in.Task, in.Run}, "stopped")
	case r.URL.Path == "/hold":
		e.grant(in)
		e.hold(in, answer)
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	status := http.StatusOK
	if reason != "" {
		status, answer["reason"] = http.StatusConflict, reason
	}
	answer["clock_ms"], answer["born"] = e.clock(), e.born
	body, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// longestLease is hold_max_ms of the settings.
const longestLease = 6000

// grant notes the fencing token and extends the lease.
func (e *executor) grant(in orderCall) {
	e.token = in.Token
	e.lease = max(e.lease, min(in.DeadlineMS, e.clock()+longestLease))
}

func (e *executor) start(in orderCall) string {
	run := runID{in.Task, in.Run}
	_, present := e.runs[run]
	switch {
	case present:
		return ""
	case in.Run <= e.highest[in.Task]:
		return "old"
	case in.DeadlineMS <= e.clock():
		return "late"
	}
	e.runs[run], e.lastStart = time.Now(), time.Now()
	e.record.began(e.id, run)
	return ""
}

// end ends a run that is there, and keeps one that is not from beginning.
func (e *executor) end(run runID, how string) {
	e.highest[run.task] = max(e.highest[run.task], run.run)
	if _, present := e.runs[run]; !present {
		return
	}
	delete(e.runs, run)
	e.number++
	e.ended = append(e.ended, endedRun{e.number, run, how})
	e.record.ended(e.id, run, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// settle ends what has worked to its end, and everything once the lease has ended.
func (e *executor) settle() {
	lapsed := e.clock() > e.lease
	for run, since := range e.runs {
		works, how := e.plan(run.task, run.run)
		switch {
		case works > 0 && time.Since(since) >= works:
			e.end(run, how)
		case lapsed:
			e.end(run, "lapsed")
		}
	}
}

// tick settles until stop is closed.
func (e *executor) tick(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
			e.mu.Lock()
			e.settle()
			e.mu.Unlock()
		}
	}
}

func (e *executor) hold(in orderCall, answer map[string]any) {
	kept := e.ended[:0]
	for _, ended := range e.ended {
		if ended.number > in.LastSeen {
			kept = append(kept, ended)
		}
	}
	e.ended = kept
	until := time.After(time.Duration(min(in.WaitMS, 2000)) * time.Millisecond)
	for waiting := in.WaitMS > 0; waiting && len(e.ended) == 0; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waiting = false
		}
		e.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for run, since := range e.runs {
		percent := 100
		if works, _ := e.plan(run.task, run.run); works > 0 && !e.record.lasting(run.task) {
			percent = int(100 * time.Since(since) / works)
		}
		running = append(running, []any{run.task, run.run, "", min(percent, 100), 1000})
	}
	for _, ended := range e.ended {
		finished = append(finished, []any{ended.number, ended.task, ended.run, ended.how, ""})
	}
	answer["running"], answer["finished"] = running, finished
}

// serve serves an HTTP handler on a free loopback port until stop is closed.
func serve(h http.Handler, stop <-chan struct{}) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener) }()
	go func() { <-stop; _ = server.Close() }()
	return listener.Addr().String(), nil
}
