package configstore

import (
	"time"

	"dragonflyyard/internal/model"
)

// backfill holds the changes that precede the snapshot from which a late joiner
// started. They are read page by page between polls, so that a conflict can be
// answered with the winning change and expired change rows can be deleted
// together with their ID rows.
type backfill struct {
	changes []model.ConfigChange
	// done is set when there are no more rows to read.
	done bool
}

// backfillRange returns the range of retained versions missing from the
// history; first > last when none is missing.
func (c *Core) backfillRange() (first, last model.ConfigVersion) {
	last = c.document.Version
	if len(c.history) > 0 {
		last = c.history[0].Version - 1
	}
	first = 1
	if retention := model.ConfigVersion(c.limits.Retention); c.document.Version > retention {
		first = c.document.Version - retention + 1
	}
	return first, last
}

// readBackfill requests the next page if the history is incomplete.
func (c *Core) readBackfill(now time.Time) []Action {
	first, last := c.backfillRange()
	if !c.ready || c.backfill.done || first > last || now.Before(c.nextBackfill) {
		return nil
	}
	c.nextBackfill = now.Add(c.limits.PollEvery)
	after := first - 1
	if count := len(c.backfill.changes); count > 0 {
		after = c.backfill.changes[count-1].Version
	}
	c.read = readState{step: readBackfill, call: c.newCall(), startedAt: now}
	return []Action{ListRows{
		Call:   c.read.call,
		Prefix: changePrefix,
		After:  ChangeKey(after),
		Limit:  c.limits.PageRows,
	}}
}

// onBackfill adds a page to the backfill. Rows at the start of the range may
// already have been deleted by retention; a later gap ends the backfill.
func (c *Core) onBackfill(in RowsListed) {
	c.read = readState{}
	_, last := c.backfillRange()
	added := false
	for _, row := range in.Rows {
		change, err := DecodeChange(row)
		if err != nil || change.Version > last {
			break
		}
		if count := len(c.backfill.changes); count > 0 && change.Version != c.backfill.changes[count-1].Version+1 {
			break
		}
		c.backfill.changes = append(c.backfill.changes, change)
		added = true
	}
	count := len(c.backfill.changes)
	switch {
	case count > 0 && c.backfill.changes[count-1].Version == last:
		c.history = append(c.backfill.changes, c.history...)
		c.backfill = backfill{done: true}
	case !added:
		c.backfill = backfill{done: true}
	}
}
