package jobagent

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dragonflyyard/internal/logging"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/taskrunner"
	"dragonflyyard/internal/workload"
)

// rowRetryDelay is the delay between two attempts to read the worker's row at
// startup.
const rowRetryDelay = 150 * time.Millisecond

// loadRow reads the worker's row as an earlier process of this agent announced it,
// retrying until it succeeds or ctx is done.
func (a *Agent) loadRow(ctx context.Context) {
	for ctx.Err() == nil {
		row, err := a.store.Get(ctx, workload.WorkerKey(a.host))
		var announced workload.Announcement
		if err == nil {
			announced, err = a.decodeWorker(row)
		}
		if err == nil || errors.Is(err, storeapi.ErrNotFound) {
			a.enqueue(ctx, func(time.Time) { a.core.RowLoaded(announced, row.Version) })
			return
		}
		a.log.Warn("store_read_failed", zap.String("table", workload.TableWorkers), logging.Err(err))
		select {
		case <-ctx.Done():
		case <-time.After(rowRetryDelay):
		}
	}
}

// decodeWorker decodes the worker's row; version 0 means that there is none. A
// malformed row counts as that of a gone worker, from which the core restores
// nothing at startup: this agent is its only writer besides the scheduler.
func (a *Agent) decodeWorker(row storeapi.Row) (workload.Announcement, error) {
	var announced workload.Announcement
	if row.Version == 0 {
		return announced, nil
	}
	err := rowcodec.Decode(row.Value, &announced)
	if err == nil {
		err = announced.Check(row.Key)
	}
	if err != nil {
		a.log.Error("row_malformed", zap.String("key", row.Key), logging.Err(err))
		return workload.Announcement{State: workload.WorkerGone}, nil
	}
	return announced, nil
}

// announce writes the worker's row and the ends of runs in one transaction, and
// queues the result.
func (a *Agent) announce(ctx context.Context, action taskrunner.Announce) {
	key := workload.WorkerKey(a.host)
	action.Row.Address = a.address
	tx := storeapi.Transaction{
		Checks: []storeapi.Check{{Key: key, Version: action.Version}},
		Puts:   []storeapi.Put{{Key: key, Value: rowcodec.Encode(&action.Row)}},
	}
	for i := range action.Ends {
		end := &action.Ends[i]
		endKey := workload.EndKey(a.host, end.ID)
		tx.Checks = append(tx.Checks, storeapi.Check{Key: endKey})
		tx.Puts = append(tx.Puts, storeapi.Put{Key: endKey, Value: rowcodec.Encode(&end.End)})
	}
	versions, err := a.store.Commit(ctx, tx)
	var version storeapi.RowVersion
	var stored taskrunner.AnnouncementConflict
	var conflict *storeapi.Conflict
	switch {
	case err == nil:
		version = versions[0]
		a.endsCommitted.Inc(int64(len(action.Ends)))
		a.pushEnds(tx.Puts, versions)
	case errors.As(err, &conflict):
		stored = a.announcementConflict(conflict, key, action.Ends)
	default:
		a.log.Warn("announcement_failed", zap.Int("ends", len(action.Ends)), logging.Err(err))
	}
	a.enqueue(ctx, func(now time.Time) {
		a.core.Announced(now, action, storeapi.ResultOf(err), version, stored)
	})
}

// pushEnds pushes an announcement that has ends to the scheduler. Announcements
// without ends reach the scheduler through its feed only.
func (a *Agent) pushEnds(puts []storeapi.Put, versions []storeapi.RowVersion) {
	scheduler, known := a.schedulerAddress.Load().(string)
	if !known || len(puts) < 2 {
		return
	}
	rows := make([]storeapi.Row, len(puts))
	for i, put := range puts {
		rows[i] = storeapi.Row{Key: put.Key, Value: put.Value, Version: versions[i]}
	}
	a.push.Push(scheduler, rows)
}

// announcementConflict returns the stored rows that caused the refusal of an
// announcement.
func (a *Agent) announcementConflict(conflict *storeapi.Conflict, key string, ends []taskrunner.PendingEnd) taskrunner.AnnouncementConflict {
	row := conflict.Find(key)
	stored := taskrunner.AnnouncementConflict{Version: row.Version}
	stored.Row, _ = a.decodeWorker(row)
	for _, end := range ends {
		if conflict.Find(workload.EndKey(a.host, end.ID)).Version != 0 {
			stored.Reported = append(stored.Reported, end)
		}
	}
	return stored
}

// reportEnds writes ends to the scheduler's own part of the store and queues the
// result. The core requests it while announcements fail.
func (a *Agent) reportEnds(ctx context.Context, action taskrunner.ReportEnds) {
	tx := storeapi.Transaction{}
	for i := range action.Ends {
		end := &action.Ends[i]
		key := workload.SharedEndKey(end.ID)
		tx.Checks = append(tx.Checks, storeapi.Check{Key: end.OrderKey, Version: end.OrderVersion}, storeapi.Check{Key: key})
		tx.Puts = append(tx.Puts, storeapi.Put{Key: key, Value: rowcodec.Encode(&end.End)})
	}
	_, err := a.store.Commit(ctx, tx)
	var reported []taskrunner.PendingEnd
	orders := map[workload.RunID]taskrunner.StoredOrder{}
	var conflict *storeapi.Conflict
	switch {
	case err == nil:
		a.endsCommitted.Inc(int64(len(action.Ends)))
	case errors.As(err, &conflict):
		reported, orders = a.reportConflict(conflict, action.Ends)
	default:
		a.log.Warn("ends_not_reported", zap.Int("ends", len(action.Ends)), logging.Err(err))
	}
	a.enqueue(ctx, func(now time.Time) {
		a.core.EndsReported(now, action, storeapi.ResultOf(err), reported, orders)
	})
}

// reportConflict returns, from the rows that caused the refusal of a report, the
// ends that had been reported before and the orders that still exist.
func (a *Agent) reportConflict(conflict *storeapi.Conflict, ends []taskrunner.PendingEnd) ([]taskrunner.PendingEnd, map[workload.RunID]taskrunner.StoredOrder) {
	var reported []taskrunner.PendingEnd
	orders := map[workload.RunID]taskrunner.StoredOrder{}
	for _, end := range ends {
		if conflict.Find(workload.SharedEndKey(end.ID)).Version != 0 {
			reported = append(reported, end)
		}
		row := conflict.Find(end.OrderKey)
		if row.Version == 0 {
			continue
		}
		if order, id, ok := a.decodeOrder(row); ok {
			orders[id] = taskrunner.StoredOrder{Order: order, Version: row.Version}
		}
	}
	return reported, orders
}

func (a *Agent) decodeOrder(row storeapi.Row) (workload.Order, workload.RunID, bool) {
	var order workload.Order
	err := rowcodec.Decode(row.Value, &order)
	if err != nil {
		a.log.Error("row_malformed", zap.String("key", row.Key), logging.Err(err))
		return order, workload.RunID{}, false
	}
	id, err := order.ID()
	if err != nil {
		a.log.Error("row_malformed", zap.String("key", row.Key), logging.Err(err))
	}
	return order, id, err == nil
}

// ordersScanned passes a scan of all orders of this host to the core. maybeSent is
// set if an earlier process of this agent may have carried the orders out.
func (a *Agent) ordersScanned(s storeapi.Snapshot, maybeSent bool) {
	present := map[workload.RunID]bool{}
	for _, row := range s.Rows {
		if order, id, ok := a.decodeOrder(row); ok {
			present[id] = true
			a.core.OrderSeen(order, row.Version, maybeSent)
		}
	}
	a.core.OrdersLoaded(present, s.Version)
}

// ordersChanged passes changes of the orders table to the core. The table also
// holds the orders of other hosts, which are skipped.
func (a *Agent) ordersChanged(changes []storeapi.Change, prefix string) {
	for _, change := range changes {
		rest, mine := strings.CutPrefix(change.Key, prefix)
		if !mine {
			continue
		}
		if !change.Deleted {
			if order, _, ok := a.decodeOrder(change.Row); ok {
				a.core.OrderSeen(order, change.Version, false)
			}
			continue
		}
		id, err := workload.ParseRunID(rest)
		if err != nil {
			a.log.Error("row_malformed", zap.String("key", change.Key), logging.Err(err))
			continue
		}
		a.core.OrderRemoved(id, change.Version)
	}
	if n := len(changes); n > 0 {
		a.core.OrdersCaughtUp(changes[n-1].Version)
	}
}
