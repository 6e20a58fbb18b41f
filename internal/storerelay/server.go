package storerelay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"dragonflyyard/internal/pause"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
)

// maxRequestBytes exceeds the largest transaction, 1 MB.
const maxRequestBytes = 2 << 20

// NewServer returns the HTTP server of an entry host that relays calls to store.
// unavailable reports whether the host's own direct calls for the part of a key
// fail; calls for such a part are refused at once. answerBy returns the time by which
// calls have to be answered while the process stops, and false before.
func NewServer(store storeapi.Store, unavailable func(key string) bool, answerBy func() (time.Time, bool), room Room) *fasthttp.Server {
	r := &relay{
		store: store, unavailable: unavailable, answerBy: answerBy,
		scans: newScanGate(room.ScanBytes), polls: semaphore.NewWeighted(int64(room.Polls)),
	}
	return &fasthttp.Server{
		MaxRequestBodySize:    maxRequestBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Handler:               r.handle,
	}
}

type relay struct {
	store       storeapi.Store
	unavailable func(key string) bool
	answerBy    func() (time.Time, bool)
	scans       *scanGate
	polls       *semaphore.Weighted
}

// Room is what a relay may use for calls that are large or long.
type Room struct {
	// ScanBytes is the memory for scans that are read at the same time.
	ScanBytes int64
	// Polls is the number of calls that may wait for changes at the store.
	Polls int
}

// crowdedPoll is how long a poll waits that finds no room, before it asks the store once.
// Load pattern: more processes wait for changes than the relay has connections to the
// store. Their connections become idle in between, and so can be closed for others.
const crowdedPoll = 400 * time.Millisecond

func (r *relay) handle(ctx *fasthttp.RequestCtx) {
	call, known := map[string]func(context.Context, request) response{
		pathGet: r.get, pathList: r.list, pathScan: r.scan, pathChanges: r.changes, pathCommit: r.commit,
	}[string(ctx.Path())]
	if !known {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	var in request
	if err := rowcodec.DecodeMessage(ctx.PostBody(), &in); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	out := response{Result: storeapi.ResultUnavailable, Detail: "direct calls of the relay to the store fail too"}
	if !r.unavailable(in.partKey()) {
		callCtx, cancel := r.callContext()
		defer cancel()
		if string(ctx.Path()) == pathScan {
			room, err := r.scans.enter(callCtx, in.Key)
			if err != nil {
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
				return
			}
			// The room stays taken until the answer is encoded.
			defer func() { room.leave(out.Result != storeapi.ResultOK) }()
			callCtx = storeapi.WithMeter(callCtx, room.take)
		}
		out = call(callCtx, in)
		storeTime, _ := r.store.StoreTime()
		out.StoreMS, out.StoreEarliestMS = storeTime.LatestMS, storeTime.EarliestMS
	}
	ctx.Response.SetBodyRaw(rowcodec.Encode(&out))
}

// callContext returns the context of a call that begins now.
func (r *relay) callContext() (context.Context, context.CancelFunc) {
	if end, stopping := r.answerBy(); stopping {
		return context.WithDeadline(context.Background(), end)
	}
	return context.Background(), func() {}
}

func (r *relay) get(ctx context.Context, in request) response {
	row, err := r.store.Get(ctx, in.Key)
	if err != nil {
		return errorResponse(err)
	}
	return response{Result: storeapi.ResultOK, Rows: []storeapi.Row{row}}
}

func (r *relay) list(ctx context.Context, in request) response {
	rows, err := r.store.List(ctx, in.Key, in.After, in.Limit)
	if err != nil {
		return errorResponse(err)
	}
	return response{Result: storeapi.ResultOK, Rows: rows}
}

func (r *relay) scan(ctx context.Context, in request) response {
	snapshot, err := r.store.Scan(ctx, in.Key)
	if err != nil {
		return errorResponse(err)
	}
	return response{Result: storeapi.ResultOK, Rows: snapshot.Rows, Version: snapshot.Version}
}

func (r *relay) changes(ctx context.Context, in request) response {
	wait := time.Duration(in.WaitMS) * time.Millisecond
	if r.polls.TryAcquire(1) {
		defer r.polls.Release(1)
	} else {
		pause.For(ctx, min(max(wait, 0), crowdedPoll))
		wait = 0
	}
	changes, err := r.store.Changes(ctx, in.Key, in.From, wait)
	if err != nil {
		return errorResponse(err)
	}
	return response{Result: storeapi.ResultOK, Changes: changes.Rows, Version: changes.Version}
}

func (r *relay) commit(ctx context.Context, in request) response {
	if len(in.Tx.Checks)+len(in.Tx.Puts)+len(in.Tx.Deletes) == 0 {
		return errorResponse(errors.Wrap(storeapi.ErrUnavailable, "empty transaction"))
	}
	versions, err := r.store.Commit(ctx, in.Tx)
	if err != nil {
		return errorResponse(err)
	}
	return response{Result: storeapi.ResultOK, Versions: versions}
}
