package process

import (
	"encoding/json"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
)

// route sends requests of a method whose path begins with a prefix to a handler.
type route struct {
	method  string
	prefix  string
	handler fasthttp.RequestHandler
}

// routeTable finds the handler with the longest matching prefix.
type routeTable struct {
	routes []route
}

func (t *routeTable) add(r route) {
	t.routes = append(t.routes, r)
	sort.SliceStable(t.routes, func(i, j int) bool {
		return len(t.routes[i].prefix) > len(t.routes[j].prefix)
	})
}

func (t *routeTable) serve(ctx *fasthttp.RequestCtx) {
	method, path := string(ctx.Method()), string(ctx.Path())
	knownPath := false
	for _, r := range t.routes {
		if !r.matches(path) {
			continue
		}
		if r.method == method {
			r.handler(ctx)
			return
		}
		knownPath = true
	}
	if knownPath {
		WriteError(ctx, fasthttp.StatusMethodNotAllowed, "method_not_allowed", "The path does not take method "+method+".")
		return
	}
	WriteError(ctx, fasthttp.StatusNotFound, "no_such_path", "There is nothing at this path.")
}

// serve handles one request. While the process stops, each answer asks the
// client to open its next connection elsewhere.
func (b *Base) serve(ctx *fasthttp.RequestCtx) {
	b.routes.serve(ctx)
	if b.IsStopping() {
		ctx.SetConnectionClose()
	}
}

// matches reports whether path is the prefix itself or lies below it. A prefix
// that ends in a slash matches only what lies below it.
func (r route) matches(path string) bool {
	rest, ok := strings.CutPrefix(path, r.prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(r.prefix, "/"))
}

// HandleHTTP registers a handler for a method and a path with all that lies
// below it ("/v1/jobs" also takes "/v1/jobs/j1"). The longest prefix wins.
func (b *Base) HandleHTTP(method, prefix string, handler fasthttp.RequestHandler) {
	b.routes.add(route{method, prefix, handler})
}

// WriteError answers with a status and an operatorapi.ErrorBody. Every 4xx and
// 5xx answer that carries no request outcome has one.
func WriteError(ctx *fasthttp.RequestCtx, status int, code, sentence string) {
	WriteJSON(ctx, status, operatorapi.ErrorBody{Code: code, Sentence: sentence})
}

// WriteJSON answers with a status and a value as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	switch err.(type) {
	case *fasthttp.ErrSmallBuffer:
		WriteError(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "header_too_large", "The request's header is too large.")
		return
	}
	if err == fasthttp.ErrBodyTooLarge {
		WriteError(ctx, fasthttp.StatusRequestEntityTooLarge, "body_too_large", "The request's body is larger than this process accepts.")
		return
	}
	WriteError(ctx, fasthttp.StatusBadRequest, "malformed_http", "The HTTP request could not be read.")
}

func (b *Base) registerCommonRoutes() {
	b.HandleHTTP(fasthttp.MethodGet, "/healthz", b.serveHealth)
	b.HandleHTTP(fasthttp.MethodGet, "/metrics", b.serveMetrics)
	b.HandleHTTP(fasthttp.MethodGet, operatorapi.PathTimeline, b.serveTimeline)
	b.HandleHTTP(fasthttp.MethodPost, operatorapi.PathStop, b.serveStop)
}

func (b *Base) serveHealth(ctx *fasthttp.RequestCtx) {
	if b.IsStopping() {
		WriteJSON(ctx, fasthttp.StatusServiceUnavailable, map[string]string{"status": "stopping", "process": b.Name})
		return
	}
	WriteJSON(ctx, fasthttp.StatusOK, map[string]string{"status": "ok", "process": b.Name})
}

func (b *Base) serveMetrics(ctx *fasthttp.RequestCtx) {
	b.usage.update()
	ctx.SetContentType("application/json")
	metrics.WriteJSONOnce(b.Metrics, ctx.Response.BodyWriter())
}

func (b *Base) serveTimeline(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	request := model.RequestID(query.Peek("request"))
	job := model.JobID(query.Peek("job"))
	zone := model.AvailabilityZoneName(query.Peek("zone"))
	out := operatorapi.Timeline{Process: b.Name, Clock: b.Log.Now(), Events: []event.Event{}}
	for _, e := range b.Log.Events() {
		if (request == "" || e.Request == request) && (job == "" || e.Job == job) && (zone == "" || e.Zone == zone) {
			out.Events = append(out.Events, e)
		}
	}
	WriteJSON(ctx, fasthttp.StatusOK, out)
}

func (b *Base) serveStop(ctx *fasthttp.RequestCtx) {
	WriteJSON(ctx, fasthttp.StatusAccepted, map[string]string{"status": "stopping", "process": b.Name})
	b.RequestStop()
}
