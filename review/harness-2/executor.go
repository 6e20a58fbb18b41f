//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// executorConfig describes one boot of an executor. It runs as a process of its own.
type executorConfig struct {
	ID, Service, Zone, Rack string
	Labels                  []string
	Listen, Control         string
	CPU, MemoryMB, GPU      int
	HoldMaxMS, StopMS       int64
	HeartbeatMS             int64
	// FirstPingMS is the time from the start to the first ping.
	FirstPingMS int64
}

// event is one line that an executor writes to its standard output.
type event struct {
	UnixMS int64  `json:"unix_ms"`
	Kind   string `json:"kind"`
	ID     string `json:"id"`
	Born   int64  `json:"born"`
	Task   string `json:"task,omitempty"`
	Run    int    `json:"run,omitempty"`
	How    string `json:"how,omitempty"`
	Detail string `json:"detail,omitempty"`
}

type taskRun struct {
	task string
	run  int
}

type running struct {
	began    time.Time
	spec     behaviour
	stopping bool
}

type finished struct {
	n int64
	taskRun
	how string
}

// behaviour is what a task does, as its spec says: "work 300ms" ends done after that
// time; "last" runs on; "last fail 8s" fails 8 s after each start.
type behaviour struct {
	last   bool
	length time.Duration
}

func parseSpec(spec string) behaviour {
	words := strings.Fields(spec)
	b := behaviour{length: time.Second}
	if len(words) > 0 && words[0] == "last" {
		b.last, b.length = true, 0
	}
	if len(words) > 1 {
		if d, err := time.ParseDuration(words[len(words)-1]); err == nil {
			b.length = d
		}
	}
	return b
}

type executor struct {
	c       executorConfig
	mu      sync.Mutex
	began   time.Time
	born    int64
	fence   uint64
	lease   int64
	runs    map[taskRun]*running
	highest map[string]int
	ends    []finished
	lastN   int64
	changed chan struct{}
	out     *json.Encoder
}

func runExecutor(arg string) error {
	var c executorConfig
	if err := json.Unmarshal([]byte(arg), &c); err != nil {
		return err
	}
	now := time.Now()
	e := &executor{c: c, began: now, born: now.UnixMilli(), runs: map[taskRun]*running{}, highest: map[string]int{}, changed: make(chan struct{}), out: json.NewEncoder(os.Stdout)}
	e.tell("born", taskRun{}, "", fmt.Sprintf("gpu %d labels %v", c.GPU, c.Labels))
	go e.tick()
	go e.ping()
	return http.ListenAndServe(c.Listen, e)
}

func (e *executor) clock() int64 { return time.Since(e.began).Milliseconds() + 1 }

func (e *executor) tell(kind string, r taskRun, how, detail string) {
	_ = e.out.Encode(event{time.Now().UnixMilli(), kind, e.c.ID, e.born, r.task, r.run, how, detail})
}

func (e *executor) ping() {
	time.Sleep(time.Duration(e.c.FirstPingMS) * time.Millisecond)
	client := http.Client{Timeout: time.Second}
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": e.c.Service, "address": e.c.Listen, "zone": e.c.Zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "born": e.born, "clock_ms": e.clock(), "sequence": sequence,
			"capacity": map[string]int{"cpu": e.c.CPU, "memory_request_mb": e.c.MemoryMB, "gpu": e.c.GPU},
			"labels":   append([]string{"a", e.c.Rack}, e.c.Labels...),
		})
		req, _ := http.NewRequest(http.MethodPut, "http://"+e.c.Control+"/instances/"+e.c.ID, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		acknowledged := false
		if resp, err := client.Do(req); err == nil {
			acknowledged = resp.StatusCode/100 == 2
			_ = resp.Body.Close()
		}
		if sequence == 1 {
			e.mu.Lock()
			e.tell("pinged", taskRun{}, "", fmt.Sprintf("first ping, acknowledged %v", acknowledged))
			e.mu.Unlock()
		}
		time.Sleep(time.Duration(e.c.HeartbeatMS) * time.Millisecond)
	}
}

// tick ends the runs that are done, and all of them once the lease has expired.
func (e *executor) tick() {
	for range time.Tick(5 * time.Millisecond) {
		e.mu.Lock()
		for r, s := range e.runs {
			switch {
			case e.clock() > e.lease:
				e.end(r, "lapsed")
			case s.spec.length > 0 && time.Since(s.began) >= s.spec.length && !s.stopping:
				if s.spec.last {
					e.end(r, "failed")
				} else {
					e.end(r, "done")
				}
			}
		}
		e.mu.Unlock()
	}
}

func (e *executor) end(r taskRun, how string) {
	if e.runs[r] == nil {
		return
	}
	delete(e.runs, r)
	e.highest[r.task] = max(e.highest[r.task], r.run)
	e.lastN++
	e.ends = append(e.ends, finished{e.lastN, r, how})
	e.tell("ended", r, how, fmt.Sprintf("end %d", e.lastN))
	close(e.changed)
	e.changed = make(chan struct{})
}

type call struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func (e *executor) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodGet && req.URL.Path == "/health" {
		w.Header().Set("Instance-Id", e.c.ID)
		return
	}
	if named := req.Header.Get("Expected-Instance"); named != "" && named != e.c.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var in call
	if err := json.NewDecoder(req.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	answer := map[string]any{"born": e.born}
	status := http.StatusOK
	refuse := func(reason string) { status = http.StatusConflict; answer["reason"] = reason }
	r := taskRun{in.Task, in.Run}
	switch {
	case in.Fence < e.fence:
		refuse("fence")
	case req.URL.Path == "/run-start":
		e.fence = in.Fence
		switch {
		case in.DeadlineMS <= e.clock():
			refuse("late")
		default:
			e.extend(in.DeadlineMS)
			if e.runs[r] != nil {
				break
			}
			if in.Run <= e.highest[in.Task] {
				refuse("old")
				break
			}
			e.runs[r] = &running{began: time.Now(), spec: parseSpec(in.Spec)}
			e.tell("started", r, "", in.Spec)
		}
	case req.URL.Path == "/run-stop":
		e.fence = in.Fence
		if s := e.runs[r]; s != nil {
			s.stopping = true
			e.tell("stopping", r, "", "")
			time.AfterFunc(time.Duration(e.c.StopMS/2)*time.Millisecond, func() {
				e.mu.Lock()
				defer e.mu.Unlock()
				e.end(r, "stopped")
			})
		} else {
			e.highest[in.Task] = max(e.highest[in.Task], in.Run)
		}
	case req.URL.Path == "/hold":
		e.fence = in.Fence
		e.extend(in.DeadlineMS)
		e.hold(in, answer)
	default:
		status = http.StatusNotFound
	}
	answer["clock_ms"] = e.clock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (e *executor) extend(deadline int64) {
	if deadline > 0 {
		e.lease = max(e.lease, min(deadline, e.clock()+e.c.HoldMaxMS))
	}
}

// hold forgets the ends up to last_seen, waits for an end if there is none, and lists.
func (e *executor) hold(in call, answer map[string]any) {
	kept := e.ends[:0:0]
	for _, f := range e.ends {
		if f.n > in.LastSeen {
			kept = append(kept, f)
			continue
		}
		e.tell("noted", f.taskRun, f.how, fmt.Sprintf("end %d, last_seen %d", f.n, in.LastSeen))
	}
	e.ends = kept
	for until := time.Now().Add(time.Duration(in.WaitMS) * time.Millisecond); len(e.ends) == 0 && time.Now().Before(until); {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		}
		e.mu.Lock()
	}
	rows, ends := [][]any{}, [][]any{}
	for r, s := range e.runs {
		percent := 100
		if !s.spec.last {
			percent = int(min(99, 100*time.Since(s.began)/s.spec.length))
		}
		rows = append(rows, []any{r.task, r.run, "", percent})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i][0].(string) < rows[j][0].(string) })
	for _, f := range e.ends[:min(len(e.ends), 500)] {
		ends = append(ends, []any{f.n, f.task, f.run, f.how, ""})
	}
	answer["running"], answer["finished"] = rows, ends
}
