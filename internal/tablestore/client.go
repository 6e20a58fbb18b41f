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

// URL paths of the table service and the object store.
const (
	pathCommit  = "/table/commit"
	pathRow     = "/table/row"
	pathRows    = "/table/rows"
	pathObjects = "/objects/"
)

// Client is a client of the table service and the object store. It implements
// storeapi.Table and storeapi.ObjectStore and is safe for concurrent use.
type Client struct {
	options Options
	http    *transport

	// mu guards the fields below it, up to commitQueue. Object puts count against
	// the write bucket.
	mu            sync.Mutex
	readBucket    *TokenBucket
	writeBucket   *TokenBucket
	tableBreaker  *Breaker
	objectBreaker *Breaker
	retryBudget   *RetryBudget
	sharedReads   *Coalescer[chan readResult]

	commitQueue *ring.Ring[*queuedCommit]
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
	count       counters
}

type counters struct {
	reads, writes, commitCalls, retried, refused, inDoubt metrics.Counter
}

// readResult is the result of a shared read.
type readResult struct {
	body []byte
	err  error
}

// New returns a client and starts its commit loop; Close stops it. Until
// SetRoster is called the client uses the share of an unconfirmed process.
func New(options Options) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		options:       options,
		http:          newTransport(options),
		readBucket:    NewTokenBucket(unconfirmedReadsPerSecond),
		writeBucket:   NewTokenBucket(unconfirmedWritesPerSecond),
		tableBreaker:  NewBreaker(options.Breaker, options.Random),
		objectBreaker: NewBreaker(options.Breaker, options.Random),
		retryBudget:   NewRetryBudget(options.Retry, options.Random),
		sharedReads:   NewCoalescer[chan readResult](),
		commitQueue:   ring.New[*queuedCommit]("store.commits", options.MaxQueued, options.Metrics),
		cancel:        cancel,
	}
	c.count = counters{
		reads: c.counter("reads"), writes: c.counter("writes"), commitCalls: c.counter("commit_calls"),
		retried: c.counter("retried"), refused: c.counter("refused"), inDoubt: c.counter("in_doubt"),
	}
	c.goroutines.Add(1)
	go c.runCommits(ctx)
	return c
}

func (c *Client) counter(name string) metrics.Counter {
	counter := metrics.NewCounter()
	if c.options.Metrics != nil {
		_ = c.options.Metrics.Register("store."+name, counter)
	}
	return counter
}

// Close stops the commit loop and waits for commit calls in flight. Queued
// transactions that were not sent fail with ErrUnavailable.
func (c *Client) Close() {
	c.cancel()
	c.goroutines.Wait()
}

// SetRoster sets the process's rate shares from the number of entry hosts that
// share the services, and from whether this one is a confirmed member of the
// roster that the others read.
func (c *Client) SetRoster(size int, confirmed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBucket.SetShare(RateShare(MaxReadsPerSecond, size, confirmed, unconfirmedReadsPerSecond))
	c.writeBucket.SetShare(RateShare(MaxWritesPerSecond, size, confirmed, unconfirmedWritesPerSecond))
}

// State returns the states of the circuit breakers of the table service and the
// object store.
func (c *Client) State() (table, objects BreakerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tableBreaker.State(), c.objectBreaker.State()
}

// Get implements storeapi.Table.
func (c *Client) Get(ctx context.Context, key string) (storeapi.Row, error) {
	body, err := c.read(ctx, c.tableBreaker, c.options.TableURL+pathRow+"?key="+url.QueryEscape(key))
	if err != nil {
		return storeapi.Row{}, err
	}
	return decodeRow(body, key)
}

// List implements storeapi.Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]storeapi.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	body, err := c.read(ctx, c.tableBreaker, c.options.TableURL+pathRows+"?"+query.Encode())
	if err != nil {
		return nil, err
	}
	return decodeRows(body, prefix, after, limit)
}

// GetObject implements storeapi.ObjectStore.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	return c.read(ctx, c.objectBreaker, c.objectURL(key))
}

// PutObject implements storeapi.ObjectStore. Objects are immutable, so a put
// that is in doubt is retried. If all attempts fail and any of them was in doubt,
// the error is ErrInDoubt.
func (c *Client) PutObject(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.OperationTimeout)
	defer cancel()
	inDoubt := false
	err := c.retry(ctx, func() error {
		err := c.callIfAdmitted(ctx, c.objectBreaker, c.writeBucket, func() error {
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

// read reads a URL. Concurrent readers of the same URL share calls.
func (c *Client) read(ctx context.Context, breaker *Breaker, address string) ([]byte, error) {
	waiter := make(chan readResult, 1)
	c.mu.Lock()
	start := c.sharedReads.Join(address, waiter)
	c.mu.Unlock()
	if start {
		go c.runSharedRead(breaker, address)
	}
	select {
	case result := <-waiter:
		return result.body, result.err
	case <-ctx.Done():
		return nil, errors.Wrapf(storeapi.ErrUnavailable, "read abandoned by its caller: %v", ctx.Err())
	}
}

// runSharedRead reads a URL repeatedly until no reader is waiting for it.
func (c *Client) runSharedRead(breaker *Breaker, address string) {
	for {
		result := c.readOnce(breaker, address)
		c.mu.Lock()
		waiters, again := c.sharedReads.Done(address)
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
		return c.callIfAdmitted(ctx, breaker, c.readBucket, func() error {
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

// retry runs an operation and retries it on failure, within the retry budget and
// the context's deadline. The operation must be safe to repeat. Calls that the
// client itself refused and missing rows are not retried.
func (c *Client) retry(ctx context.Context, operation func() error) error {
	c.mu.Lock()
	c.retryBudget.RecordOperation()
	c.mu.Unlock()
	for attempts := 1; ; attempts++ {
		err := operation()
		if err == nil || errors.Is(err, storeapi.ErrNotFound) || errors.Is(err, errRefused) {
			return err
		}
		c.mu.Lock()
		wait, again := c.retryBudget.NextBackoff(attempts)
		c.mu.Unlock()
		if !again || !pause.For(ctx, wait) {
			return err
		}
		c.count.retried.Inc(1)
	}
}

// errRefused marks the error of a call that the client refused without sending it.
var errRefused = errors.New("call refused by the client")

// refuse counts a call that the client does not send and returns its error, which
// wraps ErrUnavailable.
func (c *Client) refuse(format string, args ...any) error {
	c.count.refused.Inc(1)
	err := errors.Wrapf(storeapi.ErrUnavailable, format, args...)
	return errors.Mark(err, errRefused)
}

// callIfAdmitted makes a call once the breaker and the rate limit admit it, and
// reports its outcome to the breaker.
func (c *Client) callIfAdmitted(ctx context.Context, breaker *Breaker, bucket *TokenBucket, call func() error) error {
	if err := c.admit(ctx, breaker, bucket); err != nil {
		return err
	}
	err := call()
	c.recordOutcome(breaker, err)
	return err
}

// recordOutcome reports the outcome of a call to the breaker. ErrNotFound counts
// as a success, since the service responded.
func (c *Client) recordOutcome(breaker *Breaker, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil || errors.Is(err, storeapi.ErrNotFound) {
		breaker.Success()
		return
	}
	breaker.Failure(c.options.Now())
}

// admit waits for a token of the rate limit, then asks the breaker. It fails
// early while the breaker rejects calls.
func (c *Client) admit(ctx context.Context, breaker *Breaker, bucket *TokenBucket) error {
	for {
		c.mu.Lock()
		now := c.options.Now()
		if breaker.rejects(now) {
			c.mu.Unlock()
			return c.refuse("circuit breaker is open")
		}
		wait, taken := bucket.Take(now)
		if taken && !breaker.Allow(now) {
			c.mu.Unlock()
			return c.refuse("circuit breaker is waiting for its probe")
		}
		c.mu.Unlock()
		if taken {
			return nil
		}
		if !pause.For(ctx, wait) {
			return c.refuse("no rate limit token before the deadline")
		}
	}
}
