//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// newJob is a job of one step that the client with the key hands in at a queue.
func newJob(queue, id, key, spec string, estimate time.Duration, tasks, milliCores, gpus int, more string) *job {
	j := &job{queue: queue, id: id, key: key, tasks: tasks, milliCores: milliCores, gpus: gpus}
	j.body = fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":%d,"memory_request_mb":4000,"gpu":%d,"estimate_ms":%d%s}]}`,
		spec, tasks, milliCores, gpus, estimate.Milliseconds(), more)
	return j
}

// awaitRuns waits until a number of runs of a job have begun, and returns how many have.
func (s *site) awaitRuns(j *job, wanted int, within time.Duration) int {
	began := 0
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if began, _ = s.history.jobRuns(j.id); began >= wanted {
			break
		}
	}
	s.record.add("executors", "job %s: %d of %d runs begun", j.id, began, wanted)
	return began
}

// guarantee: a tenant claims its guaranteed accelerators while another tenant's tasks of the lowest priority, which last, use all
// that were idle. Without the disruption these tasks end by themselves some day.
func guarantee(r *record, trouble bool) ([]string, error) {
	s, err := newSite(r, []string{"a", "a", "a"})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	c := newClients(s)
	time.Sleep(4 * time.Second)
	borrower := newJob(bigQueue, "5c0e7a21d94b36f8", apiKey, "300s", 300*time.Second, len(s.executors), 20000, executorGPU, "")
	if trouble {
		borrower = newJob(bigQueue, "5c0e7a21d94b36f8", apiKey, "lasts", 300*time.Second, len(s.executors), 20000, executorGPU, `,"long_running":true`)
	}
	c.submit(borrower)
	if began := s.awaitRuns(borrower, borrower.tasks, 10*time.Second); began < borrower.tasks {
		return nil, fmt.Errorf("%d of %d tasks of the borrower have begun", began, borrower.tasks)
	}
	time.Sleep(5 * time.Second)
	claim := newJob(urgentQueue, "a1b2c3d4e5f60718", otherAPIKey, "1s", time.Second, 1, 20000, guaranteedGPU, "")
	c.submit(claim)
	if !claim.accepted {
		return nil, fmt.Errorf("the claim was not accepted")
	}
	time.Sleep(time.Until(claim.acceptedAt.Add(reclaimWithin)))
	var broken []string
	if began, _ := s.history.jobRuns(claim.id); began < claim.tasks {
		broken = append(broken, fmt.Sprintf("job %s of priority 0, within the %d accelerators guaranteed to its tenant, has not begun %v after its ack", claim.id, guaranteedGPU, reclaimWithin))
	}
	began := s.awaitRuns(claim, claim.tasks, 60*time.Second)
	r.add("check", "%.1f s after its ack %d of %d tasks of job %s have begun; shown as %s", time.Since(claim.acceptedAt).Seconds(), began, claim.tasks, claim.id, c.state(claim))
	return broken, nil
}

const (
	// guaranteedGPU is what the manifest guarantees to each tenant.
	guaranteedGPU = 8
	reclaimWithin = 2700 * time.Millisecond
)

// waitingGang: a gang that needs all executors waits for one long task; other tenants' small jobs find the others idle.
func waitingGang(r *record, trouble bool) ([]string, error) {
	s, err := newSite(r, []string{"a", "a", "a"})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	c := newClients(s)
	time.Sleep(4 * time.Second)
	long := newJob(urgentQueue, "5c0e7a21d94b36f8", otherAPIKey, "300s", 300*time.Second, 1, 8000, 1, "")
	c.submit(long)
	s.awaitRuns(long, 1, 10*time.Second)
	if trouble {
		c.submit(newJob(urgentQueue, "a1b2c3d4e5f60718", apiKey, "120s", 120*time.Second, len(s.executors), 20000, executorGPU, `,"gang":true`))
	}
	time.Sleep(time.Second)
	var jobs []*job
	for i := range 10 {
		j := newJob(smallQueue, fmt.Sprintf("%016x", 0xb0000000+i), otherAPIKey, "1s", time.Second, 2, 5000, 1, "")
		jobs = append(jobs, j)
		go c.submit(j)
		time.Sleep(3 * time.Second)
	}
	return c.lost(jobs), nil
}

// pendingCount: an executor refuses all starts for some seconds; jobs that only it can run have not begun.
func pendingCount(r *record, trouble bool) ([]string, error) {
	kinds := make([]string, 11)
	for i := range kinds {
		kinds[i] = "a"
	}
	kinds[1] = "b"
	s, err := newSite(r, kinds)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	c := newClients(s)
	time.Sleep(4 * time.Second)
	if trouble {
		s.executors[1].setBusy(true)
		time.AfterFunc(greyFor, func() { s.executors[1].setBusy(false) })
	}
	var jobs []*job
	for i := range 8 {
		j := smallJob(i, time.Second, "b")
		jobs = append(jobs, j)
		go c.submit(j)
	}
	var broken []string
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		waiting := 0
		asked := time.Now()
		for entry := range s.entries {
			status, body := c.call(entry, http.MethodGet, &job{queue: smallQueue, key: otherAPIKey}, "")
			var shown struct {
				Pending *int `json:"pending"`
			}
			if status != http.StatusOK || json.Unmarshal([]byte(body), &shown) != nil || shown.Pending == nil {
				continue
			}
			// Counted after the answer: a job that begins meanwhile is left out.
			waiting = c.waitingSince(jobs, asked.Add(-visibleWithin))
			r.add("client", "GET %s at %s -> pending %d; %d jobs have waited for over %v", smallQueue, s.entries[entry], *shown.Pending, waiting, visibleWithin)
			if 2**shown.Pending < waiting {
				broken = append(broken, fmt.Sprintf("%s shows %d pending jobs at %.1f s; %d were accepted over %v before and have not begun", s.entries[entry], *shown.Pending,
					time.Since(r.began).Seconds(), waiting, visibleWithin))
			}
		}
	}
	return broken, nil
}

const (
	// visibleWithin is visible_ms and two seconds.
	visibleWithin = 5 * time.Second
	greyFor       = 6500 * time.Millisecond
)

// waitingSince counts the jobs that were accepted before a time and none of whose tasks has begun.
func (c *clients) waitingSince(jobs []*job, before time.Time) int {
	n := 0
	for _, j := range jobs {
		c.mu.Lock()
		old := j.accepted && j.acceptedAt.Before(before)
		c.mu.Unlock()
		if began, _ := c.site.history.jobRuns(j.id); old && began == 0 {
			n++
		}
	}
	return n
}

// manyDue: occurrences of one job come faster than they are run, while another tenant hands in small jobs.
func manyDue(r *record, trouble bool) ([]string, error) {
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
		times = 100
	}
	j := &job{queue: bigQueue, id: "5c0e7a21d94b36f8", key: apiKey, tasks: 700, milliCores: 1000}
	j.body = fmt.Sprintf(`{"spec":"5s","repetitions":%d,"first_run_ms":%d,"interval_ms":100,"steps":[{"count":%d,"cpu":%d,"memory_request_mb":100,"estimate_ms":5000}]}`,
		times, time.Now().Add(2*time.Second).UnixMilli(), j.tasks, j.milliCores)
	c.submit(j)
	jobs := c.submitEvery(time.Second, 30*time.Second, 0, "")
	return c.lost(jobs), nil
}

// longTask: a task of minutes comes without an estimate.
func longTask(r *record, trouble bool) ([]string, error) {
	s, err := newSite(r, []string{"a", "b", "a", "a", "a", "a"})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	c := newClients(s)
	time.Sleep(4 * time.Second)
	const length = 400 * time.Second
	estimate := length
	if trouble {
		estimate = 0
	}
	j := newJob(smallQueue, "5c0e7a21d94b36f8", apiKey, length.String(), estimate, 1, 20000, 1, `,"required_label":"b"`)
	j.label = "b"
	c.submit(j)
	s.awaitRuns(j, 1, 10*time.Second)
	time.Sleep(20 * time.Second)
	r.add("check", "end of the traffic; jobs are asked for in %v", finishAfter)
	time.Sleep(finishAfter)
	return c.stillSpans([]*job{j}, 40*time.Second), nil
}

// stillSpans watches jobs for a time after finish_s, and returns the spans of over 3 s in which one had nothing running while there
// was capacity for it twice over and under half of the service's capacity was in use.
func (c *clients) stillSpans(jobs []*job, watched time.Duration) []string {
	var out []string
	since := map[*job]time.Time{}
	for until := time.Now().Add(watched); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for _, j := range jobs {
			if !c.idleFor(j) {
				delete(since, j)
				continue
			}
			if since[j].IsZero() {
				since[j] = time.Now()
			}
			if time.Since(since[j]) > stillFor {
				began, done := c.site.history.jobRuns(j.id)
				out = append(out, fmt.Sprintf("accepted job %s is shown as %s and had nothing running for 3 s until %.1f s, with executors idle; runs begun %d, tasks done %d of %d",
					j.id, c.state(j), time.Since(c.site.record.began).Seconds(), began, done, j.tasks))
				delete(since, j)
			}
		}
	}
	return out
}

// lastingTask: a task of priority 0 that lasts fails once in a while; jobs of the lowest priority keep all executors in use.
func lastingTask(r *record, trouble bool) ([]string, error) {
	s, err := newSite(r, []string{"a", "a", "a"})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	c := newClients(s)
	time.Sleep(4 * time.Second)
	spec := "lasts"
	if trouble {
		spec = "lasts 20s"
	}
	serving := newJob(urgentQueue, "5c0e7a21d94b36f8", otherAPIKey, spec, 10*time.Second, 1, 20000, guaranteedGPU, `,"long_running":true`)
	c.submit(serving)
	if s.awaitRuns(serving, 1, 10*time.Second) < 1 {
		return nil, fmt.Errorf("the task that lasts has not begun")
	}
	for i := range 12 {
		c.submit(newJob(bigQueue, fmt.Sprintf("%016x", 0xb0000000+i), apiKey, "10s", 10*time.Second, 6, 20000, executorGPU, ""))
	}
	time.Sleep(90 * time.Second)
	return s.history.stillTasks(serving, lastingStill), nil
}

// lastingStill is how long a task that lasts may be without a run: six seconds after its last run, and less than three more.
const lastingStill = 9 * time.Second

// stillTasks returns the spans in which a task of a job that lasts had no run for longer than a bound.
func (h *history) stillTasks(j *job, bound time.Duration) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for i := range j.tasks {
		task := fmt.Sprintf("%s.0.0.%d", j.id, i)
		last, runs := j.acceptedAt, 0
		check := func(until time.Time) {
			if still := until.Sub(last); still > bound {
				out = append(out, fmt.Sprintf("task %s, which lasts, had no run for %.1f s, from %.1f s to %.1f s, after %d runs", task, still.Seconds(),
					last.Sub(h.record.began).Seconds(), until.Sub(h.record.began).Seconds(), runs))
			}
		}
		for _, t := range h.runs {
			if t.task != task {
				continue
			}
			check(t.began)
			runs++
			if last = t.ended; last.IsZero() {
				last = time.Now()
			}
		}
		check(time.Now())
	}
	return out
}
