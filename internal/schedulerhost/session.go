package schedulerhost

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"dragonflyyard/internal/dispatch"
	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/pause"
	"dragonflyyard/internal/ring"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/tablewatch"
	"dragonflyyard/internal/workload"
)

// Times of a session.
const (
	// planEvery is the longest time between two plans.
	planEvery = 100 * time.Millisecond
	// gather is how long inputs are gathered before a plan answers them.
	gather = 8 * time.Millisecond
	// maxViewAge is the age of the configuration beyond which nothing starts. It
	// leaves room inside the platform's bound of 5 s for evacuations.
	maxViewAge = 2 * time.Second
	// retryFirst and retryLongest bound the backoff before a transaction is sent again.
	retryFirst   = 60 * time.Millisecond
	retryLongest = 400 * time.Millisecond
)

// maxSessionInputs bounds what the watches read and the core has not taken in.
const maxSessionInputs = 4096

// errDeposed means that another owner has fenced this one off.
var errDeposed = errors.New("another owner took the scheduler over")

// fence is the value of the row that each transaction of an owner rewrites.
type fence struct {
	Epoch    model.Epoch `codec:"e"`
	Sequence uint64      `codec:"s"`
}

// session is the scheduling under one epoch.
type session struct {
	host  *Host
	epoch model.Epoch
	store storeapi.Store
	log   *zap.Logger
	core  *dispatch.Core

	fenceVersion storeapi.RowVersion
	sequence     uint64
	inputs       *ring.Ring[func()]
	workers      *tablewatch.Watch
	plans        metrics.Timer
	commits      metrics.Timer
}

func newSession(h *Host, epoch model.Epoch) *session {
	return &session{
		host: h, epoch: epoch, store: h.store, log: h.log,
		core:    dispatch.New(dispatch.DefaultSettings()),
		inputs:  ring.New[func()]("scheduler.inputs", maxSessionInputs, nil),
		plans:   metrics.GetOrRegisterTimer("scheduler.plans", h.registry),
		commits: metrics.GetOrRegisterTimer("scheduler.commits", h.registry),
	}
}

// run schedules until ctx is done or another owner is seen.
func (s *session) run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if err := s.takeFence(ctx); err != nil {
		s.log.Warn("scheduler_session_ended", zap.Uint64("epoch", uint64(s.epoch)), logging.Err(err))
		return
	}
	versions, err := s.load(ctx)
	if err != nil {
		s.log.Warn("scheduler_session_ended", zap.Uint64("epoch", uint64(s.epoch)), logging.Err(err))
		return
	}
	s.watch(ctx, versions)
	err = s.loop(ctx)
	s.log.Info("scheduler_session_ended", zap.Uint64("epoch", uint64(s.epoch)), logging.Err(err))
}

// takeFence writes the fence: from then on no transaction of a former owner
// takes effect. A higher epoch in the fence means that this one has ended.
func (s *session) takeFence(ctx context.Context) error {
	for backoff := retryFirst; ; backoff = min(2*backoff, retryLongest) {
		row, err := s.store.Get(ctx, workload.KeyFence)
		if err == nil || errors.Is(err, storeapi.ErrNotFound) {
			var present fence
			if row.Version != 0 {
				if err := rowcodec.Decode(row.Value, &present); err != nil {
					s.malformed(row, err)
				}
			}
			if present.Epoch > s.epoch {
				return errDeposed
			}
			s.fenceVersion = row.Version
			return s.commit(ctx, storeapi.Transaction{}, nil)
		}
		if !pause.For(ctx, backoff) {
			return ctx.Err()
		}
	}
}

// commit makes a transaction under the fence, until its result is known.
// applied is told the version of its puts; it may be nil. The result is nil
// when it took effect, errRefused when another check failed, and errDeposed.
func (s *session) commit(ctx context.Context, tx storeapi.Transaction, applied func(storeapi.RowVersion)) error {
	s.sequence++
	mark := fence{s.epoch, s.sequence}
	tx.Checks = append(tx.Checks, storeapi.Check{Key: workload.KeyFence, Version: s.fenceVersion})
	tx.Puts = append(tx.Puts, storeapi.Put{Key: workload.KeyFence, Value: rowcodec.Encode(&mark)})
	began := time.Now()
	defer s.commits.UpdateSince(began)
	for backoff := retryFirst; ; backoff = min(2*backoff, retryLongest) {
		versions, err := s.store.Commit(ctx, tx)
		var conflict *storeapi.Conflict
		switch {
		case err == nil:
			return s.took(versions[len(versions)-1], applied)
		case errors.As(err, &conflict):
			return s.resolve(conflict, mark, applied)
		}
		s.log.Warn("scheduler_write_failed", logging.Err(err), zap.Uint64("sequence", mark.Sequence))
		if !pause.For(ctx, backoff/2+rand.N(backoff/2)) {
			return ctx.Err()
		}
	}
}

var errRefused = errors.New("another check of the transaction failed")

func (s *session) took(version storeapi.RowVersion, applied func(storeapi.RowVersion)) error {
	s.fenceVersion = version
	if applied != nil {
		applied(version)
	}
	return nil
}

// resolve tells a transaction that took effect in an earlier try, whose answer
// was lost, from a refused one and from the end of the epoch.
func (s *session) resolve(conflict *storeapi.Conflict, mark fence, applied func(storeapi.RowVersion)) error {
	row := conflict.Find(workload.KeyFence)
	if row.Version == s.fenceVersion {
		return errRefused
	}
	var present fence
	if err := rowcodec.Decode(row.Value, &present); err != nil || present != mark {
		return errDeposed
	}
	return s.took(row.Version, applied)
}

// loop plans until ctx is done or another owner is seen.
func (s *session) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case input := <-s.inputs.Out():
			input()
			pause.For(ctx, gather)
		}
		s.drain()
		if err := s.plan(ctx); err != nil {
			return err
		}
		timer.Reset(planEvery)
	}
}

func (s *session) drain() {
	for {
		select {
		case input := <-s.inputs.Out():
			input()
		default:
			return
		}
	}
}

// plan decides and commits once.
func (s *session) plan(ctx context.Context) error {
	now, ready := s.now()
	view := s.host.view()
	if !ready || time.Since(view.AsOf) > maxViewAge {
		return nil
	}
	s.core.Configure(view.Guaranteed, view.Evacuated)
	began := time.Now()
	batches := s.core.WithPending(now, s.core.Plan(now))
	s.plans.UpdateSince(began)
	s.logDecisions()
	voids := map[*dispatch.Batch]*voiding{}
	for _, batch := range batches {
		if batch.Kind == dispatch.BatchWorkerLost {
			voids[batch] = s.beginVoiding(ctx, batch)
		}
	}
	for _, batch := range batches {
		if err := s.commitBatch(ctx, batch, voids[batch]); err != nil {
			return err
		}
	}
	return nil
}

// commitBatch makes a batch; void is set for one that was begun before.
func (s *session) commitBatch(ctx context.Context, batch *dispatch.Batch, void *voiding) error {
	defer s.logDecisions()
	switch batch.Kind {
	case dispatch.BatchMain:
		return s.commit(ctx, batch.Tx, func(version storeapi.RowVersion) {
			versions := make([]storeapi.RowVersion, len(batch.Tx.Puts))
			for i := range versions {
				versions[i] = version
			}
			s.committed(batch, versions)
			s.pushOrders(batch)
		})
	case dispatch.BatchEnds:
		s.dropLater(ctx, batch)
	case dispatch.BatchWorkerLost:
		s.endVoiding(void)
	default:
		s.commitOther(ctx, batch)
	}
	return nil
}

func (s *session) committed(batch *dispatch.Batch, versions []storeapi.RowVersion) {
	now, _ := s.now()
	s.core.Committed(now, batch, versions)
}

// pushOrders sends a batch's orders to their agents, those of an agent together.
func (s *session) pushOrders(batch *dispatch.Batch) {
	byAddress := map[string][]storeapi.Row{}
	for _, order := range batch.OrderRows() {
		byAddress[order.Address] = append(byAddress[order.Address], order.Row)
	}
	for address, rows := range byAddress {
		s.host.push.Push(address, rows)
	}
}

// commitOther makes a batch outside the scheduler's own rows, once.
func (s *session) commitOther(ctx context.Context, batch *dispatch.Batch) {
	versions, err := s.store.Commit(ctx, batch.Tx)
	s.madeOther(batch, versions, err)
}

func (s *session) madeOther(batch *dispatch.Batch, versions []storeapi.RowVersion, err error) {
	if err != nil {
		s.log.Warn("scheduler_batch_refused", zap.String("kind", string(batch.Kind)), zap.String("host", batch.Host), logging.Err(err))
		s.core.NotCommitted(batch)
		return
	}
	s.committed(batch, versions)
}

// dropTries bounds how often a batch of taken ends is sent. A successor deletes
// what is left.
const dropTries = 4

// dropLater deletes taken ends while the scheduler goes on.
func (s *session) dropLater(ctx context.Context, batch *dispatch.Batch) {
	go func() {
		backoff := retryFirst
		for range dropTries {
			_, err := s.store.Commit(ctx, batch.Tx)
			if err == nil {
				return
			}
			s.log.Warn("ends_not_deleted", zap.Int("ends", len(batch.Tx.Deletes)), logging.Err(err))
			if !pause.For(ctx, backoff) {
				return
			}
			backoff = min(2*backoff, retryLongest)
		}
	}()
}

// now returns the time of a decision, and false before the store's clock is known.
func (s *session) now() (dispatch.Now, bool) {
	at := time.Now()
	storeMS, known := s.store.StoreTime(at)
	now := dispatch.Now{StoreMS: storeMS, UnixMS: at.UnixMilli(), StoreHealthySinceMS: storeMS}
	if s.workers == nil {
		return now, known
	}
	if since, well := s.workers.WellSince(); well {
		now.StoreHealthySinceMS = storeMS - at.Sub(since).Milliseconds()
	}
	return now, known
}

func (s *session) logDecisions() {
	for _, d := range s.core.Decisions() {
		s.log.Info(d.Kind, zap.String("job", string(d.Job)), zap.String("task", d.Task), zap.Int("run", d.Run),
			zap.String("worker", string(d.Worker)), zap.String("reason", d.Reason), zap.Int64("age_ms", d.AgeMS),
			zap.Uint64("epoch", uint64(s.epoch)))
	}
}
