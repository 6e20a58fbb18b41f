package schedulerhost

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/pause"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/tablewatch"
	"dragonflyyard/internal/workload"
)

// rescanInterval is the interval of full scans in addition to the change feeds. A
// scan reads every part of a table.
const rescanInterval = 15 * time.Second

// maxConcurrentScans bounds the table scans in flight while a session loads. Three
// of them read many parts each, see package partscan.
const maxConcurrentScans = 16

// workerGatherDelay is the pause after a read of changed worker rows. It batches the
// writes of hundreds of agents. Starts and ends of runs do not wait for it.
const workerGatherDelay = 50 * time.Millisecond

// Scan prefixes of the tables that other processes write and the scheduler watches.
const (
	inboxPrefix   = workload.TableInbox + "@" + storeapi.AllParts + "/"
	workersPrefix = workload.TableWorkers + "@" + storeapi.AllParts + "/"
	endsPrefix    = workload.TableEnds + "@" + storeapi.AllParts + "/"
)

var watchedPrefixes = []string{inboxPrefix, workersPrefix, endsPrefix}

// load reads all tables into the core and returns, by prefix, the versions from
// which to watch. It scans orders and ends concurrently, at different versions.
// Since only the scheduler deletes an order, and only after the run's end was
// written, every run is found in an order, in an end, or in both.
func (s *session) load(ctx context.Context) (map[string]storeapi.RowVersion, error) {
	tables := append([]string{workload.TableProgress + "/"}, watchedPrefixes...)
	for _, table := range workload.OrderTables() {
		tables = append(tables, table+"/")
	}
	learned := s.readLearned(ctx)
	snapshots, err := s.scanAll(ctx, tables)
	if err != nil {
		return nil, err
	}
	versions := map[string]storeapi.RowVersion{}
	for i, prefix := range watchedPrefixes {
		versions[prefix] = snapshots[i+1].Version
	}
	s.applyInbox(snapshots[1].Rows, s.decodeProgress(snapshots[0]))
	s.deleteOrphanedProgress(snapshots[0].Rows, snapshots[1].Rows)
	s.applyWorkers(snapshots[2].Rows)
	orders := 0
	for _, snapshot := range snapshots[1+len(watchedPrefixes):] {
		orders += len(snapshot.Rows)
		s.applyOrders(snapshot.Rows)
	}
	s.applyLearned(learned)
	s.applyEnds(snapshots[3].Rows)
	stats := s.core.Stats()
	s.log.Info("scheduler_loaded", zap.Uint64("epoch", uint64(s.epoch)), zap.Int("jobs", stats.Jobs),
		zap.Int("workers", stats.Workers), zap.Int("orders", orders), zap.Int("ends", len(snapshots[3].Rows)))
	return versions, nil
}

// scanAll scans tables concurrently and returns their snapshots in the order of prefixes.
func (s *session) scanAll(ctx context.Context, prefixes []string) ([]storeapi.Snapshot, error) {
	snapshots := make([]storeapi.Snapshot, len(prefixes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentScans)
	for i, prefix := range prefixes {
		group.Go(func() error {
			var err error
			snapshots[i], err = s.scan(ctx, prefix)
			return err
		})
	}
	return snapshots, group.Wait()
}

// scan reads a table, with retries until it succeeds or ctx is done.
func (s *session) scan(ctx context.Context, prefix string) (storeapi.Snapshot, error) {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		snapshot, err := s.store.Scan(ctx, prefix)
		if err == nil {
			return snapshot, nil
		}
		s.log.Warn("store_read_failed", zap.String("table", prefix), logging.Err(err))
		if !pause.For(ctx, backoff) {
			return snapshot, err
		}
	}
}

// watch starts the watches of the tables that other processes write, from the given
// versions by prefix. Rows are applied in the session's goroutine.
func (s *session) watch(ctx context.Context, versions map[string]storeapi.RowVersion) {
	apply := map[string]func([]storeapi.Row){
		inboxPrefix:   func(rows []storeapi.Row) { s.applyInbox(rows, nil) },
		workersPrefix: s.applyWorkers,
		endsPrefix:    s.applyEnds,
	}
	settings := tablewatch.DefaultSettings()
	settings.RescanInterval = rescanInterval
	for _, prefix := range watchedPrefixes {
		enqueue := func(rows []storeapi.Row) { s.inputs.Push(ctx, func() { apply[prefix](rows) }) }
		settings.GatherDelay = 0
		if prefix == workersPrefix {
			settings.GatherDelay = workerGatherDelay
		}
		table, _, _ := storeapi.SplitKey(prefix)
		watch := tablewatch.New(settings, s.store, table, prefix, tablewatch.Handler{
			OnScan:    func(snapshot storeapi.Snapshot) { enqueue(snapshot.Rows) },
			OnChanges: func(changes []storeapi.Change) { enqueue(putRows(changes)) },
			OnReadError: func(err error) {
				s.log.Warn("store_read_failed", zap.String("table", table), logging.Err(err))
			},
		})
		if prefix == workersPrefix {
			s.workers = watch
		}
		go watch.Run(ctx, versions[prefix])
	}
}

// putRows returns the rows that changes put. Deletions are skipped since only the
// scheduler itself deletes rows of the watched tables.
func putRows(changes []storeapi.Change) []storeapi.Row {
	var rows []storeapi.Row
	for _, change := range changes {
		if !change.Deleted {
			rows = append(rows, change.Row)
		}
	}
	return rows
}

func (s *session) logMalformed(row storeapi.Row, err error) {
	s.log.Error("row_malformed", zap.String("key", row.Key), logging.Err(err))
}

func (s *session) decodeProgress(snapshot storeapi.Snapshot) map[model.JobID]*workload.Progress {
	out := map[model.JobID]*workload.Progress{}
	for _, row := range snapshot.Rows {
		progress := &workload.Progress{}
		if err := rowcodec.Decode(row.Value, progress); err != nil {
			s.logMalformed(row, err)
			continue
		}
		out[model.JobID(strings.TrimPrefix(row.Key, workload.TableProgress+"/"))] = progress
	}
	return out
}

// deleteOrphanedProgress requests the deletion of the progress of jobs that have no row
// in the inbox, readable or not: a former owner deleted the job and ended before it
// deleted its progress.
func (s *session) deleteOrphanedProgress(progress, inbox []storeapi.Row) {
	stored := map[string]bool{}
	for _, row := range inbox {
		if id, cancel, err := workload.ParseInboxKey(row.Key); err == nil && !cancel {
			stored[workload.ProgressKey(id)] = true
		}
	}
	for _, row := range progress {
		if !stored[row.Key] {
			s.core.ProgressOrphaned(row.Key)
		}
	}
}

// applyInbox passes jobs and cancellations to the core. progress holds the stored
// progress of jobs that started before this session; it may be nil.
func (s *session) applyInbox(rows []storeapi.Row, progress map[model.JobID]*workload.Progress) {
	now, _ := s.now()
	for _, row := range rows {
		id, cancel, err := workload.ParseInboxKey(row.Key)
		switch {
		case err != nil:
			s.logMalformed(row, err)
		case cancel:
			var cancellation workload.Cancellation
			if err := rowcodec.Decode(row.Value, &cancellation); err != nil {
				s.logMalformed(row, err)
				continue
			}
			if err := cancellation.Check(row.Key, id); err != nil {
				s.logMalformed(row, err)
				continue
			}
			s.core.CancelSeen(now, row.Key, row.Version, id, cancellation)
		default:
			job := &workload.Job{}
			if err := rowcodec.Decode(row.Value, job); err != nil || job.ID != id || job.Check() != nil {
				s.logMalformed(row, err)
				continue
			}
			s.core.JobSeen(row.Key, row.Version, job, progress[id])
		}
	}
}

// applyRows passes rows of any of the watched tables to the core.
func (s *session) applyRows(rows []storeapi.Row) {
	for _, row := range rows {
		single := []storeapi.Row{row}
		switch table, _, _ := storeapi.SplitKey(row.Key); table {
		case workload.TableInbox:
			s.applyInbox(single, nil)
		case workload.TableWorkers:
			s.applyWorkers(single)
		case workload.TableEnds:
			s.applyEnds(single)
		default:
			s.logMalformed(row, errNotWatched)
		}
	}
}

// errNotWatched is the error of a pushed row whose table the scheduler does not watch.
var errNotWatched = errors.New("the scheduler does not watch the row's table")

func (s *session) applyWorkers(rows []storeapi.Row) {
	now, known := s.now()
	for _, row := range rows {
		var announcement workload.Announcement
		err := rowcodec.Decode(row.Value, &announcement)
		if err == nil {
			err = announcement.Check(row.Key)
		}
		if err != nil {
			s.logMalformed(row, err)
			continue
		}
		if known {
			// Nothing is read before it is sent. A later time, by a wrong clock or from
			// another writer, would keep a worker in use that is gone.
			announcement.SentMS = min(announcement.SentMS, now.StoreMS)
		}
		s.core.WorkerSeen(announcement, row.Version)
	}
}

func (s *session) applyOrders(rows []storeapi.Row) {
	now, _ := s.now()
	for _, row := range rows {
		var order workload.Order
		if err := rowcodec.Decode(row.Value, &order); err != nil {
			s.logMalformed(row, err)
			continue
		}
		s.core.OrderSeen(now, order, row.Version)
	}
}

func (s *session) applyEnds(rows []storeapi.Row) {
	now, _ := s.now()
	for _, row := range rows {
		var end workload.End
		if err := rowcodec.Decode(row.Value, &end); err != nil {
			s.logMalformed(row, err)
			continue
		}
		s.core.EndSeen(now, row.Key, end)
	}
}
