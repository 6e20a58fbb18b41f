package storeapi

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHistoryGone means that the changes after a version are no longer
// stored. The reader has to scan the whole table again.
var ErrHistoryGone = errors.New("store history no longer available")

// Change is the latest state of a changed row. Deleted is true if the row was deleted.
type Change struct {
	Row
	Deleted bool
}

// Snapshot holds the rows of a table that a scan read.
type Snapshot struct {
	Rows []Row
	// Version is the newest version of the store when the first row was read.
	// Rows may already contain later changes.
	Version RowVersion
}

// Changes holds the rows of a table that changed after a version.
type Changes struct {
	Rows []Change
	// Version is the version to continue after in the next call.
	Version RowVersion
}

// AllParts in place of a part in a scan prefix selects every part of the table.
const AllParts = "*"

// SplitKey splits a key into its table, its part and the key within the part. The
// part is empty if the key names none.
func SplitKey(key string) (table, part, rest string) {
	table, rest, _ = strings.Cut(key, "/")
	table, part, _ = strings.Cut(table, "@")
	return table, part, rest
}

// JoinKey is the inverse of SplitKey.
func JoinKey(table, part, rest string) string {
	if part != "" {
		table += "@" + part
	}
	return table + "/" + rest
}

// Feed reads tables of a store that keeps a history of changes. Keys are
// "TABLE/REST", or "TABLE@PART/REST" if a table has several parts. A
// transaction contains rows of one part only; parts are written concurrently.
type Feed interface {
	// Scan returns all rows whose key starts with prefix. The prefix names a
	// table and a part, or AllParts, and may continue with the start of a key.
	// The rows of each part are as of one point in time, which may differ
	// between parts. It returns ErrUnavailable.
	Scan(ctx context.Context, prefix string) (Snapshot, error)
	// Changes returns the changes of a table after a version. It waits up to
	// wait for changes. It returns ErrHistoryGone or ErrUnavailable.
	Changes(ctx context.Context, table string, after RowVersion, wait time.Duration) (Changes, error)
}

// TimeBounds are bounds of a time on the store's own monotonic clock, in
// milliseconds.
type TimeBounds struct{ EarliestMS, LatestMS int64 }

// Clock provides the time of the store's own monotonic clock.
type Clock interface {
	// StoreTime returns bounds of the store's present time, and false before the
	// store's first answer.
	StoreTime() (now TimeBounds, known bool)
}

// Store combines the store interfaces that the processes of a deployment use.
type Store interface {
	Table
	Feed
	Clock
}

// Conflict is the error of a transaction whose checks failed. Rows holds the
// current state of the rows that the checks name. It wraps ErrConflict.
type Conflict struct{ Rows []Row }

// Error implements error.
func (c *Conflict) Error() string { return ErrConflict.Error() }

// Unwrap lets errors.Is match ErrConflict.
func (c *Conflict) Unwrap() error { return ErrConflict }

// Find returns the current state of a row that a failed check names. Version zero
// means that the row does not exist.
func (c *Conflict) Find(key string) Row {
	for _, row := range c.Rows {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}
