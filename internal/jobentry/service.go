// Package jobentry answers callers on an entry host: it stores what they
// submit or cancel and tells them what the store holds. It keeps no job itself,
// so that any entry host answers for any job.
package jobentry

import (
	"context"
	"math/rand/v2"
	"path"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/queueconfig"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// Times of calls.
const (
	// answerMargin is how long before the caller's deadline an answer is given, at
	// most marginShare of the caller's time.
	answerMargin = 150 * time.Millisecond
	marginShare  = 0.2
	// retryPause is the pause before a write in doubt is sent again.
	retryPause = 60 * time.Millisecond
	// storeRetryAfter is when a caller may find the store back; half of it more
	// is drawn, so that callers return spread out.
	storeRetryAfter = time.Second
	// unsupportedRetryAfter is for jobs that only another release runs.
	unsupportedRetryAfter = time.Minute
)

// Service answers the calls of callers. It is safe for concurrent use.
type Service struct {
	view  *View
	store storeapi.Store
	// stored is told of each row that was committed. It must not wait.
	stored   func(storeapi.Row)
	log      *zap.Logger
	registry metrics.Registry
	latency  metrics.Timer
}

// NewService returns the service of an entry host. stored is told of each job and
// cancellation that was committed; it must not wait.
func NewService(view *View, store storeapi.Store, stored func(storeapi.Row), log *zap.Logger, registry metrics.Registry) *Service {
	return &Service{view: view, store: store, stored: stored, log: log, registry: registry, latency: metrics.GetOrRegisterTimer("calls.latency", registry)}
}

// Answer answers one call.
func (s *Service) Answer(call Call) Outcome {
	began := time.Now()
	margin := min(answerMargin, time.Duration(marginShare*float64(time.Until(call.Deadline))))
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline.Add(-margin))
	defer cancel()
	outcome, age := s.answer(ctx, call)
	s.latency.UpdateSince(began)
	metrics.GetOrRegisterCounter("calls."+string(call.Kind)+"."+string(outcome.Kind), s.registry).Inc(1)
	s.log.Info("call_answered", zap.String("call", string(call.Kind)), zap.String("job", path.Base(call.Path)), zap.String("path", call.Path),
		zap.String("outcome", string(outcome.Kind)), zap.String("state", string(outcome.State)), zap.String("reason", outcome.Reason),
		zap.Duration("view_age", age), zap.Duration("took", time.Since(began)))
	return outcome
}

func (s *Service) answer(ctx context.Context, call Call) (Outcome, time.Duration) {
	config, age, known := s.view.Config(ctx)
	if known && s.view.StoreAway() {
		return rejected("the store does not answer", s.retryAfter()), age
	}
	if !known {
		return rejected("the configuration is not known", s.retryAfter()), age
	}
	queue, id, found := config.QueueOf(call.Host, call.Path)
	if !found {
		return Outcome{Kind: OutcomeUnknownQueue, Reason: "no queue has this path"}, age
	}
	account, known := config.AccountOf(call.APIKey)
	if !known && !queue.Anonymous {
		return Outcome{Kind: OutcomeUnauthorized, Reason: "unknown key"}, age
	}
	switch call.Kind {
	case CallSubmit:
		return s.submit(ctx, call, queue, account, id), age
	case CallCancel:
		return s.cancel(ctx, account, model.JobID(id)), age
	case CallState:
		return s.state(ctx, account, model.JobID(id)), age
	default:
		return s.count(ctx, queue), age
	}
}

// retryAfter returns when a caller may find the store back.
func (s *Service) retryAfter() time.Duration {
	return storeRetryAfter + rand.N(storeRetryAfter/2)
}

func (s *Service) submit(ctx context.Context, call Call, queue *queueconfig.Queue, account model.ClientAccountID, id string) Outcome {
	if queue.NeedsAdvice {
		return Outcome{Kind: OutcomeUnsupported, Reason: "the queue's workers are chosen by another service", RetryAfter: unsupportedRetryAfter}
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
	job.AcceptedMS, _ = s.store.StoreTime(time.Now())
	value := rowcodec.Encode(job)
	var outcome Outcome
	for _, key := range workload.JobKeys(job.ID) {
		var conflict *storeapi.Conflict
		conflict, outcome = s.write(ctx, storeapi.Transaction{
			Checks: []storeapi.Check{{Key: key}},
			Puts:   []storeapi.Put{{Key: key, Value: value}},
		})
		if conflict != nil {
			return s.resubmitted(job, conflict.Find(key))
		}
		if outcome.Kind != OutcomeRejected {
			return outcome
		}
	}
	return outcome
}

// resubmitted answers a submission whose ID is stored already.
func (s *Service) resubmitted(job *workload.Job, row storeapi.Row) Outcome {
	stored := &workload.Job{}
	if err := rowcodec.Decode(row.Value, stored); err != nil {
		s.log.Error("row_malformed", zap.String("key", row.Key), logging.Err(err))
		return Outcome{Kind: OutcomeInDoubt, Reason: "the stored job can't be read"}
	}
	if !stored.SameSubmission(job) {
		return Outcome{Kind: OutcomeInvalid, Reason: "another job has this ID"}
	}
	return Outcome{Kind: OutcomeAccepted, Reason: "stored before"}
}

// write makes a transaction until its result is known. It returns a conflict,
// or else the outcome. Once a try was in doubt, nothing is called rejected.
func (s *Service) write(ctx context.Context, tx storeapi.Transaction) (*storeapi.Conflict, Outcome) {
	inDoubt := false
	for {
		versions, err := s.store.Commit(ctx, tx)
		var conflict *storeapi.Conflict
		switch {
		case err == nil:
			for i, put := range tx.Puts {
				s.stored(storeapi.Row{Key: put.Key, Value: put.Value, Version: versions[i]})
			}
			return nil, Outcome{Kind: OutcomeAccepted}
		case errors.As(err, &conflict):
			return conflict, Outcome{}
		case errors.Is(err, storeapi.ErrUnavailable) && !inDoubt:
			return nil, rejected("the store did not take it: "+err.Error(), s.retryAfter())
		}
		inDoubt = true
		if s.view.StoreAway() {
			return nil, Outcome{Kind: OutcomeInDoubt, Reason: "the store does not answer: " + err.Error(), RetryAfter: s.retryAfter()}
		}
		select {
		case <-ctx.Done():
			return nil, Outcome{Kind: OutcomeInDoubt, Reason: err.Error()}
		case <-time.After(retryPause):
		}
	}
}

func (s *Service) cancel(ctx context.Context, account model.ClientAccountID, id model.JobID) Outcome {
	job, outcome := s.job(ctx, account, id)
	if job == nil {
		return outcome
	}
	for _, key := range workload.CancelKeys(id) {
		_, outcome = s.write(ctx, storeapi.Transaction{Puts: []storeapi.Put{{Key: key, Value: rowcodec.Encode(true)}}})
		if outcome.Kind != OutcomeRejected {
			return outcome
		}
	}
	return outcome
}

// job returns a stored job of an account, or the outcome that says why not.
func (s *Service) job(ctx context.Context, account model.ClientAccountID, id model.JobID) (*workload.Job, Outcome) {
	row, outcome := s.jobRow(ctx, id)
	if row.Version == 0 {
		return nil, outcome
	}
	job := &workload.Job{}
	if err := rowcodec.Decode(row.Value, job); err != nil {
		s.log.Error("row_malformed", zap.String("key", row.Key), logging.Err(err))
		return nil, rejected("the stored job can't be read", s.retryAfter())
	}
	if job.Account != account {
		return nil, Outcome{Kind: OutcomeUnknownJob, Reason: "a job of another account"}
	}
	return job, Outcome{}
}

// jobRow returns the row of a job, or the outcome that says why there is none.
// A job is unknown only when it lies in none of its parts.
func (s *Service) jobRow(ctx context.Context, id model.JobID) (storeapi.Row, Outcome) {
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
		job, outcome := s.job(ctx, account, id)
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
		return rejected("the job's progress can't be read", s.retryAfter())
	}
	if progress.Account != account {
		return Outcome{Kind: OutcomeUnknownJob, Reason: "a job of another account"}
	}
	return Outcome{Kind: OutcomeState, State: progress.State}
}
