package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/storeapi"
)

// rowsRow is a row as the platform names its fields.
type rowsRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schema_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r *rowsRow) fullKey() string { return storeapi.JoinKey(r.Table, r.Part, r.Key) }

func toRowsRow(row storeapi.Row, deleted bool) rowsRow {
	table, part, key := storeapi.SplitKey(row.Key)
	return rowsRow{table, part, key, row.Value, uint64(row.Version), deleted}
}

type rowsTransaction struct {
	Precondition []rowsRow `json:"precondition"`
	Put          []rowsRow `json:"put"`
	Remove       []rowsRow `json:"remove"`
}

type rowsAnswer struct {
	Rows    []rowsRow `json:"rows"`
	Parts   []string  `json:"parts,omitempty"`
	More    bool      `json:"has_more"`
	Version uint64    `json:"schema_version"`
	NowMS   int64     `json:"now_ms"`
}

// Limits of the deployment platform's store.
const (
	maxRowBytes         = 64 << 10
	maxTransactionRows  = 100
	maxTransactionBytes = 1 << 20
	maxPageRows         = 500
	maxPageBytes        = 1 << 20
	maxPageParts        = 1000
)

// HandleRows serves the store over HTTP as the deployment platform does.
func (s *Store) HandleRows(ctx *fasthttp.RequestCtx) {
	within, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	args := ctx.QueryArgs()
	table, part := string(args.Peek("table")), string(args.Peek("part"))
	switch string(ctx.Path()) {
	case "/rows-tx":
		s.rowsTransaction(within, ctx)
	case "/rows-get":
		snapshot, err := s.Scan(within, storeapi.JoinKey(table, part, ""))
		rows, more := page(rangeOf(snapshot.Rows, string(args.Peek("source")), string(args.Peek("target"))), args.GetUintOrZero("limit"))
		s.answerRows(ctx, rows, more, snapshot.Version, err)
	case "/rows-feed":
		after, _ := strconv.ParseUint(string(args.Peek("after")), 10, 64)
		wait, _ := strconv.Atoi(string(args.Peek("wait_ms")))
		changes, err := s.Changes(within, table, storeapi.RowVersion(after), time.Duration(wait)*time.Millisecond)
		var rows []rowsRow
		for _, change := range changes.Rows {
			rows = append(rows, toRowsRow(change.Row, change.Deleted))
		}
		s.answerRows(ctx, rows, false, changes.Version, err)
	case "/rows-parts":
		snapshot, err := s.Scan(within, storeapi.JoinKey(table, storeapi.AllParts, ""))
		s.answerParts(ctx, snapshot, string(args.Peek("after")), err)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// rangeOf returns the rows from a key up to another one, which is left out.
func rangeOf(rows []storeapi.Row, source, target string) []rowsRow {
	var out []rowsRow
	for _, row := range rows {
		r := toRowsRow(row, false)
		if r.Key >= source && (target == "" || r.Key < target) {
			out = append(out, r)
		}
	}
	return out
}

// page returns the first rows that one answer holds, and whether there are more. A limit
// of 0 stands for none.
func page(rows []rowsRow, limit int) ([]rowsRow, bool) {
	if limit == 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	bytes := 0
	for i := range rows {
		if bytes += len(rows[i].Value); i == limit || (i > 0 && bytes > maxPageBytes) {
			return rows[:i], true
		}
	}
	return rows, false
}

func (s *Store) answerRows(ctx *fasthttp.RequestCtx, rows []rowsRow, more bool, version storeapi.RowVersion, err error) {
	switch {
	case errors.Is(err, storeapi.ErrHistoryGone):
		ctx.SetStatusCode(fasthttp.StatusGone)
	case err != nil:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default:
		s.answer(ctx, rowsAnswer{Rows: rows, More: more, Version: uint64(version)})
	}
}

func (s *Store) answerParts(ctx *fasthttp.RequestCtx, snapshot storeapi.Snapshot, after string, err error) {
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	out := rowsAnswer{Version: uint64(snapshot.Version)}
	seen := map[string]bool{}
	for _, row := range snapshot.Rows {
		if _, part, _ := storeapi.SplitKey(row.Key); !seen[part] && (after == "" || part > after) {
			seen[part] = true
			out.Parts = append(out.Parts, part)
		}
	}
	slices.Sort(out.Parts)
	if len(out.Parts) > maxPageParts {
		out.Parts, out.More = out.Parts[:maxPageParts], true
	}
	s.answer(ctx, out)
}

func (s *Store) answer(ctx *fasthttp.RequestCtx, out rowsAnswer) {
	out.NowMS = time.Now().UnixMilli()
	body, err := json.Marshal(out)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// rejection returns why the store never applies a transaction of a size, or "".
func (t *rowsTransaction) rejection(bytes int) string {
	if n := len(t.Precondition) + len(t.Put) + len(t.Remove); n > maxTransactionRows {
		return fmt.Sprintf("%d entries (allowed: %d)", n, maxTransactionRows)
	}
	if bytes > maxTransactionBytes {
		return fmt.Sprintf("%d bytes (allowed: %d)", bytes, maxTransactionBytes)
	}
	for i := range t.Put {
		if n := len(t.Put[i].Value); n > maxRowBytes {
			return fmt.Sprintf("row %q of %d bytes (allowed: %d)", t.Put[i].Key, n, maxRowBytes)
		}
	}
	return ""
}

func (s *Store) rowsTransaction(within context.Context, ctx *fasthttp.RequestCtx) {
	var in rowsTransaction
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if reason := in.rejection(len(ctx.PostBody())); reason != "" {
		ctx.Error(reason, fasthttp.StatusBadRequest)
		return
	}
	tx := storeapi.Transaction{}
	for i := range in.Precondition {
		tx.Checks = append(tx.Checks, storeapi.Check{Key: in.Precondition[i].fullKey(), Version: storeapi.RowVersion(in.Precondition[i].Version)})
	}
	for i := range in.Put {
		if strings.HasPrefix(in.Put[i].Table, "op") {
			ctx.SetStatusCode(fasthttp.StatusForbidden)
			return
		}
		tx.Puts = append(tx.Puts, storeapi.Put{Key: in.Put[i].fullKey(), Value: in.Put[i].Value})
	}
	for i := range in.Remove {
		tx.Deletes = append(tx.Deletes, in.Remove[i].fullKey())
	}
	s.answerTransaction(within, ctx, tx)
}

func (s *Store) answerTransaction(within context.Context, ctx *fasthttp.RequestCtx, tx storeapi.Transaction) {
	versions, err := s.Commit(within, tx)
	var conflict *storeapi.Conflict
	switch {
	case errors.As(err, &conflict):
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		var rows []rowsRow
		for _, row := range conflict.Rows {
			rows = append(rows, toRowsRow(row, false))
		}
		s.answer(ctx, rowsAnswer{Rows: rows})
	case errors.Is(err, storeapi.ErrUnavailable):
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case err != nil:
		// The answer is lost: the connection ends without one.
		_ = ctx.Conn().Close()
	default:
		var version storeapi.RowVersion
		if len(versions) > 0 {
			version = versions[0]
		}
		s.answer(ctx, rowsAnswer{Version: uint64(version)})
	}
}
