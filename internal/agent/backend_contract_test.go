package agent

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"dragonflyyard/internal/coretest"
	"dragonflyyard/internal/executor"
	"dragonflyyard/internal/httpconn"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/standin"
)

// backendTimeout bounds the calls that are expected to get no answer. Calls
// that are answered have limit.
const (
	backendTimeout = 200 * time.Millisecond
	limit          = 30 * time.Second
)

func newTestCaller(t *testing.T, address string, timeout time.Duration) *backendCaller {
	t.Helper()
	p := newTestAgent(t, address)
	p.Config.Settings.BackendServer.Timeout = timeout
	return newBackendCaller(p)
}

func testRequest(id model.RequestID) model.Request {
	return model.Request{ID: id, Account: "cheese", Deadline: time.Now().Add(time.Hour), Body: []byte("hello")}
}

// TestBackendServerAnswers holds each answer of a backend server, whole or not,
// against what the executor is told and how often the call arrived.
func TestBackendServerAnswers(t *testing.T) {
	hello := standin.Whole(200, "", "hello")
	cases := []struct {
		name   string
		answer func(standin.RawCall) bool
		result executor.BackendResult
		status int
		// silent marks a server from which nothing comes any more.
		silent bool
	}{
		{"whole", standin.Always(hello), executor.BackendAnswered, 200, false},
		{"whole, then closed", standin.ThenCut(hello), executor.BackendAnswered, 200, false},
		{"whole in chunks", standin.Always(standin.Chunked("hello") + "0\r\n\r\n"), executor.BackendAnswered, 200, false},
		{"after an interim answer", standin.Always("HTTP/1.1 100 Continue\r\n\r\n" + hello), executor.BackendAnswered, 200, false},
		{"names this request", func(c standin.RawCall) bool {
			return c.Send(standin.Whole(200, "X-Request-Id: "+c.ID+"\r\n", "hello"))
		}, executor.BackendAnswered, 200, false},
		{"another protocol", standin.ThenCut("HTTP/1.1 101 x\r\nUpgrade: other\r\n\r\nhello"), executor.BackendLost, 0, false},
		{"status of a failure", standin.Always(standin.Whole(503, "", "hello")), executor.BackendFailed, 503, false},
		{"status out of range", standin.Always(standin.Whole(999, "", "hello")), executor.BackendFailed, 999, false},
		{"reset before the answer", standin.RawCall.Reset, executor.BackendLost, 0, false},
		{"closed before the answer", standin.ThenCut(""), executor.BackendLost, 0, false},
		{"cut in the status line", standin.ThenCut(hello[:8]), executor.BackendLost, 0, false},
		{"cut in the header", standin.ThenCut(hello[:20]), executor.BackendLost, 0, false},
		{"cut in the body", standin.ThenCut(hello[:len(hello)-1]), executor.BackendLost, 0, false},
		{"cut between chunks", standin.ThenCut(standin.Chunked("hello")), executor.BackendLost, 0, false},
		{"no length told, closed", standin.ThenCut("HTTP/1.1 200 x\r\n\r\nhel"), executor.BackendLost, 0, false},
		{"not HTTP", standin.ThenCut("hello\r\n\r\n"), executor.BackendLost, 0, false},
		{"negative length", standin.ThenCut("HTTP/1.1 200 x\r\nContent-Length: -5\r\n\r\nhello"), executor.BackendLost, 0, false},
		{"two lengths", standin.ThenCut("HTTP/1.1 200 x\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nhello"), executor.BackendLost, 0, false},
		{"bad chunk", standin.ThenCut("HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello"), executor.BackendLost, 0, false},
		{"body over the limit", standin.Always(standin.Whole(200, "", strings.Repeat("x", 2<<10))), executor.BackendLost, 0, false},
		{"length over the limit, no body", standin.Always("HTTP/1.1 200 x\r\nContent-Length: 99999999999\r\n\r\n"), executor.BackendLost, 0, false},
		{"header over the limit", standin.Always(standin.TooManyHeaders()), executor.BackendLost, 0, false},
		{"names another request", standin.Always(standin.Whole(200, "X-Request-Id: other\r\n", "hello")), executor.BackendLost, 0, false},
		{"silent", standin.Always(""), executor.BackendLost, 0, true},
		{"silent in the middle", standin.Always(hello[:len(hello)-1]), executor.BackendLost, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server := startRaw(t, c.answer)
			timeout := limit
			if c.silent {
				timeout = backendTimeout
			}
			done := newTestCaller(t, server.Address(), timeout).call(testRequest("r"))
			if done.Result != c.result || done.Status != c.status || done.Request != "r" {
				t.Errorf("got result %d status %d, want %d, %d", done.Result, done.Status, c.result, c.status)
			}
			if isWhole := c.status != 0; isWhole != (string(done.Body) == "hello") {
				t.Errorf("body %q", done.Body)
			}
			if calls := server.Calls(); calls != 1 {
				t.Errorf("the call arrived %d times", calls)
			}
		})
	}
}

// recordConnections returns the connections that a client opens from now on.
func recordConnections(client *hostClient) <-chan *httpconn.Conn {
	opened := make(chan *httpconn.Conn, 16)
	dial := client.http.DialTimeout
	client.http.DialTimeout = func(address string, timeout time.Duration) (net.Conn, error) {
		conn, err := dial(address, timeout)
		if err == nil {
			opened <- conn.(*httpconn.Conn)
		}
		return conn, err
	}
	return opened
}

// awaitStale waits until what the peer did to an idle connection has arrived.
func awaitStale(t *testing.T, conn *httpconn.Conn) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for conn.Check() == nil {
		if time.Now().After(deadline) {
			t.Fatal("nothing arrived on the idle connection")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestIdleConnectionsThatChangedAreNotUsed lets a backend server do something
// to an idle connection. The next call must neither take what is there for its
// answer nor be lost: it goes over a new connection, once.
func TestIdleConnectionsThatChangedAreNotUsed(t *testing.T) {
	cases := []struct {
		name string
		// idle acts on the connection of the first call, after its answer.
		idle func(standin.RawCall) bool
	}{
		{"answered twice", func(c standin.RawCall) bool { return c.Send(standin.Whole(200, "", "stale")) }},
		{"bytes behind the answer", func(c standin.RawCall) bool { return c.Send("stale") }},
		{"closed", func(c standin.RawCall) bool { return c.Cut("") }},
		{"answered twice, then closed", func(c standin.RawCall) bool { return c.Cut(standin.Whole(200, "", "stale")) }},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			answered := make(chan struct{})
			server := startRaw(t, func(c standin.RawCall) bool {
				if !c.Send(standin.Whole(200, "", c.ID)) || c.Number > 1 {
					return true
				}
				<-answered
				return k.idle(c)
			})
			caller := newTestCaller(t, server.Address(), limit)
			opened := recordConnections(caller.client)
			first := caller.call(testRequest("first"))
			close(answered)
			awaitStale(t, <-opened)
			next := caller.call(testRequest("next"))
			if string(first.Body) != "first" || string(next.Body) != "next" {
				t.Errorf("got %d %q, %d %q", first.Result, first.Body, next.Result, next.Body)
			}
			if calls := server.Calls(); calls != 2 {
				t.Errorf("%d calls arrived, want 2", calls)
			}
		})
	}
}

// TestBackendServerIsNotCalled tells which failures are sure to have left the
// work undone, so that the request may go elsewhere.
func TestBackendServerIsNotCalled(t *testing.T) {
	server := standin.NewBackendServer(0)
	address := coretest.Serve(t, server.Serve)
	late := testRequest("r")
	late.Deadline = time.Now()
	cases := []struct {
		name    string
		address string
		request model.Request
	}{
		{"connection refused", unreachableAddress, testRequest("r")},
		{"deadline passed while the call waited", address, late},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			done := newTestCaller(t, c.address, limit).call(c.request)
			if done.Result != executor.BackendNotStarted {
				t.Errorf("result %d", done.Result)
			}
			if starts := len(server.Ran().Ran); starts != 0 {
				t.Errorf("%d starts", starts)
			}
		})
	}
}

// TestStopWhileTheBackendServerIsSilent wants the duty to end within the bound
// of one call, with the result of the call that was under way.
func TestStopWhileTheBackendServerIsSilent(t *testing.T) {
	arrived := make(chan struct{}, 1)
	server := startRaw(t, func(standin.RawCall) bool { arrived <- struct{}{}; return true })
	caller := newTestCaller(t, server.Address(), backendTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- caller.run(ctx) }()
	caller.start(testRequest("r"))
	<-arrived
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if done := <-caller.results.Out(); done.Result != executor.BackendLost || done.Request != "r" {
		t.Errorf("got %+v", done)
	}
}
