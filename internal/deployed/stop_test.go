package deployed

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/settings"
	"dragonflyyard/internal/shutdown"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/workload"
)

// openConnection is a connection of one caller that is kept between calls.
type openConnection struct {
	client *fasthttp.HostClient
}

func openTo(address string) *openConnection {
	return &openConnection{&fasthttp.HostClient{
		Addr: address, MaxConns: 1, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

type answer struct {
	status     int
	retryAfter string
	at         time.Time
	err        error
}

// call makes one call, for which the caller waits callerTime.
func (c *openConnection) call(method, path, body string) answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.client.Addr + path)
	req.Header.SetHost("h")
	req.UseHostHeader = true
	req.Header.Set("Credential", "k")
	req.Header.Set("Deadline-Ms", fmt.Sprint(callerTime.Milliseconds()))
	req.SetBodyString(body)
	err := c.client.DoTimeout(req, resp, 2*callerTime)
	return answer{resp.StatusCode(), string(resp.Header.Peek("Retry-After")), time.Now(), err}
}

const callerTime = 3 * time.Second

// stoppableEntry is an entry host with a grace. terminate begins its stop and returns at
// once; ended is closed when the process has ended.
type stoppableEntry struct {
	address   string
	terminate func()
	ended     <-chan struct{}
	registry  metrics.Registry
}

func (s *site) stoppableEntry(grace time.Duration) stoppableEntry {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	e := stoppableEntry{freeAddress(s.t), cancel, ended, metrics.NewRegistry()}
	go func() {
		defer close(ended)
		err := RunEntry(ctx, settings.DeployedEntry{
			Host: "stopping", Region: "region", Zone: "z", CallersAddress: e.address, ReadinessAddress: freeAddress(s.t),
			MetricsAddress: freeAddress(s.t), RelayAddress: freeAddress(s.t), StoreAddress: s.address, StopGrace: grace,
		}, zap.NewNop(), e.registry, noReload)
		if err != nil {
			s.t.Errorf("entry host: %v", err)
		}
	}()
	s.t.Cleanup(func() { cancel(); <-ended })
	s.entries = append(s.entries, e.address)
	return e
}

// servingEntry returns a stoppable entry host that serves, and a caller with an open
// connection to it.
func (s *site) servingEntry(grace time.Duration) (stoppableEntry, *openConnection) {
	s.t.Helper()
	e := s.stoppableEntry(grace)
	caller := openTo(e.address)
	s.call(len(s.entries)-1, "GET", "/q/", "")
	if first := caller.call("GET", "/q/", ""); first.status != 200 {
		s.t.Fatalf("before the stop: %+v", first)
	}
	return e, caller
}

// TestCallsOfAStoppingProcessAreAnswered guards against calls that are cut off when the
// process ends: the store is so slow that a call sent near the end of the accepting stage
// takes longer than the rest of the grace, and less than its caller waits.
func TestCallsOfAStoppingProcessAreAnswered(t *testing.T) {
	const grace = 3 * time.Second
	s := newSite(t)
	e, caller := s.servingEntry(grace)
	s.store.SetFaults(standin.ServiceTable, standin.Faults{DelayMS: 500})
	stoppedAt := time.Now()
	schedule := shutdown.NewSchedule(stoppedAt, grace)
	e.terminate()
	time.Sleep(time.Until(schedule.AcceptUntil) - 150*time.Millisecond)
	got := caller.call("GET", "/q/"+jobA, "")
	if got.err != nil || got.status != 503 || got.retryAfter == "" {
		t.Errorf("call in progress at the end: %+v, want 503 with a time to come back", got)
	}
	if took := got.at.Sub(stoppedAt); took > grace {
		t.Errorf("answered %s after the signal, the process is killed after %s", took, grace)
	}
	<-e.ended
	if took := time.Since(stoppedAt); took > grace {
		t.Errorf("ended %s after the signal, the process is killed after %s", took, grace)
	}
	s.store.SetFaults(standin.ServiceTable, standin.Faults{})
}

// TestSlowCallsAreServedUntilTheGraceEnds guards against giving calls up while most of
// the grace is left: a job that is submitted during the stop to a slow store is stored, and
// its caller is told.
func TestSlowCallsAreServedUntilTheGraceEnds(t *testing.T) {
	const grace = 6 * time.Second
	s := newSite(t)
	e, caller := s.servingEntry(grace)
	s.store.SetFaults(standin.ServiceTable, standin.Faults{DelayMS: 350})
	e.terminate()
	time.Sleep(time.Until(shutdown.NewSchedule(time.Now(), grace).AcceptUntil) - 150*time.Millisecond)
	// A job that isn't known is looked for in one part after the other.
	if got := caller.call("GET", "/q/"+jobA, ""); got.err != nil || got.status != 410 {
		t.Errorf("a call of about 2 s with 2.8 s of the grace left: %+v, want 410", got)
	}
	select {
	case <-e.ended:
		t.Error("the process ended before the answer")
	default:
	}
	s.store.SetFaults(standin.ServiceTable, standin.Faults{})
	<-e.ended
}

// TestReloadDuringTheStop guards against a SIGHUP that ends a stopping process at once,
// with the calls that it has in progress.
func TestReloadDuringTheStop(t *testing.T) {
	const grace = 2 * time.Second
	s := newSite(t)
	e, caller := s.servingEntry(grace)
	s.store.SetFaults(standin.ServiceTable, standin.Faults{DelayMS: 500})
	schedule := shutdown.NewSchedule(time.Now(), grace)
	e.terminate()
	answered := make(chan answer)
	go func() { answered <- caller.call("GET", "/q/"+jobA, "") }()
	time.Sleep(time.Until(schedule.AcceptUntil) + 100*time.Millisecond)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if got := <-answered; got.err != nil {
		t.Errorf("call in progress: %+v", got)
	}
	s.store.SetFaults(standin.ServiceTable, standin.Faults{})
	<-e.ended
}

// TestJobsAcceptedDuringTheStopArePushed guards against pushes that end before the calls
// that need them: the job is stored when the host has stopped accepting calls.
func TestJobsAcceptedDuringTheStopArePushed(t *testing.T) {
	const grace = 6 * time.Second
	s := newSite(t)
	s.entry("owner")
	s.call(0, "GET", "/q/", "")
	e, caller := s.servingEntry(grace)
	sent := metrics.GetOrRegisterCounter("push.sent", e.registry)
	// The host pushes once it knows the scheduler and its address.
	for i := 0; sent.Count() == 0; i++ {
		if status, body := s.call(1, "POST", fmt.Sprintf("/q/%016x", 0xd0+i), chain); status != 200 {
			t.Fatalf("submission: %d %s", status, body)
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.store.SetFaults(standin.ServiceTable, standin.Faults{DelayMS: 500})
	schedule := shutdown.NewSchedule(time.Now(), grace)
	e.terminate()
	time.Sleep(time.Until(schedule.AcceptUntil) - 150*time.Millisecond)
	before := sent.Count()
	if got := caller.call("POST", "/q/"+jobB, chain); got.status != 200 {
		t.Fatalf("submission during the stop: %+v", got)
	}
	s.store.SetFaults(standin.ServiceTable, standin.Faults{})
	<-e.ended
	if sent.Count() == before {
		t.Error("the job was not pushed")
	}
}

// TestStoppingAgentWritesWhatItAnsweredFor guards against a worker's departure that is
// acknowledged and then forgotten, since the agent ends before it has written it: the
// scheduler would wait for the worker until it counts as lost. A worker that goes on has not
// left, whatever arrived in its name.
func TestStoppingAgentWritesWhatItAnsweredFor(t *testing.T) {
	for name, want := range map[string]workload.WorkerState{"the worker ends": workload.WorkerGone, "the worker goes on": workload.WorkerReady} {
		t.Run(name, func(t *testing.T) {
			if got := stateAfterDeparture(t, want == workload.WorkerGone); got != want {
				t.Errorf("the worker is stored as %q after its departure was acknowledged, want %q", got, want)
			}
		})
	}
}

// stateAfterDeparture returns what an agent has stored of a worker that deregistered shortly
// before the agent was told to stop. The worker ends then if ends is set.
func stateAfterDeparture(t *testing.T, ends bool) workload.WorkerState {
	t.Helper()
	s := newSite(t)
	worker := standin.NewJobWorker("i-1", "s", "z", "r1")
	control := freeAddress(t)
	app, closeApp := serveWorker(t, worker)
	ctx, terminate := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		err := RunAgent(ctx, settings.DeployedAgent{
			Host: "side-1", Region: "region", Zone: "z", ControlAddress: control, WorkerAddress: app, MetricsAddress: freeAddress(t),
			StoreAddress: s.address, PushAddress: freeAddress(t), LongestLease: 10 * time.Second, StopGrace: 6 * time.Second,
		}, zap.NewNop(), metrics.NewRegistry(), noReload)
		if err != nil {
			t.Errorf("agent: %v", err)
		}
	}()
	defer func() { terminate(); <-ended }()
	state := func() workload.WorkerState {
		var announced workload.Announcement
		row, err := s.store.Get(t.Context(), workload.WorkerKey("side-1"))
		if err == nil {
			err = rowcodec.Decode(row.Value, &announced)
		}
		if err != nil {
			return ""
		}
		return announced.State
	}
	for sequence := 1; state() != workload.WorkerReady; sequence++ {
		// The agent may not listen yet.
		_ = worker.Beat(control, sequence)
		time.Sleep(20 * time.Millisecond)
	}
	// A transaction takes longer than the agent's servers take to stop.
	s.store.SetFaults(standin.ServiceTable, standin.Faults{DelayMS: 200})
	if err := leave(control, "i-1"); err != nil {
		t.Fatal(err)
	}
	if ends {
		closeApp()
	}
	terminate()
	<-ended
	return state()
}

// serveWorker serves the calls to a worker at the returned address until it is closed.
func serveWorker(t *testing.T, worker *standin.JobWorker) (address string, closeListener func()) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: worker.Handle, CloseOnShutdown: true}
	go func() { _ = server.Serve(listener) }()
	closeListener = sync.OnceFunc(func() {
		_ = listener.Close()
		go func() { _ = server.Shutdown() }()
	})
	t.Cleanup(closeListener)
	return listener.Addr().String(), closeListener
}

// leave deregisters a worker at its agent.
func leave(control string, worker model.WorkerID) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodDelete)
	req.SetRequestURI("http://" + control + "/instances/" + string(worker))
	if err := fasthttp.DoTimeout(req, resp, time.Second); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode())
	}
	return nil
}

// TestConnectionsOfAStoppingProcessAreClosed guards against callers that stay with a
// stopping host: each answer closes its connection.
func TestConnectionsOfAStoppingProcessAreClosed(t *testing.T) {
	s := newSite(t)
	e := s.stoppableEntry(2 * time.Second)
	s.call(0, "GET", "/q/", "")
	conn, err := net.Dial("tcp4", e.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	e.terminate()
	time.Sleep(100 * time.Millisecond)
	if _, err := fmt.Fprint(conn, "GET /q/ HTTP/1.1\r\nHost: h\r\nCredential: k\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	buffer := make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		text.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	if !strings.Contains(text.String(), "200 OK") || !strings.Contains(text.String(), "Connection: close") {
		t.Errorf("answer during the stop: %q", text.String())
	}
}
