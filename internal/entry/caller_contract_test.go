package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/callerapi"
)

// rawCaller is a caller below HTTP.
type rawCaller struct {
	net.Conn
	reader *bufio.Reader
}

func (r *region) rawCaller(index int) rawCaller {
	r.tb.Helper()
	conn, err := net.Dial("tcp", r.entries[index].HTTPAddress())
	if err != nil {
		r.tb.Fatal(err)
	}
	r.tb.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(limit))
	return rawCaller{conn, bufio.NewReader(conn)}
}

// text is a caller's request in HTTP.
func (c callOf) text() string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: cheese\r\n%s: %v\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		callerapi.PathRequests, callerapi.HeaderRequestID, c.id, callerapi.HeaderAccount, callerapi.HeaderIdempotent, c.idempotent,
		callerapi.HeaderDeadlineMS, c.deadlineMS, len(c.body), c.body)
}

// answer reads one answer. It returns status 0 when the connection ended first.
func (c rawCaller) answer() (int, string) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// TestBrokenCallsOfCallers sends what is no whole request, then the same
// request whole: the broken one ran nothing and took no ID.
func TestBrokenCallsOfCallers(t *testing.T) {
	r := startRegion(t, regionOptions{entries: 1, agents: 1})
	whole := func(c callOf) string { return c.text() }
	cases := []struct {
		name string
		send func(callOf) string
		// status is that of the broken call; 0 stands for a closed connection.
		status int
	}{
		{"cut in the request line", func(c callOf) string { return whole(c)[:9] }, 0},
		{"cut in the header", func(c callOf) string { return whole(c)[:60] }, 0},
		{"cut in the body", func(c callOf) string { return strings.TrimSuffix(whole(c), c.body[1:]) }, 0},
		{"cut between chunks", func(c callOf) string {
			return strings.Replace(strings.TrimSuffix(whole(c), c.body), fmt.Sprintf("Content-Length: %d", len(c.body)), "Transfer-Encoding: chunked", 1) + "1\r\nb\r\n"
		}, 0},
		{"not HTTP", func(callOf) string { return "\x16\x03\x01\r\n\r\n" }, 400},
		{"two lengths", func(c callOf) string {
			return strings.Replace(whole(c), "Content-Length", "Content-Length: 1\r\nContent-Length", 1)
		}, 400},
		{"negative length", func(c callOf) string { return strings.Replace(whole(c), "Content-Length: ", "Content-Length: -", 1) }, 400},
		{"header too large", func(c callOf) string {
			return strings.Replace(whole(c), "Host: x\r\n", "Host: x\r\nX-Filler: "+strings.Repeat("x", 1<<16)+"\r\n", 1)
		}, 431},
		{"body too large", func(c callOf) string {
			return strings.Replace(whole(c), "Content-Length: ", "Content-Length: 99999999", 1)
		}, 413},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := newCall(false)
			caller := r.rawCaller(0)
			_, _ = io.WriteString(caller, k.send(c))
			if k.status == 0 {
				_ = caller.Conn.(*net.TCPConn).CloseWrite()
			}
			if status, _ := caller.answer(); status != k.status && (k.status != 0 || status != 400) {
				t.Errorf("status %d, want %d", status, k.status)
			}
			if starts := r.ran()[c.id]; starts != 0 {
				t.Fatalf("a broken request ran %d times", starts)
			}
			if a := r.post(0, c); a.Status != fasthttp.StatusOK || a.Body != c.body || r.ran()[c.id] != 1 {
				t.Errorf("sent whole: %+v, %d starts", a, r.ran()[c.id])
			}
		})
	}
}

// TestCallerThatDoesNotWait sends a request and goes away before its answer.
// Sent again under its ID, through any entry host, it finds the first run.
func TestCallerThatDoesNotWait(t *testing.T) {
	r := startRegion(t, regionOptions{entries: 2, agents: 2, serviceTime: 50 * time.Millisecond})
	leave := map[string]func(rawCaller){
		"closed": func(c rawCaller) { _ = c.Close() },
		"reset": func(c rawCaller) {
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		},
		"silent for good": func(rawCaller) {},
	}
	for name, gone := range leave {
		for _, idempotent := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", idempotent ", idempotent), func(t *testing.T) {
				c := newCall(idempotent)
				caller := r.rawCaller(0)
				_, _ = io.WriteString(caller, c.text())
				r.await("the start", func() bool { return r.ran()[c.id] > 0 })
				gone(caller)
				for index := range r.entries {
					if a := r.post(index, c); a.Status != fasthttp.StatusOK || a.Body != c.body {
						t.Errorf("entry host %d: %+v", index, a)
					}
				}
				if starts := r.ran()[c.id]; starts != 1 {
					t.Errorf("%d starts", starts)
				}
			})
		}
	}
}

// TestCallsOneAfterTheOtherOnAConnection sends several requests at once on one
// connection: each gets its own answer, in order, and a repeated one the first's.
func TestCallsOneAfterTheOtherOnAConnection(t *testing.T) {
	r := startRegion(t, regionOptions{entries: 1, agents: 2})
	a, b := newCall(false), newCall(false)
	caller := r.rawCaller(0)
	_, _ = io.WriteString(caller, a.text()+b.text()+a.text())
	for i, want := range []callOf{a, b, a} {
		if status, body := caller.answer(); status != fasthttp.StatusOK || body != want.body {
			t.Errorf("answer %d: status %d, %q", i, status, body)
		}
	}
	if starts := r.ran(); starts[a.id] != 1 || starts[b.id] != 1 {
		t.Errorf("%d and %d starts", starts[a.id], starts[b.id])
	}
}

// TestStopOfAnEntryHostWhileCallsAreUnderWay stops an entry host after the
// backend servers have the requests: each caller gets its whole answer.
func TestStopOfAnEntryHostWhileCallsAreUnderWay(t *testing.T) {
	r := startRegion(t, regionOptions{entries: 2, agents: 2, serviceTime: 100 * time.Millisecond, stopTimeout: limit / 3})
	calls := make([]callOf, 8)
	var running sync.WaitGroup
	for i := range calls {
		calls[i] = newCall(i%2 == 0)
		running.Go(func() {
			if a := r.post(0, calls[i]); a.Status != fasthttp.StatusOK || a.Body != calls[i].body {
				t.Errorf("call %d: %+v", i, a)
			}
		})
	}
	r.await("all starts", func() bool {
		ran := r.ran()
		for _, c := range calls {
			if ran[c.id] == 0 {
				return false
			}
		}
		return true
	})
	if status, _ := r.operate(0, fasthttp.MethodPost, "/v1/stop", nil); status != fasthttp.StatusAccepted {
		t.Errorf("stop: status %d", status)
	}
	running.Wait()
	for _, c := range calls {
		if starts := r.ran()[c.id]; starts != 1 {
			t.Errorf("%s: %d starts", c.id, starts)
		}
	}
}
