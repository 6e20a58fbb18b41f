package jobprotocol

import (
	"strings"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/dispatch"
	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// owner is a session of the scheduler under one epoch.
type owner struct {
	world *world
	core  *dispatch.Core
	fence storeapi.RowVersion
	// sinceMS is since when the session reads the store.
	sinceMS int64
	deposed bool
}

// scans are the tables that a session reads when it begins.
type scans struct{ progress, inbox, workers, orders, ends []storeapi.Row }

// takeOver begins a session. between happens after the tables in first were
// read and before the others are.
func takeOver(w *world, first map[string]bool, between func()) *owner {
	settings := dispatch.DefaultSettings()
	if w.variant.lapseAfter != 0 {
		settings.LeaseExpiredAfter = w.variant.lapseAfter
	}
	o := &owner{world: w, core: dispatch.New(settings), sinceMS: w.nowMS}
	o.fence = w.get(workload.KeyFence).Version
	o.commit(storeapi.Transaction{})
	var s scans
	read := func(when bool) {
		for name, scan := range map[string]func(){
			"progress": func() { s.progress = w.scan(workload.TableProgress + "/").Rows },
			"inbox":    func() { s.inbox = w.scan(workload.TableInbox + "@" + storeapi.AllParts + "/").Rows },
			"workers":  func() { s.workers = w.workerRows() },
			"ends":     func() { s.ends = w.endRows() },
			"orders": func() {
				for _, table := range workload.OrderTables() {
					s.orders = append(s.orders, w.scan(table+"/").Rows...)
				}
			},
		} {
			if first[name] == when {
				scan()
			}
		}
	}
	read(true)
	between()
	read(false)
	o.take(s)
	return o
}

func (o *owner) take(s scans) {
	progress := map[model.JobID]*workload.Progress{}
	for _, row := range s.progress {
		p := &workload.Progress{}
		o.world.decode(row, p)
		progress[model.JobID(strings.TrimPrefix(row.Key, workload.TableProgress+"/"))] = p
	}
	o.takeInbox(s.inbox, progress)
	o.takeWorkers(s.workers)
	for _, row := range s.orders {
		order, _ := o.world.decodeOrder(row)
		o.core.OrderSeen(o.now(), order, row.Version)
	}
	o.takeEnds(s.ends)
}

func (o *owner) takeInbox(rows []storeapi.Row, progress map[model.JobID]*workload.Progress) {
	for _, row := range rows {
		id, cancel, err := workload.ParseInboxKey(row.Key)
		switch {
		case err != nil:
			o.world.t.Fatal(err)
		case cancel:
			o.core.CancelSeen(id)
		default:
			job := &workload.Job{}
			o.world.decode(row, job)
			o.core.JobSeen(job, progress[id])
		}
	}
}

func (o *owner) takeWorkers(rows []storeapi.Row) {
	for _, row := range rows {
		var announced workload.Announcement
		o.world.decode(row, &announced)
		o.core.WorkerSeen(announced, row.Version)
	}
}

func (o *owner) takeEnds(rows []storeapi.Row) {
	for _, row := range rows {
		var end workload.End
		o.world.decode(row, &end)
		o.core.EndSeen(o.now(), row.Key, end)
	}
}

func (o *owner) now() dispatch.Now {
	return dispatch.Now{StoreMS: o.world.nowMS, UnixMS: o.world.nowMS, StoreHealthySinceMS: o.sinceMS}
}

// round reads the ends that were reported and acts.
func (o *owner) round(batches int) int {
	o.takeEnds(o.world.endRows())
	return o.act(batches)
}

// act reads the other tables, plans, and makes at most batches of the
// transactions. It returns how many there were.
func (o *owner) act(batches int) int {
	o.takeInbox(o.world.scan(workload.TableInbox+"@"+storeapi.AllParts+"/").Rows, nil)
	o.takeWorkers(o.world.workerRows())
	plan := o.core.Plan(o.now())
	o.core.Decisions()
	for i, batch := range plan {
		if i >= batches || o.deposed {
			break
		}
		o.make(batch)
	}
	o.world.pass(roundMS)
	return len(plan)
}

func (o *owner) make(batch *dispatch.Batch) {
	switch batch.Kind {
	case dispatch.BatchMain:
		version, ok := o.commit(batch.Tx)
		if !ok {
			return
		}
		versions := make([]storeapi.RowVersion, len(batch.Tx.Puts))
		for i := range versions {
			versions[i] = version
		}
		o.core.Committed(o.now(), batch, versions)
	case dispatch.BatchEnds:
		if _, err := o.world.commit(batch.Tx); err != nil {
			o.world.t.Fatal(err)
		}
	default:
		versions, err := o.world.commit(batch.Tx)
		if err != nil {
			o.core.NotCommitted(batch)
			return
		}
		if batch.Kind == dispatch.BatchWorkerLost && !o.world.variant.voidsWithoutEnds {
			o.takeEnds(o.world.scan(workload.EndsPrefix(batch.Host)).Rows)
		}
		o.core.Committed(o.now(), batch, versions)
	}
}

// commit makes a transaction under the fence. A refusal ends the epoch.
func (o *owner) commit(tx storeapi.Transaction) (storeapi.RowVersion, bool) {
	if o.world.variant.withoutFence {
		o.fence = o.world.get(workload.KeyFence).Version
	}
	tx.Checks = append(tx.Checks, storeapi.Check{Key: workload.KeyFence, Version: o.fence})
	tx.Puts = append(tx.Puts, storeapi.Put{Key: workload.KeyFence, Value: []byte("fence")})
	versions, err := o.world.commit(tx)
	switch {
	case err == nil:
		o.fence = versions[len(versions)-1]
		return o.fence, true
	case errors.Is(err, storeapi.ErrConflict):
		o.deposed = true
	default:
		o.world.t.Fatal(err)
	}
	return 0, false
}
