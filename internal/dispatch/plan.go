package dispatch

import (
	"fmt"
	"time"

	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// Limits of a transaction. Load pattern: an urgent gang of dozens of tasks on a
// store that is sixty times slower than usual, where each additional transaction
// takes half a second.
const (
	// maxBatchRows bounds the rows of a batch; the store allows 100, including
	// the checks.
	maxBatchRows = 96
	// maxBatchBytes bounds the size of the values that a batch puts; the store
	// allows 1 MB after base64 encoding.
	maxBatchBytes = 600 << 10
)

// BatchKind tells what a batch does and under which conditions it is committed.
type BatchKind string

// Kinds of batches.
const (
	// BatchMain writes the scheduler's own rows, fenced by its epoch. It is
	// refused only if the epoch has ended.
	BatchMain BatchKind = "main"
	// BatchWorkerLost declares a worker lost in its row, under a check of the
	// row's version. Once it is committed, the worker can report no more ends.
	// The ends that it reported before must be processed before Committed is
	// called.
	BatchWorkerLost BatchKind = "void"
	// BatchInbox replaces a row of a job in the inbox by a cancellation, under a check
	// of the row's version.
	BatchInbox BatchKind = "inbox"
	// BatchCancellations deletes cancellations, under a check of their versions.
	BatchCancellations BatchKind = "cancellations"
	// BatchEnds deletes the rows of processed ends. Nothing depends on it.
	BatchEnds BatchKind = "ends"
)

// Batch is one transaction that the scheduler requests. The caller adds the fence
// of its epoch to main batches.
type Batch struct {
	Tx   storeapi.Transaction
	Kind BatchKind
	// Host is the worker's host in a BatchWorkerLost, else empty.
	Host string

	orders []*order
	// putIndexes holds the index of each order's row among the puts.
	putIndexes []int
	job        *job
}

// Plan makes the decisions that are due and returns the transactions for them, in
// the order in which they are to be committed. The core's state already includes
// the effects of main batches.
func (c *Core) Plan(now Now) []*Batch {
	if c.firstPlanMS == 0 {
		c.firstPlanMS = now.StoreMS
	}
	c.recordEndTimes(now)
	c.updateSpeeds(now)
	c.stopStalled(now)
	orders := append(c.startTasks(now), c.stopOrders()...)
	batches := c.writeBack(orders)
	batches = append(batches, c.declareLost(now)...)
	batches = append(batches, c.deleteEnds(now)...)
	batches = append(batches, c.replaceExpiredJobs(now)...)
	return append(batches, c.deleteExpiredCancellations(now)...)
}

// recordEndTimes records when jobs ended; their retention starts then.
func (c *Core) recordEndTimes(now Now) {
	for _, j := range c.jobs {
		if j.progress.State.Final() && j.progress.EndedMS == 0 {
			j.progress.EndedMS, j.dirty = now.StoreMS, true
			c.quarantine.JobEnded(j.ID)
		}
	}
}

// startTasks places the tasks that can start and returns the new orders.
func (c *Core) startTasks(now Now) []*order {
	r := c.newRound(now)
	var out []*order
	units := c.units(now)
	r.countWideTasks(units)
	r.holdRoom(units)
	for _, u := range units {
		placed := r.placeUnit(u)
		if len(placed) > 0 {
			out = append(out, c.createOrders(now, u, placed)...)
			r.recordPlacements(u, placed)
		}
		switch {
		case u.rank.tooLate:
			// Nothing is preempted or reserved for the unit: it is placed after
			// all others, which would take the capacity of runs that are
			// preempted for it.
		case u.job.Priority == 0:
			r.preemptFor(u, placed)
		default:
			r.reserveIfAllowed(u, len(u.tasks)-len(placed))
		}
	}
	return out
}

// recordPlacements updates the round's state after tasks of a unit were ordered:
// the count of urgent tasks, and the cached expected ends on the chosen workers,
// which are discarded.
func (r *schedulingRound) recordPlacements(u *unit, placed []placement) {
	r.countUrgent(u, len(placed))
	u.job.forgetRoom(u.key(), placed)
	r.recordSeparation(u)
	for _, p := range placed {
		delete(r.endsByWorker, p.worker)
	}
}

// createOrders creates the orders for placed tasks of a unit.
func (c *Core) createOrders(now Now, u *unit, placed []placement) []*order {
	j := u.job
	if j.progress.State == workload.StateQueued {
		j.progress.State = workload.StateRunning
	}
	j.dirty = true
	run := 0
	tasks := j.progress.Occurrences[u.occurrence].Steps[u.step]
	if u.gang() {
		for i := range tasks {
			run = max(run, tasks[i].LastRun)
		}
		run++
	}
	out := make([]*order, 0, len(placed))
	for _, p := range placed {
		out = append(out, c.createOrder(now, u, p, run))
	}
	return out
}

// createOrder creates the order for one task. gangRun is the run number that the
// members of a gang share, 0 for other tasks.
func (c *Core) createOrder(now Now, u *unit, p placement, gangRun int) *order {
	j := u.job
	ref := workload.TaskRef{Job: j.ID, Occurrence: u.occurrence, Step: u.step, Index: p.task}
	task := j.progress.Task(ref)
	task.LastRun = max(task.LastRun+1, gangRun)
	checkpoint := task.Checkpoint
	if u.gang() {
		checkpoint = j.progress.Task(firstMember(ref)).Checkpoint
	}
	o := &order{
		Order: workload.Order{
			Task: ref.String(), Run: task.LastRun, Host: p.worker.Host, Worker: p.worker.Worker,
			Incarnation: p.worker.Incarnation, Spec: j.Spec, Checkpoint: checkpoint,
			StartByMS: now.StoreMS + c.settings.StartWithin.Milliseconds(),
		},
		id: workload.RunID{Task: ref, Run: task.LastRun}, job: j, worker: p.worker,
		demand: u.spec().PerTask, decidedMS: now.StoreMS,
	}
	c.link(o)
	c.recordDecision(Decision{Kind: "run_ordered", Job: j.ID, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: "waited", AgeMS: now.StoreMS - u.readyMS})
	return o
}

// stopOrders returns the orders with a stop request that is not yet written for
// the worker's agent.
func (c *Core) stopOrders() []*order {
	var out []*order
	for _, j := range c.sortedJobs() {
		for _, o := range sortedOrders(j.orders) {
			if o.stopRequested && !o.Stop && o.version != 0 {
				o.Stop = true
				out = append(out, o)
				c.recordDecision(Decision{Kind: "run_stop_ordered", Job: j.ID, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: o.stopReason, AgeMS: -1})
			}
		}
	}
	return out
}

// writeBack returns the batches that write changed progress and orders and then
// delete obsolete rows.
func (c *Core) writeBack(orders []*order) []*Batch {
	w := batchWriter{}
	for _, j := range c.sortedJobs() {
		if j.dirty && !j.setAside {
			w.put(workload.ProgressKey(j.ID), c.encodeProgress(j))
			j.dirty = false
		}
	}
	for _, o := range orders {
		w.addOrder(o)
	}
	for _, key := range c.obsoleteKeys {
		b := w.next(0)
		b.Tx.Deletes = append(b.Tx.Deletes, key)
	}
	c.obsoleteKeys = nil
	return w.batches
}

// encodeProgress encodes a job's progress. Checkpoints that don't fit into the row are
// dropped: the next runs of these tasks repeat the work.
func (c *Core) encodeProgress(j *job) []byte {
	j.progress.FoldDone()
	value := encode(j.progress)
	if len(value) <= workload.MaxRowBytes {
		return value
	}
	c.recordDecision(Decision{Kind: "checkpoints_dropped", Job: j.ID, Reason: fmt.Sprintf("the progress row takes %d bytes", len(value)), AgeMS: -1})
	j.progress.DropCheckpoints()
	return encode(j.progress)
}

// batchWriter distributes writes over main batches.
type batchWriter struct {
	batches []*Batch
	// bytes is the size of the values that the last batch puts.
	bytes int
}

// next returns the batch with space for one more row of the given size, a new one
// if the last batch is full.
func (w *batchWriter) next(bytes int) *Batch {
	if n := len(w.batches); n > 0 {
		last := w.batches[n-1]
		if len(last.Tx.Puts)+len(last.Tx.Deletes) < maxBatchRows && w.bytes+bytes <= maxBatchBytes {
			w.bytes += bytes
			return last
		}
	}
	b := &Batch{Kind: BatchMain}
	w.batches, w.bytes = append(w.batches, b), bytes
	return b
}

func (w *batchWriter) put(key string, value []byte) *Batch {
	b := w.next(len(value))
	b.Tx.Puts = append(b.Tx.Puts, storeapi.Put{Key: key, Value: value})
	return b
}

func (w *batchWriter) addOrder(o *order) {
	b := w.put(o.Key(), encode(&o.Order))
	b.orders = append(b.orders, o)
	b.putIndexes = append(b.putIndexes, len(b.Tx.Puts)-1)
}

// endDeletionInterval is the interval at which the rows of processed ends are
// deleted, so that one transaction deletes several of a host. A new owner
// processes the remaining ones again.
const endDeletionInterval = time.Second

// deleteEnds returns the batches that delete the rows of processed ends, at least
// one for each host that reported any.
func (c *Core) deleteEnds(now Now) []*Batch {
	if now.StoreMS-c.endsDeletedMS < endDeletionInterval.Milliseconds() {
		return nil
	}
	byPart := map[string]*Batch{}
	var out []*Batch
	for _, key := range c.processedEndKeys {
		_, part, _ := storeapi.SplitKey(key)
		b := byPart[part]
		if b == nil || len(b.Tx.Deletes) >= maxBatchRows {
			b = &Batch{Kind: BatchEnds}
			byPart[part] = b
			out = append(out, b)
		}
		b.Tx.Deletes = append(b.Tx.Deletes, key)
	}
	if len(out) > 0 {
		c.processedEndKeys, c.endsDeletedMS = nil, now.StoreMS
	}
	return out
}
