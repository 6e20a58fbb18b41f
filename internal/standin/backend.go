package standin

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/callerapi"
)

// Paths of a backend server's HTTP interface. PathFaults sets its switches.
const (
	PathRun = "/run"
	PathRan = "/ran"
)

// headerServiceMS overrides the service time of a request, in milliseconds.
const headerServiceMS = "X-Service-Ms"

// RanResponse is the answer of GET PathRan.
type RanResponse struct {
	// Ran holds the ID of each request that started, in order, once for each start.
	Ran []string `json:"ran"`
	// MostAtOnce is the largest number of requests that ran at the same time.
	MostAtOnce int `json:"most_at_once"`
}

// BackendServer answers each request with the request's own body after a
// service time, and keeps the list of the requests that it truly started.
type BackendServer struct {
	serviceTime time.Duration
	switches    *hostSwitches

	mu         sync.Mutex
	ran        []string
	running    int
	mostAtOnce int
}

// NewBackendServer returns a backend server without faults.
func NewBackendServer(serviceTime time.Duration) *BackendServer {
	return &BackendServer{serviceTime: serviceTime, switches: newHostSwitches()}
}

// SetFaults replaces the fault switches.
func (b *BackendServer) SetFaults(faults HostFaults) { b.switches.set(faults) }

// Serve answers PathRun, PathRan and PathFaults.
func (b *BackendServer) Serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == PathRun && ctx.IsPost():
		b.serveRun(ctx)
	case path == PathRan && ctx.IsGet():
		writeJSON(ctx, b.Ran())
	case path == PathFaults && ctx.IsPost():
		b.switches.serve(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// Ran returns the requests that started so far.
func (b *BackendServer) Ran() RanResponse {
	b.mu.Lock()
	defer b.mu.Unlock()
	return RanResponse{Ran: append([]string{}, b.ran...), MostAtOnce: b.mostAtOnce}
}

func (b *BackendServer) serveRun(ctx *fasthttp.RequestCtx) {
	if !b.switches.admit(ctx) {
		return
	}
	b.begin(string(ctx.Request.Header.Peek(callerapi.HeaderRequestID)))
	defer b.end()
	if service := b.serviceTimeOf(ctx); service > 0 {
		time.Sleep(service)
	}
	switch {
	case b.switches.loseAnswer(ctx):
	case b.switches.failsAll():
		ctx.Error("the backend server fails every request", fasthttp.StatusInternalServerError)
	default:
		ctx.SetBody(ctx.PostBody())
	}
}

func (b *BackendServer) serviceTimeOf(ctx *fasthttp.RequestCtx) time.Duration {
	ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(headerServiceMS)))
	if err != nil {
		return b.serviceTime
	}
	return time.Duration(ms) * time.Millisecond
}

func (b *BackendServer) begin(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ran = append(b.ran, id)
	b.running++
	b.mostAtOnce = max(b.mostAtOnce, b.running)
}

func (b *BackendServer) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}
