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

	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/storeclock"
)

// Times of the choice between the two ways.
const (
	// avoidPeer is how long a peer is left alone that could not be reached.
	avoidPeer = 3 * time.Second
	// peerDial bounds the opening of a connection to a peer.
	peerDial = 300 * time.Millisecond
)

// maxPeerConnections bounds the calls under way to one peer.
const maxPeerConnections = 16

// Client reaches the store directly, or through a peer while that fails. It is
// safe for concurrent use.
type Client struct {
	direct  storeapi.Store
	peers   func() []string
	log     *zap.Logger
	clock   storeclock.Clock
	relayed metrics.Counter

	mu sync.Mutex
	// failing holds the parts whose last direct call failed. The store may refuse
	// single parts.
	failing map[string]failure
	// patience holds how soon each part answers transactions, and reads how soon
	// reads are answered that don't wait for changes.
	patience map[string]*patience
	reads    patience
	// avoid holds until when each peer is left alone.
	avoid map[string]time.Time
	http  map[string]*fasthttp.HostClient
}

// NewClient returns a client. peers returns the relay addresses of entry hosts,
// nearest first. A part that failed is asked directly again once Probe found that
// it answers.
func NewClient(direct storeapi.Store, peers func() []string, log *zap.Logger, registry metrics.Registry) *Client {
	return &Client{
		direct: direct, peers: peers, log: log, failing: map[string]failure{}, patience: map[string]*patience{}, avoid: map[string]time.Time{}, http: map[string]*fasthttp.HostClient{},
		relayed: metrics.GetOrRegisterCounter("store.relayed", registry),
	}
}

// DirectUnavailable reports whether the last direct call for the part of a key failed.
func (c *Client) DirectUnavailable(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, failing := c.failing[partOf(key)]
	return failing
}

func partOf(key string) string {
	_, part, _ := storeapi.SplitKey(key)
	return part
}

// StoreTime implements storeapi.Clock: the tighter of what the two ways tell.
func (c *Client) StoreTime(now time.Time) (int64, bool) {
	direct, known := c.direct.StoreTime(now)
	relayed, alsoKnown := c.clock.Time(now)
	switch {
	case !known:
		return relayed, alsoKnown
	case alsoKnown:
		return min(direct, relayed), true
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
	}, pathGet, request{Key: key}, readWithin, func(r *response) { row = r.Rows[0] })
	return row, err
}

// List implements storeapi.Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]storeapi.Row, error) {
	var rows []storeapi.Row
	err := c.do(ctx, func() (err error) {
		rows, err = c.direct.List(ctx, prefix, after, limit)
		return err
	}, pathList, request{Key: prefix, After: after, Limit: limit}, readWithin, func(r *response) { rows = r.Rows })
	return rows, err
}

// Scan implements storeapi.Feed.
func (c *Client) Scan(ctx context.Context, prefix string) (storeapi.Snapshot, error) {
	var snapshot storeapi.Snapshot
	err := c.do(ctx, func() (err error) {
		snapshot, err = c.direct.Scan(ctx, prefix)
		return err
	}, pathScan, request{Key: prefix}, readWithin, func(r *response) {
		snapshot = storeapi.Snapshot{Rows: r.Rows, Version: r.Version}
	})
	return snapshot, err
}

// Changes implements storeapi.Feed. A feed that does not answer while other calls
// do says nothing about the store: the caller scans the table.
func (c *Client) Changes(ctx context.Context, table string, after storeapi.RowVersion, wait time.Duration) (storeapi.Changes, error) {
	if !c.DirectUnavailable(table) {
		return c.direct.Changes(ctx, table, after, wait)
	}
	var changes storeapi.Changes
	err := c.do(ctx, func() (err error) {
		changes, err = c.direct.Changes(ctx, table, after, wait)
		return err
	}, pathChanges, request{Key: table, From: after, WaitMS: wait.Milliseconds()}, wait+readWithin, func(r *response) {
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
	}, pathCommit, request{Tx: tx}, writeWithin, func(r *response) { versions = r.Versions })
	return versions, err
}

// commitDirect makes one try of a transaction.
func (c *Client) commitDirect(ctx context.Context, tx storeapi.Transaction) ([]storeapi.RowVersion, error) {
	in := request{Tx: tx}
	part := partOf(in.subject())
	c.mu.Lock()
	within := c.patienceOf(part).next(c.reads.usual)
	c.mu.Unlock()
	try, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	sentAt := time.Now()
	versions, err := c.direct.Commit(try, tx)
	if err == nil || errors.Is(err, storeapi.ErrConflict) {
		c.mu.Lock()
		c.patienceOf(part).answered(time.Since(sentAt))
		c.mu.Unlock()
	}
	return versions, err
}

// readDone takes in how soon a read of a row or a page was answered.
func (c *Client) readDone(latency time.Duration, err error) {
	if err != nil && !errors.Is(err, storeapi.ErrNotFound) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads.answered(latency)
}

// patienceOf returns what is known of a part's latency. c.mu is held.
func (c *Client) patienceOf(part string) *patience {
	p := c.patience[part]
	if p == nil {
		p = &patience{}
		c.patience[part] = p
	}
	return p
}

// do makes a call directly unless that fails at present, then through peers. A
// write in doubt is not repeated here: its caller knows what to check.
func (c *Client) do(ctx context.Context, direct func() error, path string, in request, within time.Duration, take func(*response)) error {
	err := errors.Wrap(storeapi.ErrUnavailable, "the store does not answer this host")
	if key := in.subject(); !c.DirectUnavailable(key) {
		sentAt := time.Now()
		if err = direct(); err != nil && ctx.Err() != nil {
			// The caller's time ended; that says nothing about the store.
			return err
		}
		if path == pathGet || path == pathList {
			c.readDone(time.Since(sentAt), err)
		}
		if c.directDone(key, err); !errors.Is(err, storeapi.ErrUnavailable) {
			return err
		}
	}
	for _, peer := range c.usable() {
		out, sent, callErr := c.ask(ctx, peer, path, in, within)
		switch {
		case callErr == nil && out.err() == nil:
			take(out)
			return nil
		case callErr == nil && !errors.Is(out.err(), storeapi.ErrUnavailable):
			return out.err()
		case callErr != nil && sent && path == pathCommit:
			return errors.Wrapf(storeapi.ErrInDoubt, "through %s: %v", peer, callErr)
		}
	}
	return err
}

// directDone notes how a direct call about a key ended. A lost answer changes nothing.
func (c *Client) directDone(key string, err error) {
	part := partOf(key)
	c.mu.Lock()
	doubt := errors.Is(err, storeapi.ErrInDoubt)
	failed := errors.Is(err, storeapi.ErrUnavailable) || (doubt && c.patienceOf(part).unanswered())
	_, before := c.failing[part]
	switch {
	case failed && !before:
		c.failing[part] = failure{key: key, probedAt: time.Now()}
	case !failed && !doubt:
		delete(c.failing, part)
	}
	c.mu.Unlock()
	switch {
	case failed && !before:
		c.log.Warn("store_lost", zap.String("part", part), logging.Err(err))
	case before && !failed && !doubt:
		c.log.Info("store_regained", zap.String("part", part))
	}
}

// usable returns the peers that are not left alone at present.
func (c *Client) usable() []string {
	peers := c.peers()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var out []string
	for _, peer := range peers {
		if now.After(c.avoid[peer]) {
			out = append(out, peer)
		}
	}
	return out
}

// ask makes one call through a peer. sent is false when nothing reached it.
func (c *Client) ask(ctx context.Context, peer, path string, in request, within time.Duration) (out *response, sent bool, err error) {
	if err := ctx.Err(); err != nil {
		return nil, false, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + peer + path)
	req.SetBodyRaw(rowcodec.Encode(&in))
	sentAt := time.Now()
	c.relayed.Inc(1)
	if err := c.clientOf(peer).DoTimeout(req, resp, within+callMargin); err != nil {
		c.mu.Lock()
		c.avoid[peer] = time.Now().Add(avoidPeer)
		c.mu.Unlock()
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
		return nil, true, errors.New("an answer without its row")
	}
	c.clock.Observe(out.StoreMS, sentAt, time.Now())
	return out, true, nil
}

// errDial marks calls of which nothing was sent.
var errDial = errors.New("peer not reached")

func (c *Client) clientOf(peer string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client := c.http[peer]; client != nil {
		return client
	}
	client := &fasthttp.HostClient{
		Addr: peer, MaxConns: maxPeerConnections, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			conn, err := fasthttp.DialTimeout(address, peerDial)
			return conn, errors.Mark(err, errDial)
		},
	}
	c.http[peer] = client
	return client
}
