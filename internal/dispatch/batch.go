package dispatch

import (
	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

func encode(value any) []byte { return rowcodec.Encode(value) }

// retryAfterMS is how long a refused stop waits for the end that refused it.
const retryAfterMS = 400

// Committed takes in that a batch took effect. versions are those of its puts.
func (c *Core) Committed(now Now, b *Batch, versions []storeapi.RowVersion) {
	for i, o := range b.orders {
		if b.lapsed != nil {
			break
		}
		o.version = versions[b.putAt[i]]
		if b.Guarded {
			o.Stop = true
			c.decide(Decision{Kind: "run_stop_ordered", Job: o.job.ID, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: o.stopReason, AgeMS: -1})
		}
	}
	if b.lapsed != nil {
		b.lapsed.version = versions[0]
		c.lapseCommitted(now, b)
	}
}

// Refused takes in that a guarded batch was refused because an agent had
// written one of its rows. The end that explains it arrives as an input.
func (c *Core) Refused(now Now, b *Batch) {
	for _, o := range b.orders {
		o.alone, o.retryMS = true, now.StoreMS+retryAfterMS
	}
	if b.lapsed != nil {
		c.lapsing = false
	}
}

// lapse returns the batch that takes the most silent worker as gone, once its
// lease has ended for certain: its announcement becomes void under a check of
// its version, and its orders are removed in the same transaction.
func (c *Core) lapse(now Now) *Batch {
	settled := now.StoreMS-now.StoreWellSinceMS >= c.settings.Settle.Milliseconds()
	if !settled || c.lapsing {
		return nil
	}
	for _, w := range c.sortedWorkers() {
		silent := now.StoreMS-w.SentMS > c.settings.LapseAfter.Milliseconds()
		if w.State == workload.WorkerGone && len(w.orders) == 0 || !silent {
			continue
		}
		if b := lapseBatch(w); b != nil {
			c.lapsing = true
			c.decide(Decision{Kind: "worker_lapsing", Worker: w.Worker, Reason: "no announcement", AgeMS: now.StoreMS - w.SentMS})
			return b
		}
	}
	return nil
}

// lapseBatch returns nil while an order of the worker is being written. A
// worker with more orders than a transaction holds loses them in several.
func lapseBatch(w *worker) *Batch {
	gone := w.Announcement
	gone.State, gone.Running = workload.WorkerGone, nil
	b := &Batch{Guarded: true, lapsed: w}
	key := workload.WorkerKey(w.Host)
	b.Tx.Checks = append(b.Tx.Checks, storeapi.Check{Key: key, Version: w.version})
	b.Tx.Puts = append(b.Tx.Puts, storeapi.Put{Key: key, Value: encode(&gone)})
	for _, o := range sortedOrders(w.orders) {
		if o.version == 0 {
			return nil
		}
		if len(b.orders) >= maxStops {
			break
		}
		b.orders = append(b.orders, o)
		b.Tx.Checks = append(b.Tx.Checks, storeapi.Check{Key: o.Key(), Version: o.version})
		b.Tx.Deletes = append(b.Tx.Deletes, o.Key())
	}
	return b
}

// lapseCommitted ends the runs of a worker that is gone.
func (c *Core) lapseCommitted(now Now, b *Batch) {
	c.lapsing = false
	w := b.lapsed
	w.State, w.Running = workload.WorkerGone, nil
	for _, o := range b.orders {
		c.unlink(o)
		end := workload.End{Task: o.Task, Run: o.Run, Kind: workload.EndLapsed, Checkpoint: o.report.Checkpoint}
		c.decide(Decision{Kind: "run_ended", Job: o.job.ID, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: "worker gone", AgeMS: now.StoreMS - w.SentMS})
		c.apply(now, o.job, o.id, end, nil)
	}
}

// collect returns the batches that delete jobs whose time to be asked for has
// passed. Their orders have ended.
func (c *Core) collect(now Now) []*Batch {
	var out []*Batch
	for _, j := range c.sortedJobs() {
		kept := now.StoreMS - j.progress.EndedMS
		if !j.progress.State.Final() || len(j.orders) > 0 || j.progress.EndedMS == 0 || kept < c.settings.Retention.Milliseconds() {
			continue
		}
		delete(c.jobs, j.ID)
		c.collected[j.ID] = true
		out = append(out, &Batch{Tx: storeapi.Transaction{Deletes: []string{
			workload.JobKey(j.ID), workload.CancelKey(j.ID), workload.ProgressKey(j.ID),
		}}})
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

// PlanPending returns the batch that writes the counts of waiting jobs, or nil.
func (c *Core) PlanPending(now Now) *Batch {
	counts := map[string]int{}
	for _, j := range c.jobs {
		if j.progress.State == workload.StateQueued {
			counts[j.Queue]++
		}
	}
	if now.StoreMS-c.pending.writtenMS < pendingEveryMS {
		return nil
	}
	c.pending = pendingCounts{counts, now.StoreMS}
	return &Batch{Tx: storeapi.Transaction{Puts: []storeapi.Put{
		{Key: workload.KeyPending, Value: encode(&Pending{now.StoreMS, counts})},
	}}}
}
