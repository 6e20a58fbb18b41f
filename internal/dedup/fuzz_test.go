package dedup

import (
	"strings"
	"testing"

	"dragonflyyard/internal/model"
)

// FuzzMintTime checks that MintTime accepts only canonical lowercase UUIDv7 text
// and returns a time of 48 bits.
func FuzzMintTime(f *testing.F) {
	for _, seed := range []string{
		"0190b8a0-5c5c-7abc-8def-0123456789ab", "0190B8A0-5C5C-7ABC-8DEF-0123456789AB", "{0190b8a0-5c5c-7abc-8def-0123456789a}",
		"urn:uuid:0190b8a0-5c5c-7abc-8def-012", "ffffffff-ffff-7fff-bfff-ffffffffffff", "", "0190b8a05c5c7abc8def0123456789ab",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, id string) {
		ms, err := MintTime(model.RequestID(id))
		if err != nil {
			return
		}
		if ms < 0 || ms >= 1<<48 || len(id) != canonicalLength || id != strings.ToLower(id) || id[14] != '7' {
			t.Errorf("%q was minted at %d", id, ms)
		}
	})
}
