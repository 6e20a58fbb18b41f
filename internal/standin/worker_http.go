package standin

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/model"
)

// Paths of a worker's HTTP interface. A task's own path is PathTasks, a slash,
// the task's ID and one of "/lease", "/checkpoint", "/throttle" and "/stop".
// PathFaults sets the worker's switches.
const (
	PathTasks   = "/tasks"
	PathHistory = "/history"
)

// LeaseRequest is the body of POST .../lease.
type LeaseRequest struct {
	LeaseMS int64 `json:"lease_ms"`
}

// ThrottleRequest is the body of POST .../throttle.
type ThrottleRequest struct {
	Percent int `json:"percent"`
}

// TasksResponse is the answer of GET PathTasks.
type TasksResponse struct {
	Tasks []WorkerTask `json:"tasks"`
}

// HistoryResponse is the answer of GET PathHistory.
type HistoryResponse struct {
	History []HistoryEntry `json:"history"`
}

// Serve answers the worker's HTTP interface. It answers 409 when a task cannot
// start and 404 when a task does not run.
func (w *Worker) Serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == PathFaults && ctx.IsPost():
		w.serveFaults(ctx)
	case path == PathHistory && ctx.IsGet():
		writeJSON(ctx, HistoryResponse{w.History()})
	case !w.switches.admit(ctx):
	case path == PathTasks && ctx.IsGet():
		writeJSON(ctx, TasksResponse{w.Tasks()})
	case path == PathTasks && ctx.IsPost():
		w.serveStart(ctx)
	case strings.HasPrefix(path, PathTasks+"/") && ctx.IsPost():
		w.serveTask(ctx, strings.TrimPrefix(path, PathTasks+"/"))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (w *Worker) serveFaults(ctx *fasthttp.RequestCtx) {
	var faults HostFaults
	if readJSON(ctx, &faults) {
		w.SetFaults(faults)
	}
}

func (w *Worker) serveStart(ctx *fasthttp.RequestCtx) {
	var start StartTask
	if !readJSON(ctx, &start) {
		return
	}
	reason := w.Start(start)
	if w.switches.loseAnswer(ctx) {
		return
	}
	if reason != "" {
		ctx.Error(reason, fasthttp.StatusConflict)
	}
}

// serveTask handles a task's own path. Task IDs contain a slash, so the action
// is what follows the last one.
func (w *Worker) serveTask(ctx *fasthttp.RequestCtx, rest string) {
	cut := strings.LastIndexByte(rest, '/')
	if cut < 0 {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	id, action := model.TaskID(rest[:cut]), rest[cut+1:]
	done := false
	switch action {
	case "lease":
		var body LeaseRequest
		if !readJSON(ctx, &body) {
			return
		}
		done = w.Renew(id, time.Duration(body.LeaseMS)*time.Millisecond)
	case "throttle":
		var body ThrottleRequest
		if !readJSON(ctx, &body) {
			return
		}
		done = w.Throttle(id, body.Percent)
	case "checkpoint":
		done = w.Checkpoint(id)
	case "stop":
		done = w.Stop(id)
	}
	if !w.switches.loseAnswer(ctx) && !done {
		ctx.Error("the task does not run", fasthttp.StatusNotFound)
	}
}
