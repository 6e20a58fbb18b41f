package deployed

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"dragonflyyard/internal/coretest"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/settings"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
)

const configuration = `{"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/q/","service":"s","priority":1,"max_attempts":2,"slack_factor":2,"target_duration_ms":100}],
	"limits":{"max_body_bytes":1000},"tenants":[{"name":"t","api_keys":["k"],"guaranteed":{"gpu":8}}],"services":[]}`

// site is a small deployment: a store, entry hosts, and agents with their workers.
type site struct {
	t       *testing.T
	store   *standin.Store
	address string
	entries []string
	workers []*standin.JobWorker
	// scans counts the reads of the parts of each table.
	scans sync.Map
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, store: standin.NewStore(time.Now)}
	s.address = coretest.Serve(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/rows-parts" {
			s.scansOf(string(ctx.QueryArgs().Peek("table"))).Add(1)
		}
		s.store.HandleRows(ctx)
	})
	if _, err := s.store.Commit(t.Context(), storeapi.Transaction{Puts: []storeapi.Put{{Key: "op/config", Value: []byte(configuration)}}}); err != nil {
		t.Fatal(err)
	}
	return s
}

// scansOf returns the count of the scans of a table.
func (s *site) scansOf(table string) *atomic.Int64 {
	count, _ := s.scans.LoadOrStore(table, &atomic.Int64{})
	return count.(*atomic.Int64)
}

func (s *site) run(name string, process func(ctx context.Context, log *zap.Logger, registry metrics.Registry) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := process(ctx, zap.NewNop(), metrics.NewRegistry()); err != nil && ctx.Err() == nil {
			s.t.Errorf("%s: %v", name, err)
		}
	}()
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			cancel()
			<-done
		}
	}
	s.t.Cleanup(stop)
	return stop
}

func noReload() error { return nil }

func (s *site) entry(host string) (stop func()) {
	callers := freeAddress(s.t)
	s.entries = append(s.entries, callers)
	return s.run(host, func(ctx context.Context, log *zap.Logger, registry metrics.Registry) error {
		return RunEntry(ctx, settings.DeployedEntry{
			Host: model.EntryID(host), Region: "region", Zone: "z", CallersAddress: callers, ReadinessAddress: freeAddress(s.t),
			MetricsAddress: freeAddress(s.t), RelayAddress: freeAddress(s.t), StoreAddress: s.address, StopGrace: time.Second,
		}, log, registry, noReload)
	})
}

func (s *site) agent(host string) (stop func()) {
	worker := standin.NewJobWorker("i-"+host, "s", "z", "r1")
	s.workers = append(s.workers, worker)
	return s.agentOf(host, worker)
}

// agentOf runs an agent beside a worker, which sends heartbeats to it.
func (s *site) agentOf(host string, worker *standin.JobWorker) (stop func()) {
	control, app := freeAddress(s.t), coretest.Serve(s.t, worker.Handle)
	beating, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	go func() {
		for sequence := 1; beating.Err() == nil; sequence++ {
			// The agent may be stopped or starting: the next heartbeat follows.
			_ = worker.Beat(control, sequence)
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return s.run(host, func(ctx context.Context, log *zap.Logger, registry metrics.Registry) error {
		return RunAgent(ctx, settings.DeployedAgent{
			Host: host, Region: "region", Zone: "z", ControlAddress: control, WorkerAddress: app,
			MetricsAddress: freeAddress(s.t), StoreAddress: s.address, PushAddress: freeAddress(s.t), LongestLease: 10 * time.Second, StopGrace: 6 * time.Second,
		}, log, registry, noReload)
	})
}

// call makes a caller's call at an entry host, again until it is answered with
// another status than 503.
func (s *site) call(entry int, method, path, body string) (int, string) {
	for {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod(method)
		req.SetRequestURI("http://" + s.entries[entry] + path)
		req.Header.SetHost("h")
		req.UseHostHeader = true
		req.Header.Set("Credential", "k")
		req.SetBodyString(body)
		err := fasthttp.DoTimeout(req, resp, 5*time.Second)
		if err == nil && resp.StatusCode() != fasthttp.StatusServiceUnavailable {
			return resp.StatusCode(), string(resp.Body())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *site) await(entry int, id, state string) {
	s.t.Helper()
	for {
		status, body := s.call(entry, "GET", "/q/"+id, "")
		var answer struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal([]byte(body), &answer); err != nil || status != 200 {
			s.t.Fatalf("state of %s: %d %s", id, status, body)
		}
		if answer.State == state {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

const (
	jobA   = "00000000000000aa"
	jobB   = "00000000000000bb"
	chain  = `{"spec":"50ms","steps":[{"count":3,"cpu":1000,"gpu":1,"estimate_ms":50},{"count":2,"cpu":1000,"after":[0],"estimate_ms":50}]}`
	longer = `{"spec":"1500ms","steps":[{"count":4,"cpu":1000,"gpu":4,"estimate_ms":1500}]}`
)

// starts counts how often each task was started, over all workers.
func (s *site) starts() map[string]int {
	out := map[string]int{}
	for _, w := range s.workers {
		for _, task := range w.Started() {
			out[task]++
		}
	}
	return out
}

func TestWholePath(t *testing.T) {
	s := newSite(t)
	s.entry("entry-1")
	s.entry("entry-2")
	s.agent("side-1")
	s.agent("side-2")
	for range 2 {
		if status, body := s.call(0, "POST", "/q/"+jobA, chain); status != 200 {
			t.Fatalf("submission: %d %s", status, body)
		}
	}
	s.await(1, jobA, "completed")
	for task, n := range s.starts() {
		if n != 1 {
			t.Errorf("%s was started %d times", task, n)
		}
	}
	if n := len(s.starts()); n != 5 {
		t.Errorf("%d of 5 tasks were started", n)
	}
	if status, _ := s.call(0, "GET", "/q/00000000000000ff", ""); status != 410 {
		t.Errorf("an unknown job gives %d", status)
	}
	if status, body := s.call(1, "GET", "/q/", ""); status != 200 || !strings.Contains(body, "pending") {
		t.Errorf("the queue gives %d %s", status, body)
	}
}

// TestProcessesAreReplaced: while tasks run, both entry hosts and one agent are
// replaced by new processes. The job completes and no task runs twice.
func TestProcessesAreReplaced(t *testing.T) {
	s := newSite(t)
	stopEntry := s.entry("entry-1")
	stopAgent := s.agent("side-1")
	s.agent("side-2")
	if status, body := s.call(0, "POST", "/q/"+jobA, longer); status != 200 {
		t.Fatalf("submission: %d %s", status, body)
	}
	for len(s.starts()) < 4 {
		time.Sleep(5 * time.Millisecond)
	}
	stopEntry()
	stopAgent()
	s.entry("entry-3")
	s.agentOf("side-1", s.workers[0])
	s.await(1, jobA, "completed")
	for task, n := range s.starts() {
		if n != 1 {
			t.Errorf("%s was started %d times", task, n)
		}
	}
}

// TestWorkerBeginsAnotherLife: what ran on it is started again.
func TestWorkerBeginsAnotherLife(t *testing.T) {
	s := newSite(t)
	s.entry("entry-1")
	s.agent("side-1")
	s.agent("side-2")
	if status, body := s.call(0, "POST", "/q/"+jobA, longer); status != 200 {
		t.Fatalf("submission: %d %s", status, body)
	}
	for len(s.starts()) < 4 {
		time.Sleep(5 * time.Millisecond)
	}
	s.workers[0].Restart()
	s.await(0, jobA, "completed")
}

func TestCancel(t *testing.T) {
	s := newSite(t)
	s.entry("entry-1")
	s.agent("side-1")
	if status, body := s.call(0, "POST", "/q/"+jobB, longer); status != 200 {
		t.Fatalf("submission: %d %s", status, body)
	}
	if status, _ := s.call(0, "DELETE", "/q/"+jobB, ""); status != 200 {
		t.Fatalf("cancellation: %d", status)
	}
	s.await(0, jobB, "cancelled")
	if status, _ := s.call(0, "POST", "/q/"+jobB, longer); status != 200 {
		t.Errorf("the same submission after its cancellation gives %d", status)
	}
	s.await(0, jobB, "cancelled")
}

// TestStoreOutage: the store is away while tasks run; they go on, and the job
// completes after its return without a second start.
func TestStoreOutage(t *testing.T) {
	s := newSite(t)
	s.entry("entry-1")
	s.agent("side-1")
	s.agent("side-2")
	if status, body := s.call(0, "POST", "/q/"+jobA, longer); status != 200 {
		t.Fatalf("submission: %d %s", status, body)
	}
	for len(s.starts()) < 4 {
		time.Sleep(5 * time.Millisecond)
	}
	s.store.SetFaults(standin.ServiceTable, standin.Faults{Down: true})
	time.Sleep(2 * time.Second)
	s.store.SetFaults(standin.ServiceTable, standin.Faults{})
	s.await(0, jobA, "completed")
	for task, n := range s.starts() {
		if n != 1 {
			t.Errorf("%s was started %d times", task, n)
		}
	}
}
