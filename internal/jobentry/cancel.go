package jobentry

import (
	"context"
	"maps"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// cancel stores a cancellation, also of a job that is not stored: a submission that got
// no answer may still be carried out by the store. The caller gets no final answer before
// the cancellation is committed.
func (s *Service) cancel(ctx context.Context, account model.ClientAccountID, id model.JobID) Outcome {
	job, outcome := s.loadJob(ctx, account, id)
	if job == nil {
		if outcome.Kind != OutcomeUnknownJob {
			return outcome
		}
		if wait := s.unknownCancels.take(time.Now(), account); wait > 0 {
			return rejected("the account cancels too many jobs that are not stored", wait)
		}
	}
	stored := s.storeCancellation(ctx, account, id)
	if job == nil && stored.Kind == OutcomeAccepted {
		return outcome
	}
	return stored
}

func (s *Service) storeCancellation(ctx context.Context, account model.ClientAccountID, id model.JobID) Outcome {
	now, known := s.store.StoreTime()
	if !known {
		return rejected("the store's time is not known", s.retryAfter())
	}
	value := rowcodec.Encode(&workload.Cancellation{Account: account, RequestedMS: now.LatestMS})
	var outcome Outcome
	for _, key := range workload.CancelKeys(id, account) {
		_, outcome = s.write(ctx, storeapi.Transaction{Puts: []storeapi.Put{{Key: key, Value: value}}})
		if outcome.Kind != OutcomeRejected {
			return outcome
		}
	}
	return outcome
}

// Limits on the cancellations of jobs that are not stored, for each account on one entry
// host. Load pattern: a client cancels IDs that were never submitted, each of which
// leaves a row for workload.CancellationRetention.
const (
	unknownCancelsPerSecond = 2
	unknownCancelBurst      = 100
)

// accountLimiter limits the cancellations of unknown jobs by account. It is safe for
// concurrent use.
type accountLimiter struct {
	mu sync.Mutex
	// limiters holds the accounts that have used part of their burst.
	limiters map[model.ClientAccountID]*rate.Limiter
}

func newAccountLimiter() *accountLimiter {
	return &accountLimiter{limiters: map[model.ClientAccountID]*rate.Limiter{}}
}

// take takes a token of an account. If there is none, it returns the time until there is.
func (l *accountLimiter) take(now time.Time, account model.ClientAccountID) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.limiters[account]
	if limiter == nil {
		maps.DeleteFunc(l.limiters, func(_ model.ClientAccountID, idle *rate.Limiter) bool {
			return idle.TokensAt(now) >= unknownCancelBurst
		})
		limiter = rate.NewLimiter(unknownCancelsPerSecond, unknownCancelBurst)
		l.limiters[account] = limiter
	}
	token := limiter.ReserveN(now, 1)
	wait := token.DelayFrom(now)
	if wait > 0 {
		token.CancelAt(now)
	}
	return wait
}
