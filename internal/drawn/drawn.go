// Package drawn is what tests with sequences drawn by rapid have in common. Only
// tests import it.
package drawn

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// Settings of rapid: the seed of all tests, so that every run draws the same,
// and how long a failing sequence is shrunk.
const (
	seed       = "20261204"
	shrinkTime = "10s"
)

// Main is a TestMain under a fixed seed. checks is how many sequences each call
// of rapid.Check draws.
func Main(m *testing.M, checks int) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": seed, "rapid.checks": strconv.Itoa(checks), "rapid.shrinktime": shrinkTime, "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Most draws n values, true in seven cases of eight. A failing sequence shrinks
// to few that are true.
func Most(t *rapid.T, n int) []bool {
	most := make([]bool, n)
	for i := range most {
		for range 3 {
			most[i] = rapid.Bool().Draw(t, "bit") || most[i]
		}
	}
	return most
}
