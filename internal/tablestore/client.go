package tablestore

import (
	"context"
	"net/url"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"dragonflyyard/internal/pause"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/storeapi"
)

// Paths of the two services.
const (
	pathCommit  = "/table/commit"
	pathRow     = "/table/row"
	pathRows    = "/table/rows"
	pathObjects = "/objects/"
)

// Client is the client of both services. It implements storeapi.Table and
// storeapi.ObjectStore and is safe for concurrent use.
type Client struct {
	options Options
	http    *transport

	// mu guards what follows up to queue. Stored objects count as writes.
	mu      sync.Mutex
	reads   *TokenBucket
	writes  *TokenBucket
	table   *Breaker
	objects *Breaker
	retries *RetryBudget
	shared  *Coalescer[chan readResult]

	queue   *ring.Ring[*queuedCommit]
	stop    context.CancelFunc
	stopped sync.WaitGroup
	count   counters
}

type counters struct {
	reads, writes, commitCalls, retried, refused, inDoubt metrics.Counter
}

// readResult is the result of a shared read.
type readResult struct {
	body []byte
	err  error
}

// New returns a client. Until SetRoster it uses the share of a newcomer.
func New(options Options) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		options: options,
		http:    newTransport(options),
		reads:   NewTokenBucket(newcomerReads),
		writes:  NewTokenBucket(newcomerWrites),
		table:   NewBreaker(options.Breaker, options.Random),
		objects: NewBreaker(options.Breaker, options.Random),
		retries: NewRetryBudget(options.Retry, options.Random),
		shared:  NewCoalescer[chan readResult](),
		queue:   ring.New[*queuedCommit]("store.commits", options.MaxQueued, options.Metrics),
		stop:    cancel,
	}
	c.count = counters{
		reads: c.counter("reads"), writes: c.counter("writes"), commitCalls: c.counter("commit_calls"),
		retried: c.counter("retried"), refused: c.counter("refused"), inDoubt: c.counter("in_doubt"),
	}
	c.stopped.Add(1)
	go c.commitDuty(ctx)
	return c
}

func (c *Client) counter(name string) metrics.Counter {
	counter := metrics.NewCounter()
	if c.options.Metrics != nil {
		_ = c.options.Metrics.Register("store."+name, counter)
	}
	return counter
}

// Close stops the client. Transactions that were not sent yet are refused.
func (c *Client) Close() {
	c.stop()
	c.stopped.Wait()
}

// SetRoster tells how many entry hosts share the services, and whether this
// one is a confirmed member of the roster that the others read.
func (c *Client) SetRoster(size int, confirmed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads.SetShare(RateShare(MaxReadsPerSecond, size, confirmed, newcomerReads))
	c.writes.SetShare(RateShare(MaxWritesPerSecond, size, confirmed, newcomerWrites))
}

// State returns the states of the breakers of the table service and of the
// object store.
func (c *Client) State() (table, objects BreakerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.State(), c.objects.State()
}

// Get implements storeapi.Table.
func (c *Client) Get(ctx context.Context, key string) (storeapi.Row, error) {
	body, err := c.read(ctx, c.table, c.options.TableURL+pathRow+"?key="+url.QueryEscape(key))
	if err != nil {
		return storeapi.Row{}, err
	}
	return decodeRow(body, key)
}

// List implements storeapi.Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]storeapi.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	body, err := c.read(ctx, c.table, c.options.TableURL+pathRows+"?"+query.Encode())
	if err != nil {
		return nil, err
	}
	return decodeRows(body, prefix, after, limit)
}

// GetObject implements storeapi.ObjectStore.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	return c.read(ctx, c.objects, c.objectURL(key))
}

// PutObject implements storeapi.ObjectStore. Objects are immutable, so a put
// in doubt is made again.
func (c *Client) PutObject(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.OperationTimeout)
	defer cancel()
	inDoubt := false
	err := c.retry(ctx, func() error {
		err := c.guarded(ctx, c.objects, c.writes, func() error {
			c.count.writes.Inc(1)
			_, err := c.http.do(methodPut, c.objectURL(key), value)
			return err
		})
		inDoubt = inDoubt || errors.Is(err, storeapi.ErrInDoubt)
		return err
	})
	if err != nil && inDoubt {
		return errors.Wrapf(storeapi.ErrInDoubt, "put object %q: %v", key, err)
	}
	return err
}

func (c *Client) objectURL(key string) string {
	return c.options.ObjectURL + pathObjects + url.PathEscape(key)
}

// read shares one call among the readers of an address.
func (c *Client) read(ctx context.Context, breaker *Breaker, address string) ([]byte, error) {
	waiter := make(chan readResult, 1)
	c.mu.Lock()
	start := c.shared.Join(address, waiter)
	c.mu.Unlock()
	if start {
		go c.readDuty(breaker, address)
	}
	select {
	case result := <-waiter:
		return result.body, result.err
	case <-ctx.Done():
		return nil, errors.Wrapf(storeapi.ErrUnavailable, "read given up: %v", ctx.Err())
	}
}

// readDuty makes the calls for an address until no reader waits.
func (c *Client) readDuty(breaker *Breaker, address string) {
	for {
		result := c.readOnce(breaker, address)
		c.mu.Lock()
		waiters, again := c.shared.Done(address)
		c.mu.Unlock()
		for _, waiter := range waiters {
			waiter <- result
		}
		if !again {
			return
		}
	}
}

func (c *Client) readOnce(breaker *Breaker, address string) readResult {
	ctx, cancel := context.WithTimeout(context.Background(), c.options.OperationTimeout)
	defer cancel()
	var body []byte
	err := c.retry(ctx, func() error {
		return c.guarded(ctx, breaker, c.reads, func() error {
			c.count.reads.Inc(1)
			var err error
			body, err = c.http.do(methodGet, address, nil)
			return err
		})
	})
	if err != nil && !errors.Is(err, storeapi.ErrNotFound) {
		err = errors.Wrapf(storeapi.ErrUnavailable, "read: %v", err)
	}
	return readResult{body: body, err: err}
}

// retry makes an operation again while it fails, inside the budget and the
// context's time. Only operations that may be repeated are passed to it.
func (c *Client) retry(ctx context.Context, operation func() error) error {
	c.mu.Lock()
	c.retries.RecordOperation()
	c.mu.Unlock()
	for tries := 1; ; tries++ {
		err := operation()
		if err == nil || errors.Is(err, storeapi.ErrNotFound) || errors.Is(err, errRefused) {
			return err
		}
		c.mu.Lock()
		wait, again := c.retries.NextBackoff(tries)
		c.mu.Unlock()
		if !again || !pause.For(ctx, wait) {
			return err
		}
		c.count.retried.Inc(1)
	}
}

// errRefused means that the client itself did not make a call.
var errRefused = errors.New("call refused by the client")

// refuse counts and returns the error of a call that the client did not make.
func (c *Client) refuse(format string, args ...any) error {
	c.count.refused.Inc(1)
	err := errors.Wrapf(storeapi.ErrUnavailable, format, args...)
	return errors.Mark(err, errRefused)
}

// guarded makes a call once the breaker and the rate share allow it.
func (c *Client) guarded(ctx context.Context, breaker *Breaker, bucket *TokenBucket, call func() error) error {
	if err := c.admit(ctx, breaker, bucket); err != nil {
		return err
	}
	err := call()
	c.report(breaker, err)
	return err
}

// report tells the breaker how a call ended. An answer that something does not
// exist counts as a success of the service.
func (c *Client) report(breaker *Breaker, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil || errors.Is(err, storeapi.ErrNotFound) {
		breaker.Success()
		return
	}
	breaker.Failure(c.options.Now())
}

// admit waits for the rate share, then asks the breaker.
func (c *Client) admit(ctx context.Context, breaker *Breaker, bucket *TokenBucket) error {
	for {
		c.mu.Lock()
		now := c.options.Now()
		if breaker.isShut(now) {
			c.mu.Unlock()
			return c.refuse("circuit breaker open")
		}
		wait, taken := bucket.Take(now)
		if taken && !breaker.Allow(now) {
			c.mu.Unlock()
			return c.refuse("circuit breaker probing")
		}
		c.mu.Unlock()
		if taken {
			return nil
		}
		if !pause.For(ctx, wait) {
			return c.refuse("rate share used up")
		}
	}
}
