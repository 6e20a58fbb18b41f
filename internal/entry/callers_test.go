package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/callerapi"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/requestflow"
	"dragonflyyard/internal/settings"
	"dragonflyyard/internal/wire"
)

// limit is the generous bound on every wait of these tests.
const limit = 20 * time.Second

const goodID = "0190b8a0-5c5c-7abc-8def-0123456789ab"

func testSettings() settings.Entry {
	s := settings.DefaultEntry()
	s.ID, s.Region, s.Zone = "entry-1", "nordeste", "caruaru"
	s.HTTPAddress, s.LinkAddress = "127.0.0.1:0", "127.0.0.1:0"
	s.TableAddress, s.ObjectStoreAddress = "127.0.0.1:1", "127.0.0.1:1"
	s.Limits.MaxBodyBytes = 1 << 10
	s.Process.DrainDelay, s.Process.StopTimeout = 500*time.Millisecond, time.Second
	return s
}

// startEntry runs an entry host in this process.
func startEntry(t *testing.T, s settings.Entry) *Process {
	t.Helper()
	p, err := New(Config{Settings: s})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return p
}

func call(t *testing.T, method, url string, headers map[string]string, body string) (*http.Response, []byte) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, text
}

func TestBadInputIsRefusedWithCodeAndSentence(t *testing.T) {
	p := startEntry(t, testSettings())
	base := "http://" + p.HTTPAddress()
	good := map[string]string{callerapi.HeaderRequestID: goodID, callerapi.HeaderAccount: "cheese", callerapi.HeaderIdempotent: "true", callerapi.HeaderDeadlineMS: "1000"}
	with := func(name, value string) map[string]string {
		headers := map[string]string{}
		for k, v := range good {
			headers[k] = v
		}
		headers[name] = value
		return headers
	}
	post, get := http.MethodPost, http.MethodGet
	cases := []struct {
		name, method, path string
		headers            map[string]string
		body               string
		status             int
		code               string
	}{
		{"no headers", post, callerapi.PathRequests, nil, "", 400, "bad_request_id"},
		{"ID of version 4", post, callerapi.PathRequests, with(callerapi.HeaderRequestID, "0190b8a0-5c5c-4abc-8def-0123456789ab"), "", 400, "bad_request_id"},
		{"ID in upper case", post, callerapi.PathRequests, with(callerapi.HeaderRequestID, strings.ToUpper(goodID)), "", 400, "bad_request_id"},
		{"ID in braces", post, callerapi.PathRequests, with(callerapi.HeaderRequestID, "{"+goodID+"}"), "", 400, "bad_request_id"},
		{"ID of another variant", post, callerapi.PathRequests, with(callerapi.HeaderRequestID, "0190b8a0-5c5c-7abc-cdef-0123456789ab"), "", 400, "bad_request_id"},
		{"no account", post, callerapi.PathRequests, with(callerapi.HeaderAccount, ""), "", 400, "bad_client_account"},
		{"long account", post, callerapi.PathRequests, with(callerapi.HeaderAccount, strings.Repeat("a", 65)), "", 400, "bad_client_account"},
		{"bad mark", post, callerapi.PathRequests, with(callerapi.HeaderIdempotent, "maybe"), "", 400, "bad_idempotent"},
		{"negative deadline", post, callerapi.PathRequests, with(callerapi.HeaderDeadlineMS, "-1"), "", 400, "bad_deadline"},
		{"zero deadline", post, callerapi.PathRequests, with(callerapi.HeaderDeadlineMS, "0"), "", 400, "bad_deadline"},
		{"deadline too far", post, callerapi.PathRequests, with(callerapi.HeaderDeadlineMS, "99999999999"), "", 400, "bad_deadline"},
		{"deadline not a number", post, callerapi.PathRequests, with(callerapi.HeaderDeadlineMS, "1s"), "", 400, "bad_deadline"},
		{"no slots", post, callerapi.PathRequests, with(callerapi.HeaderSlots, "0"), "", 400, "bad_slots"},
		{"body too large", post, callerapi.PathRequests, good, strings.Repeat("x", 1<<10+1), 413, "body_too_large"},
		{"path below", post, callerapi.PathRequests + "/more", good, "", 404, "no_such_path"},
		{"unknown path", get, "/v2/requests", nil, "", 404, "no_such_path"},
		{"wrong method", http.MethodDelete, callerapi.PathRequests, good, "", 405, "method_not_allowed"},
		{"look-up of no account", get, callerapi.PathRequests + "/" + goodID, nil, "", 400, "bad_client_account"},
		{"look-up of no ID", get, callerapi.PathRequests + "/x", nil, "", 400, "bad_request_id"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response, text := call(t, c.method, base+c.path, c.headers, c.body)
			var body operatorapi.ErrorBody
			if err := json.Unmarshal(text, &body); err != nil {
				t.Fatalf("body %q: %v", text, err)
			}
			if response.StatusCode != c.status || body.Code != c.code || body.Sentence == "" {
				t.Errorf("got %d %+v, want %d %s", response.StatusCode, body, c.status, c.code)
			}
		})
	}
}

func TestOutcomesOverHTTP(t *testing.T) {
	cases := []struct {
		outcome model.Outcome
		status  int
		retry   string
		want    callerapi.OutcomeBody
	}{
		{model.Outcome{Kind: model.OutcomeAnswered, Status: 200, Body: []byte("whole")}, 200, "", callerapi.OutcomeBody{}},
		{
			model.Outcome{Kind: model.OutcomeBackendFailed, Reason: model.ReasonBackendError, Status: 500, Body: []byte("why")}, 502, "",
			callerapi.OutcomeBody{Outcome: "failed", Reason: model.ReasonBackendError, BackendStatus: 500, BackendBody: []byte("why")},
		},
		{
			model.Outcome{Kind: model.OutcomeNotRun, Reason: model.ReasonQueueFull, RetryAfter: 1200 * time.Millisecond}, 503, "2",
			callerapi.OutcomeBody{Outcome: "not_run", Reason: model.ReasonQueueFull, RetryAfterMS: 1200},
		},
		{
			model.Outcome{Kind: model.OutcomeUnknown, Reason: model.ReasonConnectionLost, RetryAfter: time.Second}, 504, "1",
			callerapi.OutcomeBody{Outcome: "unknown", Reason: model.ReasonConnectionLost, RetryAfterMS: 1000},
		},
		{
			model.Outcome{Kind: model.OutcomeRefused, Reason: model.ReasonBodyMismatch}, 409, "",
			callerapi.OutcomeBody{Outcome: "refused", Reason: model.ReasonBodyMismatch},
		},
		{
			model.Outcome{Kind: model.OutcomeRefused, Reason: model.ReasonUnknownAccount}, 403, "",
			callerapi.OutcomeBody{Outcome: "refused", Reason: model.ReasonUnknownAccount},
		},
	}
	for _, c := range cases {
		t.Run(c.outcome.Kind.String()+" "+string(c.outcome.Reason), func(t *testing.T) {
			var ctx fasthttp.RequestCtx
			writeOutcome(&ctx, goodID, &c.outcome)
			response := &ctx.Response
			if response.StatusCode() != c.status || string(response.Header.Peek("Retry-After")) != c.retry {
				t.Errorf("got %d, Retry-After %q", response.StatusCode(), response.Header.Peek("Retry-After"))
			}
			if got := string(response.Header.Peek(callerapi.HeaderOutcome)); got != c.outcome.Kind.String() {
				t.Errorf("outcome header %q", got)
			}
			if c.outcome.Kind == model.OutcomeAnswered {
				if !bytes.Equal(response.Body(), c.outcome.Body) {
					t.Errorf("body %q", response.Body())
				}
				return
			}
			var got callerapi.OutcomeBody
			if err := json.Unmarshal(response.Body(), &got); err != nil {
				t.Fatal(err)
			}
			c.want.Request = goodID
			c.want.Sentence = got.Sentence
			if fmt.Sprint(got) != fmt.Sprint(c.want) || got.Sentence == "" {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestLookupStatesOverHTTP(t *testing.T) {
	cases := []struct {
		state  wire.RequestState
		status int
	}{
		{wire.StateAbsent, 404}, {wire.StateClaimed, 202}, {wire.StateRunning, 202}, {wire.StateExpired, 504},
		{wire.StateSealed, 503}, {wire.StateOutsideHorizon, 504}, {wire.StateAnswerLost, 504}, {0, 504},
	}
	for _, c := range cases {
		var ctx fasthttp.RequestCtx
		writeState(&ctx, goodID, reply{state: c.state})
		if got := ctx.Response.StatusCode(); got != c.status {
			t.Errorf("state %d: status %d, want %d", c.state, got, c.status)
		}
	}
}

func TestFullRingOfTheRequestCoreIsAnOutcome(t *testing.T) {
	p, err := New(Config{Settings: testSettings()})
	if err != nil {
		t.Fatal(err)
	}
	for p.Requests.Push(requestflow.Tick{}) {
		continue
	}
	_, err = p.Requests.ask(func(requestflow.Caller) requestflow.Input { return requestflow.Tick{} })
	if err != errBusy {
		t.Fatalf("got %v, want errBusy", err)
	}
	outcome := overloaded(err)
	if outcome.Kind != model.OutcomeUnknown || outcome.RetryAfter <= 0 {
		t.Errorf("got %+v: an earlier submission may have run", outcome)
	}
}

func TestRequestHashTellsAccountsMarksAndBodiesApart(t *testing.T) {
	seen := map[uint64]string{}
	for _, account := range []string{"a", "ab", "b"} {
		for _, idempotent := range []bool{true, false} {
			for _, body := range []string{"", "b", "true", "x"} {
				key := fmt.Sprint(account, idempotent, body)
				hash := requestHash(account, idempotent, []byte(body))
				if other, twice := seen[hash]; twice {
					t.Errorf("%q and %q have the same hash", key, other)
				}
				seen[hash] = key
			}
		}
	}
}

func TestStopFailsTheHealthCheckBeforeItEnds(t *testing.T) {
	p := startEntry(t, testSettings())
	base := "http://" + p.HTTPAddress()
	if response, _ := call(t, http.MethodGet, base+"/healthz", nil, ""); response.StatusCode != 200 {
		t.Fatalf("healthy status %d", response.StatusCode)
	}
	if response, _ := call(t, http.MethodPost, base+"/v1/stop", nil, ""); response.StatusCode != 202 {
		t.Fatalf("stop status %d", response.StatusCode)
	}
	response, _ := call(t, http.MethodGet, base+"/healthz", nil, "")
	if response.StatusCode != 503 || !response.Close {
		t.Errorf("stopping status %d, close %v", response.StatusCode, response.Close)
	}
}
