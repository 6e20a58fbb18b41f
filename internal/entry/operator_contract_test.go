package entry_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/wire"
)

// operate makes an operator's call of one entry host.
func (r *region) operate(index int, method, path string, body []byte) (status int, answer []byte) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + r.entries[index].HTTPAddress() + path)
	request.Header.SetMethod(method)
	if body != nil {
		request.SetBody(body)
	}
	if err := r.client.Do(request, response); err != nil {
		return 0, []byte(err.Error())
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...)
}

// TestLargeOperatorCallsReachTheOwner sends the largest cancellation through
// the owner and through an entry host that has to forward it. The connection
// between them carries start permits and must bear it.
func TestLargeOperatorCallsReachTheOwner(t *testing.T) {
	r := startRegion(t, regionOptions{entries: 2, agents: 1})
	r.await("an owner", func() bool {
		for i := range r.entries {
			if status, _ := r.operate(i, fasthttp.MethodGet, operatorapi.PathJobs, nil); status != fasthttp.StatusOK {
				return false
			}
		}
		return true
	})
	cancel := operatorapi.CancelRequest{}
	for i := range 8000 {
		cancel.IDs = append(cancel.IDs, model.JobID(fmt.Sprintf("%0*d", operatorapi.MaxIDBytes-2, i)))
	}
	body, err := json.Marshal(cancel)
	if err != nil {
		t.Fatal(err)
	}
	if len(body) > operatorapi.MaxBodyBytes {
		t.Fatalf("the body has %d bytes", len(body))
	}
	peers := r.entries[0].Hub.Conns(wire.RoleEntry)
	for i := range r.entries {
		began := time.Now()
		status, answer := r.operate(i, fasthttp.MethodPost, operatorapi.PathJobsCancel, body)
		var reply operatorapi.CancelReply
		if status != fasthttp.StatusOK || json.Unmarshal(answer, &reply) != nil || len(reply.Results) != len(cancel.IDs) {
			t.Errorf("entry host %d: status %d after %v, %d results, %.200s", i, status, time.Since(began), len(reply.Results), answer)
		}
	}
	for _, conn := range peers {
		if conn.Cause() != nil {
			t.Errorf("the connection to %s ended: %v", conn.Peer().Process, conn.Cause())
		}
	}
	if len(peers) != 1 {
		t.Errorf("%d connections between the entry hosts", len(peers))
	}
}

// TestOperatorInput sends what no operator should, through both entry hosts:
// whichever of them owns the scheduler, the refusal is the same and says why.
func TestOperatorInput(t *testing.T) {
	r := startRegion(t, regionOptions{entries: 2, agents: 1})
	job := `{"id":"j1","account":"a","shape":{"tasks":1,"topology":"any","per_task":{"accelerators":1,"cores":1,"memory_mb":1}},` +
		`"declared_run_time_ms":1000,"capacity":"borrowed"}`
	large := strings.Repeat(" ", operatorapi.MaxBodyBytes) + job
	impossible := strings.Replace(job, `"accelerators":1`, `"accelerators":64`, 1)
	post, get := fasthttp.MethodPost, fasthttp.MethodGet
	cases := []struct {
		name, method, path, body string
		status                   int
		code                     string
	}{
		{"cut job", post, operatorapi.PathJobs, job[:len(job)-1], 400, operatorapi.CodeMalformedJSON},
		{"job with another field", post, operatorapi.PathJobs, `{"colour":1,` + job[1:], 400, operatorapi.CodeMalformedJSON},
		{"two jobs", post, operatorapi.PathJobs, job + job, 400, operatorapi.CodeMalformedJSON},
		{"no job", post, operatorapi.PathJobs, "", 400, operatorapi.CodeMalformedJSON},
		{"large job", post, operatorapi.PathJobs, large, 413, operatorapi.CodeTooLarge},
		{"job that fits nowhere", post, operatorapi.PathJobs, impossible, 422, "impossible_job"},
		{"no IDs to cancel", post, operatorapi.PathJobsCancel, `{"ids":[]}`, 400, operatorapi.CodeBadValue},
		{"large cancellation", post, operatorapi.PathJobsCancel, large, 413, operatorapi.CodeTooLarge},
		{"cut change", post, operatorapi.PathChanges, `{"id":"c1"`, 400, operatorapi.CodeMalformedJSON},
		{"large change", post, operatorapi.PathChanges, large, 413, operatorapi.CodeTooLarge},
		{"unknown job", get, operatorapi.PathJobs + "/none" + operatorapi.ExplainSuffix, "", 404, "unknown_job"},
		{"unknown path below", get, operatorapi.PathJobs + "/none/other", "", 404, "no_such_path"},
		{"unknown change", get, operatorapi.PathChanges + "/none", "", 404, "unknown_change"},
		{"wrong method", fasthttp.MethodDelete, operatorapi.PathJobs, "", 405, "method_not_allowed"},
		{"wrong method of a change", fasthttp.MethodPut, operatorapi.PathChanges, "", 405, "method_not_allowed"},
	}
	r.await("an owner", func() bool {
		status, _ := r.operate(1, get, operatorapi.PathJobs, nil)
		other, _ := r.operate(0, get, operatorapi.PathJobs, nil)
		return status == fasthttp.StatusOK && other == fasthttp.StatusOK
	})
	r.await("the end of the owner's recovery", func() bool {
		status, _ := r.operate(0, post, operatorapi.PathJobs, []byte(impossible))
		return status != fasthttp.StatusServiceUnavailable
	})
	for i := range r.entries {
		for _, c := range cases {
			var body []byte
			if c.body != "" {
				body = []byte(c.body)
			}
			status, answer := r.operate(i, c.method, c.path, body)
			var refusal operatorapi.ErrorBody
			if status != c.status || json.Unmarshal(answer, &refusal) != nil || refusal.Code != c.code || refusal.Sentence == "" {
				t.Errorf("entry host %d, %s: status %d, %s", i, c.name, status, answer)
			}
		}
	}
	if status, answer := r.operate(0, get, operatorapi.PathJobs, nil); status != fasthttp.StatusOK || !strings.Contains(string(answer), `"jobs":[]`) {
		t.Errorf("after refusals: %d %s", status, answer)
	}
}
