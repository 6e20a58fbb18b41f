package storeapi

import "github.com/cockroachdb/errors"

// Result is the result of a call to the table service or the object store, as a
// value that a deterministic core takes in.
type Result string

// Results of a call.
const (
	ResultOK          Result = "ok"
	ResultNotFound    Result = "not_found"
	ResultConflict    Result = "conflict"
	ResultUnavailable Result = "unavailable"
	// ResultInDoubt means that a write may or may not have taken effect.
	ResultInDoubt Result = "in_doubt"
)

// ResultOf returns the result that a call's error stands for. An error of no
// known kind leaves a write in doubt.
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
	default:
		return ResultInDoubt
	}
}
