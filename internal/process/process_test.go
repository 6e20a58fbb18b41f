package process

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// await returns what Run returned.
func await(t *testing.T, ended <-chan error) error {
	t.Helper()
	const limit = 30 * time.Second
	select {
	case err := <-ended:
		return err
	case <-time.After(limit):
		t.Fatal("the process still runs after its stop")
		return nil
	}
}

// TestStopWhileStarting stops processes before, or just when, their HTTP server
// begins to accept.
func TestStopWhileStarting(t *testing.T) {
	const rounds = 200
	stops := []struct {
		name string
		stop func(b *Base, cancel context.CancelFunc)
	}{
		{"signal", func(_ *Base, cancel context.CancelFunc) { cancel() }},
		{"order", func(b *Base, _ context.CancelFunc) { b.RequestStop() }},
	}
	for _, s := range stops {
		t.Run(s.name, func(t *testing.T) {
			for range rounds {
				b, err := New(Options{Name: "entry-1", HTTPAddress: "127.0.0.1:0", EventCapacity: 8})
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithCancel(context.Background())
				s.stop(b, cancel)
				ended := make(chan error, 1)
				go func() { ended <- b.Run(ctx) }()
				if err := await(t, ended); err != nil {
					t.Fatal(err)
				}
				cancel()
			}
		})
	}
}

// TestFailedDutyEndsTheProcess fails a duty at once, so that the server is
// shut down while it starts.
func TestFailedDutyEndsTheProcess(t *testing.T) {
	const rounds = 200
	failure := errors.New("no more input")
	for range rounds {
		b, err := New(Options{Name: "entry-1", HTTPAddress: "127.0.0.1:0", EventCapacity: 8})
		if err != nil {
			t.Fatal(err)
		}
		b.AddDuty("reader", func(context.Context) error { return failure })
		ended := make(chan error, 1)
		go func() { ended <- b.Run(context.Background()) }()
		if err := await(t, ended); !errors.Is(err, failure) {
			t.Fatalf("got %v", err)
		}
	}
}
