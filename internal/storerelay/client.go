package storerelay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"dragonflyyard/internal/hostclock"
	"dragonflyyard/internal/httpconn"
	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/partscan"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/storeclock"
)

// Limits of calls through peers.
const (
	// peerBackoff is how long a peer gets no calls after one that failed.
	peerBackoff = 3 * time.Second
	// peerDialTimeout limits connection setup to a peer.
	peerDialTimeout = 300 * time.Millisecond
	// maxTransfer limits the time of an answer whose bytes keep arriving.
	maxTransfer = 10 * time.Second
)

// maxPeerConnections limits the concurrent calls to one peer.
const maxPeerConnections = 16

// Client calls the store directly, or through a peer while direct calls fail. It
// is safe for concurrent use.
type Client struct {
	direct  storeapi.Store
	peers   func() []string
	log     *zap.Logger
	clock   storeclock.Clock
	relayed metrics.Counter

	mu sync.Mutex
	// failingParts holds the parts whose last direct call failed, by part. The store
	// may refuse calls for some parts only.
	failingParts map[string]failingPart
	// answeredAt is when the store last answered a direct call; see cutOff.
	answeredAt time.Time
	// attemptTimeouts tracks the latency of transactions for each part; reads tracks
	// that of Get and List calls.
	attemptTimeouts map[string]*attemptTimeout
	reads           attemptTimeout
	// avoidUntil holds the time until which each failed peer gets no calls, by
	// address.
	avoidUntil map[string]time.Time
	// http serves the calls with a deadline, and bulk those without one, by address.
	http, bulk map[string]*fasthttp.HostClient
}

// NewClient returns a client. peers returns the relay addresses of entry hosts,
// nearest first. A part whose direct calls failed is called directly again after a
// successful probe; see Probe.
func NewClient(direct storeapi.Store, peers func() []string, log *zap.Logger, registry metrics.Registry) *Client {
	return &Client{
		direct: direct, peers: peers, log: log, failingParts: map[string]failingPart{}, attemptTimeouts: map[string]*attemptTimeout{}, avoidUntil: map[string]time.Time{}, http: map[string]*fasthttp.HostClient{}, bulk: map[string]*fasthttp.HostClient{},
		relayed: metrics.GetOrRegisterCounter("store.relayed", registry),
	}
}

// DirectUnavailable reports whether direct calls for the part of a key are not worth a
// try: the last one failed, or the store turns this host away.
func (c *Client) DirectUnavailable(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, failing := c.failingParts[partOf(key)]
	return failing || c.cutOff()
}

func partOf(key string) string {
	_, part, _ := storeapi.SplitKey(key)
	return part
}

// StoreTime implements storeapi.Clock. It returns the tighter bounds of those known
// from direct and from relayed calls.
func (c *Client) StoreTime() (storeapi.TimeBounds, bool) {
	direct, known := c.direct.StoreTime()
	relayed, alsoKnown := c.clock.Time(hostclock.Now())
	switch {
	case !known:
		return relayed, alsoKnown
	case alsoKnown:
		return storeapi.TimeBounds{
			EarliestMS: max(direct.EarliestMS, relayed.EarliestMS), LatestMS: min(direct.LatestMS, relayed.LatestMS),
		}, true
	default:
		return direct, true
	}
}

// Get implements storeapi.Table.
func (c *Client) Get(ctx context.Context, key string) (storeapi.Row, error) {
	var row storeapi.Row
	err := c.do(ctx, func() (err error) {
		row, err = c.direct.Get(ctx, key)
		return err
	}, pathGet, request{Key: key}, readTimeout, func(r *response) { row = r.Rows[0] })
	return row, err
}

// List implements storeapi.Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]storeapi.Row, error) {
	var rows []storeapi.Row
	err := c.do(ctx, func() (err error) {
		rows, err = c.direct.List(ctx, prefix, after, limit)
		return err
	}, pathList, request{Key: prefix, After: after, Limit: limit}, readTimeout, func(r *response) { rows = r.Rows })
	return rows, err
}

// Scan implements storeapi.Feed.
func (c *Client) Scan(ctx context.Context, prefix string) (storeapi.Snapshot, error) {
	var snapshot storeapi.Snapshot
	err := c.do(ctx, func() (err error) {
		snapshot, err = c.direct.Scan(ctx, prefix)
		return err
	}, pathScan, request{Key: prefix}, readTimeout, func(r *response) {
		snapshot = storeapi.Snapshot{Rows: r.Rows, Version: r.Version}
	})
	return snapshot, err
}

// Changes implements storeapi.Feed. A failed feed read does not mark the part as
// failing, since the feed may be silent while other calls succeed: the caller then
// scans the table.
func (c *Client) Changes(ctx context.Context, table string, after storeapi.RowVersion, wait time.Duration) (storeapi.Changes, error) {
	if !c.DirectUnavailable(table) {
		changes, err := c.direct.Changes(ctx, table, after, wait)
		if err == nil {
			c.recordAnswer(time.Now())
		}
		return changes, err
	}
	var changes storeapi.Changes
	err := c.do(ctx, func() (err error) {
		changes, err = c.direct.Changes(ctx, table, after, wait)
		return err
	}, pathChanges, request{Key: table, From: after, WaitMS: wait.Milliseconds()}, wait+readTimeout, func(r *response) {
		changes = storeapi.Changes{Rows: r.Changes, Version: r.Version}
	})
	return changes, err
}

// Commit implements storeapi.Table.
func (c *Client) Commit(ctx context.Context, tx storeapi.Transaction) ([]storeapi.RowVersion, error) {
	var versions []storeapi.RowVersion
	err := c.do(ctx, func() (err error) {
		versions, err = c.commitDirect(ctx, tx)
		return err
	}, pathCommit, request{Tx: tx}, writeTimeout, func(r *response) { versions = r.Versions })
	return versions, err
}

// commitDirect makes one direct attempt of a transaction, with the timeout that
// follows from recent latencies.
func (c *Client) commitDirect(ctx context.Context, tx storeapi.Transaction) ([]storeapi.RowVersion, error) {
	in := request{Tx: tx}
	part := partOf(in.partKey())
	c.mu.Lock()
	timeout := c.attemptTimeoutOf(part).next(c.reads.smoothedLatency)
	c.mu.Unlock()
	attemptCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := time.Now()
	versions, err := c.direct.Commit(attemptCtx, tx)
	if err == nil || errors.Is(err, storeapi.ErrConflict) {
		c.mu.Lock()
		c.attemptTimeoutOf(part).recordLatency(time.Since(sentAt))
		c.mu.Unlock()
	}
	return versions, err
}

// recordRead records the latency of a successful read of a row or a page. A
// missing row is a success.
func (c *Client) recordRead(latency time.Duration, err error) {
	if err != nil && !errors.Is(err, storeapi.ErrNotFound) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads.recordLatency(latency)
}

// attemptTimeoutOf returns the latency tracker of a part. The caller holds c.mu.
func (c *Client) attemptTimeoutOf(part string) *attemptTimeout {
	p := c.attemptTimeouts[part]
	if p == nil {
		p = &attemptTimeout{}
		c.attemptTimeouts[part] = p
	}
	return p
}

// do makes a call directly unless its part is failing, and through peers if the
// store is unavailable. A write in doubt is not retried here: its caller knows
// which rows to check.
func (c *Client) do(ctx context.Context, direct func() error, path string, in request, timeout time.Duration, apply func(*response)) error {
	err := errors.Wrap(storeapi.ErrUnavailable, "direct calls of this host to the store fail")
	if key := in.partKey(); !c.DirectUnavailable(key) {
		sentAt := time.Now()
		if err = direct(); err != nil && ended(ctx) {
			// The caller's time ended, which is no evidence of a store failure.
			return err
		}
		c.renewAfter(err)
		if path == pathGet || path == pathList {
			c.recordRead(time.Since(sentAt), err)
		}
		if c.recordDirectCall(key, err); !errors.Is(err, storeapi.ErrUnavailable) {
			return err
		}
	}
	for _, peer := range c.usablePeers() {
		out, sent, callErr := c.callPeer(ctx, peer, path, in, timeout)
		switch {
		case callErr == nil && out.err() == nil:
			apply(out)
			return nil
		case callErr == nil && !errors.Is(out.err(), storeapi.ErrUnavailable):
			return out.err()
		case callErr != nil && sent && path == pathCommit:
			return errors.Wrapf(storeapi.ErrInDoubt, "through %s: %v", peer, callErr)
		}
	}
	return err
}

// ended reports whether a context is done or its deadline has passed. A call that is
// bounded by the deadline may return just before the context is done.
func ended(ctx context.Context) bool {
	deadline, limited := ctx.Deadline()
	return ctx.Err() != nil || (limited && !time.Now().Before(deadline))
}

// recordDirectCall records the result of a direct call about a key: it marks the
// part as failing or clears the mark. A single transaction without a response
// changes neither.
func (c *Client) recordDirectCall(key string, err error) {
	part := partOf(key)
	c.mu.Lock()
	doubt := errors.Is(err, storeapi.ErrInDoubt)
	failed := errors.Is(err, storeapi.ErrUnavailable) || (doubt && c.attemptTimeoutOf(part).recordUnanswered())
	_, before := c.failingParts[part]
	switch {
	case failed && !before:
		now := time.Now()
		c.failingParts[part] = failingPart{key: key, since: now, probedAt: now}
	case !failed && !doubt:
		delete(c.failingParts, part)
		c.answeredAt = time.Now()
	}
	c.mu.Unlock()
	switch {
	case failed && !before:
		c.log.Warn("store_lost", zap.String("part", part), logging.Err(err))
	case before && !failed && !doubt:
		c.log.Info("store_regained", zap.String("part", part))
	}
}

// usablePeers returns the peers that are not in their backoff.
func (c *Client) usablePeers() []string {
	peers := c.peers()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var out []string
	for _, peer := range peers {
		if now.After(c.avoidUntil[peer]) {
			out = append(out, peer)
		}
	}
	return out
}

// callPeer makes one call through a peer. sent is false when the request was not
// sent.
func (c *Client) callPeer(ctx context.Context, peer, path string, in request, timeout time.Duration) (out *response, sent bool, err error) {
	if err := ctx.Err(); err != nil {
		return nil, false, err
	}
	timeout += callMargin
	client := c.bulkClientOf(peer)
	if deadline, limited := ctx.Deadline(); limited {
		timeout = min(timeout, time.Until(deadline))
		client = c.clientOf(peer)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + peer + path)
	req.SetBodyRaw(rowcodec.Encode(&in))
	sentAt := hostclock.Now()
	c.relayed.Inc(1)
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		c.closeIdle()
		if !ended(ctx) {
			c.mu.Lock()
			c.avoidUntil[peer] = time.Now().Add(peerBackoff)
			c.mu.Unlock()
		}
		return nil, !errors.Is(err, errDial), err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, true, errors.Newf("status %d", resp.StatusCode())
	}
	out = &response{}
	if err := rowcodec.Decode(resp.Body(), out); err != nil {
		return nil, true, err
	}
	if path == pathGet && out.Result == storeapi.ResultOK && len(out.Rows) != 1 {
		return nil, true, errors.New("response without the requested row")
	}
	c.clock.Observe(storeapi.TimeBounds{EarliestMS: out.StoreEarliestMS, LatestMS: out.StoreMS}, sentAt, hostclock.Now())
	return out, true, nil
}

// renewAfter closes the idle connections to peers after a direct call that got no answer.
func (c *Client) renewAfter(direct error) {
	if errors.Is(direct, partscan.ErrLost) || errors.Is(direct, storeapi.ErrInDoubt) {
		c.closeIdle()
	}
}

// closeIdle closes the connections to peers that no call uses. They may have gone silent
// together with that of a call that got no answer, to the store or to any peer.
func (c *Client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, clients := range []map[string]*fasthttp.HostClient{c.http, c.bulk} {
		for _, client := range clients {
			client.CloseIdleConnections()
		}
	}
}

// errDial marks calls whose connection to the peer could not be opened, so that
// nothing was sent.
var errDial = errors.New("dial peer")

// clientOf returns the client of a peer for calls with a deadline.
func (c *Client) clientOf(peer string) *fasthttp.HostClient {
	return c.cachedClient(c.http, peer, dialPeer)
}

// bulkClientOf returns the client of a peer for calls without a deadline, whose answers
// may take longer while their bytes arrive.
func (c *Client) bulkClientOf(peer string) *fasthttp.HostClient {
	return c.cachedClient(c.bulk, peer, func(address string) (net.Conn, error) {
		conn, err := dialPeer(address)
		if err != nil {
			return nil, err
		}
		return &httpconn.Progress{Conn: conn, Idle: readTimeout, Limit: maxTransfer}, nil
	})
}

func dialPeer(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, peerDialTimeout)
	return conn, errors.Mark(err, errDial)
}

func (c *Client) cachedClient(cache map[string]*fasthttp.HostClient, peer string, dial fasthttp.DialFunc) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client := cache[peer]; client != nil {
		return client
	}
	client := &fasthttp.HostClient{
		Addr: peer, MaxConns: maxPeerConnections, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:       dial,
	}
	cache[peer] = client
	return client
}
