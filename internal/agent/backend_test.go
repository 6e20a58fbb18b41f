package agent

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/coretest"
	"dragonflyyard/internal/executor"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/settings"
	"dragonflyyard/internal/standin"
)

func newTestAgent(t *testing.T, backend string) *Process {
	t.Helper()
	s := settings.DefaultAgent()
	s.ID, s.Region, s.Zone, s.Rack = "backend-1", "nordeste", "caruaru", "rack-1"
	s.HTTPAddress = "127.0.0.1:0"
	s.Entries = []string{"127.0.0.1:1"}
	s.BackendServer.Address = backend
	s.BackendServer.Timeout = time.Second
	s.Limits.MaxAnswerBytes = 1 << 10
	p, err := New(Config{Settings: s})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// TestBackendServerContract tells what the agent makes of each way in which a
// call of the backend server can end, and that it never repeats a call.
func TestBackendServerContract(t *testing.T) {
	closed := coretest.Serve(t, func(ctx *fasthttp.RequestCtx) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
	})
	unreachable, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = unreachable.Close()
	cases := []struct {
		name   string
		faults standin.HostFaults
		// address overrides the stand-in.
		address string
		body    string
		result  executor.BackendResult
		status  int
		starts  int
	}{
		{"answers", standin.HostFaults{}, "", "hello", executor.BackendAnswered, 200, 1},
		{"empty body", standin.HostFaults{}, "", "", executor.BackendAnswered, 200, 1},
		{"slow", standin.HostFaults{Faults: standin.Faults{DelayMS: 100}}, "", "hello", executor.BackendAnswered, 200, 1},
		{"fails", standin.HostFaults{FailAll: true}, "", "hello", executor.BackendFailed, 500, 1},
		{"down", standin.HostFaults{Faults: standin.Faults{Down: true}}, "", "hello", executor.BackendFailed, 503, 0},
		{"answer lost", standin.HostFaults{Faults: standin.Faults{LoseAnswers: 1}}, "", "hello", executor.BackendLost, 0, 1},
		{"frozen", standin.HostFaults{Faults: standin.Faults{Freeze: true}}, "", "hello", executor.BackendLost, 0, 0},
		{"silent", standin.HostFaults{Faults: standin.Faults{Silent: true}}, "", "hello", executor.BackendLost, 0, 0},
		{"answer too large", standin.HostFaults{}, "", string(make([]byte, 2<<10)), executor.BackendLost, 0, 1},
		{"closes without an answer", standin.HostFaults{}, closed, "hello", executor.BackendLost, 0, 0},
		{"not reachable", standin.HostFaults{}, unreachable.Addr().String(), "hello", executor.BackendNotStarted, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := standin.NewBackendServer(0)
			server.SetFaults(c.faults)
			address := c.address
			if address == "" {
				address = coretest.Serve(t, server.Serve)
			}
			b := newBackendCaller(newTestAgent(t, address))
			done := b.call(model.Request{ID: "r", Account: "cheese", Deadline: time.Now().Add(time.Minute), Body: []byte(c.body)})
			if done.Result != c.result || done.Status != c.status || done.Request != "r" {
				t.Errorf("got result %d status %d, want %d, %d", done.Result, done.Status, c.result, c.status)
			}
			if c.result == executor.BackendAnswered && string(done.Body) != c.body {
				t.Errorf("body %q", done.Body)
			}
			if starts := len(server.Ran().Ran); starts != c.starts {
				t.Errorf("%d starts, want %d", starts, c.starts)
			}
		})
	}
}

func TestClosedIdleConnectionIsNotRepeated(t *testing.T) {
	server := standin.NewBackendServer(0)
	var calls atomic.Int64
	address := coretest.Serve(t, func(ctx *fasthttp.RequestCtx) {
		if calls.Add(1) == 2 {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(c net.Conn) { _ = c.Close() })
			return
		}
		server.Serve(ctx)
	})
	b := newBackendCaller(newTestAgent(t, address))
	want := []executor.BackendResult{executor.BackendAnswered, executor.BackendLost, executor.BackendAnswered}
	for i, result := range want {
		done := b.call(model.Request{ID: "r", Deadline: time.Now().Add(time.Minute)})
		if done.Result != result {
			t.Errorf("call %d: result %d, want %d", i, done.Result, result)
		}
	}
	if int(calls.Load()) != len(want) {
		t.Errorf("%d calls arrived, want %d", calls.Load(), len(want))
	}
}
