package entry_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/agent"
	"dragonflyyard/internal/audit"
	"dragonflyyard/internal/callerapi"
	"dragonflyyard/internal/entry"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/settings"
	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/wire"
)

// limit is the generous bound on every wait of these tests.
const limit = 30 * time.Second

// region is a set of entry hosts, agents, backend servers and the platform's
// stand-in inside the test's own process, joined by real sockets.
type region struct {
	tb       testing.TB
	entries  []*entry.Process
	agents   []*agent.Process
	backends []*standin.BackendServer
	// addresses are those of the backend servers.
	addresses    []string
	store        *standin.Store
	storeAddress string
	client       *fasthttp.Client
	boxes        []*standin.Middlebox
	running      sync.WaitGroup
	cancels      []context.CancelFunc
}

// regionOptions changes the settings before the processes start.
type regionOptions struct {
	entries, agents int
	serviceTime     time.Duration
	// stopTimeout bounds each process's stop; a second unless set otherwise.
	stopTimeout time.Duration
	// boxed puts a middlebox in front of each entry host's links.
	boxed bool
}

func startRegion(tb testing.TB, o regionOptions) *region {
	tb.Helper()
	r := &region{tb: tb, client: &fasthttp.Client{
		MaxConnsPerHost: 1024, ReadTimeout: limit, WriteTimeout: limit, MaxIdemponentCallAttempts: 1,
	}}
	if o.stopTimeout == 0 {
		o.stopTimeout = time.Second
	}
	r.startStore()
	r.tb.Cleanup(r.stopAll)
	var links []string
	for i := range o.entries {
		p := r.startEntry(i, o)
		links = append(links, p.LinkAddress())
	}
	for i := range o.agents {
		r.startAgent(i, o, links)
	}
	r.awaitCredit()
	return r
}

func (r *region) run(p interface{ Run(context.Context) error }) {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancels = append(r.cancels, cancel)
	r.running.Go(func() {
		if err := p.Run(ctx); err != nil {
			r.tb.Error(err)
		}
	})
}

// stopAll stops all processes at the same time.
func (r *region) stopAll() {
	for _, cancel := range r.cancels {
		cancel()
	}
	r.running.Wait()
}

func (r *region) startEntry(index int, o regionOptions) *entry.Process {
	r.tb.Helper()
	s := settings.DefaultEntry()
	s.ID, s.Region, s.Zone = model.EntryID(fmt.Sprintf("entry-%d", index+1)), "nordeste", "caruaru"
	s.HTTPAddress, s.LinkAddress = "127.0.0.1:0", "127.0.0.1:0"
	s.Process.DrainDelay = time.Millisecond
	s.Process.StopTimeout = o.stopTimeout
	s.TableAddress, s.ObjectStoreAddress = r.storeAddress, r.storeAddress
	config := entry.Config{Settings: s}
	var box *standin.Middlebox
	if o.boxed {
		box = r.newBox()
		config.LinkAddress = box.Address()
	}
	p, err := entry.New(config)
	if err != nil {
		r.tb.Fatal(err)
	}
	if o.boxed {
		box.SetTarget(p.ListenAddress())
	}
	r.entries = append(r.entries, p)
	r.run(p)
	return p
}

func (r *region) startAgent(index int, o regionOptions, links []string) {
	r.tb.Helper()
	backend := standin.NewBackendServer(o.serviceTime)
	s := settings.DefaultAgent()
	s.ID, s.Region, s.Zone = model.BackendServerID(fmt.Sprintf("backend-%d", index+1)), "nordeste", "caruaru"
	s.HTTPAddress, s.Entries = "127.0.0.1:0", links
	s.BackendServer.Address = r.serve(backend.Serve)
	s.Process.StopTimeout = o.stopTimeout
	p, err := agent.New(agent.Config{Settings: s})
	if err != nil {
		r.tb.Fatal(err)
	}
	r.agents = append(r.agents, p)
	r.backends = append(r.backends, backend)
	r.addresses = append(r.addresses, s.BackendServer.Address)
	r.run(p)
}

// startStore serves the platform's table service and object store.
func (r *region) startStore() {
	r.store = standin.NewStore(time.Now)
	r.storeAddress = r.serve(r.store.Serve)
}

// serve serves HTTP on a free port until the end of the test.
func (r *region) serve(handler fasthttp.RequestHandler) string {
	r.tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.tb.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true}
	go func() { _ = server.Serve(listener) }()
	r.tb.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// awaitCredit waits until each entry host answers a non-idempotent request.
func (r *region) awaitCredit() {
	r.tb.Helper()
	for i, p := range r.entries {
		r.await(p.Name+" to be connected", func() bool { return len(p.Hub.Conns(wire.RoleAgent)) == len(r.agents) })
		r.await(p.Name+" to answer", func() bool { return r.post(i, newCall(false)).Status == fasthttp.StatusOK })
	}
}

func (r *region) await(what string, condition func() bool) {
	r.tb.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			r.tb.Fatalf("waited in vain for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// ran counts the starts of each request over all backend servers.
func (r *region) ran() map[string]int {
	starts := map[string]int{}
	for _, backend := range r.backends {
		for _, id := range backend.Ran().Ran {
			starts[id]++
		}
	}
	return starts
}

// callOf is a caller's request.
type callOf struct {
	id         string
	idempotent bool
	body       string
	deadlineMS int64
}

func newCall(idempotent bool) callOf {
	id := uuid.Must(uuid.NewV7()).String()
	return callOf{id: id, idempotent: idempotent, body: "body of " + id, deadlineMS: limit.Milliseconds()}
}

// post sends a request through an entry host.
func (r *region) post(index int, c callOf) audit.Answer {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + r.entries[index].HTTPAddress() + callerapi.PathRequests)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(callerapi.HeaderRequestID, c.id)
	request.Header.Set(callerapi.HeaderAccount, "cheese")
	request.Header.Set(callerapi.HeaderIdempotent, fmt.Sprint(c.idempotent))
	request.Header.Set(callerapi.HeaderDeadlineMS, fmt.Sprint(c.deadlineMS))
	request.SetBodyString(c.body)
	if err := r.client.Do(request, response); err != nil {
		return audit.Answer{Request: c.id, Idempotent: c.idempotent, Sent: c.body, Body: err.Error()}
	}
	return audit.Answer{
		Request: c.id, Idempotent: c.idempotent, Sent: c.body,
		Status: response.StatusCode(), Outcome: string(response.Header.Peek(callerapi.HeaderOutcome)),
		RetryAfter: string(response.Header.Peek(fasthttp.HeaderRetryAfter)), Body: string(response.Body()),
	}
}

func (r *region) newBox() *standin.Middlebox {
	r.tb.Helper()
	box, err := standin.NewMiddlebox()
	if err != nil {
		r.tb.Fatal(err)
	}
	r.tb.Cleanup(box.Close)
	r.boxes = append(r.boxes, box)
	return box
}
