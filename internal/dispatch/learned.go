package dispatch

import (
	"bytes"

	"dragonflyyard/internal/fairshare"
	"dragonflyyard/internal/interference"
	"dragonflyyard/internal/storeapi"
	"dragonflyyard/internal/workerspeed"
	"dragonflyyard/internal/workload"
)

// Learned is the row of what the scheduler has learned from runs. A successor loads
// it, so that it places work as its predecessor did. Without the row it learns anew.
type Learned struct {
	// AsOfMS is when the row was made, on the store's clock.
	AsOfMS int64 `codec:"t"`
	// Shares is what accounts have used lately.
	Shares []fairshare.Recent `codec:"f,omitempty"`
	// Speeds holds the speeds of the workers where these differ.
	Speeds *workerspeed.State `codec:"s,omitempty"`
	// Distrust holds the workers on which tasks failed or stalled.
	Distrust *Distrust `codec:"d,omitempty"`
	// Interference is the evidence on tasks that slow each other down.
	Interference interference.State `codec:"i,omitempty"`
}

// learnedRow is the state of the row of Learned.
type learnedRow struct {
	// speeds and shares are the parts about them, made at gradualMS.
	speeds    *workerspeed.State
	shares    []fairshare.Recent
	gradualMS int64
	// written is the last encoding without its time, and writtenMS when it was put.
	written   []byte
	writtenMS int64
	// comparedMS is when the row was last compared with what was written.
	comparedMS int64
}

const (
	// learnedIntervalMS is the shortest interval between two writes of the row; what
	// is learned in between is lost with the owner.
	learnedIntervalMS = 2000
	// learnedCompareIntervalMS is the shortest interval between two comparisons with what
	// was written.
	learnedCompareIntervalMS = 250
	// learnedPatienceMS is how long a changed row waits for a batch that has room for
	// it, before it takes a transaction of its own.
	learnedPatienceMS = 8000
	// learnedGradualIntervalMS is the interval at which speeds and shares are taken into
	// the row: they change a little with each run.
	learnedGradualIntervalMS = 5000
)

// LearnedSeen takes over what a previous owner has learned. It is called after the
// workers and jobs were loaded, and before the first plan.
func (c *Core) LearnedSeen(now Now, row Learned) {
	// A time to come, by a wrong clock or another writer, would keep shares from decaying.
	c.shares.ledger.Restore(min(row.AsOfMS, now.StoreMS), row.Shares)
	c.restoreDisturbances(now, row.Interference)
	if row.Speeds != nil && c.settings.LearnSpeeds {
		c.speeds.Restore(now.StoreMS, row.AsOfMS, *row.Speeds)
	}
	if row.Distrust != nil && c.settings.LearnSpeeds {
		c.restoreDistrust(now, row.Distrust)
	}
}

// learned returns what is to be stored.
func (c *Core) learned(now Now) *Learned {
	l := &c.learnedRow
	if now.StoreMS-l.gradualMS >= learnedGradualIntervalMS {
		l.speeds, l.shares, l.gradualMS = c.speeds.State(), c.learnedShares(), now.StoreMS
	}
	out := &Learned{Shares: l.shares, Speeds: l.speeds, Interference: c.disturbances.toStore(now)}
	if c.settings.LearnSpeeds {
		out.Distrust = c.distrust(now)
	}
	return out
}

// WithLearned adds the row of Learned to the batches of a plan when it has changed.
func (c *Core) WithLearned(now Now, batches []*Batch) []*Batch {
	l := &c.learnedRow
	if now.StoreMS-l.writtenMS < learnedIntervalMS || now.StoreMS-l.comparedMS < learnedCompareIntervalMS {
		return batches
	}
	l.comparedMS = now.StoreMS
	row := c.learned(now)
	if unchanged := encode(row); bytes.Equal(unchanged, c.learnedRow.written) {
		return batches
	}
	mayOpen := now.StoreMS-c.learnedRow.writtenMS >= learnedPatienceMS
	stamped := *row
	stamped.AsOfMS = now.StoreMS
	value := encode(&stamped)
	if len(value) > workload.MaxRowBytes {
		return batches
	}
	batches, added := addRow(batches, storeapi.Put{Key: workload.KeyLearned, Value: value}, mayOpen)
	if added {
		c.learnedRow.written, c.learnedRow.writtenMS = encode(row), now.StoreMS
	}
	return batches
}

// addRow adds a row to the last main batch with space for it, since each additional
// transaction takes half a second on a slow store. If there is none, it appends a
// batch if it may.
func addRow(batches []*Batch, put storeapi.Put, mayAppend bool) (out []*Batch, added bool) {
	for i := len(batches) - 1; i >= 0; i-- {
		if b := batches[i]; b.Kind == BatchMain && len(b.Tx.Puts)+len(b.Tx.Deletes) < maxBatchRows {
			b.Tx.Puts = append(b.Tx.Puts, put)
			return batches, true
		}
	}
	if !mayAppend {
		return batches, false
	}
	return append(batches, &Batch{Kind: BatchMain, Tx: storeapi.Transaction{Puts: []storeapi.Put{put}}}), true
}
