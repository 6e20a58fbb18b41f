package dispatch

import (
	"maps"
	"slices"
	"time"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workload"
)

// The rows of the inbox, which entry hosts write and the owner deletes.
//
// Load pattern: the store carries a write out seconds after it was sent, when nobody
// waits for its answer any more. A submission may so be stored after its caller cancelled
// it, or after its job has ended and was deleted, and a deletion after the row was
// written again. Therefore
//   - a cancellation is a row of its own, which outlasts all submissions that were sent
//     before it, also of jobs that are not stored;
//   - a job's row is replaced by a cancellation, and never merely deleted;
//   - a row is deleted only at the version that was read.

// jobOfAccount identifies the jobs that a cancellation stops.
type jobOfAccount struct {
	id      model.JobID
	account model.ClientAccountID
}

// inbox holds the cancellations that are stored, and the rows that were deleted.
type inbox struct {
	// cancellations holds the rows that cancel jobs, by key, and cancelled their number
	// by the job that they cancel.
	cancellations map[string]*cancellation
	cancelled     map[jobOfAccount]int
	// deletedRows holds the rows that this owner deleted. A read that began before the
	// deletion may return them again.
	deletedRows map[string]deletedRow
	// batchesInFlight counts the batches of the inbox that are being committed. None is
	// begun before retryAtMS, after one of them failed.
	batchesInFlight int
	retryAtMS       int64
	// expiredAtMS is when expired cancellations were last deleted.
	expiredAtMS int64
}

// cancellation is the row of a cancellation.
type cancellation struct {
	target      jobOfAccount
	version     storeapi.RowVersion
	requestedMS int64
	deleting    bool
}

type deletedRow struct {
	version storeapi.RowVersion
	atMS    int64
}

func newInbox() inbox {
	return inbox{cancellations: map[string]*cancellation{}, cancelled: map[jobOfAccount]int{}, deletedRows: map[string]deletedRow{}}
}

// deleted reports whether this owner deleted a row at the version or a later one.
func (i *inbox) deleted(key string, version storeapi.RowVersion) bool {
	row, found := i.deletedRows[key]
	return found && version <= row.version
}

// addCancellation records the row of a cancellation. It returns false if the row is
// outdated.
func (i *inbox) addCancellation(key string, version storeapi.RowVersion, target jobOfAccount, requestedMS int64) bool {
	known := i.cancellations[key]
	if i.deleted(key, version) || (known != nil && version <= known.version) {
		return false
	}
	if known == nil {
		i.cancelled[target]++
	}
	i.cancellations[key] = &cancellation{target: target, version: version, requestedMS: requestedMS}
	return true
}

// remove forgets a cancellation whose row was deleted.
func (i *inbox) remove(key string) {
	c := i.cancellations[key]
	if c == nil {
		return
	}
	delete(i.cancellations, key)
	if i.cancelled[c.target]--; i.cancelled[c.target] == 0 {
		delete(i.cancelled, c.target)
	}
}

// beginBatch reports whether a batch may be committed now, and counts it.
func (i *inbox) beginBatch(now Now) bool {
	if i.batchesInFlight == maxInboxBatches || now.StoreMS < i.retryAtMS {
		return false
	}
	i.batchesInFlight++
	return true
}

// endBatch counts the end of a batch. failed is set if the store did not answer or
// refused it.
func (i *inbox) endBatch(now Now, failed bool) {
	i.batchesInFlight--
	if failed {
		i.retryAtMS = now.StoreMS + inboxRetryDelay.Milliseconds()
	}
}

// Limits of the deletion of inbox rows.
const (
	// maxInboxBatches bounds the batches that are committed at the same time. Load
	// pattern: hundreds of jobs that ended within a second expire together.
	maxInboxBatches = 16
	// maxCancellationsPerBatch leaves room for a check of each deleted row.
	maxCancellationsPerBatch = maxBatchRows / 2
	// cancellationDeletionInterval is the interval at which expired cancellations are
	// deleted, so that one transaction deletes several of a part.
	cancellationDeletionInterval = time.Second
	// inboxRetryDelay is the pause after a batch that was not committed. Nothing waits
	// for these rows to be deleted, so a failing store is spared.
	inboxRetryDelay = time.Second
	// deletedRowTTL is how long a deleted row is remembered; it is many times as long
	// as a read that began before the deletion can take.
	deletedRowTTL = time.Minute
)

// replaceExpiredJobs returns the batches that replace the inbox rows of jobs whose
// retention has passed and whose orders have ended. A job is deleted from the inbox
// before its progress, so that no later owner takes it for a new job.
func (c *Core) replaceExpiredJobs(now Now) []*Batch {
	var out []*Batch
	for _, j := range c.sortedJobs() {
		age := now.storeEarliestMS() - j.progress.EndedMS
		if !j.progress.State.Final() || len(j.orders) > 0 || j.progress.EndedMS == 0 || j.deletions > 0 || j.setAside || age < c.settings.Retention.Milliseconds() {
			continue
		}
		for _, key := range slices.Sorted(maps.Keys(j.inboxRows)) {
			if !c.inbox.beginBatch(now) {
				return out
			}
			j.deletions++
			row := workload.Cancellation{Account: j.Account, RequestedMS: now.StoreMS}
			out = append(out, &Batch{Kind: BatchInbox, job: j, Tx: storeapi.Transaction{
				Checks:  []storeapi.Check{{Key: key, Version: j.inboxRows[key]}},
				Puts:    []storeapi.Put{{Key: workload.CancelKeyBeside(key, j.ID, j.Account), Value: encode(&row)}},
				Deletes: []string{key},
			}})
		}
	}
	return out
}

// jobRowReplaced records that a BatchInbox was committed, with the version of the
// cancellation that it wrote.
func (c *Core) jobRowReplaced(now Now, b *Batch, version storeapi.RowVersion) {
	c.inbox.addCancellation(b.Tx.Puts[0].Key, version, jobOfAccount{b.job.ID, b.job.Account}, now.StoreMS)
	c.jobRowGone(now, b)
}

// jobRowNotReplaced records that a BatchInbox was not committed, or not by this attempt:
// after a conflict the row is gone, replaced by an attempt that got no answer.
func (c *Core) jobRowNotReplaced(now Now, b *Batch, conflict *storeapi.Conflict) {
	if conflict != nil && conflict.Find(b.Tx.Checks[0].Key).Version == 0 {
		c.jobRowGone(now, b)
		return
	}
	c.inbox.endBatch(now, conflict == nil)
	b.job.deletions--
}

// jobRowGone removes a job that has no more rows in the inbox.
func (c *Core) jobRowGone(now Now, b *Batch) {
	c.inbox.endBatch(now, false)
	b.job.deletions--
	row := b.Tx.Checks[0]
	c.inbox.deletedRows[row.Key] = deletedRow{row.Version, now.StoreMS}
	if b.job.inboxRows[row.Key] <= row.Version {
		delete(b.job.inboxRows, row.Key)
	}
	if len(b.job.inboxRows) == 0 {
		c.recordDecision(Decision{Kind: "job_deleted", Job: b.job.ID, Reason: "retention has passed", AgeMS: now.StoreMS - b.job.progress.EndedMS})
		delete(c.jobs, b.job.ID)
		c.ProgressOrphaned(workload.ProgressKey(b.job.ID))
	}
}

// ProgressOrphaned requests the deletion of a progress row whose job is not stored.
func (c *Core) ProgressOrphaned(key string) { c.obsoleteKeys = append(c.obsoleteKeys, key) }

// deleteExpiredCancellations returns the batches that delete the cancellations that no
// submission needs any more: their retention has passed and their job is not stored.
func (c *Core) deleteExpiredCancellations(now Now) []*Batch {
	if now.StoreMS-c.inbox.expiredAtMS < cancellationDeletionInterval.Milliseconds() {
		return nil
	}
	c.inbox.expiredAtMS = now.StoreMS
	maps.DeleteFunc(c.inbox.deletedRows, func(_ string, row deletedRow) bool { return now.StoreMS-row.atMS > deletedRowTTL.Milliseconds() })
	var expired []string
	for key, row := range c.inbox.cancellations {
		j := c.jobs[row.target.id]
		stored := j != nil && j.Account == row.target.account
		if !stored && !row.deleting && now.storeEarliestMS()-row.requestedMS >= workload.CancellationRetention.Milliseconds() {
			expired = append(expired, key)
		}
	}
	slices.Sort(expired)
	var out []*Batch
	lastPart := ""
	for _, key := range expired {
		_, part, _ := storeapi.SplitKey(key)
		if len(out) == 0 || part != lastPart || len(out[len(out)-1].Tx.Deletes) == maxCancellationsPerBatch {
			if !c.inbox.beginBatch(now) {
				return out
			}
			out, lastPart = append(out, &Batch{Kind: BatchCancellations}), part
		}
		row := c.inbox.cancellations[key]
		row.deleting = true
		tx := &out[len(out)-1].Tx
		tx.Checks = append(tx.Checks, storeapi.Check{Key: key, Version: row.version})
		tx.Deletes = append(tx.Deletes, key)
	}
	return out
}

// cancellationsDeleted records that a BatchCancellations was committed.
func (c *Core) cancellationsDeleted(now Now, b *Batch) {
	c.inbox.endBatch(now, false)
	for _, row := range b.Tx.Checks {
		c.inbox.deletedRows[row.Key] = deletedRow{row.Version, now.StoreMS}
		if known := c.inbox.cancellations[row.Key]; known != nil && known.version <= row.Version {
			c.recordDecision(Decision{Kind: "cancellation_expired", Job: known.target.id, Reason: "retention has passed", AgeMS: now.StoreMS - known.requestedMS})
			c.inbox.remove(row.Key)
		}
	}
}

// cancellationsNotDeleted records that a BatchCancellations was not committed. After a
// conflict, the rows that are gone were deleted by an attempt that got no answer, and
// others were written again.
func (c *Core) cancellationsNotDeleted(now Now, b *Batch, conflict *storeapi.Conflict) {
	c.inbox.endBatch(now, conflict == nil)
	for _, row := range b.Tx.Checks {
		known := c.inbox.cancellations[row.Key]
		if known == nil || known.version != row.Version {
			continue
		}
		known.deleting = false
		if conflict != nil && conflict.Find(row.Key).Version == 0 {
			c.inbox.remove(row.Key)
		}
	}
}
