// Package jobentry serves callers on an entry host: it stores submissions and
// cancellations and reports job states from the store. It holds no jobs in
// memory, so any entry host can answer for any job.
package jobentry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/queueconfig"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// Deadlines and retry delays of calls.
const (
	// answerMargin is how long before the caller's deadline the call is answered.
	// It is at most maxMarginShare of the caller's remaining time.
	answerMargin   = 150 * time.Millisecond
	maxMarginShare = 0.2
	// retryPause is the delay before an in-doubt write is retried.
	retryPause = 60 * time.Millisecond
	// storeRetryAfter is the minimum retry delay given to callers while the store
	// is unavailable. A random delay of up to half of it is added to spread out
	// the retries.
	storeRetryAfter = time.Second
	// unsupportedRetryAfter is the retry delay for jobs that only another release
	// runs.
	unsupportedRetryAfter = time.Minute
)

// Service answers calls on an entry host. It is safe for concurrent use.
type Service struct {
	view  *View
	store storeapi.Store
	// onCommit is called with each committed row. It must not block.
	onCommit func(storeapi.Row)
	log      *zap.Logger
	registry metrics.Registry
	latency  metrics.Timer
	// counts lets concurrent calls share one count of the stored jobs.
	counts singleflight.Group
	// unknownCancels limits the cancellations of jobs that are not stored.
	unknownCancels *accountLimiter
	// endBy is the time by which all calls have to be answered, and ended is closed at
	// that time; see EndBy.
	endBy   atomic.Pointer[time.Time]
	ended   chan struct{}
	endOnce sync.Once
}

// NewService returns the service of an entry host. onCommit is called with the row
// of each committed job or cancellation; it must not block.
func NewService(view *View, store storeapi.Store, onCommit func(storeapi.Row), log *zap.Logger, registry metrics.Registry) *Service {
	return &Service{view: view, store: store, onCommit: onCommit, log: log, registry: registry, latency: metrics.GetOrRegisterTimer("calls.latency", registry), unknownCancels: newAccountLimiter(), ended: make(chan struct{})}
}

// EndBy sets the time by which all calls, including those in progress, are answered. It
// is called at most once, when the process stops.
func (s *Service) EndBy(at time.Time) {
	s.endOnce.Do(func() {
		s.endBy.Store(&at)
		time.AfterFunc(time.Until(at), func() { close(s.ended) })
	})
}

// Answer handles a call and returns its outcome. Store calls are bounded by the
// call's deadline, or the time set by EndBy, less answerMargin. The call is logged and
// counted by outcome.
func (s *Service) Answer(call Call) Outcome {
	began := time.Now()
	deadline := call.Deadline
	if end := s.endBy.Load(); end != nil && end.Before(deadline) {
		deadline = *end
	}
	margin := min(answerMargin, time.Duration(maxMarginShare*float64(time.Until(deadline))))
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(-margin))
	defer cancel()
	results := make(chan result, 1)
	go func() { results <- s.answer(ctx, call) }()
	var r result
	select {
	case r = <-results:
	case <-s.ended:
		r = result{Outcome: unanswered(call.Kind, s.retryAfter())}
	}
	outcome := r.Outcome
	s.latency.UpdateSince(began)
	metrics.GetOrRegisterCounter("calls."+string(call.Kind)+"."+string(outcome.Kind), s.registry).Inc(1)
	s.log.Info("call_answered", zap.String("call", string(call.Kind)), zap.String("job", logging.Shorten(path.Base(call.Path))), zap.String("path", logging.Shorten(call.Path)),
		zap.String("outcome", string(outcome.Kind)), zap.String("state", string(outcome.State)), zap.String("reason", logging.Shorten(outcome.Reason)),
		zap.Duration("view_age", r.viewAge), zap.Duration("view_wait", r.viewWait), zap.Duration("took", time.Since(began)))
	return outcome
}

// result is an outcome with the age of the configuration that it is based on, and the
// time that the call waited for it.
type result struct {
	Outcome
	viewAge, viewWait time.Duration
}

// unanswered returns the outcome of a call that is still in progress when the process
// ends. A write may have taken effect; a read has no effect.
func unanswered(kind CallKind, retryAfter time.Duration) Outcome {
	const reason = "the process stops"
	switch kind {
	case CallSubmit, CallCancel:
		return Outcome{Kind: OutcomeInDoubt, Reason: reason}
	default:
		return rejected(reason, retryAfter)
	}
}

func (s *Service) answer(ctx context.Context, call Call) result {
	began := time.Now()
	config, age, known := s.view.Config(ctx)
	r := result{viewAge: age, viewWait: time.Since(began)}
	switch {
	case !known:
		r.Outcome = rejected("the configuration is not loaded or is too old", s.retryAfter())
	case s.view.StoreFailing():
		r.Outcome = rejected("the store is not responding", s.retryAfter())
	default:
		r.Outcome = s.answerUnder(ctx, config, call)
	}
	return r
}

// answerUnder answers a call under a configuration.
func (s *Service) answerUnder(ctx context.Context, config *queueconfig.Config, call Call) Outcome {
	queue, id, found := config.QueueOf(call.Host, call.Path)
	if !found {
		return Outcome{Kind: OutcomeUnknownQueue, Reason: "no queue is configured for this path"}
	}
	account, known := config.AccountOf(call.APIKey)
	if !known && !queue.Anonymous {
		return Outcome{Kind: OutcomeUnauthorized, Reason: "unknown API key"}
	}
	switch call.Kind {
	case CallSubmit:
		return s.submit(ctx, call, queue, account, id)
	case CallCancel:
		return s.cancel(ctx, account, model.JobID(id))
	case CallState:
		return s.state(ctx, account, model.JobID(id))
	default:
		return s.count(ctx, queue)
	}
}

// retryAfter returns a randomized retry delay for callers while the store is
// unavailable.
func (s *Service) retryAfter() time.Duration {
	return storeRetryAfter + rand.N(storeRetryAfter/2)
}

func (s *Service) submit(ctx context.Context, call Call, queue *queueconfig.Queue, account model.ClientAccountID, id string) Outcome {
	if queue.NeedsAdvice {
		return Outcome{Kind: OutcomeUnsupported, Reason: "the queue's workers are selected by an external service", RetryAfter: unsupportedRetryAfter}
	}
	job, err := call.DecodeJob(id)
	switch {
	case errors.Is(err, workload.ErrInvalidJob):
		return Outcome{Kind: OutcomeInvalid, Reason: err.Error()}
	case err != nil:
		return Outcome{Kind: OutcomeUnsupported, Reason: err.Error(), RetryAfter: unsupportedRetryAfter}
	}
	job.Account, job.Queue, job.Service, job.Priority = account, queue.Name, queue.Service, queue.Priority
	job.MaxAttempts, job.SlackFactor, job.TargetDuration = queue.MaxAttempts, queue.SlackFactor, queue.TargetDuration
	now, _ := s.store.StoreTime()
	job.AcceptedMS = now.LatestMS
	value := rowcodec.Encode(job)
	if len(value) > workload.MaxRowBytes {
		return Outcome{Kind: OutcomeInvalid, Reason: fmt.Sprintf("the job takes %d bytes to store (allowed: %d)", len(value), workload.MaxRowBytes)}
	}
	if most := job.MaxUnfinishedOccurrences(); job.Occurrences > most && job.LongRunning() {
		return Outcome{Kind: OutcomeInvalid, Reason: fmt.Sprintf("%d repetitions of tasks that run until the job is cancelled (allowed for its steps: %d)", job.Occurrences, most)}
	}
	var outcome Outcome
	cancelKeys := workload.CancelKeys(job.ID, account)
	for i, key := range workload.JobKeys(job.ID) {
		var conflict *storeapi.Conflict
		conflict, outcome = s.write(ctx, storeapi.Transaction{
			Checks: []storeapi.Check{{Key: key}, {Key: cancelKeys[i]}},
			Puts:   []storeapi.Put{{Key: key, Value: value}},
		})
		if conflict != nil {
			return s.answerConflict(job, conflict.Find(key))
		}
		if outcome.Kind != OutcomeRejected {
			return outcome
		}
	}
	return outcome
}

// answerConflict answers a submission that conflicts with the row of its job ID or, if
// there is no such row, with a cancellation. Only a submission identical to the stored
// one is accepted.
func (s *Service) answerConflict(job *workload.Job, row storeapi.Row) Outcome {
	if row.Version == 0 {
		return Outcome{Kind: OutcomeCancelled, Reason: "the job was cancelled, or has ended and was deleted", RetryAfter: workload.CancellationRetention}
	}
	stored := &workload.Job{}
	if err := rowcodec.Decode(row.Value, stored); err != nil {
		s.log.Error("row_malformed", zap.String("key", row.Key), logging.Err(err))
		return Outcome{Kind: OutcomeInDoubt, Reason: "cannot decode the stored job"}
	}
	if !stored.SameSubmission(job) {
		return Outcome{Kind: OutcomeInvalid, Reason: "the job ID is used by a different submission"}
	}
	return Outcome{Kind: OutcomeAccepted, Reason: "the job is already stored"}
}

// write commits a transaction and retries while the result is in doubt, until the
// deadline. It returns either a conflict or an outcome. Once an attempt was in
// doubt the outcome is never OutcomeRejected, since that attempt may have taken
// effect.
func (s *Service) write(ctx context.Context, tx storeapi.Transaction) (*storeapi.Conflict, Outcome) {
	inDoubt := false
	for {
		versions, err := s.store.Commit(ctx, tx)
		var conflict *storeapi.Conflict
		switch {
		case err == nil:
			for i, put := range tx.Puts {
				s.onCommit(storeapi.Row{Key: put.Key, Value: put.Value, Version: versions[i]})
			}
			return nil, Outcome{Kind: OutcomeAccepted}
		case errors.As(err, &conflict):
			return conflict, Outcome{}
		case errors.Is(err, storeapi.ErrRejected) && !inDoubt:
			return nil, Outcome{Kind: OutcomeInvalid, Reason: err.Error()}
		case errors.Is(err, storeapi.ErrUnavailable) && !inDoubt:
			return nil, rejected("the store did not apply the write: "+err.Error(), s.retryAfter())
		}
		inDoubt = true
		if s.view.StoreFailing() {
			return nil, Outcome{Kind: OutcomeInDoubt, Reason: "the store is not responding: " + err.Error(), RetryAfter: s.retryAfter()}
		}
		select {
		case <-ctx.Done():
			return nil, Outcome{Kind: OutcomeInDoubt, Reason: err.Error()}
		case <-time.After(retryPause):
		}
	}
}

// loadJob returns a stored job of an account, or nil and the outcome to answer with.
func (s *Service) loadJob(ctx context.Context, account model.ClientAccountID, id model.JobID) (*workload.Job, Outcome) {
	row, outcome := s.loadJobRow(ctx, id)
	if row.Version == 0 {
		return nil, outcome
	}
	job := &workload.Job{}
	if err := rowcodec.Decode(row.Value, job); err != nil {
		s.log.Error("row_malformed", zap.String("key", row.Key), logging.Err(err))
		return nil, rejected("cannot decode the stored job", s.retryAfter())
	}
	if job.Account != account {
		return nil, Outcome{Kind: OutcomeUnknownJob, Reason: "the job belongs to another account"}
	}
	return job, Outcome{}
}

// loadJobRow returns the row of a job, or a zero row and the outcome to answer
// with. A job is unknown only if the parts of all its keys were read and none
// holds it.
func (s *Service) loadJobRow(ctx context.Context, id model.JobID) (storeapi.Row, Outcome) {
	outcome := Outcome{Kind: OutcomeUnknownJob}
	for _, key := range workload.JobKeys(id) {
		row, err := s.store.Get(ctx, key)
		if err == nil {
			return row, Outcome{}
		}
		if !errors.Is(err, storeapi.ErrNotFound) {
			outcome = rejected(err.Error(), s.retryAfter())
		}
	}
	return storeapi.Row{}, outcome
}

func (s *Service) state(ctx context.Context, account model.ClientAccountID, id model.JobID) Outcome {
	row, err := s.store.Get(ctx, workload.ProgressKey(id))
	if errors.Is(err, storeapi.ErrNotFound) {
		job, outcome := s.loadJob(ctx, account, id)
		if job == nil {
			return outcome
		}
		return Outcome{Kind: OutcomeState, State: workload.StateQueued}
	}
	if err != nil {
		return rejected(err.Error(), s.retryAfter())
	}
	progress := workload.Progress{}
	if err := rowcodec.Decode(row.Value, &progress); err != nil {
		s.log.Error("row_malformed", zap.String("key", row.Key), logging.Err(err))
		return rejected("cannot decode the job's progress", s.retryAfter())
	}
	if progress.Account != account {
		return Outcome{Kind: OutcomeUnknownJob, Reason: "the job belongs to another account"}
	}
	return Outcome{Kind: OutcomeState, State: progress.State}
}
