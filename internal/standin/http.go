package standin

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/storeapi"
)

// Paths of the store's HTTP interface. PathObjects is followed by the key.
const (
	PathCommit  = "/table/commit"
	PathRow     = "/table/row"
	PathRows    = "/table/rows"
	PathObjects = "/objects/"
	PathFaults  = "/faults"
	PathStats   = "/stats"
)

// maxHeld bounds how long the HTTP front holds a call of a frozen or silent
// service.
const maxHeld = 10 * time.Minute

// holdContext bounds one held call.
func holdContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), maxHeld)
}

// CommitRequest is the body of POST PathCommit.
type CommitRequest struct {
	Transactions []storeapi.Transaction `json:"transactions"`
}

// CommitResponse is the answer to POST PathCommit, in the order of the request.
type CommitResponse struct {
	Results []Result `json:"results"`
}

// RowsResponse is the answer to GET PathRows.
type RowsResponse struct {
	Rows []storeapi.Row `json:"rows"`
}

// FaultsRequest is the body of POST PathFaults.
type FaultsRequest struct {
	Service Service `json:"service"`
	Faults  Faults  `json:"faults"`
}

// Handle serves the table service, the object store, the fault switches and
// the load counters. It returns false for a path that is none of theirs.
func (s *Store) Handle(ctx *fasthttp.RequestCtx) bool {
	path := string(ctx.Path())
	switch {
	case path == PathCommit && ctx.IsPost():
		s.serveCommit(ctx)
	case path == PathRow && ctx.IsGet():
		s.serveRow(ctx)
	case path == PathRows && ctx.IsGet():
		s.serveRows(ctx)
	case strings.HasPrefix(path, PathObjects):
		s.serveObject(ctx, strings.TrimPrefix(path, PathObjects))
	case path == PathFaults && ctx.IsPost():
		s.serveFaults(ctx)
	case path == PathStats && ctx.IsGet():
		writeJSON(ctx, s.Stats())
	default:
		return false
	}
	return true
}

// Serve answers with Handle, and with 404 for other paths.
func (s *Store) Serve(ctx *fasthttp.RequestCtx) {
	if !s.Handle(ctx) {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Store) serveCommit(ctx *fasthttp.RequestCtx) {
	var request CommitRequest
	if !readJSON(ctx, &request) {
		return
	}
	held, cancel := holdContext()
	defer cancel()
	results, err := s.CommitBatch(held, request.Transactions)
	if err != nil {
		answerError(ctx, err)
		return
	}
	writeJSON(ctx, CommitResponse{Results: results})
}

func (s *Store) serveRow(ctx *fasthttp.RequestCtx) {
	held, cancel := holdContext()
	defer cancel()
	row, err := s.Get(held, string(ctx.QueryArgs().Peek("key")))
	if err != nil {
		answerError(ctx, err)
		return
	}
	writeJSON(ctx, row)
}

func (s *Store) serveRows(ctx *fasthttp.RequestCtx) {
	held, cancel := holdContext()
	defer cancel()
	args := ctx.QueryArgs()
	limit, err := args.GetUint("limit")
	if err != nil {
		ctx.Error("limit: a number is needed", fasthttp.StatusBadRequest)
		return
	}
	rows, err := s.List(held, string(args.Peek("prefix")), string(args.Peek("after")), limit)
	if err != nil {
		answerError(ctx, err)
		return
	}
	writeJSON(ctx, RowsResponse{Rows: rows})
}

func (s *Store) serveObject(ctx *fasthttp.RequestCtx, key string) {
	held, cancel := holdContext()
	defer cancel()
	if ctx.IsPut() {
		if err := s.PutObject(held, key, ctx.PostBody()); err != nil {
			answerError(ctx, err)
		}
		return
	}
	value, err := s.GetObject(held, key)
	if err != nil {
		answerError(ctx, err)
		return
	}
	ctx.SetBody(value)
}

func (s *Store) serveFaults(ctx *fasthttp.RequestCtx) {
	var request FaultsRequest
	if !readJSON(ctx, &request) {
		return
	}
	if request.Service != ServiceTable && request.Service != ServiceObjects {
		ctx.Error("service: table or objects", fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(request.Service, request.Faults)
}

// answerError answers 404 for what does not exist and 503 for a refused call.
// All else closes the connection without an answer.
func answerError(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, storeapi.ErrNotFound):
		ctx.Error(err.Error(), fasthttp.StatusNotFound)
	case errors.Is(err, errDown), errors.Is(err, storeapi.ErrUnavailable):
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	default:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
	}
}

// readJSON decodes a request's body. It answers 400 and returns false when the
// body is not as expected.
func readJSON(ctx *fasthttp.RequestCtx, target any) bool {
	if err := json.Unmarshal(ctx.PostBody(), target); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
