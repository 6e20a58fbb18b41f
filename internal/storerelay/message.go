// Package storerelay lets a process that the store turns away, or that is cut
// off from it, reach the store through an entry host that is not. All that
// processes write is conditional, so it does not matter which way a call takes.
//
// Load pattern: a third of the machines, or one, without the store for seconds;
// and the store gone for all, when a relay must not add calls.
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

// request is the body of each call; a call reads the fields that it needs.
type request struct {
	// Key is a row's key, a prefix or a table's name.
	Key    string               `codec:"k,omitempty"`
	After  string               `codec:"a,omitempty"`
	Limit  int                  `codec:"l,omitempty"`
	From   storeapi.RowVersion  `codec:"f,omitempty"`
	WaitMS int64                `codec:"w,omitempty"`
	Tx     storeapi.Transaction `codec:"t"`
}

// subject returns a key of the part that the call is about.
func (r *request) subject() string {
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

// Results besides those of storeapi.Result.
const resultHistoryGone storeapi.Result = "history_gone"

// response is the body of each answer.
type response struct {
	Result   storeapi.Result       `codec:"r"`
	Detail   string                `codec:"d,omitempty"`
	Rows     []storeapi.Row        `codec:"w,omitempty"`
	Changes  []storeapi.Change     `codec:"c,omitempty"`
	Version  storeapi.RowVersion   `codec:"v,omitempty"`
	Versions []storeapi.RowVersion `codec:"s,omitempty"`
	// StoreMS bounds the store's time at the answer; 0 when it is not known.
	StoreMS int64 `codec:"m,omitempty"`
}

// failed returns the answer that an error stands for.
func failed(err error) response {
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

// err returns the error that an answer stands for.
func (r *response) err() error {
	switch r.Result {
	case storeapi.ResultOK:
		return nil
	case storeapi.ResultConflict:
		return &storeapi.Conflict{Rows: r.Rows}
	case storeapi.ResultNotFound:
		return errors.Wrap(storeapi.ErrNotFound, r.Detail)
	case storeapi.ResultInDoubt:
		return errors.Wrap(storeapi.ErrInDoubt, r.Detail)
	case resultHistoryGone:
		return errors.Wrap(storeapi.ErrHistoryGone, r.Detail)
	default:
		return errors.Wrap(storeapi.ErrUnavailable, r.Detail)
	}
}

// callMargin is how much longer a relayed call may take than the same call of
// the entry host: one way between zones, twice, and a busy machine.
const callMargin = 250 * time.Millisecond

// Longest times of the entry host's own calls, as package platform has them.
const (
	readWithin  = 700 * time.Millisecond
	writeWithin = 1500 * time.Millisecond
)
