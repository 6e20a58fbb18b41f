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
	// claimed is set by whoever decides first: the duty that sends the
	// transaction, or the caller who gives up.
	claimed atomic.Bool
	done    chan commitResult
}

type commitResult struct {
	versions []storeapi.RowVersion
	err      error
}

// commitAnswer is the body of the answer to a commit call.
type commitAnswer struct {
	Results []struct {
		Versions []storeapi.RowVersion `json:"versions"`
		Conflict bool                  `json:"conflict"`
	} `json:"results"`
}

// Commit implements storeapi.Table. A transaction that was certainly not taken
// is tried again; one in doubt is not, as only its caller can resolve it.
func (c *Client) Commit(ctx context.Context, tx storeapi.Transaction) ([]storeapi.RowVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.OperationTimeout)
	defer cancel()
	var versions []storeapi.RowVersion
	var final error
	err := c.retry(ctx, func() error {
		versions, final = c.commitOnce(ctx, tx)
		if errors.Is(final, storeapi.ErrConflict) || errors.Is(final, storeapi.ErrInDoubt) {
			return nil
		}
		return final
	})
	if final != nil {
		err = final
	}
	return versions, err
}

// commitOnce queues a transaction and waits for its result.
func (c *Client) commitOnce(ctx context.Context, tx storeapi.Transaction) ([]storeapi.RowVersion, error) {
	q := &queuedCommit{tx: tx, done: make(chan commitResult, 1)}
	if !c.queue.TryPush(q) {
		return nil, c.refuse("%d transactions wait", c.options.MaxQueued)
	}
	select {
	case result := <-q.done:
		return result.versions, result.err
	case <-ctx.Done():
	}
	if q.claimed.CompareAndSwap(false, true) {
		return nil, c.refuse("transaction was not sent in time")
	}
	// The transaction was sent, or is just being sent. Its call ends soon.
	result := <-q.done
	return result.versions, result.err
}

// commitDuty sends queued transactions in batches until the client is closed.
func (c *Client) commitDuty(ctx context.Context) {
	defer c.stopped.Done()
	slots := make(chan struct{}, c.options.MaxConcurrentCommits)
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			c.refuseQueued()
			return
		case first := <-c.queue.Out():
			// Each call under way ends within CallTimeout, and so does this wait.
			slots <- struct{}{}
			batch := c.gather(ctx, first)
			calls.Add(1)
			go func() {
				defer calls.Done()
				defer func() { <-slots }()
				c.commitBatch(batch)
			}()
		}
	}
}

// refuseQueued gives all that is queued its result when the client is closed.
func (c *Client) refuseQueued() {
	for {
		select {
		case q := <-c.queue.Out():
			c.resolve(q, commitResult{err: c.refuse("client closed")})
		default:
			return
		}
	}
}

// resolve gives a transaction that was not sent its result.
func (c *Client) resolve(q *queuedCommit, result commitResult) {
	if q.claimed.CompareAndSwap(false, true) {
		q.done <- result
	}
}

// gather claims the first transaction once it is admitted, and as many more of
// the queue as the rate share allows at this moment.
func (c *Client) gather(ctx context.Context, first *queuedCommit) []*queuedCommit {
	wait, cancel := context.WithTimeout(ctx, c.options.OperationTimeout)
	defer cancel()
	if err := c.admit(wait, c.table, c.writes); err != nil {
		c.resolve(first, commitResult{err: err})
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

// nextQueued returns another queued transaction when there is one and the rate
// share has room for it, or nil.
func (c *Client) nextQueued(taken int) *queuedCommit {
	if taken >= c.options.MaxBatch || c.queue.Len() == 0 {
		return nil
	}
	c.mu.Lock()
	_, room := c.writes.Take(c.options.Now())
	c.mu.Unlock()
	if !room {
		return nil
	}
	select {
	case q := <-c.queue.Out():
		return q
	default:
		return nil
	}
}

// commitBatch makes one commit call and hands each transaction its result.
func (c *Client) commitBatch(batch []*queuedCommit) {
	if len(batch) == 0 {
		return
	}
	c.count.commitCalls.Inc(1)
	c.count.writes.Inc(int64(len(batch)))
	answer, err := c.sendBatch(batch)
	c.report(c.table, err)
	for i, q := range batch {
		switch {
		case err != nil:
			c.countDoubt(err)
			q.done <- commitResult{err: err}
		case answer.Results[i].Conflict:
			q.done <- commitResult{err: errors.Wrap(storeapi.ErrConflict, "check failed")}
		default:
			q.done <- commitResult{versions: answer.Results[i].Versions}
		}
	}
}

func (c *Client) countDoubt(err error) {
	if errors.Is(err, storeapi.ErrInDoubt) {
		c.count.inDoubt.Inc(1)
	}
}

// sendBatch makes the commit call. An answer that does not fit the batch leaves
// all of it in doubt.
func (c *Client) sendBatch(batch []*queuedCommit) (commitAnswer, error) {
	request := struct {
		Transactions []storeapi.Transaction `json:"transactions"`
	}{}
	for _, q := range batch {
		request.Transactions = append(request.Transactions, q.tx)
	}
	var answer commitAnswer
	body, err := json.Marshal(request)
	if err != nil {
		return answer, errors.Wrapf(storeapi.ErrUnavailable, "encode transaction: %v", err)
	}
	reply, err := c.http.do(methodPost, c.options.TableURL+pathCommit, body)
	if err != nil {
		return answer, err
	}
	if err := decodeCommit(reply, batch, &answer); err != nil {
		return answer, errors.Wrapf(storeapi.ErrInDoubt, "malformed answer: %v", err)
	}
	return answer, nil
}

// decodeCommit decodes an answer and checks that it fits the batch.
func decodeCommit(reply []byte, batch []*queuedCommit, answer *commitAnswer) error {
	if err := json.Unmarshal(reply, answer); err != nil {
		return err
	}
	if len(answer.Results) != len(batch) {
		return errors.Newf("%d results for %d transactions", len(answer.Results), len(batch))
	}
	for i, result := range answer.Results {
		if !result.Conflict && len(result.Versions) != len(batch[i].tx.Puts) {
			return errors.Newf("%d versions for %d puts", len(result.Versions), len(batch[i].tx.Puts))
		}
	}
	return nil
}
