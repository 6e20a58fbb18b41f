package storeapi

import "github.com/cockroachdb/errors"

// Result is the result of a call to the table service or the object store, as a
// value that can be an input of a deterministic core.
type Result string

// Results of a call.
const (
	ResultOK          Result = "ok"
	ResultNotFound    Result = "not_found"
	ResultConflict    Result = "conflict"
	ResultUnavailable Result = "unavailable"
	// ResultRejected means that the write can never be accepted.
	ResultRejected Result = "rejected"
	// ResultInDoubt means that a write may or may not have taken effect.
	ResultInDoubt Result = "in_doubt"
)

// ResultOf maps a call's error to its result. An unrecognized error maps to
// ResultInDoubt, because a write may have taken effect.
func ResultOf(err error) Result {
	switch {
	case err == nil:
		return ResultOK
	case errors.Is(err, ErrNotFound):
		return ResultNotFound
	case errors.Is(err, ErrConflict):
		return ResultConflict
	case errors.Is(err, ErrUnavailable):
		return ResultUnavailable
	case errors.Is(err, ErrRejected):
		return ResultRejected
	default:
		return ResultInDoubt
	}
}
