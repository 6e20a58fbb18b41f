package configstore

import (
	"time"

	"dragonflyyard/internal/model"
)

// backfill is the part of the history before the snapshot that a late joiner
// took over. It is read page by page between the polls, so that a lost race is
// answered with the winner's change and old rows are retired with their IDs.
type backfill struct {
	changes []model.ConfigChange
	// done is set once there is nothing more to read.
	done bool
}

// backfillRange returns the versions that the history lacks; first is higher
// than last when it lacks none.
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

// readBackfill asks for the next page, when one is needed.
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

// onBackfill takes in a page. Rows at the beginning may have been retired; a
// gap later ends the backfill.
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
