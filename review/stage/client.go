//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// job is a job as its client knows it.
type job struct {
	queue, id, key, body string
	tasks                int
	milliCores           int
	gpus                 int
	label                string
	accepted             bool
	acceptedAt           time.Time
}

// clients hands jobs in and asks for their states, as the platform's clients do.
type clients struct {
	site *site
	http *http.Client
	mu   sync.Mutex
	jobs []*job
	next int
	// length is about how long the tasks of small jobs take.
	length time.Duration
}

func newClients(s *site) *clients {
	return &clients{site: s, http: &http.Client{Timeout: callDeadline}, length: time.Second}
}

// call makes one call at one frontend machine; status 0 means that there was no answer.
func (c *clients) call(entry int, method string, j *job, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+c.site.entries[entry%len(c.site.entries)]+j.queue+j.id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.Header.Set("Credential", j.key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(callDeadline.Milliseconds()))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	data, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, string(data)
}

// submit hands a job in, at another frontend machine after each try that was not accepted, at most five times.
func (c *clients) submit(j *job) {
	c.mu.Lock()
	c.next++
	first := c.next
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	for try := range 5 {
		status, _ := c.call(first+try, http.MethodPost, j, j.body)
		c.site.record.add("client", "POST %s%s -> %d  %.150s", j.queue, j.id, status, j.body)
		if status/100 == 2 {
			c.mu.Lock()
			j.accepted, j.acceptedAt = true, time.Now()
			c.mu.Unlock()
			return
		}
		if status == http.StatusNotFound || status == http.StatusUnauthorized || status == http.StatusBadRequest {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// state asks for a job's state, at up to three frontend machines.
func (c *clients) state(j *job) string {
	answer := ""
	for entry := range c.site.entries {
		status, body := c.call(entry, http.MethodGet, j, "")
		var shown struct {
			State string `json:"state"`
		}
		switch {
		case status == http.StatusOK && json.Unmarshal([]byte(body), &shown) == nil:
			return shown.State
		case status == http.StatusGone:
			return "410"
		default:
			answer = fmt.Sprintf("no answer (%d)", status)
		}
	}
	return answer
}

func final(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// Times and shares of the rule LOST.
const (
	finishAfter = 14 * time.Second
	stillFor    = 3 * time.Second
)

// lost applies the rule LOST after the end of the traffic: each accepted job of those given is asked for after finish_s. It is
// broken for a job that isn't known, that gets no answer, or that for 3 s has nothing running while a task's turn has come,
// there is capacity for it twice over and under half of the service's capacity is in use. Jobs here have one step.
func (c *clients) lost(jobs []*job) []string {
	c.site.record.add("check", "end of the traffic; jobs are asked for in %v", finishAfter)
	time.Sleep(finishAfter)
	var out, open = []string{}, []*job{}
	for _, j := range jobs {
		if !j.accepted {
			continue
		}
		state := c.state(j)
		c.site.record.add("client", "GET %s%s -> %s", j.queue, j.id, state)
		switch {
		case state == "410" || strings.HasPrefix(state, "no answer"):
			out = append(out, fmt.Sprintf("accepted job %s: %s", j.id, state))
		case !final(state):
			open = append(open, j)
		}
	}
	still := map[*job]bool{}
	for _, j := range open {
		still[j] = true
	}
	for until := time.Now().Add(stillFor); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for _, j := range open {
			still[j] = still[j] && c.idleFor(j)
		}
	}
	for _, j := range open {
		began, done := c.site.history.jobRuns(j.id)
		if state := c.state(j); still[j] && !final(state) {
			out = append(out, fmt.Sprintf("accepted job %s is shown as %s and had nothing running for 3 s, %v after the end of the traffic, with executors idle; runs begun %d, tasks done %d of %d",
				j.id, state, finishAfter, began, done, j.tasks))
		}
	}
	return out
}

// idleFor reports whether nothing of a job runs, and not all of its tasks have ended done, while there is capacity for its tasks twice over, and under half of the
// service's capacity is in use.
func (c *clients) idleFor(j *job) bool {
	if _, done := c.site.history.jobRuns(j.id); done == j.tasks {
		return false
	}
	room, totalCPU, usedCPU, totalGPU, usedGPU := 0, 0, 0, 0, 0
	for _, e := range c.site.executors {
		own, cpu, gpu, up := e.inUse(j.id, c.demand)
		if own > 0 {
			return false
		}
		if !up {
			continue
		}
		totalCPU, usedCPU, totalGPU, usedGPU = totalCPU+executorCPU, usedCPU+cpu, totalGPU+executorGPU, usedGPU+gpu
		if e.suits(j.label) {
			fits := (executorCPU - cpu) / max(j.milliCores, 1)
			if j.gpus > 0 {
				fits = min(fits, (executorGPU-gpu)/j.gpus)
			}
			room += fits
		}
	}
	return room >= 2*j.tasks && 2*usedCPU < totalCPU && 2*usedGPU < totalGPU
}

// demand returns what a task of a job takes.
func (c *clients) demand(job string) (milliCores, gpus int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		if j.id == job {
			return j.milliCores, j.gpus
		}
	}
	return 0, 0
}
