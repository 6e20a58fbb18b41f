package dispatch

import (
	"maps"
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

func encode(value any) []byte { return rowcodec.Encode(value) }

// Committed takes in that a batch took effect. versions are those of its puts.
func (c *Core) Committed(now Now, b *Batch, versions []storeapi.RowVersion) {
	switch b.Kind {
	case BatchMain:
		for i, o := range b.orders {
			o.version = versions[b.putAt[i]]
		}
	case BatchWorkerLost:
		c.voided(now, b, versions[0])
	case BatchInbox:
		if b.job.inboxLeft--; b.job.inboxLeft == 0 {
			delete(c.jobs, b.job.ID)
			delete(c.cancelled, b.job.ID)
			c.collected[b.job.ID] = now.StoreMS
			c.dropKeys = append(c.dropKeys, workload.ProgressKey(b.job.ID))
		}
	}
}

// OrderRow is the row of an order, with where the agent of its worker takes
// pushed rows; the address is empty when that is not known.
type OrderRow struct {
	Address string
	Row     storeapi.Row
}

// OrderRows returns the rows of the orders that a batch wrote, once it is
// committed.
func (b *Batch) OrderRows() []OrderRow {
	out := make([]OrderRow, len(b.orders))
	for i, o := range b.orders {
		put := b.Tx.Puts[b.putAt[i]]
		out[i] = OrderRow{o.worker.Address, storeapi.Row{Key: put.Key, Value: put.Value, Version: o.version}}
	}
	return out
}

// NotCommitted takes in that a batch of another kind than BatchMain took no effect,
// or that this is not known. It is decided anew.
func (c *Core) NotCommitted(b *Batch) {
	switch b.Kind {
	case BatchWorkerLost:
		c.workers[b.Host].lapsing = false
	case BatchInbox:
		b.job.collecting = false
	}
}

// maxLapses bounds the workers that are taken as gone at the same time. Load
// pattern: a tenth of hundreds of workers is taken away at one moment, and wide
// gangs wait for the end of their runs on all of these.
const maxLapses = 40

// lapse returns batches that take silent workers as gone, whose leases have ended
// for certain. They are made beside each other.
func (c *Core) lapse(now Now) []*Batch {
	if now.StoreMS-now.StoreHealthySinceMS < c.settings.StoreRecoveryGrace.Milliseconds() {
		return nil
	}
	var out []*Batch
	for _, w := range c.sortedWorkers() {
		if (w.State == workload.WorkerGone && len(w.orders) == 0) || w.lapsing || w.version == 0 || !c.silent(now, w) {
			continue
		}
		w.lapsing = true
		c.decide(Decision{Kind: "worker_lapsing", Worker: w.Worker, Reason: "no announcement", AgeMS: now.StoreMS - w.SentMS})
		gone := w.Announcement
		gone.State, gone.Running = workload.WorkerGone, nil
		b := &Batch{Kind: BatchWorkerLost, Host: w.Host}
		key := workload.WorkerKey(w.Host)
		b.Tx.Checks = []storeapi.Check{{Key: key, Version: w.version}}
		b.Tx.Puts = []storeapi.Put{{Key: key, Value: encode(&gone)}}
		if out = append(out, b); len(out) == maxLapses {
			break
		}
	}
	return out
}

// silent reports whether a worker's lease has ended since its last announcement.
func (c *Core) silent(now Now, w *worker) bool {
	longest := c.settings.LeaseExpiredAfter.Milliseconds()
	if w.MaxLeaseMS > 0 {
		longest = min(longest, w.MaxLeaseMS)
	}
	return now.StoreMS-w.SentMS > longest
}

// voided ends the runs of a worker that is gone. The ends that it reported
// before were taken in.
func (c *Core) voided(now Now, b *Batch, version storeapi.RowVersion) {
	w := c.workers[b.Host]
	w.lapsing = false
	w.State, w.Running, w.version = workload.WorkerGone, nil, version
	for _, o := range sortedOrders(w.orders) {
		c.unlink(o)
		c.dropKeys = append(c.dropKeys, o.Key())
		end := workload.End{Task: o.Task, Run: o.Run, Kind: workload.EndLeaseExpired, Checkpoint: o.report.Checkpoint}
		c.decide(Decision{Kind: "run_ended", Job: o.job.ID, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: "worker gone", AgeMS: now.StoreMS - w.SentMS})
		c.apply(now, o.job, o.id, end, nil)
	}
}

// collectedFor is how long a job is remembered whose rows were deleted, many
// times as long as a read from before the deletion may be under way.
const collectedFor = time.Minute

// collect returns the batches that delete jobs whose time to be asked for has
// passed. Their orders have ended. A job leaves the inbox before its progress
// goes, so that no successor takes it for a new one.
func (c *Core) collect(now Now) []*Batch {
	maps.DeleteFunc(c.collected, func(_ model.JobID, atMS int64) bool { return now.StoreMS-atMS > collectedFor.Milliseconds() })
	var out []*Batch
	for _, j := range c.sortedJobs() {
		kept := now.StoreMS - j.progress.EndedMS
		if !j.progress.State.Final() || len(j.orders) > 0 || j.progress.EndedMS == 0 || j.collecting || kept < c.settings.Retention.Milliseconds() {
			continue
		}
		jobs, cancels := workload.JobKeys(j.ID), workload.CancelKeys(j.ID)
		j.collecting, j.inboxLeft = true, len(jobs)
		for i := range jobs {
			out = append(out, &Batch{Kind: BatchInbox, job: j, Tx: storeapi.Transaction{Deletes: []string{jobs[i], cancels[i]}}})
		}
	}
	return out
}

// pendingCounts are the counts that were written last.
type pendingCounts struct {
	byQueue   map[string]int
	writtenMS int64
}

// Pending is the row of the counts of jobs that have not begun.
type Pending struct {
	// AsOfMS is when the counts were made, on the store's clock.
	AsOfMS  int64          `codec:"t"`
	ByQueue map[string]int `codec:"q"`
}

// pendingEveryMS is how often the counts are written while jobs wait; a caller
// may be told counts that are 2 s old.
const pendingEveryMS = 800

// WithPending adds the counts of waiting jobs to the batches of a plan when they
// are due: to the last main batch that has room, since each transaction more takes
// half a second on a slow store, or else in a batch of their own.
func (c *Core) WithPending(now Now, batches []*Batch) []*Batch {
	if now.StoreMS-c.pending.writtenMS < pendingEveryMS {
		return batches
	}
	counts := map[string]int{}
	for _, j := range c.jobs {
		if j.progress.State == workload.StateQueued {
			counts[j.Queue]++
		}
	}
	c.pending = pendingCounts{counts, now.StoreMS}
	put := storeapi.Put{Key: workload.KeyPending, Value: encode(&Pending{now.StoreMS, counts})}
	for _, b := range slices.Backward(batches) {
		if b.Kind == BatchMain && len(b.Tx.Puts)+len(b.Tx.Deletes) < maxRows {
			b.Tx.Puts = append(b.Tx.Puts, put)
			return batches
		}
	}
	return append(batches, &Batch{Kind: BatchMain, Tx: storeapi.Transaction{Puts: []storeapi.Put{put}}})
}
