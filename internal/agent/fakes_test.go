package agent

import (
	"testing"

	"dragonflyyard/internal/standin"
)

// unreachableAddress is an address on which nothing listens.
const unreachableAddress = "127.0.0.1:1"

// startRaw serves with answer until the end of the test.
func startRaw(t *testing.T, answer func(standin.RawCall) bool) *standin.RawServer {
	t.Helper()
	server, err := standin.NewRawServer(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}
