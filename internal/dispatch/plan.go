package dispatch

import (
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// Bounds of a transaction of the store, which allows 100 entries and 1 MB.
const (
	maxPuts  = 60
	maxStops = 30
)

// Batch is one transaction that the scheduler asks for. The caller adds the
// fence of its epoch. A batch that is not Guarded is refused only when the
// epoch has ended.
type Batch struct {
	Tx storeapi.Transaction
	// Guarded batches check rows that agents write, too.
	Guarded bool

	orders []*order
	// putAt holds the index of each order's row among the puts.
	putAt  []int
	lapsed *worker
	dirty  []*job
	ends   []string
}

// Plan decides what to do now and returns the transactions, in the order in
// which they are to be made. Unguarded ones are already part of the core's
// state; guarded ones become so by Committed.
func (c *Core) Plan(now Now) []*Batch {
	c.stampEnded(now)
	c.stopStalled(now)
	orders := c.startTasks(now)
	batches := c.writeBack(orders)
	batches = append(batches, c.stops(now)...)
	if b := c.lapse(now); b != nil {
		batches = append(batches, b)
	}
	return append(batches, c.collect(now)...)
}

// stampEnded notes when jobs ended, which their retention counts from.
func (c *Core) stampEnded(now Now) {
	for _, j := range c.jobs {
		if j.progress.State.Final() && j.progress.EndedMS == 0 {
			j.progress.EndedMS, j.dirty = now.StoreMS, true
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
		}
		if u.job.Priority == 0 {
			c.claim(now, r, u, placed)
		} else if missing := len(u.tasks) - len(placed); missing > 0 && r.mayHold(u) {
			r.hold(u, missing)
		}
	}
	return out
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

// writeBack returns the batches that write changed progress, new orders and
// the deletion of ends, in this order.
func (c *Core) writeBack(orders []*order) []*Batch {
	w := batchWriter{}
	for _, j := range c.sortedJobs() {
		if j.dirty {
			w.progress(j)
			j.dirty = false
		}
	}
	for _, o := range orders {
		w.order(o)
	}
	for _, key := range c.endKeys {
		w.drop(key)
	}
	c.endKeys = nil
	return w.batches
}

// batchWriter spreads writes over batches.
type batchWriter struct{ batches []*Batch }

func (w *batchWriter) next() *Batch {
	if n := len(w.batches); n > 0 {
		last := w.batches[n-1]
		if len(last.Tx.Puts)+len(last.Tx.Deletes) < maxPuts {
			return last
		}
	}
	b := &Batch{}
	w.batches = append(w.batches, b)
	return b
}

func (w *batchWriter) progress(j *job) {
	b := w.next()
	b.Tx.Puts = append(b.Tx.Puts, storeapi.Put{Key: workload.ProgressKey(j.ID), Value: encode(j.progress)})
	b.dirty = append(b.dirty, j)
}

func (w *batchWriter) order(o *order) {
	b := w.next()
	b.addOrder(o)
}

func (b *Batch) addOrder(o *order) {
	b.orders = append(b.orders, o)
	b.putAt = append(b.putAt, len(b.Tx.Puts))
	b.Tx.Puts = append(b.Tx.Puts, storeapi.Put{Key: o.Key(), Value: encode(&o.Order)})
}

func (w *batchWriter) drop(key string) {
	b := w.next()
	b.Tx.Deletes = append(b.Tx.Deletes, key)
	b.ends = append(b.ends, key)
}

// stops returns the batches that ask agents to end runs. The order's row is
// checked, since the agent removes it when the run ends.
func (c *Core) stops(now Now) []*Batch {
	var out []*Batch
	var shared *Batch
	for _, j := range c.sortedJobs() {
		for _, o := range sortedOrders(j.orders) {
			if !o.stopWanted || o.Stop || o.version == 0 || now.StoreMS < o.retryMS {
				continue
			}
			b := &Batch{Guarded: true}
			if !o.alone {
				if shared == nil || len(shared.orders) >= maxStops {
					shared = b
					out = append(out, shared)
				}
				b = shared
			} else {
				out = append(out, b)
			}
			stopping := o.Order
			stopping.Stop = true
			b.Tx.Checks = append(b.Tx.Checks, storeapi.Check{Key: o.Key(), Version: o.version})
			b.orders = append(b.orders, o)
			b.putAt = append(b.putAt, len(b.Tx.Puts))
			b.Tx.Puts = append(b.Tx.Puts, storeapi.Put{Key: o.Key(), Value: encode(&stopping)})
		}
	}
	return out
}
