package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/event"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/scheduler"
	"dragonflyyard/internal/storeapi"
)

// rowKind says what is done to a job's row.
type rowKind uint8

const (
	rowSubmit rowKind = iota + 1
	rowDecision
	rowSave
	rowRead
	rowDelete
)

// rowWrite is one operation on a job's row.
type rowWrite struct {
	row  scheduler.JobRow
	kind rowKind
	// ended is how the job ended, for rowDelete; nil when that is not known.
	ended *scheduler.EndedJob
}

// rowResult is the result of a rowWrite.
type rowResult struct {
	write rowWrite
	epoch model.Epoch
	err   error
	// found is the row that rowRead found, or that rowSubmit lost to.
	found *scheduler.JobRow
}

// loadResult is the result of reading all job rows for a new owner.
type loadResult struct {
	epoch model.Epoch
	rows  []scheduler.JobRow
	// ended are the jobs that ended lately, kept their rows' keys.
	ended []scheduler.EndedJob
	kept  []keptRow
	// cancels are the kept cancellations.
	cancels []model.JobID
	// snapshot is nil when there is none.
	snapshot *scheduler.Snapshot
	err      error
}

// rowRetry is the delay after a failed deletion of a row. While the table service
// is out of reach its client refuses each call at once.
const rowRetry = 200 * time.Millisecond

// rowWriter keeps the operations on one job's row in order: at most one for
// each job is under way.
type rowWriter struct {
	s     *Scheduler
	queue map[model.JobID][]rowWrite
	// retryAt is when the first operation of a job's queue is made again.
	retryAt map[model.JobID]time.Time
	// refused are results of operations that could not be queued as calls.
	refused []rowResult
}

func newRowWriter(s *Scheduler) *rowWriter {
	w := &rowWriter{s: s}
	w.reset()
	return w
}

func (w *rowWriter) reset() {
	w.queue, w.retryAt, w.refused = map[model.JobID][]rowWrite{}, map[model.JobID]time.Time{}, nil
}

func (w *rowWriter) write(write rowWrite) {
	id := write.row.Job.ID
	w.queue[id] = append(w.queue[id], write)
	if len(w.queue[id]) == 1 {
		w.start(write)
	}
}

func (w *rowWriter) start(write rowWrite) {
	s := w.s
	check := *s.state.check.Load()
	s.calls.start(
		func(ctx context.Context) {
			result := s.callRow(ctx, write, check)
			s.inputs.Push(ctx, schedulerInput{row: &result})
		},
		func(err error) {
			// The result is taken in later, as the core is in a step now.
			w.refused = append(w.refused, rowResult{write: write, epoch: check.epoch, err: err})
		},
	)
}

// retryDue takes the results of refused operations in, and makes the operations
// again whose retry is due.
func (w *rowWriter) retryDue(now time.Time) {
	refused := w.refused
	w.refused = nil
	for _, result := range refused {
		w.done(result)
	}
	for id, at := range w.retryAt {
		if now.Before(at) {
			continue
		}
		delete(w.retryAt, id)
		if queue := w.queue[id]; len(queue) > 0 {
			w.start(queue[0])
		}
	}
}

// callRow carries one operation out at the table service.
func (s *Scheduler) callRow(ctx context.Context, write rowWrite, check ownerCheck) rowResult {
	result := rowResult{write: write, epoch: check.epoch}
	key := s.rowKey(write.row.Job.ID)
	switch write.kind {
	case rowRead:
		result.found, result.err = s.readRow(ctx, key)
	case rowDelete:
		result.err = s.deleteRow(ctx, key, write, check.check)
	default:
		result.err = s.putRow(ctx, key, write, check.check)
	}
	if write.kind == rowSubmit && result.err != nil && !errors.Is(result.err, storeapi.ErrUnavailable) {
		return s.resolveSubmit(ctx, key, result)
	}
	return result
}

func (s *Scheduler) putRow(ctx context.Context, key string, write rowWrite, fence storeapi.Check) error {
	value, err := json.Marshal(write.row)
	if err != nil {
		return errors.Wrap(err, "encode job row")
	}
	checks := []storeapi.Check{fence}
	if write.kind == rowSubmit {
		checks = append(checks, storeapi.Check{Key: key})
	}
	_, err = s.calls.table.Commit(ctx, storeapi.Transaction{Checks: checks, Puts: []storeapi.Put{{Key: key, Value: value}}})
	return err
}

// resolveSubmit reads a submitted job's row back, after a conflict or a lost
// answer. A row of the same submission means success.
func (s *Scheduler) resolveSubmit(ctx context.Context, key string, result rowResult) rowResult {
	found, err := s.readRow(ctx, key)
	switch {
	case err != nil:
		result.err = errors.CombineErrors(storeapi.ErrInDoubt, err)
	case found != nil && sameSubmission(found.Job, result.write.row.Job):
		result.err = nil
	case found != nil:
		result.found = found
	case errors.Is(result.err, storeapi.ErrInDoubt):
		// The write may still be on its way: only a conflict is final.
	}
	return result
}

func (s *Scheduler) readRow(ctx context.Context, key string) (*scheduler.JobRow, error) {
	row, err := s.calls.table.Get(ctx, key)
	if errors.Is(err, storeapi.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	found, err := decodeJobRow(row, s.rowPrefix())
	if err != nil {
		return nil, err
	}
	return &found, nil
}

// sameSubmission compares all that the submitter gave.
func sameSubmission(a, b model.Job) bool {
	a.Submitted, b.Submitted = time.Time{}, time.Time{}
	return a.Deadline.Equal(b.Deadline) && withoutDeadline(a) == withoutDeadline(b)
}

func withoutDeadline(j model.Job) model.Job {
	j.Deadline = time.Time{}
	return j
}

// done takes a result in and starts the next operation of the same job. A
// result of an earlier epoch is dropped: its queue is gone.
func (w *rowWriter) done(result rowResult) {
	id := result.write.row.Job.ID
	queue := w.queue[id]
	if result.epoch != w.s.state.check.Load().epoch || len(queue) == 0 {
		return
	}
	if retryRow(result) {
		w.retryAt[id] = w.s.p.Now().Add(rowRetry)
		return
	}
	queue = queue[1:]
	if len(queue) == 0 {
		delete(w.queue, id)
	} else {
		w.queue[id] = queue
		w.start(queue[0])
	}
	w.s.takeRow(result)
}

// retryRow reports whether a deletion must be tried again: a row that stays
// would bring an ended job back with the next owner.
func retryRow(result rowResult) bool {
	return result.write.kind == rowDelete && result.err != nil && !errors.Is(result.err, storeapi.ErrConflict)
}

// takeRow hands the result of an operation to the core or to an operator.
func (s *Scheduler) takeRow(result rowResult) {
	id, attempt := result.write.row.Job.ID, result.write.row.Attempt
	switch result.write.kind {
	case rowSubmit:
		s.finishSubmit(result)
	case rowDecision:
		s.step(scheduler.Decided{Job: id, Attempt: attempt, Result: decisionResult(result.err)})
	case rowRead:
		s.step(scheduler.Decided{Job: id, Attempt: attempt, Result: readBackResult(result)})
	case rowDelete:
		s.noteKept(result.write)
	case rowSave:
		if result.err != nil {
			s.p.Log.Record(event.Event{Code: event.RowWriteFailed, Job: id, Detail: result.err.Error()})
		}
	}
}

func decisionResult(err error) scheduler.DecisionResult {
	switch {
	case err == nil:
		return scheduler.DecisionCommitted
	case errors.Is(err, storeapi.ErrConflict):
		return scheduler.DecisionRefused
	case errors.Is(err, storeapi.ErrUnavailable):
		return scheduler.DecisionUnavailable
	default:
		return scheduler.DecisionInDoubt
	}
}

func readBackResult(result rowResult) scheduler.DecisionResult {
	switch {
	case result.err != nil:
		return scheduler.DecisionUnavailable
	case result.found != nil && result.found.Attempt == result.write.row.Attempt:
		return scheduler.DecisionCommitted
	default:
		return scheduler.DecisionRefused
	}
}

func (s *Scheduler) rowPrefix() string { return "job/" + string(s.p.Config.Settings.Region) + "/" }

func (s *Scheduler) rowKey(id model.JobID) string { return s.rowPrefix() + string(id) }

// loadRetry is the delay after a failed read of the job rows.
const loadRetry = 200 * time.Millisecond

// loadRows reads all job rows for a new epoch.
func (s *Scheduler) loadRows(epoch model.Epoch) {
	s.loadAt = time.Time{}
	s.calls.start(func(ctx context.Context) {
		result := s.readRows(ctx)
		result.epoch = epoch
		if result.err == nil {
			result.snapshot = s.loadSnapshot(ctx)
		}
		s.inputs.Push(ctx, schedulerInput{load: &result})
	}, func(error) { s.loadAt = s.p.Now().Add(loadRetry) })
}

// retryLoad reads the rows again once that is due.
func (s *Scheduler) retryLoad(now time.Time) {
	if s.loading != 0 && !s.loadAt.IsZero() && !now.Before(s.loadAt) {
		s.loadRows(s.loading)
	}
}

// readRows reads the rows of all jobs, of the jobs that ended lately and of the
// kept cancellations. After the first failed read it reads no more.
func (s *Scheduler) readRows(ctx context.Context) loadResult {
	var result loadResult
	result.rows, result.err = s.loadJobs(ctx)
	if result.err == nil {
		result.ended, result.kept, result.err = s.loadEnded(ctx)
	}
	if result.err == nil {
		result.cancels, result.err = s.loadCancels(ctx)
	}
	return result
}

// loadJobs reads the rows of all jobs. One that cannot be decoded is left out.
func (s *Scheduler) loadJobs(ctx context.Context) ([]scheduler.JobRow, error) {
	rows, err := s.calls.list(ctx, s.rowPrefix())
	if err != nil {
		return nil, err
	}
	var jobs []scheduler.JobRow
	for _, row := range rows {
		decoded, err := decodeJobRow(row, s.rowPrefix())
		if err != nil {
			s.p.Log.Record(event.Event{Code: event.RowWriteFailed, Subject: row.Key, Detail: err.Error()})
			continue
		}
		jobs = append(jobs, decoded)
	}
	return jobs, nil
}

// takeRows makes the core the owner with the rows that were read.
func (s *Scheduler) takeRows(result loadResult) {
	if result.epoch != s.loading {
		return
	}
	if result.err != nil {
		s.loadAt = s.p.Now().Add(loadRetry)
		return
	}
	if epoch, holds := s.state.holdsLease(s.p.Now()); !holds || epoch != result.epoch {
		return
	}
	document, _ := s.state.Document()
	s.loading, s.ready, s.kept = 0, true, result.kept
	s.rows.reset()
	clear(s.doubtful)
	owner := scheduler.BecomeOwner{Epoch: result.epoch, Rows: result.rows, Ended: result.ended, Snapshot: result.snapshot, Config: document}
	s.perform(s.core.Step(s.p.Now(), owner))
	s.resumeCancels(result.cancels)
	s.nextSnapshot = s.p.Now().Add(snapshotInterval)
	s.state.broadcastOwner()
}
