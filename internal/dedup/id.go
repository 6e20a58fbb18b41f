// Package dedup detects repeated requests by finding the first run of a request. It
// maps request IDs to home ranges, keeps the claims of a home agent's ranges in a
// window of bounded time and size, and builds and applies updates of the ranges.
// It does no I/O and reads no clock: callers pass the time in.
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
	splitmixMultiplierA = 0xbf58476d1ce4e5b9
	splitmixMultiplierB = 0x94d049bb133111eb
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

// Hash returns the position of a request ID in the hash space of the home ranges:
// its FNV-1a hash after the finalizer of splitmix64.
func Hash(id model.RequestID) uint64 {
	h := uint64(fnvOffset)
	for i := 0; i < len(id); i++ {
		h ^= uint64(id[i])
		h *= fnvPrime
	}
	h = (h ^ h>>30) * splitmixMultiplierA
	h = (h ^ h>>27) * splitmixMultiplierB
	return h ^ h>>31
}
