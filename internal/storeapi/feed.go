package storeapi

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHistoryGone means that the changes after a version are no longer kept:
// the reader reads the whole table again.
var ErrHistoryGone = errors.New("store history no longer available")

// Change is a row as it was last written, or one that was deleted.
type Change struct {
	Row
	Deleted bool
}

// Snapshot holds the rows of a table as of one version.
type Snapshot struct {
	Rows []Row
	// Version is the newest version of the store when the first row was read.
	// Changes after it may be in Rows already.
	Version RowVersion
}

// Changes holds what was written to a table after a version.
type Changes struct {
	Rows []Change
	// Version is the one after which the next read continues.
	Version RowVersion
}

// AllParts stands for every part of a table in the prefix of a scan.
const AllParts = "*"

// SplitKey divides a key into its table, part and the key inside the part.
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
// "TABLE/REST", or "TABLE@PART/REST" where a table has several parts. A
// transaction has rows of one part only; parts are written side by side.
type Feed interface {
	// Scan returns all rows whose key starts with the prefix, which names a
	// table and a part, or AllParts, and may go on. The rows of one part are as
	// of one moment each. It returns ErrUnavailable.
	Scan(ctx context.Context, prefix string) (Snapshot, error)
	// Changes waits up to wait for changes of a table after a version. It
	// returns ErrHistoryGone or ErrUnavailable.
	Changes(ctx context.Context, table string, after RowVersion, wait time.Duration) (Changes, error)
}

// Clock tells the store's own steady time.
type Clock interface {
	// StoreTime returns an upper bound of the store's present time in
	// milliseconds, and false before the first answer of the store.
	StoreTime(now time.Time) (ms int64, known bool)
}

// Store is a store with all that processes of a deployment need of it.
type Store interface {
	Table
	Feed
	Clock
}

// Conflict is the error of a transaction whose checks failed, with the rows
// that the checks named as they are now. It wraps ErrConflict.
type Conflict struct{ Rows []Row }

// Error implements error.
func (c *Conflict) Error() string { return ErrConflict.Error() }

// Unwrap makes errors.Is find ErrConflict.
func (c *Conflict) Unwrap() error { return ErrConflict }

// Find returns a row that a failed check named; version zero means that it
// does not exist.
func (c *Conflict) Find(key string) Row {
	for _, row := range c.Rows {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}
