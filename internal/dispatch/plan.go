package dispatch

import (
	"time"

	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// Bounds of a transaction. Load pattern: an urgent gang of dozens of tasks on a
// store that is sixty times slower, where each transaction more takes half a second.
const (
	// maxRows bounds its rows; the store allows 100 with the checks.
	maxRows = 96
	// maxBytes bounds what it puts; the store allows 1 MB as base64.
	maxBytes = 600 << 10
)

// BatchKind says how a batch is made.
type BatchKind string

// Kinds of batches.
const (
	// BatchMain batches write the scheduler's own rows under its fence. They are
	// refused only when the epoch has ended.
	BatchMain BatchKind = "main"
	// BatchWorkerLost voids the row of a worker that is gone, under a check of its
	// version. After it the worker reports no more ends; those that it reported
	// are taken in before Committed is called.
	BatchWorkerLost BatchKind = "void"
	// BatchInbox deletes a job from the inbox.
	BatchInbox BatchKind = "inbox"
	// BatchEnds deletes ends that were taken in. Nothing waits for it.
	BatchEnds BatchKind = "ends"
)

// Batch is one transaction that the scheduler asks for. For main batches the
// caller adds the fence of its epoch.
type Batch struct {
	Tx   storeapi.Transaction
	Kind BatchKind
	// Host is that of the worker, of batches about one.
	Host string

	orders []*order
	// putAt holds the index of each order's row among the puts.
	putAt []int
	job   *job
}

// Plan decides what to do now and returns the transactions, in the order in
// which they are to be made. Main batches are already part of the core's state.
func (c *Core) Plan(now Now) []*Batch {
	if c.beganMS == 0 {
		c.beganMS = now.StoreMS
	}
	c.stampEnded(now)
	c.stopStalled(now)
	orders := append(c.startTasks(now), c.stops()...)
	batches := c.writeBack(orders)
	batches = append(batches, c.lapse(now)...)
	batches = append(batches, c.dropEnds(now)...)
	return append(batches, c.collect(now)...)
}

// stampEnded notes when jobs ended, which their retention counts from.
func (c *Core) stampEnded(now Now) {
	for _, j := range c.jobs {
		if j.progress.State.Final() && j.progress.EndedMS == 0 {
			j.progress.EndedMS, j.dirty = now.StoreMS, true
			c.sick.JobEnded(j.ID)
		}
	}
}

// startTasks places what can start and returns the new orders.
func (c *Core) startTasks(now Now) []*order {
	r := c.newRoom(now)
	var out []*order
	for _, u := range c.units(now) {
		placed := r.place(u)
		if len(placed) > 0 {
			out = append(out, c.order(now, u, placed)...)
			r.ordered(u, placed)
		}
		switch {
		case u.rank.hopeless:
			// It is placed after all others, so what it claimed would go to them.
		case u.job.Priority == 0:
			r.claim(u, placed)
		default:
			r.holdFor(u, len(u.tasks)-len(placed))
		}
	}
	return out
}

// ordered notes that placed tasks of a unit were ordered.
func (r *room) ordered(u *unit, placed []placement) {
	r.countUrgent(u, len(placed))
	for _, p := range placed {
		delete(r.ending, p.worker)
	}
}

// order makes the orders for placed tasks of a unit.
func (c *Core) order(now Now, u *unit, placed []placement) []*order {
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
		out = append(out, c.orderTask(now, u, p, run))
	}
	return out
}

// orderTask makes the order for one task. gangRun is the run number that the
// members of a gang share, 0 for other tasks.
func (c *Core) orderTask(now Now, u *unit, p placement, gangRun int) *order {
	j := u.job
	ref := workload.TaskRef{Job: j.ID, Occurrence: u.occurrence, Step: u.step, Index: p.task}
	task := j.progress.Task(ref)
	task.LastRun = max(task.LastRun+1, gangRun)
	checkpoint := task.Checkpoint
	if u.gang() {
		checkpoint = j.progress.Task(gangTask(ref)).Checkpoint
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
	c.decide(Decision{Kind: "run_ordered", Job: j.ID, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: "waited", AgeMS: now.StoreMS - u.readyMS})
	return o
}

// stops returns the orders whose runs are to end and whose agents are not told yet.
func (c *Core) stops() []*order {
	var out []*order
	for _, j := range c.sortedJobs() {
		for _, o := range sortedOrders(j.orders) {
			if o.stopWanted && !o.Stop && o.version != 0 {
				o.Stop = true
				out = append(out, o)
				c.decide(Decision{Kind: "run_stop_ordered", Job: j.ID, Task: o.Task, Run: o.Run, Worker: o.Worker, Reason: o.stopReason, AgeMS: -1})
			}
		}
	}
	return out
}

// writeBack returns the batches that write changed progress and orders and
// delete what is needed no more, in this order.
func (c *Core) writeBack(orders []*order) []*Batch {
	w := batchWriter{}
	for _, j := range c.sortedJobs() {
		if j.dirty {
			w.put(workload.ProgressKey(j.ID), encode(j.progress))
			j.dirty = false
		}
	}
	for _, o := range orders {
		w.addOrder(o)
	}
	for _, key := range c.dropKeys {
		b := w.next(0)
		b.Tx.Deletes = append(b.Tx.Deletes, key)
	}
	c.dropKeys = nil
	return w.batches
}

// batchWriter spreads writes over main batches.
type batchWriter struct {
	batches []*Batch
	// bytes is the size of what the last batch puts.
	bytes int
}

// next returns the batch that takes one more row of some bytes.
func (w *batchWriter) next(bytes int) *Batch {
	if n := len(w.batches); n > 0 {
		last := w.batches[n-1]
		if len(last.Tx.Puts)+len(last.Tx.Deletes) < maxRows && w.bytes+bytes <= maxBytes {
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
	b.putAt = append(b.putAt, len(b.Tx.Puts)-1)
}

// dropEvery is how long ends that were taken in wait to be deleted, so that one
// transaction deletes several of a host. A successor takes them in once more.
const dropEvery = time.Second

// dropEnds returns the batches that delete ends, one for each host that
// reported some.
func (c *Core) dropEnds(now Now) []*Batch {
	if now.StoreMS-c.droppedMS < dropEvery.Milliseconds() {
		return nil
	}
	byPart := map[string]*Batch{}
	var out []*Batch
	for _, key := range c.endKeys {
		_, part, _ := storeapi.SplitKey(key)
		b := byPart[part]
		if b == nil || len(b.Tx.Deletes) >= maxRows {
			b = &Batch{Kind: BatchEnds}
			byPart[part] = b
			out = append(out, b)
		}
		b.Tx.Deletes = append(b.Tx.Deletes, key)
	}
	if len(out) > 0 {
		c.endKeys, c.droppedMS = nil, now.StoreMS
	}
	return out
}
