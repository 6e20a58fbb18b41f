//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// sixKinds are the kinds of six executors, so that one of them is less than the largest share that the site files show.
var sixKinds = []string{"a", "b", "c", "d", "e", "f"}

// smallJob is a job of tasks that take five cores, each about as long as spec says.
func smallJob(n int, spec time.Duration, label string) *job {
	j := &job{queue: smallQueue, id: fmt.Sprintf("%016x", 0xb0000000+n), key: otherAPIKey, tasks: 2, milliCores: 5000, label: label}
	need := ""
	if label != "" {
		need = fmt.Sprintf(`,"required_label":%q`, label)
	}
	j.body = fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":%d,"memory_request_mb":4000,"estimate_ms":%d%s}]}`,
		spec, j.tasks, j.milliCores, spec.Milliseconds(), need)
	return j
}

// submitEvery hands in small jobs, one each interval, for a time. The labels are taken in turn.
func (c *clients) submitEvery(interval, lasting time.Duration, first int, labels ...string) []*job {
	var out []*job
	for end := time.Now().Add(lasting); time.Now().Before(end); time.Sleep(interval) {
		j := smallJob(first+len(out), c.length, labels[len(out)%len(labels)])
		out = append(out, j)
		go c.submit(j)
	}
	return out
}

// wideJob: a job of many small tasks ends on one executor while the store is down for some seconds.
func wideJob(r *record, trouble bool) ([]string, error) {
	s, err := newSite(r, []string{"a", "a", "a"})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	c := newClients(s)
	time.Sleep(4 * time.Second)
	j := &job{queue: bigQueue, id: "5c0e7a21d94b36f8", key: apiKey, tasks: 800, milliCores: 100}
	j.body = fmt.Sprintf(`{"spec":"6s","steps":[{"count":%d,"cpu":%d,"memory_request_mb":200,"estimate_ms":6000}]}`, j.tasks, j.milliCores)
	c.submit(j)
	for until := time.Now().Add(4 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if began, _ := s.history.jobRuns(j.id); began == j.tasks {
			break
		}
	}
	began, _ := s.history.jobRuns(j.id)
	r.add("executors", "job %s: %d of %d runs begun", j.id, began, j.tasks)
	time.Sleep(time.Second)
	if trouble {
		r.add("store", "down for %v: refuses all calls with 503", storeOutage)
		s.store.setDown(true)
	}
	time.Sleep(storeOutage)
	if trouble {
		s.store.setDown(false)
		r.add("store", "back")
	}
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		if state := c.state(j); final(state) {
			r.add("client", "GET %s%s -> %s", j.queue, j.id, state)
			break
		}
	}
	time.Sleep(2 * time.Second)
	return s.history.twice(), nil
}

// storeOutage is within the longest that a site file shows for platform_down of the whole store, 6.9 s.
const storeOutage = 6500 * time.Millisecond

// repetitions: a tenant's job repeats its one short task many times, while another tenant hands in small jobs.
func repetitions(r *record, trouble bool) ([]string, error) {
	s, err := newSite(r, []string{"a", "a", "a"})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	s.history.quiet = true
	c := newClients(s)
	time.Sleep(4 * time.Second)
	times := 8
	if trouble {
		times = 10_000
	}
	j := &job{queue: bigQueue, id: "5c0e7a21d94b36f8", key: apiKey, tasks: 1, milliCores: 500}
	j.body = fmt.Sprintf(`{"spec":"20ms","repetitions":%d,"first_run_ms":%d,"interval_ms":5,"steps":[{"count":1,"cpu":%d,"memory_request_mb":100,"estimate_ms":20}]}`,
		times, time.Now().Add(2*time.Second).UnixMilli(), j.milliCores)
	c.submit(j)
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Second):
				began, done := s.history.jobRuns(j.id)
				r.add("executors", "job %s: %d runs begun, %d done", j.id, began, done)
			}
		}
	}()
	defer close(stop)
	jobs := c.submitEvery(time.Second, 65*time.Second, 0, "")
	return c.lost(jobs), nil
}

// foreignPing: a ping of another writer, for a service that the manifest doesn't name, reaches one side machine.
func foreignPing(r *record, trouble bool) ([]string, error) {
	s, err := newSite(r, sixKinds)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	c := newClients(s)
	time.Sleep(4 * time.Second)
	jobs := c.submitEvery(time.Second, 6*time.Second, 0, "a", "b", "c")
	if trouble {
		e := s.executors[1]
		began := time.Now()
		body := beatBody("wocu77x", e.zone, e.labels, began.UnixMilli(), 1, 1)
		status := sendBeat(&http.Client{Timeout: time.Second}, e.control, "i-0badf00d", body)
		r.add("other", "PUT /instances/i-0badf00d at %s of %s, service wocu77x -> %d", e.control, e.machine, status)
	}
	jobs = append(jobs, c.submitEvery(time.Second, 20*time.Second, 100, "a", "b", "c")...)
	return c.lost(jobs), nil
}

// clockStep: the time of day of a side machine is ahead for some seconds, and its executor goes down and up just before and
// after it is put right.
func clockStep(r *record, trouble bool) ([]string, error) {
	s, err := newSite(r, sixKinds)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	c := newClients(s)
	time.Sleep(4 * time.Second)
	e := s.executors[1]
	done := make(chan struct{})
	var failed error
	go func() {
		defer close(done)
		time.Sleep(3 * time.Second)
		if trouble {
			e.stepClock(2 * time.Second)
		}
		time.Sleep(4 * time.Second)
		e.crash()
		time.Sleep(500 * time.Millisecond)
		failed = errors.Join(failed, e.boot(""))
		time.Sleep(500 * time.Millisecond)
		if trouble {
			e.stepClock(-2 * time.Second)
		}
		time.Sleep(100 * time.Millisecond)
		e.crash()
		time.Sleep(500 * time.Millisecond)
		failed = errors.Join(failed, e.boot(""))
	}()
	c.length = 4 * time.Second
	jobs := c.submitEvery(time.Second, 30*time.Second, 0, "a", "b", "c")
	<-done
	if failed != nil {
		return nil, failed
	}
	return c.lost(jobs), nil
}

// executorGone: the executor of one side machine crashes and doesn't come back; its machine and agent live on.
func executorGone(r *record, trouble bool) ([]string, error) {
	s, err := newSite(r, []string{"a", "a", "a", "a", "a", "a"})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	c := newClients(s)
	time.Sleep(4 * time.Second)
	jobs := c.submitEvery(time.Second, 6*time.Second, 0, "")
	if trouble {
		s.executors[0].crash()
	}
	jobs = append(jobs, c.submitEvery(3*time.Second, 30*time.Second, 100, "")...)
	return c.lost(jobs), nil
}
