package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// callerJob is a job as its caller knows it.
type callerJob struct {
	id, queue  string
	counts     []int
	accepted   bool
	cancelSent bool
	shown      string
}

// tasks returns the names of the job's tasks.
func (j *callerJob) tasks() []string {
	var out []string
	for step, count := range j.counts {
		for i := range count {
			out = append(out, fmt.Sprintf("%s.0.%d.%d", j.id, step, i))
		}
	}
	return out
}

// callers submit jobs, ask for their states and cancel some.
type callers struct {
	site    *site
	checker *checker
	random  *rand.Rand
	mu      sync.Mutex
	jobs    []*callerJob
	// shareCancelled is the share of the jobs that are cancelled.
	shareCancelled float64
	// giveUp is set if callers also cancel such a job once a submission is in doubt.
	giveUp bool
}

// Times of the callers.
const (
	submitEvery = 120 * time.Millisecond
	callWithin  = 3 * time.Second
	retryEvery  = 300 * time.Millisecond
	// submitTries is how often one submission is made.
	submitTries = 5
	// shareCancelled and shareCancelledLate are the share of the jobs that are cancelled,
	// usually and with late writes.
	shareCancelled     = 0.1
	shareCancelledLate = 0.4
)

// submitAll submits jobs until ctx is done.
func (c *callers) submitAll(ctx context.Context) {
	var calls sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		j, body := c.draw(n)
		cancel := c.random.Float64() < c.shareCancelled
		entry := c.random.IntN(len(c.site.callers))
		calls.Go(func() { c.submit(j, body, entry, cancel) })
		time.Sleep(submitEvery/2 + time.Duration(c.random.Int64N(int64(submitEvery))))
	}
	calls.Wait()
}

// draw returns a job of one to three steps.
func (c *callers) draw(n int) (*callerJob, string) {
	j := &callerJob{id: fmt.Sprintf("%016x", uint64(n)<<20|uint64(c.random.IntN(1<<20))), queue: "low"}
	if c.random.IntN(4) == 0 {
		j.queue = "urgent"
	}
	var steps []string
	for i := range 1 + c.random.IntN(3) {
		count := 1 + c.random.IntN(4)
		j.counts = append(j.counts, count)
		after := ""
		if i > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		steps = append(steps, fmt.Sprintf(`{"count":%d,"cpu":%d,"gpu":%d,"estimate_ms":300%s}`, count, 1000+c.random.IntN(8000), c.random.IntN(3), after))
	}
	spec := time.Duration(50+c.random.IntN(900)) * time.Millisecond
	return j, fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, spec.String(), strings.Join(steps, ","))
}

// submit makes one submission, again at other entry hosts, as callers do.
func (c *callers) submit(j *callerJob, body string, entry int, cancel bool) {
	doubt := false
	for try := range submitTries {
		status, _ := c.call(entry+try, fasthttp.MethodPost, j, body)
		switch status {
		case fasthttp.StatusOK:
			c.mu.Lock()
			j.accepted = true
			c.jobs = append(c.jobs, j)
			c.mu.Unlock()
			if cancel {
				c.cancel(j, entry)
			}
			return
		case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		default:
			doubt = true
			if cancel && c.giveUp {
				// The caller gives up without knowing whether the job was accepted.
				c.cancel(j, entry+try+1)
				return
			}
		}
		time.Sleep(retryEvery)
	}
	if !doubt {
		c.checker.reject(j.id)
	}
}

func (c *callers) cancel(j *callerJob, entry int) {
	c.checker.mu.Lock()
	j.cancelSent = true
	c.checker.mu.Unlock()
	for try := range submitTries {
		if status, _ := c.call(entry+try, fasthttp.MethodDelete, j, ""); status == fasthttp.StatusOK || status == fasthttp.StatusGone {
			c.checker.cancelled(j.id)
			return
		}
		time.Sleep(retryEvery)
	}
}

// call makes a call and returns its status, 0 for no answer.
func (c *callers) call(entry int, method string, j *callerJob, body string) (int, string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.site.callers[entry%len(c.site.callers)] + "/" + j.queue + "/" + j.id)
	req.Header.SetHost("h")
	req.UseHostHeader = true
	req.Header.Set("Credential", "k")
	req.Header.Set("Deadline-Ms", "3000")
	req.SetBodyString(body)
	if err := fasthttp.DoTimeout(req, resp, callWithin); err != nil {
		return 0, ""
	}
	return resp.StatusCode(), string(resp.Body())
}

// accepted returns the jobs that were accepted so far.
func (c *callers) accepted() []*callerJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*callerJob(nil), c.jobs...)
}

// look asks for the state of a job at one entry host. It returns whether the
// job is final.
func (c *callers) look(j *callerJob, entry int) bool {
	status, body := c.call(entry, fasthttp.MethodGet, j, "")
	if status == fasthttp.StatusGone {
		c.checker.missing(j, "not known", 0)
		return true
	}
	var answer struct {
		State string `json:"state"`
	}
	if status != fasthttp.StatusOK || json.Unmarshal([]byte(body), &answer) != nil {
		return false
	}
	c.checker.shown(j, answer.State)
	return states[answer.State] == 2
}
