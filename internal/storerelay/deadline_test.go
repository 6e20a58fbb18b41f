package storerelay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
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

// TestLargeAnswerThroughAPeerOverASlowLink guards against taking a peer for silent while
// its answer arrives: a host that reaches the store through peers only would never read a
// large configuration.
func TestLargeAnswerThroughAPeerOverASlowLink(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return false })
	w.direct.err = errStoreUnavailable
	value := make([]byte, 400_000)
	if _, err := w.store.Commit(t.Context(), storeapi.Transaction{Puts: []storeapi.Put{{Key: "t/a", Value: value}}}); err != nil {
		t.Fatal(err)
	}
	link, err := standin.NewMiddlebox()
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	link.SetTarget(w.peer)
	link.SetRate(int64(len(value)) / 2)
	w.peer = link.Address()
	if snapshot, err := w.Scan(t.Context(), "t/"); err != nil || len(snapshot.Rows) != 1 {
		t.Errorf("scan: %d rows, %v", len(snapshot.Rows), err)
	}
	changes, err := w.Changes(t.Context(), "t", 0, 0)
	if err != nil || len(changes.Rows) != 1 {
		t.Errorf("changes: %d rows, %v", len(changes.Rows), err)
	}
}

// lateStore does not answer before the deadline of a call, and fails the test for a call
// without one.
type lateStore struct {
	storeapi.Store
	t *testing.T
}

func (s lateStore) Commit(ctx context.Context, _ storeapi.Transaction) ([]storeapi.RowVersion, error) {
	if _, limited := ctx.Deadline(); !limited {
		s.t.Error("a call of a stopping relay has no deadline")
		return nil, storeapi.ErrInDoubt
	}
	<-ctx.Done()
	return nil, storeapi.ErrInDoubt
}

// TestStoppingRelayAnswersInTime guards against a relay whose process ends before it has
// answered a peer's call.
func TestStoppingRelayAnswersInTime(t *testing.T) {
	answerBy := time.Now().Add(200 * time.Millisecond)
	r := &relay{store: lateStore{standin.NewStore(time.Now), t}, unavailable: func(string) bool { return false },
		answerBy: func() (time.Time, bool) { return answerBy, true }}
	ctx, cancel := r.callContext()
	defer cancel()
	if out := r.commit(ctx, request{Tx: put("t/a")}); out.Result != storeapi.ResultInDoubt {
		t.Errorf("%+v, want in doubt", out)
	}
	if late := time.Since(answerBy); late > 100*time.Millisecond {
		t.Errorf("answered %s late", late)
	}
}
