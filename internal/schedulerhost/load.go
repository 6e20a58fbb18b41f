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

// rescanEvery is the interval of scans beside the feeds; a scan reads each part.
const rescanEvery = 15 * time.Second

// maxScans bounds the scans under way while a session loads. Three of them read
// many parts each, see package partscan.
const maxScans = 16

// gatherWorkers is the pause after changes of the workers' rows, which hundreds
// of agents write. Starts and ends do not wait for them.
const gatherWorkers = 50 * time.Millisecond

// Prefixes of the tables that others write and the scheduler follows.
const (
	scanInbox   = workload.TableInbox + "@" + storeapi.AllParts + "/"
	scanWorkers = workload.TableWorkers + "@" + storeapi.AllParts + "/"
	scanEnds    = workload.TableEnds + "@" + storeapi.AllParts + "/"
)

var watched = []string{scanInbox, scanWorkers, scanEnds}

// load reads all tables and returns the versions from which the watched ones
// go on. An order is deleted only by the scheduler, after its end was written,
// so each run is found in an order, in an end, or in both.
func (s *session) load(ctx context.Context) (map[string]storeapi.RowVersion, error) {
	tables := append([]string{workload.TableProgress + "/"}, watched...)
	for _, table := range workload.OrderTables() {
		tables = append(tables, table+"/")
	}
	found, err := s.scanAll(ctx, tables)
	if err != nil {
		return nil, err
	}
	versions := map[string]storeapi.RowVersion{}
	for i, prefix := range watched {
		versions[prefix] = found[i+1].Version
	}
	s.takeInbox(found[1].Rows, s.decodeProgress(found[0]))
	s.takeWorkers(found[2].Rows)
	orders := 0
	for _, snapshot := range found[1+len(watched):] {
		orders += len(snapshot.Rows)
		s.takeOrders(snapshot.Rows)
	}
	s.takeEnds(found[3].Rows)
	stats := s.core.Stats()
	s.log.Info("scheduler_loaded", zap.Uint64("epoch", uint64(s.epoch)), zap.Int("jobs", stats.Jobs),
		zap.Int("workers", stats.Workers), zap.Int("orders", orders), zap.Int("ends", len(found[3].Rows)))
	return versions, nil
}

// scanAll reads tables, in any order.
func (s *session) scanAll(ctx context.Context, prefixes []string) ([]storeapi.Snapshot, error) {
	snapshots := make([]storeapi.Snapshot, len(prefixes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxScans)
	for i, prefix := range prefixes {
		group.Go(func() error {
			var err error
			snapshots[i], err = s.scan(ctx, prefix)
			return err
		})
	}
	return snapshots, group.Wait()
}

// scan reads a table until it succeeds or the session ends.
func (s *session) scan(ctx context.Context, prefix string) (storeapi.Snapshot, error) {
	for backoff := retryFirst; ; backoff = min(2*backoff, retryLongest) {
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

// watch follows the tables that others write.
func (s *session) watch(ctx context.Context, versions map[string]storeapi.RowVersion) {
	take := map[string]func([]storeapi.Row){
		scanInbox:   func(rows []storeapi.Row) { s.takeInbox(rows, nil) },
		scanWorkers: s.takeWorkers,
		scanEnds:    s.takeEnds,
	}
	settings := tablewatch.DefaultSettings()
	settings.RescanEvery = rescanEvery
	for _, prefix := range watched {
		input := func(rows []storeapi.Row) { s.inputs.Push(ctx, func() { take[prefix](rows) }) }
		settings.Gather = 0
		if prefix == scanWorkers {
			settings.Gather = gatherWorkers
		}
		table, _, _ := storeapi.SplitKey(prefix)
		watch := tablewatch.New(settings, s.store, table, prefix, tablewatch.Handler{
			Scanned: func(snapshot storeapi.Snapshot) { input(snapshot.Rows) },
			Changed: func(changes []storeapi.Change) { input(written(changes)) },
			Failed: func(err error) {
				s.log.Warn("store_read_failed", zap.String("table", table), logging.Err(err))
			},
		})
		if prefix == scanWorkers {
			s.workers = watch
		}
		go watch.Run(ctx, versions[prefix])
	}
}

// written returns the rows that were put. Only the scheduler itself deletes
// rows of the watched tables.
func written(changes []storeapi.Change) []storeapi.Row {
	var rows []storeapi.Row
	for _, change := range changes {
		if !change.Deleted {
			rows = append(rows, change.Row)
		}
	}
	return rows
}

func (s *session) malformed(row storeapi.Row, err error) {
	s.log.Error("row_malformed", zap.String("key", row.Key), logging.Err(err))
}

func (s *session) decodeProgress(snapshot storeapi.Snapshot) map[model.JobID]*workload.Progress {
	out := map[model.JobID]*workload.Progress{}
	for _, row := range snapshot.Rows {
		progress := &workload.Progress{}
		if err := rowcodec.Decode(row.Value, progress); err != nil {
			s.malformed(row, err)
			continue
		}
		out[model.JobID(strings.TrimPrefix(row.Key, workload.TableProgress+"/"))] = progress
	}
	return out
}

// takeInbox takes in jobs and cancellations. progress holds what is kept of
// jobs that began before this session.
func (s *session) takeInbox(rows []storeapi.Row, progress map[model.JobID]*workload.Progress) {
	for _, row := range rows {
		id, cancel, err := workload.ParseInboxKey(row.Key)
		switch {
		case err != nil:
			s.malformed(row, err)
		case cancel:
			s.core.CancelSeen(id)
		default:
			job := &workload.Job{}
			if err := rowcodec.Decode(row.Value, job); err != nil || job.ID != id || job.Check() != nil {
				s.malformed(row, err)
				continue
			}
			s.core.JobSeen(job, progress[id])
		}
	}
}

// takeRows takes in rows of any of the watched tables.
func (s *session) takeRows(rows []storeapi.Row) {
	for _, row := range rows {
		one := []storeapi.Row{row}
		switch table, _, _ := storeapi.SplitKey(row.Key); table {
		case workload.TableInbox:
			s.takeInbox(one, nil)
		case workload.TableWorkers:
			s.takeWorkers(one)
		case workload.TableEnds:
			s.takeEnds(one)
		default:
			s.malformed(row, errNotWatched)
		}
	}
}

// errNotWatched means that a pushed row is of a table that the scheduler does not follow.
var errNotWatched = errors.New("a table that the scheduler does not follow")

func (s *session) takeWorkers(rows []storeapi.Row) {
	for _, row := range rows {
		var announced workload.Announcement
		if err := rowcodec.Decode(row.Value, &announced); err != nil {
			s.malformed(row, err)
			continue
		}
		s.core.WorkerSeen(announced, row.Version)
	}
}

func (s *session) takeOrders(rows []storeapi.Row) {
	now, _ := s.now()
	for _, row := range rows {
		var order workload.Order
		if err := rowcodec.Decode(row.Value, &order); err != nil {
			s.malformed(row, err)
			continue
		}
		s.core.OrderSeen(now, order, row.Version)
	}
}

func (s *session) takeEnds(rows []storeapi.Row) {
	now, _ := s.now()
	for _, row := range rows {
		var end workload.End
		if err := rowcodec.Decode(row.Value, &end); err != nil {
			s.malformed(row, err)
			continue
		}
		s.core.EndSeen(now, row.Key, end)
	}
}
