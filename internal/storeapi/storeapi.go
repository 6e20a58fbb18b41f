// Package storeapi defines the two platform services that hold all persistent
// state: a transactional table service and an object store. The interfaces are
// kept small so that fakes and stand-ins can implement them.
package storeapi

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of both services. Each error of a call wraps one of these.
var (
	// ErrUnavailable means that the service did not accept the call; nothing changed.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrInDoubt means that a write was sent but not answered, so it may have
	// taken effect. The caller reads the state back before it reports a result.
	ErrInDoubt = errors.New("platform write in doubt")
	// ErrRejected means that the service can never accept the write, for example since
	// a value is too large; nothing changed. The same write must not be repeated.
	ErrRejected = errors.New("platform write rejected")
	// ErrConflict means that a check of a transaction failed; nothing changed.
	ErrConflict = errors.New("platform transaction conflict")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("platform row or object not found")
)

// RowVersion is the version that the table service assigns to a row. Zero means
// that the row does not exist.
type RowVersion uint64

// Row is one row of the table service.
type Row struct {
	Key     string     `json:"key"`
	Value   []byte     `json:"value"`
	Version RowVersion `json:"version"`
}

// Check is a precondition of a transaction: the row has exactly this version.
type Check struct {
	Key     string     `json:"key"`
	Version RowVersion `json:"version"`
}

// Put is a write of one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transaction is a set of writes that is applied atomically, or not at all if
// any of its checks fails.
type Transaction struct {
	Checks  []Check  `json:"checks"`
	Puts    []Put    `json:"puts"`
	Deletes []string `json:"deletes"`
}

// Table is the platform's table service.
type Table interface {
	// Get returns one row, ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// List returns at most limit rows whose key starts with prefix and is
	// greater than after, in key order, or ErrUnavailable.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction. It returns the new version of each put row
	// in the order of tx.Puts, or ErrConflict, ErrUnavailable, ErrRejected or
	// ErrInDoubt.
	Commit(ctx context.Context, tx Transaction) ([]RowVersion, error)
}

// ObjectStore is the platform's store of large immutable values.
type ObjectStore interface {
	// PutObject stores a value under a key. It returns ErrUnavailable or ErrInDoubt.
	PutObject(ctx context.Context, key string, value []byte) error
	// GetObject returns a value, ErrNotFound or ErrUnavailable.
	GetObject(ctx context.Context, key string) ([]byte, error)
}
