// Package storerelay lets a process whose calls the store refuses, or that is
// partitioned from it, reach the store through an entry host that has access. Writes
// are conditional, or do no harm when they are repeated or carried out late, so calls
// may switch between the direct and the relayed path at any time.
//
// Load pattern: a third of the machines, or one, lose access to the store for
// seconds; or the store is down for all, when a relay must not add calls.
package storerelay

import (
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/storeapi"
)

// Paths of the relay's calls.
const (
	pathGet     = "/store/get"
	pathList    = "/store/list"
	pathScan    = "/store/scan"
	pathChanges = "/store/changes"
	pathCommit  = "/store/commit"
)

// request is the body of all calls; each call uses the fields that it needs.
type request struct {
	// Key is a row's key, a prefix or a table's name.
	Key    string               `codec:"k,omitempty"`
	After  string               `codec:"a,omitempty"`
	Limit  int                  `codec:"l,omitempty"`
	From   storeapi.RowVersion  `codec:"f,omitempty"`
	WaitMS int64                `codec:"w,omitempty"`
	Tx     storeapi.Transaction `codec:"t"`
}

// partKey returns a key that identifies the part the call accesses.
func (r *request) partKey() string {
	switch {
	case r.Key != "":
		return r.Key
	case len(r.Tx.Puts) > 0:
		return r.Tx.Puts[0].Key
	case len(r.Tx.Deletes) > 0:
		return r.Tx.Deletes[0]
	case len(r.Tx.Checks) > 0:
		return r.Tx.Checks[0].Key
	default:
		return ""
	}
}

// resultHistoryGone extends the results of package storeapi.
const resultHistoryGone storeapi.Result = "history_gone"

// response is the body of all responses.
type response struct {
	Result   storeapi.Result       `codec:"r"`
	Detail   string                `codec:"d,omitempty"`
	Rows     []storeapi.Row        `codec:"w,omitempty"`
	Changes  []storeapi.Change     `codec:"c,omitempty"`
	Version  storeapi.RowVersion   `codec:"v,omitempty"`
	Versions []storeapi.RowVersion `codec:"s,omitempty"`
	// StoreMS is the relay's upper bound of the store's time in milliseconds at the
	// response, and StoreEarliestMS its lower bound; 0 if unknown.
	StoreMS         int64 `codec:"m,omitempty"`
	StoreEarliestMS int64 `codec:"e,omitempty"`
}

// errorResponse encodes an error of a store call as a response.
func errorResponse(err error) response {
	var conflict *storeapi.Conflict
	switch {
	case errors.As(err, &conflict):
		return response{Result: storeapi.ResultConflict, Rows: conflict.Rows}
	case errors.Is(err, storeapi.ErrHistoryGone):
		return response{Result: resultHistoryGone, Detail: err.Error()}
	default:
		return response{Result: storeapi.ResultOf(err), Detail: err.Error()}
	}
}

// err returns the error that a response encodes, or nil.
func (r *response) err() error {
	switch r.Result {
	case storeapi.ResultOK:
		return nil
	case storeapi.ResultConflict:
		return &storeapi.Conflict{Rows: r.Rows}
	case storeapi.ResultNotFound:
		return errors.Wrap(storeapi.ErrNotFound, r.Detail)
	case storeapi.ResultRejected:
		return errors.Wrap(storeapi.ErrRejected, r.Detail)
	case storeapi.ResultInDoubt:
		return errors.Wrap(storeapi.ErrInDoubt, r.Detail)
	case resultHistoryGone:
		return errors.Wrap(storeapi.ErrHistoryGone, r.Detail)
	default:
		return errors.Wrap(storeapi.ErrUnavailable, r.Detail)
	}
}

// callMargin is how much longer a relayed call may take than the entry host's own
// call: a round trip between zones, and delays on a busy machine.
const callMargin = 250 * time.Millisecond

// Timeouts of the entry host's own calls; they equal those of package platform.
const (
	readTimeout  = 700 * time.Millisecond
	writeTimeout = 1500 * time.Millisecond
)
