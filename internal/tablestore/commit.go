package tablestore

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/storeapi"
)

// queuedCommit is a transaction that waits for a commit call.
type queuedCommit struct {
	tx storeapi.Transaction
	// claimed is set once, by the commit loop when it sends or rejects the
	// transaction, or by the caller when its deadline expires first.
	claimed atomic.Bool
	done    chan commitResult
}

type commitResult struct {
	versions []storeapi.RowVersion
	err      error
}

// commitResponse is the response body of a commit call.
type commitResponse struct {
	Results []struct {
		Versions []storeapi.RowVersion `json:"versions"`
		Conflict bool                  `json:"conflict"`
	} `json:"results"`
}

// Commit implements storeapi.Table. A transaction that certainly did not take
// effect is retried; one that is in doubt is not, since only its caller can
// resolve it.
func (c *Client) Commit(ctx context.Context, tx storeapi.Transaction) ([]storeapi.RowVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.OperationTimeout)
	defer cancel()
	var versions []storeapi.RowVersion
	var commitErr error
	err := c.retry(ctx, func() error {
		versions, commitErr = c.commitOnce(ctx, tx)
		if errors.Is(commitErr, storeapi.ErrConflict) || errors.Is(commitErr, storeapi.ErrInDoubt) {
			return nil
		}
		return commitErr
	})
	if commitErr != nil {
		err = commitErr
	}
	return versions, err
}

// commitOnce queues a transaction and waits for its result.
func (c *Client) commitOnce(ctx context.Context, tx storeapi.Transaction) ([]storeapi.RowVersion, error) {
	q := &queuedCommit{tx: tx, done: make(chan commitResult, 1)}
	if !c.commitQueue.TryPush(q) {
		return nil, c.refuse("commit queue is full: %d transactions waiting", c.options.MaxQueued)
	}
	select {
	case result := <-q.done:
		return result.versions, result.err
	case <-ctx.Done():
	}
	if q.claimed.CompareAndSwap(false, true) {
		return nil, c.refuse("transaction was not sent before the deadline")
	}
	// The commit loop claimed the transaction: its call is in flight or about to
	// start, and ends within CallTimeout.
	result := <-q.done
	return result.versions, result.err
}

// runCommits sends queued transactions in batches until ctx is done, and then
// fails those that are still queued.
func (c *Client) runCommits(ctx context.Context) {
	defer c.goroutines.Done()
	slots := make(chan struct{}, c.options.MaxConcurrentCommits)
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			c.refuseQueued()
			return
		case first := <-c.commitQueue.Out():
			// Each call in flight ends within CallTimeout, which bounds this wait.
			slots <- struct{}{}
			batch := c.collectBatch(ctx, first)
			calls.Add(1)
			go func() {
				defer calls.Done()
				defer func() { <-slots }()
				c.commitBatch(batch)
			}()
		}
	}
}

// refuseQueued fails all queued transactions when the client is closed.
func (c *Client) refuseQueued() {
	for {
		select {
		case q := <-c.commitQueue.Out():
			c.completeUnsent(q, commitResult{err: c.refuse("client is closed")})
		default:
			return
		}
	}
}

// completeUnsent delivers the result of a transaction that was not sent, unless
// its caller has stopped waiting.
func (c *Client) completeUnsent(q *queuedCommit, result commitResult) {
	if q.claimed.CompareAndSwap(false, true) {
		q.done <- result
	}
}

// collectBatch waits until the first transaction is admitted and claims it, with
// as many more from the queue as the rate limit allows without waiting.
func (c *Client) collectBatch(ctx context.Context, first *queuedCommit) []*queuedCommit {
	wait, cancel := context.WithTimeout(ctx, c.options.OperationTimeout)
	defer cancel()
	if err := c.admit(wait, c.tableBreaker, c.writeBucket); err != nil {
		c.completeUnsent(first, commitResult{err: err})
		return nil
	}
	var batch []*queuedCommit
	for q := first; q != nil; q = c.nextQueued(len(batch)) {
		if q.claimed.CompareAndSwap(false, true) {
			batch = append(batch, q)
		}
	}
	return batch
}

// nextQueued returns another queued transaction if there is one, the batch is not
// full and the rate limit allows it, or nil.
func (c *Client) nextQueued(batchSize int) *queuedCommit {
	if batchSize >= c.options.MaxBatch || c.commitQueue.Len() == 0 {
		return nil
	}
	c.mu.Lock()
	_, admitted := c.writeBucket.Take(c.options.Now())
	c.mu.Unlock()
	if !admitted {
		return nil
	}
	select {
	case q := <-c.commitQueue.Out():
		return q
	default:
		return nil
	}
}

// commitBatch makes one commit call and delivers each transaction's result.
func (c *Client) commitBatch(batch []*queuedCommit) {
	if len(batch) == 0 {
		return
	}
	c.count.commitCalls.Inc(1)
	c.count.writes.Inc(int64(len(batch)))
	response, err := c.sendBatch(batch)
	c.recordOutcome(c.tableBreaker, err)
	for i, q := range batch {
		switch {
		case err != nil:
			c.countIfInDoubt(err)
			q.done <- commitResult{err: err}
		case response.Results[i].Conflict:
			q.done <- commitResult{err: errors.Wrap(storeapi.ErrConflict, "transaction check failed")}
		default:
			q.done <- commitResult{versions: response.Results[i].Versions}
		}
	}
}

func (c *Client) countIfInDoubt(err error) {
	if errors.Is(err, storeapi.ErrInDoubt) {
		c.count.inDoubt.Inc(1)
	}
}

// sendBatch makes the commit call. A response that does not match the batch
// leaves all its transactions in doubt.
func (c *Client) sendBatch(batch []*queuedCommit) (commitResponse, error) {
	request := struct {
		Transactions []storeapi.Transaction `json:"transactions"`
	}{}
	for _, q := range batch {
		request.Transactions = append(request.Transactions, q.tx)
	}
	var response commitResponse
	body, err := json.Marshal(request)
	if err != nil {
		return response, errors.Wrapf(storeapi.ErrUnavailable, "encode transaction: %v", err)
	}
	reply, err := c.http.do(methodPost, c.options.TableURL+pathCommit, body)
	if err != nil {
		return response, err
	}
	if err := decodeCommit(reply, batch, &response); err != nil {
		return response, errors.Wrapf(storeapi.ErrInDoubt, "malformed commit response: %v", err)
	}
	return response, nil
}

// decodeCommit decodes a commit response and checks that it has one result for
// each transaction and one version for each put.
func decodeCommit(reply []byte, batch []*queuedCommit, response *commitResponse) error {
	if err := json.Unmarshal(reply, response); err != nil {
		return err
	}
	if len(response.Results) != len(batch) {
		return errors.Newf("%d results for %d transactions", len(response.Results), len(batch))
	}
	for i, result := range response.Results {
		if !result.Conflict && len(result.Versions) != len(batch[i].tx.Puts) {
			return errors.Newf("%d versions for %d puts", len(result.Versions), len(batch[i].tx.Puts))
		}
	}
	return nil
}
