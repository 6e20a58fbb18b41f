package ownership

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/storeapi"
)

// ErrMalformed means that the value of a lease row is not JSON, or has no owner or
// no epoch.
var ErrMalformed = errors.New("malformed lease row")

// EncodeLease returns the JSON value of a lease row.
func EncodeLease(lease Lease) []byte {
	value, err := json.Marshal(lease)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode lease"))
	}
	return value
}

// DecodeLease returns the lease of a row, or a zero lease for a row that does
// not exist. Its errors match ErrMalformed.
func DecodeLease(row storeapi.Row) (Lease, error) {
	if row.Version == 0 {
		return Lease{}, nil
	}
	var lease Lease
	if err := json.Unmarshal(row.Value, &lease); err != nil {
		return Lease{}, errors.CombineErrors(ErrMalformed, err)
	}
	if lease.Owner == "" || lease.Epoch == 0 {
		return Lease{}, errors.Wrap(ErrMalformed, "owner or epoch is missing")
	}
	return lease, nil
}
