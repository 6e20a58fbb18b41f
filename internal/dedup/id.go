// Package dedup finds the first run of a request: it maps request IDs to home
// ranges, keeps, on a home agent, the claims of its ranges in a window of bounded
// time and size, and makes and follows updates of the ranges. It is pure: callers
// pass the time in.
package dedup

import (
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"dragonflyyard/internal/model"
)

// ErrInvalidID means that a request ID is not a UUIDv7 in canonical text form.
var ErrInvalidID = errors.New("dedup: request ID is not a canonical UUIDv7")

const (
	canonicalLength = 36
	fnvOffset       = 14695981039346656037
	fnvPrime        = 1099511628211
	// Finalizer multipliers of the splitmix64 generator.
	mixA = 0xbf58476d1ce4e5b9
	mixB = 0x94d049bb133111eb
)

// MintTime returns the creation time of a request ID in milliseconds since the Unix epoch.
func MintTime(id model.RequestID) (int64, error) {
	if len(id) != canonicalLength {
		return 0, ErrInvalidID
	}
	parsed, err := uuid.Parse(string(id))
	if err != nil || parsed.Version() != 7 || parsed.String() != string(id) {
		return 0, ErrInvalidID
	}
	var ms int64
	for _, b := range parsed[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms, nil
}

// Hash returns the key of a request ID in the space of home ranges.
func Hash(id model.RequestID) uint64 {
	h := uint64(fnvOffset)
	for i := 0; i < len(id); i++ {
		h ^= uint64(id[i])
		h *= fnvPrime
	}
	h = (h ^ h>>30) * mixA
	h = (h ^ h>>27) * mixB
	return h ^ h>>31
}
