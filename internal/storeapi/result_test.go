package storeapi

import (
	"testing"

	"github.com/cockroachdb/errors"
)

func TestResultOf(t *testing.T) {
	cases := []struct {
		err  error
		want Result
	}{
		{nil, ResultOK},
		{errors.Wrap(ErrNotFound, "read"), ResultNotFound},
		{errors.Wrap(ErrConflict, "commit"), ResultConflict},
		{errors.Wrap(ErrUnavailable, "commit"), ResultUnavailable},
		{errors.Wrap(ErrRejected, "commit"), ResultRejected},
		{errors.Wrap(ErrInDoubt, "commit"), ResultInDoubt},
		{errors.New("of no known kind"), ResultInDoubt},
	}
	for _, c := range cases {
		if got := ResultOf(c.err); got != c.want {
			t.Errorf("%v: %s, want %s", c.err, got, c.want)
		}
	}
}
