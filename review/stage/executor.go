//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Figures of an executor: those of PROTOCOL.md and of the site's sheet.
const (
	holdMax        = 6 * time.Second
	maxEndsListed  = 500
	maxHoldWait    = 2 * time.Second
	heartbeatEvery = 1500 * time.Millisecond
	executorCPU    = 128000
	executorMemory = 524288
	executorGPU    = 8
)

type runRef struct {
	task string
	run  int
}

type runState struct {
	began  time.Time
	length time.Duration
	// lasts is set for a task that runs until it is stopped; it fails after length, if that isn't 0.
	lasts bool
}

// newRun begins a run of a task. The text of a spec is how long the task takes, or "lasts", followed by the shortest time
// until it fails, if it does.
func newRun(run runRef, spec string) (runState, error) {
	length, lasts := strings.CutPrefix(spec, "lasts")
	if lasts && length == "" {
		return runState{began: time.Now(), lasts: true}, nil
	}
	parsed, err := time.ParseDuration(strings.TrimSpace(length))
	if lasts {
		// Between one and three times the shortest time, by the task and its run.
		h := fnv.New32a()
		_, _ = fmt.Fprint(h, run.task, "/", run.run)
		return runState{began: time.Now(), length: parsed + time.Duration(float64(2*parsed)*float64(h.Sum32()%1000)/1000), lasts: true}, err
	}
	return runState{began: time.Now(), length: uneven(parsed, run.task)}, err
}

type endRow struct {
	number uint64
	runRef
	how string
	at  time.Time
}

// executor is a stand-in for an executor, over all its lives.
type executor struct {
	record  *record
	history *history
	// machine is the side machine, where it registers at control.
	machine, control string
	// address is where it takes calls.
	address       string
	service, zone string
	labels        []string

	mu sync.Mutex
	// clockOffset is the difference of the machine's time of day from true time.
	clockOffset time.Duration
	up          bool
	// busy is set while all starts are refused with 503.
	busy      bool
	server    *http.Server
	id        string
	born      int64
	began     time.Time
	sequence  int
	token     uint64
	leaseMS   int64
	runs      map[runRef]runState
	highest   map[string]int
	ended     []endRow
	number    uint64
	lastLapse time.Time
	// booted wakes beat, so that a life begins with a ping.
	booted chan struct{}
}

func (e *executor) stepClock(by time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clockOffset += by
	e.record.add(e.machine, "time of day jumps by %v", by)
}

// boot begins a life. An empty id keeps that of the life before.
func (e *executor) boot(id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	listener, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: e}
	e.server = server
	go func() { _ = server.Serve(listener) }()
	if id != "" {
		e.id = id
	}
	e.up, e.began, e.sequence, e.token, e.leaseMS, e.number = true, time.Now(), 0, 0, 0, 0
	e.born = time.Now().Add(e.clockOffset).UnixMilli()
	e.runs, e.highest, e.ended = map[runRef]runState{}, map[string]int{}, nil
	e.record.add(e.machine, "executor %s starts, born=%d", e.id, e.born)
	select {
	case e.booted <- struct{}{}:
	default:
	}
	return nil
}

// crash ends the life and all that runs; nothing listens at its address then.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.record.add(e.machine, "executor %s crashes with %d tasks running", e.id, len(e.runs))
	for run := range e.runs {
		e.history.end(e.machine, run, "crashed")
	}
	e.off()
}

// off ends the process. The caller holds e.mu.
func (e *executor) off() {
	e.up, e.runs, e.ended = false, map[runRef]runState{}, nil
	_ = e.server.Close()
}

func (e *executor) clock() int64 { return 1 + time.Since(e.began).Milliseconds() }

// beat sends pings until stop is closed.
func (e *executor) beat(stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		wait := heartbeatEvery
		if !e.ping(client) {
			wait = 300 * time.Millisecond
		}
		select {
		case <-stop:
			return
		case <-e.booted:
		case <-time.After(wait):
		}
	}
}

func (e *executor) ping(client *http.Client) bool {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return false
	}
	e.sequence++
	id := e.id
	body := beatBody(e.service, e.zone, e.labels, e.born, e.clock(), e.sequence)
	e.mu.Unlock()
	status := sendBeat(client, e.control, id, body)
	return status/100 == 2
}

func beatBody(service, zone string, labels []string, born, clock int64, sequence int) map[string]any {
	return map[string]any{
		"service": service, "address": "127.0.0.1:9", "zone": zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": executorCPU, "memory_request_mb": executorMemory, "gpu": executorGPU},
		"labels": labels, "clock_ms": clock, "sequence": sequence, "born": born,
	}
}

func sendBeat(client *http.Client, control, id string, body map[string]any) int {
	data, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+control+"/instances/"+id, bytes.NewReader(data))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

type orderBody struct {
	Task       string  `json:"task"`
	Run        int     `json:"run"`
	Spec       string  `json:"spec"`
	DeadlineMS int64   `json:"deadline_ms"`
	Token      uint64  `json:"fencing_token"`
	LastSeen   *uint64 `json:"last_seen"`
	WaitMS     int64   `json:"wait_ms"`
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		// A crashed process has no connections.
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var in orderBody
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		e.reply(w, http.StatusBadRequest, nil)
		return
	}
	e.settle()
	if in.Token < e.token {
		e.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	e.token = in.Token
	run := runRef{in.Task, in.Run}
	switch r.URL.Path {
	case "/run-start":
		e.start(w, run, in)
	case "/run-stop":
		e.highest[run.task] = max(e.highest[run.task], run.run)
		if _, present := e.runs[run]; present {
			e.end(run, "stopped")
		}
		e.reply(w, http.StatusOK, nil)
	case "/hold":
		e.hold(w, in)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *executor) reply(w http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clock_ms"], body["born"] = e.clock(), e.born
	reply(w, status, body)
}

// extend prolongs the lease; it never shortens, and no lease is longer than holdMax.
func (e *executor) extend(deadlineMS int64) {
	e.leaseMS = max(e.leaseMS, min(deadlineMS, e.clock()+holdMax.Milliseconds()))
}

func (e *executor) start(w http.ResponseWriter, run runRef, in orderBody) {
	_, present := e.runs[run]
	switch {
	case present:
		e.extend(in.DeadlineMS)
		e.reply(w, http.StatusOK, nil)
		return
	case in.DeadlineMS <= e.clock():
		e.reply(w, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	e.extend(in.DeadlineMS)
	if run.run <= e.highest[run.task] {
		e.reply(w, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	if e.busy {
		e.reply(w, http.StatusServiceUnavailable, nil)
		return
	}
	state, err := newRun(run, in.Spec)
	if err != nil {
		e.reply(w, http.StatusBadRequest, nil)
		return
	}
	e.runs[run] = state
	e.history.start(e.machine, run)
	e.reply(w, http.StatusOK, nil)
}

// uneven varies the length of a task by up to half, by its name: estimates are rough.
func uneven(length time.Duration, task string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return length/2 + time.Duration(float64(length)*float64(h.Sum32()%1000)/1000)
}

func (e *executor) end(run runRef, how string) {
	delete(e.runs, run)
	e.highest[run.task] = max(e.highest[run.task], run.run)
	e.number++
	e.ended = append(e.ended, endRow{e.number, run, how, time.Now()})
	e.history.end(e.machine, run, how)
}

// settle ends the runs that are done, and all of them once the lease has run out.
func (e *executor) settle() {
	lapsed := e.clock() > e.leaseMS
	if lapsed {
		e.lastLapse = time.Now()
	}
	for run, state := range e.runs {
		switch {
		case state.lasts && (state.length == 0 || time.Since(state.began) < state.length):
			if lapsed {
				e.end(run, "lapsed")
			}
		case state.lasts:
			e.end(run, "failed")
		case time.Since(state.began) >= state.length:
			e.end(run, "done")
		case lapsed:
			e.end(run, "lapsed")
		}
	}
}

// work settles the executor at short intervals until stop is closed.
func (e *executor) work(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		e.mu.Lock()
		if e.up {
			e.settle()
		}
		e.mu.Unlock()
	}
}

func (e *executor) hold(w http.ResponseWriter, in orderBody) {
	if in.DeadlineMS > 0 {
		e.extend(in.DeadlineMS)
	}
	if in.LastSeen != nil {
		kept := e.ended[:0:0]
		for _, end := range e.ended {
			if end.number > *in.LastSeen {
				kept = append(kept, end)
				continue
			}
			// A lease that ran out between the end and this call voids the note.
			e.history.note(e.machine, end, e.lastLapse.After(end.at))
		}
		e.ended = kept
	}
	life := e.born
	until := time.Now().Add(min(time.Duration(in.WaitMS)*time.Millisecond, maxHoldWait))
	for len(e.ended) == 0 && time.Now().Before(until) {
		e.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		e.mu.Lock()
		if !e.up || e.born != life {
			panic(http.ErrAbortHandler)
		}
		e.settle()
	}
	running, finished := [][]any{}, [][]any{}
	for run, state := range e.runs {
		percent := min(99, int(100*time.Since(state.began)/max(state.length, 1)))
		if state.lasts {
			percent = 100
		}
		running = append(running, []any{run.task, run.run, "", percent, 100})
	}
	for _, end := range e.ended[:min(len(e.ended), maxEndsListed)] {
		finished = append(finished, []any{end.number, end.task, end.run, end.how, ""})
	}
	e.reply(w, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

// inUse returns how many tasks of a job run here, the processor time and the accelerators that all tasks here take, and whether the
// executor is up.
func (e *executor) inUse(job string, demand func(job string) (milliCores, gpus int)) (own, cpu, gpu int, up bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for run := range e.runs {
		if jobOf(run.task) == job {
			own++
		}
		c, g := demand(jobOf(run.task))
		cpu, gpu = cpu+c, gpu+g
	}
	return own, cpu, gpu, e.up
}

func (e *executor) setBusy(busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy = busy
	e.record.add(e.machine, "refuses all starts with 503: %v", busy)
}

// suits reports whether the executor has a label; the empty one suits all.
func (e *executor) suits(label string) bool { return label == "" || slices.Contains(e.labels, label) }
