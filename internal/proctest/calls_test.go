package proctest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"dragonflyyard/internal/audit"
	"dragonflyyard/internal/callerapi"
	"dragonflyyard/internal/standin"
)

func (c *cluster) status(address, path string) int {
	response, err := c.client.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func (c *cluster) getJSON(address, path string, target any) bool {
	response, err := c.client.Get("http://" + address + path)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(target) == nil
}

func (c *cluster) setFaults(address string, faults standin.HostFaults) {
	c.t.Helper()
	body, err := json.Marshal(faults)
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := c.client.Post("http://"+address+standin.PathFaults, "application/json", bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// ran counts the starts of each request over all backend servers.
func (c *cluster) ran() map[string]int {
	c.t.Helper()
	starts := map[string]int{}
	for _, agent := range c.agents {
		var answer standin.RanResponse
		c.await("the list of "+agent.name, func() bool { return c.getJSON(agent.backend, standin.PathRan, &answer) })
		for _, id := range answer.Ran {
			starts[id]++
		}
	}
	return starts
}

// request is a caller's request.
type request struct {
	id         string
	idempotent bool
	body       string
	deadline   time.Duration
}

func newRequest(idempotent bool) request {
	id := uuid.Must(uuid.NewV7()).String()
	return request{id: id, idempotent: idempotent, body: "body of " + id, deadline: limit}
}

// post sends a request through an entry host.
func (c *cluster) post(entry *proc, r request) audit.Answer {
	none := audit.Answer{Request: r.id, Idempotent: r.idempotent, Sent: r.body}
	// The body's type keeps the transport from repeating the call by itself.
	body := io.NopCloser(strings.NewReader(r.body))
	call, err := http.NewRequest(http.MethodPost, "http://"+entry.http+callerapi.PathRequests, body)
	if err != nil {
		return none
	}
	call.ContentLength = int64(len(r.body))
	call.Header.Set(callerapi.HeaderRequestID, r.id)
	call.Header.Set(callerapi.HeaderAccount, account)
	call.Header.Set(callerapi.HeaderIdempotent, fmt.Sprint(r.idempotent))
	call.Header.Set(callerapi.HeaderDeadlineMS, fmt.Sprint(r.deadline.Milliseconds()))
	response, err := c.client.Do(call)
	if err != nil {
		none.Body = err.Error()
		return none
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		none.Body = err.Error()
		return none
	}
	return audit.Answer{
		Request: r.id, Idempotent: r.idempotent, Sent: r.body, Status: response.StatusCode,
		Outcome: response.Header.Get(callerapi.HeaderOutcome), RetryAfter: response.Header.Get("Retry-After"), Body: string(text),
	}
}

// Codes of the time line that the tests look for.
const (
	codeLinkOpened = 5000
	codeLinkLost   = 5001
)

type timelineEvent struct {
	Code    int    `json:"code"`
	Request string `json:"request"`
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
	Clock   struct {
		WallMS int64 `json:"wall_ms"`
	} `json:"clock"`
}

func (c *cluster) timeline(p *proc, query string) []timelineEvent {
	var answer struct {
		Events []timelineEvent `json:"events"`
	}
	if !c.getJSON(p.http, "/v1/timeline"+query, &answer) {
		return nil
	}
	return answer.Events
}
