package schedulerhost

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"dragonflyyard/internal/dispatch"
	"dragonflyyard/internal/hostclock"
	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/pause"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/tablewatch"
	"dragonflyyard/internal/workload"
)

// Intervals and limits of a session.
const (
	// planInterval is the maximum pause between two plans.
	planInterval = 100 * time.Millisecond
	// gatherDelay is the pause after an input, so that one plan handles several inputs.
	gatherDelay = 8 * time.Millisecond
	// maxViewAge is the age of the configuration view beyond which the session does
	// not plan. It leaves a margin within the platform's limit of 5 s for evacuations.
	maxViewAge = 2 * time.Second
	// minBackoff and maxBackoff bound the backoff between retries of store calls.
	minBackoff = 60 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// maxSessionInputs is the capacity of the queue of rows that the core has not
// processed yet.
const maxSessionInputs = 4096

// errFenced means that another owner has acquired the fence.
var errFenced = errors.New("another owner has acquired the scheduler's fence")

// fence is the value of the fence row, which each transaction of an owner rewrites.
// Sequence numbers the owner's transactions in one session.
type fence struct {
	Epoch    model.Epoch `codec:"e"`
	Sequence uint64      `codec:"s"`
}

// session schedules under one epoch, with a core that is loaded from the store.
type session struct {
	host  *Host
	epoch model.Epoch
	store storeapi.Store
	log   *zap.Logger
	core  *dispatch.Core

	fenceVersion storeapi.RowVersion
	sequence     uint64
	// rejectedRows counts the rows that the store rejected.
	rejectedRows int
	// checkedAt is when the age of the configuration view was last checked, and resumedAt
	// when the host was found to have been suspended; zero before.
	checkedAt hostclock.Instant
	resumedAt time.Time
	inputs    *ring.Ring[func()]
	workers   *tablewatch.Watch
	plans     metrics.Timer
	commits   metrics.Timer
	overShare metrics.Gauge
	// slowWorkers and fastWorkers count the workers whose speed differs from the average.
	slowWorkers, fastWorkers metrics.Gauge
}

func newSession(h *Host, epoch model.Epoch) *session {
	return &session{
		host: h, epoch: epoch, store: h.store, log: h.log,
		core:    dispatch.New(h.Dispatch),
		inputs:  ring.New[func()]("scheduler.inputs", maxSessionInputs, nil),
		plans:   metrics.GetOrRegisterTimer("scheduler.plans", h.registry),
		commits: metrics.GetOrRegisterTimer("scheduler.commits", h.registry),

		slowWorkers: metrics.GetOrRegisterGauge("scheduler.workers.slow", h.registry),
		fastWorkers: metrics.GetOrRegisterGauge("scheduler.workers.fast", h.registry),
		overShare:   metrics.GetOrRegisterGauge("scheduler.accounts_over_share", h.registry),
	}
}

// run schedules until ctx is done or another owner has acquired the fence.
func (s *session) run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if err := s.acquireFence(ctx); err != nil {
		s.log.Warn("scheduler_session_ended", zap.Uint64("epoch", uint64(s.epoch)), logging.Err(err))
		return
	}
	versions, err := s.load(ctx)
	if err != nil {
		s.log.Warn("scheduler_session_ended", zap.Uint64("epoch", uint64(s.epoch)), logging.Err(err))
		return
	}
	s.watch(ctx, versions)
	err = s.planLoop(ctx)
	s.log.Info("scheduler_session_ended", zap.Uint64("epoch", uint64(s.epoch)), logging.Err(err))
}

// acquireFence rewrites the fence row, after which no transaction of a former owner
// takes effect. It returns errFenced if the row holds a higher epoch.
func (s *session) acquireFence(ctx context.Context) error {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		row, err := s.store.Get(ctx, workload.KeyFence)
		if err == nil || errors.Is(err, storeapi.ErrNotFound) {
			var stored fence
			if row.Version != 0 {
				if err := rowcodec.Decode(row.Value, &stored); err != nil {
					s.logMalformed(row, err)
				}
			}
			if stored.Epoch > s.epoch {
				return errFenced
			}
			s.fenceVersion = row.Version
			return s.commitFenced(ctx, storeapi.Transaction{}, nil)
		}
		if !pause.For(ctx, backoff) {
			return ctx.Err()
		}
	}
}

// commitFenced commits a transaction under the fence and retries until its outcome is
// known. applied, if not nil, is called with the version of the transaction's puts.
// The error is nil if the transaction took effect, errCheckFailed if another check
// failed, errFenced if another owner has acquired the fence, storeapi.ErrRejected if the
// store can never accept the transaction, or that of ctx.
func (s *session) commitFenced(ctx context.Context, tx storeapi.Transaction, applied func(storeapi.RowVersion)) error {
	s.sequence++
	proposed := fence{s.epoch, s.sequence}
	tx.Checks = append(tx.Checks, storeapi.Check{Key: workload.KeyFence, Version: s.fenceVersion})
	tx.Puts = append(tx.Puts, storeapi.Put{Key: workload.KeyFence, Value: rowcodec.Encode(&proposed)})
	start := time.Now()
	defer s.commits.UpdateSince(start)
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		versions, err := s.store.Commit(ctx, tx)
		var conflict *storeapi.Conflict
		switch {
		case err == nil:
			return s.recordCommit(versions[len(versions)-1], applied)
		case errors.As(err, &conflict):
			return s.resolveConflict(conflict, proposed, applied)
		case errors.Is(err, storeapi.ErrRejected):
			return err
		}
		s.log.Warn("scheduler_write_failed", logging.Err(err), zap.Uint64("sequence", proposed.Sequence))
		if !pause.For(ctx, backoff/2+rand.N(backoff/2)) {
			return ctx.Err()
		}
	}
}

// errCheckFailed means that a check other than that of the fence failed.
var errCheckFailed = errors.New("a precondition other than the fence failed")

// recordCommit stores the fence version of a transaction that took effect.
func (s *session) recordCommit(version storeapi.RowVersion, applied func(storeapi.RowVersion)) error {
	s.fenceVersion = version
	if applied != nil {
		applied(version)
	}
	return nil
}

// resolveConflict handles a conflict by the fence row. With the expected version,
// another check failed. With the proposed value, an earlier attempt took effect and
// its answer was lost. Otherwise another owner has acquired the fence.
func (s *session) resolveConflict(conflict *storeapi.Conflict, proposed fence, applied func(storeapi.RowVersion)) error {
	row := conflict.Find(workload.KeyFence)
	if row.Version == s.fenceVersion {
		return errCheckFailed
	}
	var stored fence
	if err := rowcodec.Decode(row.Value, &stored); err != nil || stored != proposed {
		return errFenced
	}
	return s.recordCommit(row.Version, applied)
}

// planLoop applies inputs and plans until ctx is done or a fenced commit fails.
func (s *session) planLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case input := <-s.inputs.Out():
			input()
			pause.For(ctx, gatherDelay)
		}
		s.drainInputs()
		if err := s.plan(ctx); err != nil {
			return err
		}
		timer.Reset(planInterval)
	}
}

// drainInputs applies all queued inputs without blocking.
func (s *session) drainInputs() {
	for {
		select {
		case input := <-s.inputs.Out():
			input()
		default:
			return
		}
	}
}

// current reports whether a configuration view is recent enough for a plan. The age of a view
// from before the host was suspended is not known.
func (s *session) current(view ConfigView, now hostclock.Instant) bool {
	if !s.checkedAt.Steady.IsZero() && now.SuspendedSince(s.checkedAt) > maxViewAge {
		s.resumedAt = now.Steady
	}
	s.checkedAt = now
	return now.Steady.Sub(view.AsOf) <= maxViewAge && view.AsOf.After(s.resumedAt)
}

// plan makes one plan and commits its batches. It does nothing while the store's
// clock is unknown or the configuration view is too old.
func (s *session) plan(ctx context.Context) error {
	now, ready := s.now()
	view := s.host.view()
	if !ready || !s.current(view, hostclock.Now()) {
		return nil
	}
	s.core.Configure(view.Guaranteed, view.Evacuated)
	start := time.Now()
	batches := s.core.WithLearned(now, s.core.WithPending(now, s.core.Plan(now)))
	s.plans.UpdateSince(start)
	s.overShare.Update(int64(s.core.AccountsOverShare()))
	s.countSpeeds()
	s.logDecisions()
	s.countDisturbances()
	voidings := map[*dispatch.Batch]*voiding{}
	for _, batch := range batches {
		if batch.Kind == dispatch.BatchWorkerLost {
			voidings[batch] = s.startVoiding(ctx, batch)
		}
	}
	rejected := s.rejectedRows
	for _, batch := range batches {
		if batch.Kind == dispatch.BatchEnds && s.rejectedRows > rejected {
			// The effects of these ends may be in a rejected row.
			continue
		}
		if err := s.commitBatch(ctx, batch, voidings[batch]); err != nil {
			return err
		}
	}
	return nil
}

// commitBatch commits a batch. For a dispatch.BatchWorkerLost, v is what
// startVoiding returned for the batch; it is nil for other kinds. Only a failed
// BatchMain batch returns an error.
func (s *session) commitBatch(ctx context.Context, batch *dispatch.Batch, v *voiding) error {
	defer s.logDecisions()
	switch batch.Kind {
	case dispatch.BatchMain:
		return s.commitMain(ctx, batch)
	case dispatch.BatchEnds:
		s.deleteEndsAsync(ctx, batch)
	case dispatch.BatchWorkerLost:
		s.finishVoiding(v)
	default:
		s.commitAsync(ctx, batch)
	}
	return nil
}

// commitMain commits a main batch under the fence. If the store rejects it, its rows are
// committed one by one. The rows that are rejected themselves are reported to the core
// and left out, so that the jobs of all other rows go on.
func (s *session) commitMain(ctx context.Context, batch *dispatch.Batch) error {
	err := s.commitFenced(ctx, batch.Tx, func(version storeapi.RowVersion) {
		versions := make([]storeapi.RowVersion, len(batch.Tx.Puts))
		for i := range versions {
			versions[i] = version
		}
		s.reportCommitted(batch, versions)
		s.pushOrders(batch)
	})
	if !errors.Is(err, storeapi.ErrRejected) {
		return err
	}
	rows := batch.Split()
	if len(rows) == 1 {
		s.log.Error("row_rejected", zap.String("key", batch.FirstKey()), logging.Err(err))
		s.rejectedRows++
		s.core.Rejected(batch)
		return nil
	}
	for _, row := range rows {
		if err := s.commitMain(ctx, row); err != nil {
			return err
		}
	}
	return nil
}

// reportCommitted tells the core that a batch took effect, with the versions of its puts.
func (s *session) reportCommitted(batch *dispatch.Batch, versions []storeapi.RowVersion) {
	now, _ := s.now()
	s.core.Committed(now, batch, versions)
}

// pushOrders sends a batch's orders to their agents, with one push per agent.
func (s *session) pushOrders(batch *dispatch.Batch) {
	byAddress := map[string][]storeapi.Row{}
	for _, order := range batch.OrderRows() {
		byAddress[order.Address] = append(byAddress[order.Address], order.Row)
	}
	for address, rows := range byAddress {
		s.host.push.Push(address, rows)
	}
}

// commitAsync commits a batch outside the scheduler's own rows in a single attempt in the
// background, since no other decision waits for it.
func (s *session) commitAsync(ctx context.Context, batch *dispatch.Batch) {
	go func() {
		versions, err := s.store.Commit(ctx, batch.Tx)
		s.inputs.Push(ctx, func() { s.reportUnfenced(batch, versions, err) })
	}()
}

// reportUnfenced reports the outcome of an unfenced batch to the core.
func (s *session) reportUnfenced(batch *dispatch.Batch, versions []storeapi.RowVersion, err error) {
	if err != nil {
		s.log.Warn("scheduler_batch_refused", zap.String("kind", string(batch.Kind)), zap.String("host", batch.Host), logging.Err(err))
		now, _ := s.now()
		s.core.NotCommitted(now, batch, err)
		return
	}
	s.reportCommitted(batch, versions)
}

// maxDeleteAttempts bounds the attempts to delete a batch of processed ends. A
// successor deletes those that remain.
const maxDeleteAttempts = 4

// deleteEndsAsync deletes processed ends in the background.
func (s *session) deleteEndsAsync(ctx context.Context, batch *dispatch.Batch) {
	go func() {
		backoff := minBackoff
		for range maxDeleteAttempts {
			_, err := s.store.Commit(ctx, batch.Tx)
			if err == nil {
				return
			}
			s.log.Warn("ends_not_deleted", zap.Int("ends", len(batch.Tx.Deletes)), logging.Err(err))
			if !pause.For(ctx, backoff) {
				return
			}
			backoff = min(2*backoff, maxBackoff)
		}
	}()
}

// now returns the current time for a decision, and false while the store's clock is unknown.
func (s *session) now() (dispatch.Now, bool) {
	at := time.Now()
	storeTime, known := s.store.StoreTime()
	now := dispatch.Now{
		StoreMS: storeTime.LatestMS, StoreAheadMS: max(0, storeTime.LatestMS-storeTime.EarliestMS),
		UnixMS: at.UnixMilli(), StoreHealthySinceMS: storeTime.LatestMS,
	}
	if s.workers == nil {
		return now, known
	}
	if since, well := s.workers.HealthySince(); well {
		now.StoreHealthySinceMS = now.StoreMS - at.Sub(since).Milliseconds()
	}
	return now, known
}

// logDecisions logs the core's decisions since the last call.
func (s *session) logDecisions() {
	for _, d := range s.core.Decisions() {
		s.log.Info(d.Kind, zap.String("job", string(d.Job)), zap.String("task", d.Task), zap.Int("run", d.Run),
			zap.String("worker", string(d.Worker)), zap.String("reason", d.Reason), zap.Int64("age_ms", d.AgeMS),
			zap.Uint64("epoch", uint64(s.epoch)))
	}
}
