package storerelay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"dragonflyyard/internal/standin"
)

// TestRelayedCallEndsWithItsCaller guards against waiting for silent peers, one after
// the other, when the caller's time is over.
func TestRelayedCallEndsWithItsCaller(t *testing.T) {
	var peers []string
	for range 3 {
		// Connections are accepted by the kernel and never answered.
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		peers = append(peers, listener.Addr().String())
	}
	direct := &faultyStore{Store: standin.NewStore(time.Now), err: errStoreUnavailable}
	c := NewClient(direct, func() []string { return peers }, zap.NewNop(), metrics.NewRegistry())
	const callerTime = 300 * time.Millisecond
	calls := map[string]func(context.Context) error{
		"get":    func(ctx context.Context) error { _, err := c.Get(ctx, "t/a"); return err },
		"commit": func(ctx context.Context) error { _, err := c.Commit(ctx, put("t/a")); return err },
	}
	for name, call := range calls {
		ctx, cancel := context.WithTimeout(t.Context(), callerTime)
		began := time.Now()
		err := call(ctx)
		cancel()
		if took := time.Since(began); err == nil || took > 2*callerTime {
			t.Errorf("%s: error %v after %s, the caller waits %s", name, err, took, callerTime)
		}
	}
	if usable := len(c.usablePeers()); usable != len(peers) {
		t.Errorf("%d of %d peers are called again: the caller's time says nothing about them", usable, len(peers))
	}
}

