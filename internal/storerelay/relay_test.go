package storerelay

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"dragonflyyard/internal/standin"
	"dragonflyyard/internal/storeapi"
)

// relayedClient is a client whose direct calls can be made to fail, with one relay
// to the same store.
type relayedClient struct {
	*Client
	store *standin.Store
	// direct serves the client's direct calls; its faults don't affect the relay.
	direct *faultyStore
	peer   string
}

// faultyStore fails its calls with err while err is set.
type faultyStore struct {
	storeapi.Store
	err error
	// onCommit, if set, is called with the deadline of each transaction.
	onCommit func(deadline time.Time)
	// reads counts the reads of single rows, pages and tables.
	reads atomic.Int32
	// rows counts the rows that reads returned.
	rows atomic.Int32
	// readDelay delays each read of a row.
	readDelay time.Duration
}

func (s *faultyStore) Get(ctx context.Context, key string) (storeapi.Row, error) {
	s.reads.Add(1)
	time.Sleep(s.readDelay)
	if s.err != nil {
		return storeapi.Row{}, s.err
	}
	row, err := s.Store.Get(ctx, key)
	if err == nil {
		s.rows.Add(1)
	}
	return row, err
}

func (s *faultyStore) List(ctx context.Context, prefix, after string, limit int) ([]storeapi.Row, error) {
	s.reads.Add(1)
	if s.err != nil {
		return nil, s.err
	}
	rows, err := s.Store.List(ctx, prefix, after, limit)
	s.rows.Add(int32(len(rows)))
	return rows, err
}

func (s *faultyStore) Scan(ctx context.Context, prefix string) (storeapi.Snapshot, error) {
	s.reads.Add(1)
	if s.err != nil {
		return storeapi.Snapshot{}, s.err
	}
	snapshot, err := s.Store.Scan(ctx, prefix)
	s.rows.Add(int32(len(snapshot.Rows)))
	return snapshot, err
}

func (s *faultyStore) Changes(ctx context.Context, table string, after storeapi.RowVersion, wait time.Duration) (storeapi.Changes, error) {
	if s.err != nil {
		return storeapi.Changes{}, s.err
	}
	return s.Store.Changes(ctx, table, after, wait)
}

func (s *faultyStore) Commit(ctx context.Context, tx storeapi.Transaction) ([]storeapi.RowVersion, error) {
	if s.onCommit != nil {
		deadline, _ := ctx.Deadline()
		s.onCommit(deadline)
	}
	if s.err != nil {
		return nil, s.err
	}
	return s.Store.Commit(ctx, tx)
}

func newRelayedClient(t *testing.T, away func(string) bool) *relayedClient {
	t.Helper()
	store := standin.NewStore(time.Now)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(store, away, notStopping, Room{16 << 20, 64})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	w := &relayedClient{store: store, direct: &faultyStore{Store: store}, peer: listener.Addr().String()}
	w.Client = NewClient(w.direct, func() []string { return []string{w.peer} }, zap.NewNop(), metrics.NewRegistry())
	return w
}

func notStopping() (time.Time, bool) { return time.Time{}, false }

func put(key string) storeapi.Transaction {
	return storeapi.Transaction{Checks: []storeapi.Check{{Key: key}}, Puts: []storeapi.Put{{Key: key, Value: []byte("v")}}}
}

var errStoreUnavailable = errors.Wrap(storeapi.ErrUnavailable, "call refused")

func TestCallsGoThroughAPeer(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return false })
	w.direct.err = errStoreUnavailable
	ctx := t.Context()
	if _, err := w.Commit(ctx, put("t/a")); err != nil {
		t.Fatal(err)
	}
	row, err := w.Get(ctx, "t/a")
	if err != nil || string(row.Value) != "v" {
		t.Errorf("row %+v, %v", row, err)
	}
	_, err = w.Commit(ctx, put("t/a"))
	var conflict *storeapi.Conflict
	if !errors.As(err, &conflict) || conflict.Find("t/a").Version != row.Version {
		t.Errorf("a refused transaction gives %v", err)
	}
	if _, err := w.Get(ctx, "t/none"); !errors.Is(err, storeapi.ErrNotFound) {
		t.Errorf("a missing row gives %v", err)
	}
	snapshot, err := w.Scan(ctx, "t/")
	if err != nil || len(snapshot.Rows) != 1 {
		t.Errorf("scan %+v, %v", snapshot, err)
	}
	w.store.ForgetHistory()
	w.mu.Lock()
	w.failingParts[""] = failingPart{key: "t"}
	w.mu.Unlock()
	if _, err := w.Changes(ctx, "t", 0, 0); !errors.Is(err, storeapi.ErrHistoryGone) {
		t.Errorf("a forgotten history gives %v", err)
	}
	if !w.DirectUnavailable("t/a") {
		t.Error("direct calls count as working")
	}
}

// TestInDoubtWriteIsNotRetried: a write that may have been committed directly must
// not be sent again through a peer, whose refusal would look definite.
func TestInDoubtWriteIsNotRetried(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return false })
	w.direct.err = errors.Wrap(storeapi.ErrInDoubt, "no answer")
	if _, err := w.Commit(t.Context(), put("t/a")); !errors.Is(err, storeapi.ErrInDoubt) {
		t.Errorf("a write in doubt gives %v", err)
	}
	if _, err := w.store.Get(t.Context(), "t/a"); !errors.Is(err, storeapi.ErrNotFound) {
		t.Error("the write was sent again")
	}
}

func TestRelayWithoutStoreRefuses(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return true })
	w.direct.err = errStoreUnavailable
	if _, err := w.Commit(t.Context(), put("t/a")); !errors.Is(err, storeapi.ErrUnavailable) {
		t.Errorf("a relay without a store gives %v", err)
	}
}

func TestUnreachablePeer(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return false })
	w.direct.err = errStoreUnavailable
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.peer = listener.Addr().String()
	_ = listener.Close()
	if _, err := w.Commit(t.Context(), put("t/a")); !errors.Is(err, storeapi.ErrUnavailable) {
		t.Errorf("an unreachable peer gives %v", err)
	}
	if peers := w.usablePeers(); len(peers) != 0 {
		t.Errorf("the peer is called again at once: %v", peers)
	}
}

// TestLostAnswerThroughAPeer: the peer received the transaction but the response
// is lost, so the write is in doubt.
func TestLostAnswerThroughAPeer(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return false })
	w.direct.err = errStoreUnavailable
	w.store.SetFaults(standin.ServiceTable, standin.Faults{LoseAnswers: 1})
	if _, err := w.Commit(t.Context(), put("t/a")); !errors.Is(err, storeapi.ErrInDoubt) {
		t.Errorf("a lost response gives %v", err)
	}
}

func TestMalformedCallsChangeNothing(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return false })
	cases := []struct {
		path, body string
		want       int
	}{
		{"/store/commit", "\xff\xff", fasthttp.StatusBadRequest},
		{"/store/commit", "", fasthttp.StatusBadRequest},
		{"/store/none", "\xa0", fasthttp.StatusNotFound},
		{"/store/commit", "\xa0", fasthttp.StatusOK},
	}
	for _, c := range cases {
		status, _, err := fasthttp.Post(nil, "http://"+w.peer+c.path, nil)
		if c.body != "" {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.Header.SetMethod(fasthttp.MethodPost)
			req.SetRequestURI("http://" + w.peer + c.path)
			req.SetBodyString(c.body)
			err = fasthttp.Do(req, resp)
			status = resp.StatusCode()
		}
		if err != nil || status != c.want {
			t.Errorf("%s %q: status %d, %v, want %d", c.path, c.body, status, err, c.want)
		}
	}
	if snapshot, err := w.store.Scan(t.Context(), ""); err != nil || len(snapshot.Rows) != 0 {
		t.Errorf("rows %v, %v", snapshot.Rows, err)
	}
}

func TestPeerDirectory(t *testing.T) {
	store := standin.NewStore(time.Now)
	rows := map[string]Peer{
		"near": {Address: "10.0.0.1:1", Zone: "z1"}, "far": {Address: "10.0.0.2:1", Zone: "z2"}, "old": {Address: "10.0.0.3:1", Zone: "z1"},
	}
	for host, peer := range rows {
		b := NewPeerDirectory(store, "c/relay/", host, peer, zap.NewNop())
		if !b.write(t.Context()) {
			t.Fatal("not written")
		}
	}
	b := NewPeerDirectory(store, "c/relay/", "me", Peer{Zone: "z1"}, zap.NewNop())
	b.setPeers([]Peer{rows["far"], rows["near"]})
	if got := b.Peers(); len(got) != 2 || got[0] != "10.0.0.1:1" {
		t.Errorf("peers %v, want the near one first", got)
	}
	store.SetFaults(standin.ServiceTable, standin.Faults{Down: true})
	if b.read(t.Context()) || len(b.Peers()) != 2 {
		t.Error("peers are dropped while the store is unavailable")
	}
	store.SetFaults(standin.ServiceTable, standin.Faults{})
	if !b.read(t.Context()) || len(b.Peers()) != 3 {
		t.Errorf("peers %v after a read", b.Peers())
	}
}

// TestPartsFailIndependently: while the store refuses calls for one part of a
// table, calls for another part must stay direct.
func TestPartsFailIndependently(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return true })
	w.direct.err = errStoreUnavailable
	if _, err := w.Commit(t.Context(), put("t@p1/a")); !errors.Is(err, storeapi.ErrUnavailable) {
		t.Fatal(err)
	}
	w.direct.err = nil
	if _, err := w.Commit(t.Context(), put("t@p2/a")); err != nil {
		t.Errorf("an available part gives %v", err)
	}
	if !w.DirectUnavailable("t@p1/a") || w.DirectUnavailable("t@p2/a") {
		t.Error("the failure of one part affects the other")
	}
}

// TestCallerDeadlineIsNoStoreFailure: a call whose context has ended must not mark
// the store as failing.
func TestCallerDeadlineIsNoStoreFailure(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return false })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	w.direct.err = errStoreUnavailable
	if _, err := w.Commit(ctx, put("t/a")); err == nil {
		t.Error("a call with an ended context succeeds")
	}
	if w.DirectUnavailable("t/a") {
		t.Error("direct calls count as failing")
	}
}

// TestSilentFeedIsNoStoreFailure: the feed may not respond while the store serves
// all other calls. Only the failure of another call marks the store as failing;
// changes are then read through a peer.
func TestSilentFeedIsNoStoreFailure(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return false })
	if _, err := w.Commit(t.Context(), put("t/a")); err != nil {
		t.Fatal(err)
	}
	w.direct.err = errStoreUnavailable
	if _, err := w.Changes(t.Context(), "t", 0, 0); !errors.Is(err, storeapi.ErrUnavailable) {
		t.Fatalf("a silent feed gives %v", err)
	}
	if w.DirectUnavailable("t/a") {
		t.Fatal("the store counts as failing because of its feed")
	}
	if _, err := w.Get(t.Context(), "t/a"); err != nil {
		t.Fatal(err)
	}
	if !w.DirectUnavailable("t/a") {
		t.Fatal("the store does not count as failing after a failed read")
	}
	if changes, err := w.Changes(t.Context(), "t", 0, 0); err != nil || len(changes.Rows) != 1 {
		t.Errorf("through a peer: %+v, %v", changes, err)
	}
}

// TestStrongerPeers: a host counts as outranked by a peer that has several times
// its processor share or bandwidth, not by one of similar size or with less of the
// other.
func TestStrongerPeers(t *testing.T) {
	self := Peer{Cores: 0.2, LinkMbps: 10}
	for _, c := range []struct {
		peer Peer
		want bool
	}{
		{Peer{Cores: 0.8, LinkMbps: 200}, true},
		{Peer{Cores: 0.2, LinkMbps: 200}, true},
		{Peer{Cores: 0.4, LinkMbps: 20}, false},
		{Peer{Cores: 0.1, LinkMbps: 200}, false},
		{self, false},
	} {
		b := NewPeerDirectory(standin.NewStore(time.Now), "c/relay/", "me", self, zap.NewNop())
		b.setPeers([]Peer{c.peer})
		if got := b.Standing().Outranked; got != c.want {
			t.Errorf("a peer of %+v counts as stronger: %v", c.peer, got)
		}
	}
}

// TestRejectionsAreRelayed guards against a relayed write that is repeated for ever: the
// caller must learn that the store can never accept it.
func TestRejectionsAreRelayed(t *testing.T) {
	w := newRelayedClient(t, func(string) bool { return false })
	rejecting := &faultyStore{Store: w.store, err: errors.Wrap(storeapi.ErrRejected, "row too large")}
	server := NewServer(rejecting, func(string) bool { return false }, notStopping, Room{16 << 20, 64})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	w.peer, w.direct.err = listener.Addr().String(), errStoreUnavailable
	if _, err := w.Commit(t.Context(), put("t/a")); !errors.Is(err, storeapi.ErrRejected) {
		t.Errorf("error %v, want ErrRejected", err)
	}
}
