package dispatch

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/rowcodec"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

func encode(value any) []byte { return rowcodec.Encode(value) }

// Committed records that a batch was committed. versions holds the row versions
// of its puts, in their order.
func (c *Core) Committed(now Now, b *Batch, versions []storeapi.RowVersion) {
	switch b.Kind {
	case BatchMain:
		for i, o := range b.orders {
			o.version = versions[b.putIndexes[i]]
		}
	case BatchWorkerLost:
		c.workerLost(now, b, versions[0])
	case BatchInbox:
		c.jobRowReplaced(now, b, versions[0])
	case BatchCancellations:
		c.cancellationsDeleted(now, b)
	}
}

// OrderRow is the row of an order, with the address at which the worker's agent
// takes pushed rows. The address is empty if it is not known.
type OrderRow struct {
	Address string
	Row     storeapi.Row
}

// OrderRows returns the rows of the orders that a batch wrote. The batch must be
// committed.
func (b *Batch) OrderRows() []OrderRow {
	out := make([]OrderRow, len(b.orders))
	for i, o := range b.orders {
		put := b.Tx.Puts[b.putIndexes[i]]
		out[i] = OrderRow{o.worker.Address, storeapi.Row{Key: put.Key, Value: put.Value, Version: o.version}}
	}
	return out
}

// NotCommitted records that a batch other than a BatchMain was refused, or that
// its outcome is unknown, with the error of its commit. A later plan makes it again
// if it is still needed.
func (c *Core) NotCommitted(now Now, b *Batch, err error) {
	var conflict *storeapi.Conflict
	errors.As(err, &conflict)
	switch b.Kind {
	case BatchWorkerLost:
		c.workers[b.Host].declaringLost = false
	case BatchInbox:
		c.jobRowNotReplaced(now, b, conflict)
	case BatchCancellations:
		c.cancellationsNotDeleted(now, b, conflict)
	}
}

// maxLostPerPlan bounds the workers that one plan declares lost. Load pattern: a
// tenth of hundreds of workers disappears at one moment, and wide gangs wait for
// the end of their runs on all of these.
const maxLostPerPlan = 40

// declareLost returns the batches that declare workers lost whose leases have
// certainly expired. They are independent of each other and may be committed
// concurrently.
func (c *Core) declareLost(now Now) []*Batch {
	if now.StoreMS-now.StoreHealthySinceMS < c.settings.StoreRecoveryGrace.Milliseconds() {
		return nil
	}
	var out []*Batch
	for _, w := range c.sortedWorkers() {
		if (w.State == workload.WorkerGone && len(w.orders) == 0) || w.declaringLost || w.version == 0 || !c.leaseExpired(now, w) {
			continue
		}
		w.declaringLost = true
		c.recordDecision(Decision{Kind: "worker_lapsing", Worker: w.Worker, Reason: "no announcement within the lease", AgeMS: now.storeEarliestMS() - w.SentMS})
		lost := w.Announcement
		lost.State, lost.Running = workload.WorkerGone, nil
		b := &Batch{Kind: BatchWorkerLost, Host: w.Host}
		key := workload.WorkerKey(w.Host)
		b.Tx.Checks = []storeapi.Check{{Key: key, Version: w.version}}
		b.Tx.Puts = []storeapi.Put{{Key: key, Value: encode(&lost)}}
		if out = append(out, b); len(out) == maxLostPerPlan {
			break
		}
	}
	return out
}

// leaseExpired reports whether a worker's lease has certainly expired since its
// last announcement.
func (c *Core) leaseExpired(now Now, w *worker) bool {
	longest := c.settings.LeaseExpiredAfter.Milliseconds()
	if w.MaxLeaseMS > 0 {
		longest = min(longest, w.MaxLeaseMS)
	}
	return now.storeEarliestMS()-w.SentMS > longest
}

// workerLost ends the runs of a worker that was declared lost. The ends that the
// worker reported before were already processed.
func (c *Core) workerLost(now Now, b *Batch, version storeapi.RowVersion) {
	w := c.workers[b.Host]
	w.declaringLost = false
	w.State, w.Running, w.version = workload.WorkerGone, nil, version
	for _, o := range sortedOrders(w.orders) {
		c.unlink(o)
		c.obsoleteKeys = append(c.obsoleteKeys, o.Key())
		end := workload.End{Task: o.Task, Run: o.Run, Kind: workload.EndLeaseExpired, Checkpoint: o.lastReport.Checkpoint}
		c.recordDecision(Decision{Kind: "run_ended", Job: o.job.ID, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: "worker lost", AgeMS: now.storeEarliestMS() - w.SentMS})
		c.applyEnd(now, o.job, o.id, end, nil)
	}
}

// pendingCounts holds the pending counts that were last written, and when.
type pendingCounts struct {
	byQueue   map[string]int
	writtenMS int64
}

// Pending is the row with the number of jobs of each queue of which no task has started,
// also if one was ordered.
type Pending struct {
	// AsOfMS is when the jobs were counted, at the earliest, on the store's clock.
	AsOfMS  int64          `codec:"t"`
	ByQueue map[string]int `codec:"q"`
	// Partial is set if queues with jobs are left out because the row has no room.
	Partial bool `codec:"p,omitempty"`
}

// pendingEntryBytes is the largest encoding of a queue's count, without its name.
const pendingEntryBytes = 12

// newPending returns the row of the counts. It leaves out queues that don't fit.
func newPending(asOfMS int64, counts map[string]int) *Pending {
	out := &Pending{AsOfMS: asOfMS, ByQueue: map[string]int{}}
	room := workload.MaxRowBytes - 2*pendingEntryBytes
	for _, queue := range slices.Sorted(maps.Keys(counts)) {
		if room -= len(queue) + pendingEntryBytes; room < 0 {
			out.Partial = true
			break
		}
		out.ByQueue[queue] = counts[queue]
	}
	return out
}

// pendingIntervalMS is the interval at which the counts are written; callers may
// get counts that are up to 2 s old.
const pendingIntervalMS = 800

// WithPending adds the pending counts to the batches of a plan when they are due.
func (c *Core) WithPending(now Now, batches []*Batch) []*Batch {
	if now.StoreMS-c.pending.writtenMS < pendingIntervalMS {
		return batches
	}
	counts := map[string]int{}
	for _, j := range c.jobs {
		if !j.begun && !j.progress.State.Final() {
			counts[j.Queue]++
		}
	}
	c.pending = pendingCounts{counts, now.StoreMS}
	put := storeapi.Put{Key: workload.KeyPending, Value: encode(newPending(now.storeEarliestMS(), counts))}
	batches, _ = addRow(batches, put, true)
	return batches
}
